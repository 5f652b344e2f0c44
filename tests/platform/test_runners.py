"""Tests of the client of runners, with runners that violate the protocol."""

import asyncio

import pytest
import uvloop

from plantainway import clock as clocks
from plantainway import deployment
from plantainway import errors
from plantainway import platform
from plantainway import supply
from plantainway import traffic
from tests.platform import runner_standin

CLOCK = clocks.MonotonicClock()


@pytest.fixture(
    params=[asyncio.DefaultEventLoopPolicy, uvloop.EventLoopPolicy]
)
def event_loop_policy(request):
    """Policies of the default event loop and of uvloop, which nodes use."""
    return request.param()


@pytest.fixture
async def runner():
    """A running runner stand-in."""
    found = runner_standin.RunnerStandIn('i-1')
    await found.start()
    yield found
    await found.stop()


@pytest.fixture
async def client():
    """The client under test."""
    async with platform.new_session() as pooled:
        async with platform.new_session(
            connection_per_request=True
        ) as unpooled:
            yield platform.RunnerClient(pooled, unpooled, CLOCK)


def _upstream(runner, **changes):
    fields = {'name': runner.name, 'address': runner.address} | changes
    return deployment.Upstream(
        service='s1', zone='a', slots=4, draining=False, **fields
    )


def _attempt(runner, use_new_connection=False, **changes):
    fields = {
        'request_id': 'r1',
        'method': 'POST',
        'target': '/a%20b/c?x=%41&y',
        'host': 'h.example',
        'headers': [('X-Own', 'kept'), ('Tenant', 'forged')],
        'body': b'{"n": 1}',
        'arrived_at': CLOCK.now(),
        'deadline': CLOCK.now() + 2.0,
        'key': 'secret',
    } | changes
    fields['headers'] = [('Request-Id', 'r1'), *fields['headers']]
    req = traffic.Request(**fields)
    return traffic.Attempt(
        req,
        _upstream(runner),
        'account-1',
        req.deadline,
        3,
        use_new_connection=use_new_connection,
    )


async def test_request_is_forwarded_unchanged(runner, client):
    """A request is forwarded unchanged, except for headers the node sets.

    Those replace headers of the same name that a client has forged.
    """
    reply = await client.send(_attempt(runner))
    assert await reply.read() == runner.body
    (seen,) = runner.seen
    assert (seen.method, seen.target, seen.body) == (
        'POST',
        '/a%20b/c?x=%41&y',
        b'{"n": 1}',
    )
    assert seen.headers['host'] == 'h.example'
    assert seen.headers['x-own'] == 'kept'
    assert seen.headers['tenant'] == 'account-1'
    assert seen.headers['expect-instance'] == 'i-1'
    assert seen.headers['request-id'] == 'r1'
    assert 0 < int(seen.headers['deadline-ms']) <= 2000
    for name in ('credential', 'accept-encoding', 'user-agent', 'accept'):
        assert name not in seen.headers


@pytest.mark.parametrize(
    'answer_mode, result',
    [
        ('whole', 'whole'),
        ('unframed', 'whole'),
        ('unframed_reset', 'body'),
        ('truncated', 'body'),
        ('other_id', 'request'),
        ('reset', 'request'),
    ],
)
@pytest.mark.parametrize('use_new_connection', [False, True])
async def test_incomplete_answers_raise_errors(
    runner, client, answer_mode, result, use_new_connection
):
    """A truncated answer or one to another request raises an error."""
    runner.faults.answer = answer_mode
    if result == 'whole':
        reply = await client.send(_attempt(runner, use_new_connection))
        assert await reply.read() == runner.body
        assert reply.signed
        return
    with pytest.raises(errors.UpstreamError) as caught:
        reply = await client.send(_attempt(runner, use_new_connection))
        await reply.read()
    assert caught.value.step == result
    assert caught.value.sent


async def test_request_is_not_sent_twice(runner, client):
    """A request is not repeated when a reused connection breaks."""
    reply = await client.send(_attempt(runner))
    await reply.read()
    reply.close()
    runner.faults.answer = 'reset'
    with pytest.raises(errors.UpstreamError):
        await client.send(_attempt(runner, method='PUT'))
    assert len(runner.seen) == 2


async def test_refused_connection_is_reported_as_not_sent(runner, client):
    """A refused connection is reported as not sent."""
    attempt = _attempt(runner)
    await runner.stop()
    with pytest.raises(errors.UpstreamError) as caught:
        await client.send(attempt)
    assert not caught.value.sent


@pytest.mark.parametrize(
    'name, answer_mode, not_run, misdirected',
    [
        ('i-1', 'not_run', True, False),
        ('i-1', 'error', False, False),
        ('i-2', 'whole', True, True),
    ],
)
async def test_refusals_are_distinguished(
    runner, client, name, answer_mode, not_run, misdirected
):
    """Only an explicit refusal counts as not executed."""
    runner.faults.answer = answer_mode
    attempt = _attempt(runner)
    attempt = traffic.Attempt(
        attempt.request, _upstream(runner, name=name), '', attempt.deadline, 3
    )
    reply = await client.send(attempt)
    await reply.read()
    assert (reply.not_run, reply.misdirected) == (not_run, misdirected)
    assert len(runner.seen) == (0 if misdirected else 1)


async def test_orders_and_reports(runner, client):
    """Engines carry out orders and report it; an older epoch is refused."""
    upstream = _upstream(runner, started_ms=runner.started_ms)
    join = supply.Order(
        supply.OrderKind.JOIN, 'i-1', 'g2', 2, 'm0', ('i-1', 'i-9')
    )
    assert (await client.order(upstream, join)).has_effect
    report = await client.report(upstream)
    assert report.membership == deployment.Membership(
        'g2', 2, 0, deployment.GroupState.READY, 'm0'
    )
    opened = supply.Order(supply.OrderKind.OPEN, 'i-1', 'g2', 2)
    assert (await client.order(upstream, opened)).has_effect
    late = supply.Order(supply.OrderKind.JOIN, 'i-1', 'g1', 1, 'm0', ('i-1',))
    assert not (await client.order(upstream, late)).has_effect
    leave = supply.Order(supply.OrderKind.LEAVE, 'i-1', 'g2', 2)
    assert (await client.order(upstream, leave)).has_effect
    assert (await client.report(upstream)).membership is None


async def test_unanswered_order_has_unknown_outcome(runner, client):
    """An order that got no answer has an unknown outcome."""
    upstream = _upstream(runner)
    await runner.stop()
    order = supply.Order(supply.OrderKind.OPEN, 'i-1', 'g1', 1)
    outcome = await client.order(upstream, order)
    assert outcome.status is supply.OrderStatus.UNKNOWN
    with pytest.raises(errors.UpstreamError) as caught:
        await client.report(upstream)
    assert caught.value.refused

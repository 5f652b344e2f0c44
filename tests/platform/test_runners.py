"""Contract of the client of runners, with runners that break the rules."""

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
    """The loop of the tests and the one that nodes run on."""
    return request.param()


@pytest.fixture
async def runner():
    """A running runner."""
    found = runner_standin.RunnerStandIn('i-1')
    await found.start()
    yield found
    await found.stop()


@pytest.fixture
async def client():
    """The client under test."""
    async with platform.new_session() as kept:
        async with platform.new_session(connection_per_request=True) as fresh:
            yield platform.RunnerClient(kept, fresh, CLOCK)


def _upstream(runner, **changes):
    fields = {'name': runner.name, 'address': runner.address} | changes
    return deployment.Upstream(
        service='s1', zone='a', slots=4, draining=False, **fields
    )


def _sending(runner, fresh=False, **changes):
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
        use_new_connection=fresh,
    )


async def test_request_arrives_unchanged(runner, client):
    """Method, target and body as sent; our own headers replace forged ones."""
    reply = await client.send(_sending(runner))
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
    'way, result',
    [
        ('whole', 'whole'),
        ('unframed', 'whole'),
        ('unframed_reset', 'body'),
        ('truncated', 'body'),
        ('other_id', 'request'),
        ('reset', 'request'),
    ],
)
@pytest.mark.parametrize('fresh', [False, True])
async def test_only_whole_answers_count(runner, client, way, result, fresh):
    """An answer that is cut or belongs to another request is an error."""
    runner.faults.answer = way
    if result == 'whole':
        reply = await client.send(_sending(runner, fresh))
        assert await reply.read() == runner.body
        assert reply.signed
        return
    with pytest.raises(errors.UpstreamError) as caught:
        reply = await client.send(_sending(runner, fresh))
        await reply.read()
    assert caught.value.step == result
    assert caught.value.sent


async def test_nothing_is_sent_twice(runner, client):
    """A broken kept connection makes no second request."""
    reply = await client.send(_sending(runner))
    await reply.read()
    reply.close()
    runner.faults.answer = 'reset'
    with pytest.raises(errors.UpstreamError):
        await client.send(_sending(runner, method='PUT'))
    assert len(runner.seen) == 2


async def test_failure_to_connect_is_not_sent(runner, client):
    """Nothing was sent where nobody listens."""
    sending = _sending(runner)
    await runner.stop()
    with pytest.raises(errors.UpstreamError) as caught:
        await client.send(sending)
    assert not caught.value.sent


@pytest.mark.parametrize(
    'name, way, not_run, misdirected',
    [
        ('i-1', 'not_run', True, False),
        ('i-1', 'error', False, False),
        ('i-2', 'whole', True, True),
    ],
)
async def test_refusals_are_told_apart(
    runner, client, name, way, not_run, misdirected
):
    """Only what says so was not run."""
    runner.faults.answer = way
    sending = _sending(runner)
    sending = traffic.Attempt(
        sending.request, _upstream(runner, name=name), '', sending.deadline, 3
    )
    reply = await client.send(sending)
    await reply.read()
    assert (reply.not_run, reply.misdirected) == (not_run, misdirected)
    assert len(runner.seen) == (0 if misdirected else 1)


async def test_orders_and_reports(runner, client):
    """Join, open, leave; an older epoch is refused."""
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


async def test_unanswered_order_is_in_doubt(runner, client):
    """Without an answer nothing is known of an order."""
    upstream = _upstream(runner)
    await runner.stop()
    order = supply.Order(supply.OrderKind.OPEN, 'i-1', 'g1', 1)
    outcome = await client.order(upstream, order)
    assert outcome.status is supply.OrderStatus.UNKNOWN
    with pytest.raises(errors.UpstreamError) as caught:
        await client.report(upstream)
    assert caught.value.refused

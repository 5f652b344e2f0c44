"""Tests that an answer that violates the protocol never reaches a client."""

import types

import pytest

from plantainway import clock as clocks
from plantainway import deployment
from plantainway import errors
from plantainway import platform
from plantainway import stores
from plantainway import supply
from plantainway import traffic
from tests.platform import conftest
from tests.platform import cut_links
from tests.platform import runner_standin
from tests import responses

CLOCK = clocks.MonotonicClock()
COMPLETE = b''.join(runner_standin.event(number) for number in range(1, 6))
STREAM = {'Model': 'm0', 'Token_Count': '10,10', 'method': 'POST'}
# Of those that tests/sessions has, with both kinds of names.
HEADS = [
    'HTTP/1.1 000 X',
    'HTTP/1.1 999 X',
    "'X-Other : 2'",
    "'X-Other x: 2'",
    "'X-Other\\x01: 2'",
    "'Connection : 2'",
    "'Connection\\x01: 2'",
    "'Content-Length\\x01: 2'",
    'only length with a blank',
    "X-Other: 'a\\x01b'",
    "X-Other: 'a\\r\\n b'",
]
CHUNKS = [
    repr(body)
    for body in (
        '0x2\r\nok\r\n0\r\n\r\n',
        '2\r\nokay\r\n0\r\n\r\n',
        '0\r\nX : 1\r\n\r\n',
        '0\r\nConnection\x01: 1\r\n\r\n',
    )
]
parser = responses.parser


def _break_answers(runners, name, **more) -> None:
    raw = runner_standin.RawAnswer(responses.BROKEN[name], **more)
    for runner in runners.values():
        runner.faults.raw = raw


def _seen(runners) -> list:
    return [seen for runner in runners.values() for seen in runner.seen]


async def _until_closed(runners) -> None:
    """Waits until the connections of all broken answers are closed."""
    await conftest.until(
        lambda: any(seen.cancelled for seen in _seen(runners)), 'closed'
    )


@pytest.mark.parametrize('path, runs', [('/safe/x', 2), ('/unsafe/x', 1)])
@pytest.mark.parametrize('name', [*HEADS, *CHUNKS])
async def test_broken_plain_answer_is_not_passed_on(
    parser, node, runners, client, name, path, runs
):
    """Its request may have run, and is sent again only if it may run twice."""
    _break_answers(runners, name, remaining=9)
    got = await conftest.send_request(client, node, path, method='POST')
    assert (got.status, 'Server-Stamp' in got.headers) == (502, False)
    assert len(_seen(runners)) == runs
    await _until_closed(runners)


@pytest.mark.parametrize('name', [*HEADS[:3], *CHUNKS[:1]])
async def test_request_with_a_broken_answer_is_sent_again(
    parser, node, runners, client, name
):
    """The next answer is passed on."""
    _break_answers(runners, name)
    got = await conftest.send_request(client, node, '/safe/x', method='POST')
    assert got.status == 200
    assert got.body in [runner.body for runner in runners.values()]


@pytest.mark.parametrize('name', [*HEADS[:3], *CHUNKS[:1]])
async def test_stream_with_a_broken_answer_is_resumed(
    parser, node, runners, client, name
):
    """The next run goes on after the last complete event."""
    _break_answers(runners, name)
    got = await conftest.send_request(client, node, '/stream/x', **STREAM)
    assert (got.status, got.is_whole, got.body) == (200, True, COMPLETE)
    await _until_closed(runners)


@pytest.mark.parametrize(
    'name',
    [
        'HTTP/1.0',
        '204 of length 0',
        '304 of some length',
        'largest status',
        'any value',
        'any reason',
        'interim responses',
        'same length twice',
        'blanks around the coding',
        'trailer',
    ],
)
async def test_valid_answer_is_passed_on(parser, node, runners, client, name):
    """Even an unusual one, from its first attempt."""
    data, status, body = responses.VALID[name]
    raw = runner_standin.RawAnswer(data)
    for runner in runners.values():
        runner.faults.raw = raw
    got = await conftest.send_request(client, node, '/unsafe/x', method='POST')
    assert (got.status, got.body, got.is_whole) == (status, body, True)
    assert 'Server-Stamp' in got.headers


@pytest.mark.parametrize('path, runs', [('/stream/x', 2), ('/once/x', 1)])
@pytest.mark.parametrize('name', [*HEADS, *CHUNKS])
async def test_broken_stream_is_not_passed_on(
    parser, node, runners, client, name, path, runs
):
    """Once it has begun, the client gets no end of it."""
    _break_answers(runners, name, remaining=9)
    got = await conftest.send_request(client, node, path, **STREAM)
    assert len(_seen(runners)) == runs
    if name in HEADS or not got.body:
        assert (got.status, 'Server-Stamp' in got.headers) == (502, False)
    else:
        assert (got.status, got.is_whole) == (200, False)
        assert got.body == runner_standin.event(1)


@pytest.mark.parametrize('path', ['/unsafe/x', '/once/x'])
@pytest.mark.parametrize(
    'line', ['X-Other : 2', 'Connection : 2', 'X-Other\x01: 2']
)
async def test_broken_refusal_is_not_believed(
    parser, node, runners, client, path, line
):
    """The request may have run, so it is not sent again."""
    raw = runner_standin.RawAnswer(
        responses.response('HTTP/1.1 503 X', responses.LENGTH, line),
        remaining=9,
        fields=(('Not-Executed', '1'),),
    )
    for runner in runners.values():
        runner.faults.raw = raw
    got = await conftest.send_request(client, node, path, **STREAM)
    assert (got.status, 'Server-Stamp' in got.headers) == (502, False)
    assert len(_seen(runners)) == 1


@pytest.mark.parametrize(
    'path, status',
    [
        ('/safe/x', 200),
        ('/unsafe/x', 502),
        ('/stream/x', 200),
        ('/once/x', 502),
    ],
)
@pytest.mark.parametrize('name', ['HTTP/1.1 000 X', "'X-Other : 2'"])
async def test_broken_answer_to_a_relayed_request_is_not_passed_on(
    three_nodes, runners, client, name, path, status
):
    """The node that reaches the runners judges the attempt."""
    cut_node = three_nodes[1]
    link = cut_links.NodeLinks(cut_node, runners.values(), 1)
    with cut_links.cut([link], 'reset'):
        await conftest.send_request(client, cut_node, path, **STREAM)
        for runner in runners.values():
            runner.seen.clear()
        _break_answers(runners, name)
        got = await conftest.send_request(
            client, cut_node, path, request_id='r-2', **STREAM
        )
    assert got.status == status
    assert ('Server-Stamp' in got.headers) == (status == 200)
    assert len(_seen(runners)) == (2 if status == 200 else 1)


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x', '/stream/x'])
@pytest.mark.parametrize('name', HEADS)
async def test_broken_answer_of_another_node_is_not_passed_on(
    node, client, monkeypatch, name, path
):
    """Its request may have run there."""
    fields = (('Request-Id', 'r-1'), ('Server-Stamp', 's'))
    data = responses.fill(responses.BROKEN[name], *fields)
    async with responses.RawServer(data) as server:
        peer = types.SimpleNamespace(
            node='n2', relay=server.address, weight=1.0
        )
        relay = node._gateway._deps.relay
        monkeypatch.setattr(relay, '_nodes', lambda: [peer])
        monkeypatch.setattr(relay, 'is_needed', lambda req, unreached=0: True)
        got = await conftest.send_request(client, node, path, **STREAM)
        assert (got.status, 'Server-Stamp' in got.headers) == (502, False)
        assert len(server.requests) == 1


@pytest.mark.parametrize('name', HEADS)
async def test_broken_answer_does_not_end_a_stream_that_has_begun(
    node, runners, client, name
):
    """The run that was to go on with it breaks off."""
    _break_answers(runners, name)
    broken = runner_standin.BrokenAnswer('chunks', 'between', 'reset')
    for runner in runners.values():
        runner.faults.broken = broken
    got = await conftest.send_request(client, node, '/stream/x', **STREAM)
    assert (got.status, got.is_whole) == (200, False)
    assert got.body == runner_standin.event(1)


# Calls of a node.


def _request() -> traffic.Request:
    now = CLOCK.now()
    return traffic.Request('r', 'GET', '/x', 'h', [], b'', now, now + 5.0)


async def _send(client, upstream):
    req = _request()
    attempt = traffic.Attempt(req, upstream, '', req.deadline, 1)
    return await (await client.send(attempt)).read()


RUNNER_CALLS = {
    'request': _send,
    'report': lambda client, upstream: client.report(upstream),
    'health': lambda client, upstream: client.check_health(upstream, '/h'),
}
FIELDS = (('Request-Id', 'r'), ('Server-Stamp', 's'))


def _upstream(address: str) -> deployment.Upstream:
    return deployment.Upstream(
        name='i-1',
        address=address,
        service='s',
        zone='a',
        slots=4,
        draining=False,
    )


@pytest.fixture(params=[*HEADS, *CHUNKS])
async def server(request):
    """A server whose answers are broken."""
    data = responses.fill(responses.BROKEN[request.param], *FIELDS)
    async with responses.RawServer(data) as found:
        yield found


@pytest.mark.parametrize('call', RUNNER_CALLS)
async def test_broken_answer_of_a_runner_is_an_error(
    parser, server, sessions, call
):
    """The request may have run."""
    client = platform.RunnerClient(*sessions, CLOCK)
    with pytest.raises(errors.UpstreamError) as found:
        await RUNNER_CALLS[call](client, _upstream(server.address))
    assert found.value.sent and not found.value.refused
    assert found.value.answered == (call == 'report')


async def test_order_with_a_broken_answer_may_have_been_accepted(
    parser, server, sessions
):
    """It is not taken for refused."""
    client = platform.RunnerClient(*sessions, CLOCK)
    order = supply.Order(supply.OrderKind.LEAVE, 'i-1', 'g', 1)
    outcome = await client.order(_upstream(server.address), order)
    assert outcome.status is supply.OrderStatus.UNKNOWN


async def test_runner_with_broken_answers_is_reached(parser, server, sessions):
    """They are no evidence against the links of the node."""
    client = platform.RunnerClient(*sessions, CLOCK)
    assert await client.is_reached(_upstream(server.address), '/h')


async def test_broken_answer_of_another_node_is_an_error(
    parser, server, sessions
):
    """The request may have run there."""
    client = platform.RelayClient(sessions[0], CLOCK)
    req = _request()
    attempt = traffic.RelayedAttempt(req, req.deadline, 1, 1)
    node = types.SimpleNamespace(node='n2', relay=server.address)
    with pytest.raises(errors.UpstreamError) as found:
        await (await client.relay(attempt, node)).read()
    assert found.value.sent


# Each would be valid but for its head.
LINES = [
    ('HTTP/1.1 200 X', (), True),
    ('HTTP/1.1 000 X', (), False),
    ('HTTP/1.1 200 X', ('X-Other : 2',), False),
    ('HTTP/1.1 200 X', ('X-Other\x01: 2',), False),
    ('HTTP/1.1 200 X', ('X-Other: a\x01b',), False),
    ('HTTP/1.1 200 X', ('X-Other: a\r\n b',), False),
    ('HTTP/1.1 200 X', ('Connection : 2',), False),
    ('HTTP/1.1 200 X', ('Connection x: 2',), False),
    ('HTTP/1.1 200 X', ('Connection: a\x01b',), False),
]


@pytest.mark.parametrize('first, lines, is_valid', LINES)
async def test_only_valid_answers_of_the_store_are_believed(
    parser, sessions, first, lines, is_valid
):
    """A transaction with another answer may have been committed."""
    body = '{"rows": [], "ver": 5}'
    length = f'Content-Length: {len(body)}'
    data = responses.response(first, length, *lines, body=body)
    async with responses.RawServer(responses.fill(data)) as server:
        store = platform.PlatformStore(server.address, sessions[0])
        txn = stores.Transaction('t', (), (stores.Write('k', 1),))
        outcome = (await store.commit(txn)).outcome
        if is_valid:
            assert outcome is stores.Outcome.COMMITTED
            assert (await store.snapshot('servers')).version == 5
            return
        assert outcome is stores.Outcome.UNKNOWN
        for call in (store.snapshot('t'), store.changes('t', 1, 0.1)):
            with pytest.raises(errors.StoreUnavailableError):
                await call


@pytest.mark.parametrize('first, lines, is_valid', LINES)
async def test_only_valid_reports_are_believed(
    parser, sessions, first, lines, is_valid
):
    """Another one is an error of an answer."""
    body = '{"phase": "both", "models": [], "queued": 2, "active": 1}'
    length = f'Content-Length: {len(body)}'
    data = responses.response(first, length, *lines, body=body)
    async with responses.RawServer(responses.fill(data)) as server:
        client = platform.RunnerClient(*sessions, CLOCK)
        upstream = _upstream(server.address)
        if is_valid:
            assert (await client.report(upstream)).queued == 2
            return
        with pytest.raises(errors.UpstreamError) as found:
            await client.report(upstream)
        assert found.value.answered


async def test_broken_answer_of_the_store_is_an_error(
    parser, server, sessions
):
    """A transaction may have been committed."""
    store = platform.PlatformStore(server.address, sessions[0])
    for call in (store.snapshot('servers'), store.changes('servers', 1, 0.1)):
        with pytest.raises(errors.StoreUnavailableError):
            await call
    txn = stores.Transaction('t', (), (stores.Write('k', 1),))
    assert (await store.commit(txn)).outcome is stores.Outcome.UNKNOWN

"""Tests of requests through a complete node, with runners that fail."""

import asyncio
import re
import time

import pytest

from plantainway import edge
from plantainway import traffic
from tests.platform import conftest
from tests.platform import runner_standin

SUSPENDED_S = 3.0  # longer than the term of a lease
STREAM = {'Model': 'm0', 'Token_Count': '10,10', 'method': 'POST'}


def _received_requests(runners, prefix):
    return [
        seen
        for name, runner in runners.items()
        if name.startswith(prefix)
        for seen in runner.seen
    ]


@pytest.mark.parametrize(
    'path, key, status',
    [
        ('/safe/x?q=1', 'k1', 200),
        ('/safe/x', 'k9', 401),
        ('/safe/x', '', 401),
        ('/open/x', '', 200),
        ('/none/x', 'k1', 404),
        ('/safe', 'k1', 404),
    ],
)
async def test_routing_and_api_keys(node, runners, client, path, key, status):
    """The longest prefix selects the route; only some require a key."""
    got = await conftest.send_request(client, node, path, key=key)
    assert got.status == status
    runs = _received_requests(runners, 'p-')
    assert len(runs) == (status == 200)
    for seen in runs:
        assert seen.target == path
        assert seen.headers.get('tenant', '') == ('t1' if key else '')


@pytest.mark.parametrize(
    'kind, answer_mode, status, runs',
    [
        ('safe', 'error', 500, 2),
        ('safe', 'reset', 502, 2),
        ('safe', 'truncated', 502, 2),
        ('safe', 'other_id', 502, 2),
        ('unsafe', 'error', 500, 1),
        ('unsafe', 'reset', 502, 1),
        ('unsafe', 'truncated', 502, 1),
        ('unsafe', 'other_id', 502, 1),
        ('unsafe', 'unframed_reset', 502, 1),
        ('unsafe', 'unframed', 200, 1),
        ('unsafe', 'interim', 200, 1),
        ('unsafe', 'whole', 200, 1),
    ],
)
async def test_request_that_may_have_run_is_not_reported_as_not_run(
    node, runners, client, kind, answer_mode, status, runs
):
    """An unsafe request that may have been executed is never sent again.

    Nor is the client told that it was not executed.
    """
    for name in ('p-1', 'p-2'):
        runners[name].faults.answer = answer_mode
    got = await conftest.send_request(
        client, node, f'/{kind}/x', method='POST'
    )
    assert got.status == status
    assert len(_received_requests(runners, 'p-')) == runs
    if status == 200:
        assert got.body in [runner.body for runner in runners.values()]


async def test_timed_out_stream_is_not_reported_as_not_run(
    node, store, runners, client
):
    """A request that was sent and timed out gets 504, never 503."""
    for runner in runners.values():
        runner.faults.answer = 'hang'
    short = conftest.configuration(version=9)
    for one in short['routes']:
        one['timeoutMs'] = 100
    store.put('op', 'config', short)
    await conftest.until(
        lambda: node.dump()['configuration'] == 9, 'version 9'
    )
    got = await conftest.send_request(client, node, '/stream/x', **STREAM)
    assert len(_received_requests(runners, 'e-')) == 1
    assert got.status == 504


async def test_refused_request_gets_503_with_retry_after(
    node, runners, client
):
    """A request that all runners refused gets 503 with Retry-After."""
    for name in ('p-1', 'p-2'):
        runners[name].faults.answer = 'not_run'
    got = await conftest.send_request(client, node, '/unsafe/x', method='POST')
    assert got.status == 503
    assert 0 < float(got.headers['Retry-After']) <= 4.0 / 3
    assert 'Server-Stamp' not in got.headers


async def test_unsafe_request_is_retried_after_a_refusal(
    node, runners, client
):
    """An unsafe request that one runner refused is sent to another."""
    runners['p-1'].faults.answer = 'not_run'
    for number in range(4):
        got = await conftest.send_request(
            client,
            node,
            '/unsafe/x',
            method='POST',
            request_id=f'r-{number}',
        )
        assert (got.status, got.body) == (200, runners['p-2'].body)


async def test_body_limits(node, runners, client):
    """A body over the configured limit gets 413 and is not forwarded."""
    got = await conftest.send_request(
        client, node, '/safe/x', method='POST', body=b'x' * 1001
    )
    assert got.status == 413
    got = await conftest.send_request(
        client, node, '/safe/x', method='POST', body=b'x' * 1000
    )
    assert got.status == 200
    assert [seen.body for seen in _received_requests(runners, 'p-')] == [
        b'x' * 1000
    ]


def _complete_stream(runner_events=5):
    return b''.join(
        runner_standin.event(number) for number in range(1, runner_events + 1)
    )


@pytest.mark.parametrize('after', [None, 2])
async def test_stream_is_forwarded(node, runners, client, after):
    """The client gets all events after its last one, in order."""
    more = dict(STREAM)
    if after:
        more['Last_Event_Id'] = str(after)
    got = await conftest.send_request(client, node, '/stream/x', **more)
    assert got.status == 200
    assert got.is_whole
    assert got.body == b''.join(
        runner_standin.event(number) for number in range((after or 0) + 1, 6)
    )
    (seen,) = _received_requests(runners, 'e-')
    assert seen.headers['model'] == 'm0'


@pytest.mark.parametrize('end', ['reset', 'torn', 'silent'])
async def test_interrupted_stream_is_resumed_by_another_group(
    node, runners, client, end
):
    """An interrupted stream is resumed without lost or repeated events."""
    heads = conftest.open_heads(runners)
    for head in heads:
        head.faults.events = 2
        head.faults.stream_end = end
    response_task = asyncio.ensure_future(
        conftest.send_request(client, node, '/stream/x', **STREAM)
    )
    await conftest.until(
        lambda: _received_requests(runners, 'e-'), 'first run'
    )
    first = next(head for head in heads if head.seen)
    for head in heads:
        if head is not first:
            head.faults.stream_end = 'whole'
    got = await response_task
    assert got.is_whole
    assert got.body == _complete_stream()
    assert got.headers['Server-Stamp'] == f'stamp-{first.name}'


async def test_stream_that_cannot_be_resumed_is_truncated(
    node, runners, client
):
    """A stream that can't be resumed must not look complete."""
    for head in conftest.open_heads(runners):
        head.faults.events = 1
        head.faults.stream_end = 'reset'
    got = await conftest.send_request(client, node, '/stream/x', **STREAM)
    assert got.status == 200
    assert not got.is_whole


@pytest.mark.parametrize('path', ['/safe/x', '/stream/x'])
async def test_client_disconnect_cancels_the_request(
    node, runners, client, path
):
    """When a client disconnects, the connection to the runner is closed."""
    for runner in runners.values():
        runner.faults.answer = 'hang'
    response_task = asyncio.ensure_future(
        conftest.send_request(client, node, path, **STREAM)
    )
    await conftest.until(
        lambda: any(runner.seen for runner in runners.values()), 'run'
    )
    response_task.cancel()
    await conftest.until(
        lambda: all(
            seen.cancelled
            for runner in runners.values()
            for seen in runner.seen
        ),
        'cancelled',
    )


@pytest.mark.parametrize('answer_mode', ['unnamed_refusal', 'refusal_again'])
@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x', '/once/x'])
async def test_request_that_runs_despite_a_refusal_is_not_denied_or_repeated(
    node, runners, client, path, answer_mode
):
    """A refusal that can't be that of this attempt proves nothing."""
    for runner in runners.values():
        runner.faults.answer = answer_mode
    got = await conftest.send_request(client, node, path, **STREAM)
    ran = [one for runner in runners.values() for one in runner.ran]
    assert got.status != 503 or not ran
    assert path == '/safe/x' or len(ran) <= 1
    if answer_mode == 'refusal_again':
        # It is sent to no connection on which a copy may arrive.
        assert (got.status, ran) == (200, [])


@pytest.mark.parametrize(
    'path, answer_mode, runs',
    [
        ('/once/x', 'error', 1),
        ('/once/x', 'error_truncated', 1),
        ('/once/x', 'endless_error', 1),
        ('/once/x', 'reset', 1),
        ('/stream/x', 'error_truncated', 2),
    ],
)
async def test_stream_that_may_have_run_is_not_run_again(
    node, runners, client, path, answer_mode, runs
):
    """A failure counts as a run even if its body cannot be read."""
    for runner in runners.values():
        runner.faults.answer = answer_mode
    got = await conftest.send_request(client, node, path, **STREAM)
    assert got.status in (500, 502)
    assert len(_received_requests(runners, 'e-')) == runs


# Bytes that a runner can send before the node closes the connection: the
# longest body that is read, and what the sockets hold.
ENDLESS_BYTES_MAX = 16 << 20


@pytest.mark.parametrize(
    'path, answer_mode, statuses',
    [
        ('/safe/x', 'endless_head', (502,)),
        ('/safe/x', 'endless_field', (502,)),
        ('/safe/x', 'endless_fields', (502,)),
        ('/safe/x', 'endless_interim', (502, 504)),
        ('/safe/x', 'endless_body', (502, 504)),
        ('/safe/x', 'endless_refusal', (503,)),
        ('/safe/x', 'endless_error', (502, 504)),
        ('/unsafe/x', 'endless_head', (502,)),
        ('/unsafe/x', 'endless_field', (502,)),
        ('/unsafe/x', 'endless_fields', (502,)),
        ('/unsafe/x', 'endless_interim', (502, 504)),
        ('/unsafe/x', 'endless_body', (502, 504)),
        ('/unsafe/x', 'endless_refusal', (503,)),
        ('/unsafe/x', 'endless_error', (502, 504)),
        ('/stream/x', 'endless_head', (502,)),
        ('/stream/x', 'endless_interim', (502, 504)),
        ('/stream/x', 'endless_body', (502, 504)),
        ('/once/x', 'endless_body', (502,)),
        ('/stream/x', 'endless_refusal', (503,)),
        ('/stream/x', 'endless_error', (502, 504)),
    ],
)
async def test_answer_without_end_is_cut_off(
    node, runners, client, path, answer_mode, statuses
):
    """Bytes without end cost neither the node's memory nor a false 503."""
    for runner in runners.values():
        runner.faults.answer = answer_mode
    got = await conftest.send_request(client, node, path, **STREAM)
    assert got.status in statuses
    received = _received_requests(runners, '')
    assert received
    await conftest.until(
        lambda: all(seen.cancelled for seen in received), 'closed'
    )
    assert max(seen.sent_bytes for seen in received) <= ENDLESS_BYTES_MAX


@pytest.mark.parametrize(
    'path, is_whole', [('/stream/x', True), ('/once/x', False)]
)
async def test_stream_that_only_drips_ends(
    node, runners, client, path, is_whole
):
    """Bytes without an event are no progress: it is resumed, or ends."""
    whole = b''.join(runner_standin.event(n) for n in range(1, 6))
    for runner in runners.values():
        runner.faults.events = 2
        runner.faults.stream_end = 'drip'

    async def heal():
        await conftest.until(lambda: _received_requests(runners, 'e-'), 'run')
        for runner in runners.values():
            if not runner.seen:
                runner.faults.stream_end = 'whole'

    healing = asyncio.ensure_future(heal())
    got = await conftest.send_request(client, node, path, **STREAM)
    await healing
    assert (got.status, got.is_whole) == (200, is_whole)
    assert whole.startswith(got.body)
    assert (got.body == whole) == is_whole


@pytest.mark.parametrize('path', ['/stream/x', '/once/x'])
async def test_slow_but_sound_stream_is_complete(node, runners, client, path):
    """Every group takes more than twice the pause that clients are promised.

    It may be moved while another run is allowed, but is not cut off.
    """
    for runner in runners.values():
        runner.faults.event_s = 0.7
    got = await conftest.send_request(
        client, node, path, **STREAM, Deadline_Ms='6000'
    )
    assert (got.status, got.is_whole) == (200, True)
    assert got.body == b''.join(runner_standin.event(n) for n in range(1, 6))


async def _leave_when(response_task, check) -> None:
    """Closes a client's connection once a condition holds."""
    await conftest.until(check, 'moment to leave')
    response_task.cancel()


async def test_client_that_leaves_mid_stream_ends_the_run(
    node, runners, client
):
    """A stream that has begun ends at the runner with its client."""
    for runner in runners.values():
        runner.faults.events = 2
        runner.faults.stream_end = 'silent'
    response_task = asyncio.ensure_future(
        conftest.send_request(client, node, '/once/x', **STREAM)
    )
    await conftest.until(lambda: _received_requests(runners, 'e-'), 'run')
    await asyncio.sleep(0.1)
    response_task.cancel()
    await conftest.until(
        lambda: all(
            seen.cancelled for seen in _received_requests(runners, 'e-')
        ),
        'run ended',
    )


async def test_queued_request_is_dropped_when_its_client_leaves(
    node, runners, client
):
    """A request that waits for capacity is not sent after its client left."""
    for runner in runners.values():
        runner.faults.answer = 'hang'
    capacity = 2 * (4 + traffic.MAX_QUEUED_PER_GROUP)
    running = [
        asyncio.ensure_future(
            conftest.send_request(
                client, node, '/stream/x', request_id=f'r-{n}', **STREAM
            )
        )
        for n in range(capacity)
    ]
    await conftest.until(
        lambda: len(_received_requests(runners, 'e-')) == capacity, 'all full'
    )
    waiting = asyncio.ensure_future(
        conftest.send_request(
            client, node, '/stream/x', request_id='late', **STREAM
        )
    )
    await _leave_when(
        waiting, lambda: sum(node.dump()['queues'].values()) == 1
    )
    await conftest.until(
        lambda: sum(node.dump()['queues'].values()) == 0, 'dropped'
    )
    for task in running:
        task.cancel()
    await conftest.until(
        lambda: node.dump()['in_progress'] == 0, 'all have ended'
    )
    ids = {
        seen.headers['request-id']
        for seen in _received_requests(runners, 'e-')
    }
    assert 'late' not in ids
    assert sum(node.dump()['loads'].values()) == 0


async def test_client_that_leaves_between_attempts_gets_no_further_run(
    node, runners, client
):
    """No further attempt is made once the client has left."""
    for runner in runners.values():
        runner.faults.answer = 'endless_refusal'
    response_task = asyncio.ensure_future(
        conftest.send_request(client, node, '/stream/x', **STREAM)
    )
    await _leave_when(response_task, lambda: _received_requests(runners, 'e-'))
    await conftest.until(lambda: node.dump()['in_progress'] == 0, 'ended')
    count = len(_received_requests(runners, 'e-'))
    await asyncio.sleep(0.5)
    assert len(_received_requests(runners, 'e-')) == count


async def test_node_without_a_configuration_answers_503(store, client):
    """Without a configuration a node answers 503 and is not ready."""
    store.put('op', 'config', None)
    async with conftest.running(
        conftest.settings('n1', store.address)
    ) as node:
        got = await conftest.send_request(client, node, '/safe/x')
        assert got.status == 503
        assert not node.is_ready()


async def test_only_newer_configurations_are_applied(
    node, store, runners, client
):
    """A newer version is applied; older and invalid ones are ignored."""
    newer = conftest.configuration(version=9)
    newer['routes'] = newer['routes'][1:]
    store.put('op', 'config', newer)
    await conftest.until(
        lambda: node.dump()['configuration'] == 9, 'version 9'
    )
    assert (await conftest.send_request(client, node, '/safe/x')).status == 404
    for value in (conftest.configuration(version=4), b'unreadable'):
        store.put('op', 'config', value)
        version = store.version
        await conftest.until(
            lambda version=version: node.table_version('op') >= version,
            'row seen',
        )
    assert (await conftest.send_request(client, node, '/safe/x')).status == 404
    assert node.dump()['configuration'] == 9


async def test_draining_runner_gets_no_new_requests(
    node, store, runners, client
):
    """A draining runner gets no new requests."""
    runners['p-1'].write_entry('draining')
    version = store.version
    await conftest.until(
        lambda: node.table_version('servers') >= version, 'entry seen'
    )
    for number in range(4):
        got = await conftest.send_request(client, node, '/safe/x')
        assert got.body == runners['p-2'].body
    assert not runners['p-1'].seen


async def test_group_is_formed_again_after_losing_a_member(
    node, store, runners
):
    """A lost member is replaced in a new group with a higher epoch.

    A surviving member that joins again must leave its old group first.
    """
    head = conftest.open_heads(runners)[0]
    before = head.group['epoch']
    member = next(
        runner
        for runner in runners.values()
        if runner is not head
        and runner.group
        and runner.group['epoch'] == before
    )
    await member.stop()
    store.put('servers', member.name, None)
    await conftest.until(
        lambda: any(
            one.domain == head.domain and one.group['epoch'] > before
            for one in conftest.open_heads(runners)
        ),
        'new group',
    )
    ops = [order['op'] for order in head.orders]
    if ops.count('join') > 1:
        assert 'leave' in ops[: len(ops) - 1 - ops[::-1].index('join')]


async def test_restarted_node_adopts_open_groups(node, store, runners):
    """A restarted node adopts the open groups and sends no orders."""
    epochs = [head.group['epoch'] for head in conftest.open_heads(runners)]
    await node.close()
    orders = [len(runner.orders) for runner in runners.values()]
    again = edge.EdgeNode(conftest.settings('n1', store.address))
    await again.start()
    try:
        await conftest.until(
            lambda: again.dump()['groups'].get('llm', {}).get('groups'),
            'adopted',
        )
        assert [
            head.group['epoch'] for head in conftest.open_heads(runners)
        ] == epochs
        assert [len(runner.orders) for runner in runners.values()] == orders
    finally:
        await again.close()


async def _open_connection(node, requests: int):
    """Opens a connection and sends that many requests over it."""
    host, _, port = node.addresses['caller'].rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    for number in range(requests):
        head = f'GET /open/x HTTP/1.1\r\nHost: {conftest.HOST}\r\n'
        writer.write(f'{head}Request-Id: r-{number}\r\n\r\n'.encode())
        answer = await reader.readuntil(b'\r\n\r\n')
        size = int(re.search(rb'Content-Length: (\d+)', answer)[1])
        await reader.readexactly(size)
    return reader, writer


@pytest.mark.parametrize('requests', [0, 1, 3])
async def test_idle_connections_do_not_swallow_requests_of_a_stopping_node(
    node, runners, client, requests
):
    """They are closed with the listener; a running answer is completed."""
    for head in conftest.open_heads(runners):
        head.events = 60
    running = asyncio.ensure_future(
        conftest.send_request(client, node, '/stream/x', **STREAM)
    )
    await conftest.until(lambda: _received_requests(runners, 'e-'), 'run')
    reader, writer = await _open_connection(node, requests)
    await node._ingress.stop_accepting()
    async with asyncio.timeout(conftest.WAIT_S):
        assert await reader.read() == b''
    writer.close()
    got = await running
    assert got.is_whole
    assert got.body == _complete_stream(60)


async def test_node_serves_although_rows_of_the_store_are_unreadable(
    store, runners, client
):
    """Unreadable rows of each table neither end the node nor its tasks."""
    for garbage in (b'', b'\xff\xfe', b'[]', b'{"txn": 1, "value": [2]}'):
        for key in ('leader', 'quarantine', 'x'):
            store.put('plantainway', key, garbage)
        store.put('servers', 'x', garbage)
        store.put('op', 'x', garbage)
    async with conftest.running(
        conftest.settings('n1', store.address)
    ) as node:
        await conftest.until(
            lambda: node.open_head_count('llm', 'm0') == 2, 'heads seen'
        )
        store.put('plantainway', 'leader', b'[]')
        for path in ('/safe/x', '/stream/x'):
            got = await conftest.send_request(client, node, path, **STREAM)
            assert got.status == 200
        version = node.dump()['term']
        await conftest.until(
            lambda: node.dump()['leads'] and node.dump()['term'] > version,
            'leads again',
        )


async def test_leader_stops_leading_once_its_vm_was_suspended(
    node, monkeypatch
):
    """The monotonic clock of the operating system did not go on meanwhile."""
    assert node.dump()['leads']
    read = time.clock_gettime
    monkeypatch.setattr(
        time,
        'clock_gettime',
        lambda clock: (
            read(clock) + SUSPENDED_S * (clock == time.CLOCK_BOOTTIME)
        ),
    )
    assert not node.dump()['leads']


async def test_task_of_a_node_runs_again_after_an_unexpected_error(node):
    """Its error ends neither the process nor the work of the task."""
    calls = []

    async def run():
        calls.append(1)
        if len(calls) == 1:
            raise RuntimeError('unexpected')
        await asyncio.sleep(60)

    task = asyncio.ensure_future(node._run_until_cancelled(run))
    await conftest.until(lambda: len(calls) == 2, 'second run')
    task.cancel()

"""Tests of two node processes, one of which is killed or stopped."""

import asyncio
import contextlib
import json
import os
import re
import signal

import pytest

from tests.platform import conftest
from tests.platform import processes
from tests.platform import runner_standin
from tests.soak import proxy

STOP_S = 4.0  # from SIGTERM to SIGKILL
STREAM = {'Model': 'm0', 'Token_Count': '10,10', 'method': 'POST'}


@pytest.fixture
async def pair(store, runners, tmp_path):
    """Two running node processes, with both groups open."""
    found = [
        processes.Process(
            conftest.settings(name, store.address, directory_ttl_s=2.0),
            tmp_path / f'{name}.json',
        )
        for name in ('n1', 'n2')
    ]
    for process in found:
        await process.start()
    await conftest.until(
        lambda: len(conftest.open_heads(runners)) == 2, 'groups'
    )
    yield found
    for process in found:
        await process.stop()


async def _fetch_directory(client, process):
    address = process.addresses['directory']
    url = f'http://{address}/plantainway/resolution?name=h&zone=a'
    async with client.get(url) as resp:
        return resp.status, await resp.json()


async def _readiness_status(client, process) -> int:
    address = process.addresses['readiness']
    async with client.get(f'http://{address}/plantainway/readyz') as resp:
        return resp.status


async def _wait_for_listed_nodes(client, process, count: int) -> list[str]:
    """Waits until the directory lists ``count`` nodes; returns them."""
    async with asyncio.timeout(conftest.WAIT_S):
        while True:
            _status, body = await _fetch_directory(client, process)
            if len(body['addresses']) == count:
                return body['addresses']
            await asyncio.sleep(0.02)


async def _request_until_served(client, process) -> None:
    """Retries a stream until it is served, which must be complete."""
    whole = b''.join(runner_standin.event(n) for n in range(1, 6))
    async with asyncio.timeout(conftest.WAIT_S):
        while True:
            got = await conftest.send_request(
                client, process, '/stream/x', **STREAM
            )
            if got.status == 200:
                assert got.is_whole
                assert got.body == whole
                return
            assert got.status == 503
            await asyncio.sleep(0.02)


async def test_killed_node_is_replaced(pair, client, store):
    """The other node takes the lead, is the only one listed, and serves."""
    for process in pair:
        await _wait_for_listed_nodes(client, process, 2)
        await _request_until_served(client, process)
    leader, other = sorted(
        pair, key=lambda one: not one.has_logged('leadership_taken')
    )
    assert await leader.stop() == -signal.SIGKILL
    await conftest.until(
        lambda: other.has_logged('leadership_taken'), 'leader'
    )
    assert await _wait_for_listed_nodes(client, other, 1) == [
        other.addresses['caller']
    ]
    await _request_until_served(client, other)
    term = json.loads(store.rows[('plantainway', '', 'leader')][0])['value'][
        'term'
    ]
    told = [
        line
        for process in (leader, other)
        for line in process.lines
        if re.search('event=(leader|lease|loop_late|store)', line)
    ]
    assert term == 2, ''.join(told)


async def test_stopped_node_leaves_gracefully(pair, client):
    """A node that gets SIGTERM leaves without failing requests.

    It is no longer ready nor listed in the directory at once, still serves
    requests, and exits with status 0.
    """
    first, second = pair
    for process in pair:
        await _wait_for_listed_nodes(client, process, 2)
    first.proc.send_signal(signal.SIGTERM)
    await conftest.until(lambda: first.has_logged('node_leaving'), 'leaving')
    assert await _readiness_status(client, first) == 503
    assert await _wait_for_listed_nodes(client, second, 1) == [
        second.addresses['caller']
    ]
    got = await conftest.send_request(client, first, '/open/x', key='')
    assert got.status == 200
    assert got.headers['Connection'] == 'close'
    assert await first.proc.wait() == 0
    assert first.has_logged('node_stopped')


@contextlib.asynccontextmanager
async def _silent_peer(_leaving, other, _link, _runners):
    other.proc.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        other.proc.send_signal(signal.SIGCONT)


@contextlib.asynccontextmanager
async def _silent_store(_leaving, _other, link, _runners):
    link.set_mode(proxy.Mode.SILENT)
    yield


@contextlib.asynccontextmanager
async def _half_read_requests(leaving, _other, _link, _runners):
    async with contextlib.AsyncExitStack() as stack:
        for address in leaving.addresses.values():
            host, _, port = address.rpartition(':')
            _reader, writer = await asyncio.open_connection(host, int(port))
            stack.callback(writer.close)
            writer.write(
                b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx'
            )
        yield


@contextlib.asynccontextmanager
async def _unanswered_request(leaving, _other, _link, runners):
    for runner in runners.values():
        runner.faults.answer = 'hang'
    host, _, port = leaving.addresses['caller'].rpartition(':')
    _reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b'GET /open/x HTTP/1.1\r\nHost: h.example\r\n'
        b'Deadline-Ms: 60000\r\n\r\n'
    )
    await conftest.until(
        lambda: any(runner.seen for runner in runners.values()), 'sent'
    )
    try:
        yield
    finally:
        writer.close()


@pytest.mark.parametrize('leads', [True, False])
@pytest.mark.parametrize(
    'obstacle',
    [_silent_peer, _silent_store, _half_read_requests, _unanswered_request],
)
async def test_node_exits_before_it_is_killed(
    store, runners, tmp_path, obstacle, leads
):
    """It exits with status 0, which it does not once its time has run out."""
    link = proxy.Proxy(store.address)
    address = await link.start()
    nodes = [
        processes.Process(
            conftest.settings(name, address, stop_s=STOP_S),
            tmp_path / f'{name}.json',
        )
        for name in ('n1', 'n2')
    ]
    try:
        for node in nodes:
            await node.start()
        await conftest.until(
            lambda: any(node.has_logged('leader_linked') for node in nodes),
            'link',
        )
        nodes.sort(key=lambda one: leads ^ one.has_logged('leadership_taken'))
        leaving, other = nodes
        await conftest.until(
            lambda: len(conftest.open_heads(runners)) == 2, 'groups'
        )
        async with obstacle(leaving, other, link, runners):
            leaving.proc.send_signal(signal.SIGTERM)
            async with asyncio.timeout(conftest.WAIT_S):
                status = await leaving.proc.wait()
            assert status == 0
            assert leaving.has_logged('process_ending')
    finally:
        for node in nodes:
            await node.stop()
        await link.stop()


async def test_sighup_during_the_start_does_not_end_the_node(store, tmp_path):
    """A node that is told to reload before it has read its settings starts."""
    process = processes.Process(
        conftest.settings('n1', store.address), tmp_path / 'n1.json'
    )
    text = (tmp_path / 'n1.json').read_text()
    (tmp_path / 'n1.json').unlink()
    os.mkfifo(tmp_path / 'n1.json')
    start = asyncio.ensure_future(process.start())
    # Opening succeeds once the process has opened its end to read.
    loop = asyncio.get_running_loop()
    pipe = await loop.run_in_executor(
        None, os.open, tmp_path / 'n1.json', os.O_WRONLY
    )
    process.proc.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.1)
    with contextlib.suppress(BrokenPipeError):
        os.write(pipe, text.encode())
    os.close(pipe)
    try:
        await start
        assert process.proc.returncode is None
    finally:
        await process.stop()


@pytest.mark.parametrize('pause_s', [0.0, 0.5])
@pytest.mark.parametrize(
    'signals',
    [
        (signal.SIGTERM, signal.SIGTERM),
        (signal.SIGTERM, signal.SIGINT),
        (signal.SIGINT, signal.SIGTERM),
        (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
    ],
)
async def test_further_signal_does_not_cut_a_planned_stop_short(
    pair, client, runners, signals, pause_s
):
    """Guards against requests that a second signal cuts off (LOST)."""
    first, _second = pair
    await _request_until_served(client, first.addresses['caller'])
    for runner in runners.values():
        runner.seen.clear()
        runner.faults.event_s = 0.2
    task = asyncio.ensure_future(
        conftest.send_request(
            client,
            first.addresses['caller'],
            '/stream/x',
            'POST',
            Model='m0',
            Token_Count='10,10',
        )
    )
    await conftest.until(
        lambda: any(runner.seen for runner in runners.values()), 'sent'
    )
    for number in signals:
        first.proc.send_signal(number)
        await asyncio.sleep(pause_s)
    got = await task
    assert (got.status, got.is_whole) == (200, True)
    assert await first.proc.wait() == 0


async def test_sigterm_during_the_start_ends_the_process(store, tmp_path):
    """A signal that comes before the node runs is not ignored."""
    process = processes.Process(
        conftest.settings('n1', store.address), tmp_path / 'n1.json'
    )
    start = asyncio.ensure_future(process.start())
    await asyncio.sleep(0.2)
    process.proc.send_signal(signal.SIGTERM)
    async with asyncio.timeout(conftest.WAIT_S):
        await process.proc.wait()
    with contextlib.suppress(AssertionError):
        await start

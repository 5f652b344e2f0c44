"""Tests of requests that a node takes shortly before it has to end."""

import asyncio

import aiohttp
import pytest

from plantainway import traffic
from tests.platform import conftest

STOP_S = 1.6  # between SIGTERM and SIGKILL
LONG_EVENT_S = 0.2
LONG_S = 5 * LONG_EVENT_S  # of a stream


@pytest.fixture
async def short_node(store, runners):
    """A node that has little time to stop."""
    cfg = conftest.settings('n1', store.address, stop_s=STOP_S)
    async with conftest.running(cfg) as node:
        await conftest.until(node.is_ready, 'ready')
        await conftest.until(
            lambda: node.open_head_count('llm', 'm0') == 2, 'heads seen'
        )
        yield node


@pytest.mark.parametrize('late_s', [0.0, 0.2])
@pytest.mark.parametrize(
    'path, status',
    [('/safe/x', 504), ('/unsafe/x', 504), ('/stream/x', 504)],
)
async def test_request_at_a_silent_runner_is_answered_before_the_node_ends(
    short_node, runners, client, path, status, late_s
):
    """Whether it came before SIGTERM or in the time in which clients leave."""
    for runner in runners.values():
        runner.faults.answer = 'hang'
    loop = asyncio.get_running_loop()
    stop_at = loop.time() + STOP_S

    async def send():
        await asyncio.sleep(late_s)
        return await conftest.send_request(
            client,
            short_node,
            path,
            'POST',
            Model='m0',
            Token_Count='10,10',
            Deadline_Ms='8000',
        )

    task = asyncio.ensure_future(send())
    await asyncio.sleep(0.05)
    await short_node.stop()
    assert loop.time() < stop_at
    got = await task
    assert (got.status, got.is_whole) == (status, True)
    if path == '/unsafe/x':
        assert sum(len(runner.seen) for runner in runners.values()) == 1


async def test_stream_that_has_begun_is_not_complete_when_the_node_ends(
    short_node, runners, client
):
    """Its client resumes it elsewhere."""
    for runner in runners.values():
        runner.faults.stream_end, runner.faults.events = 'silent', 2
    task = asyncio.ensure_future(
        conftest.send_request(
            client,
            short_node,
            '/once/x',
            'POST',
            Model='m0',
            Token_Count='10,10',
            Deadline_Ms='8000',
        )
    )
    await asyncio.sleep(0.1)
    await short_node.stop()
    got = await task
    assert (got.status, got.is_whole) == (200, False)
    assert got.body.count(b'data') == 2


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x', '/stream/x'])
async def test_request_that_can_not_end_before_the_node_is_refused(
    short_node, runners, client, path
):
    """It is not sent, and the connection is closed."""
    task = asyncio.ensure_future(short_node.stop())
    await asyncio.sleep(0.4)
    try:
        got = await conftest.send_request(
            client,
            short_node,
            path,
            'POST',
            Model='m0',
            Token_Count='10,10',
            Deadline_Ms='8000',
        )
        assert (got.status, got.is_whole) == (503, True)
        assert float(got.headers['Retry-After']) > 0
        assert got.headers['Connection'] == 'close'
    except aiohttp.ClientConnectionError:
        pytest.fail('the node accepts no requests any more')
    assert not any(runner.seen for runner in runners.values())
    await task


@pytest.mark.parametrize('late_s', [-0.4, 0.2])
@pytest.mark.parametrize('streams', [2, 30])
@pytest.mark.parametrize('has_seen', [True, False])
async def test_stream_that_would_outlast_the_node_is_not_started(
    short_node, runners, client, late_s, streams, has_seen
):
    """Guards against streams that are cut off when the node ends (LOST)."""
    for runner in runners.values():
        runner.faults.event_s = LONG_EVENT_S
    learned = asyncio.ensure_future(_send_streams(short_node, client, 2, 'l'))
    await asyncio.sleep(LONG_S * (1.1 if has_seen else 0.8))
    stop_at = asyncio.get_running_loop().time() + max(-late_s, 0.0)
    before = asyncio.ensure_future(
        _send_streams(short_node, client, streams if late_s < 0 else 0, 'b')
    )
    await asyncio.sleep(max(-late_s, 0.0))
    stopping = asyncio.ensure_future(short_node.stop())
    await asyncio.sleep(max(late_s, 0.0))
    after = await _send_streams(
        short_node, client, streams if late_s > 0 else 0, 'a'
    )
    answers = await learned + await before + after
    await stopping
    assert all(got.is_whole for _id, got in answers)
    started = {
        seen.headers['request-id']: seen.at
        for runner in runners.values()
        for seen in runner.seen
    }
    for request_id, got in answers:
        assert got.status == (200 if request_id in started else 503)
        assert started.get(request_id, 0.0) < stop_at + STOP_S - LONG_S


async def _send_streams(node, client, count, name, path='/stream/x'):
    """Sends streams at once; returns their ids with their responses."""
    ids = [f'{name}-{number}' for number in range(count)]
    answers = await asyncio.gather(
        *(
            conftest.send_request(
                client,
                node,
                path,
                'POST',
                request_id=request_id,
                Model='m0',
                Token_Count='10,10',
                Deadline_Ms='8000',
            )
            for request_id in ids
        )
    )
    return list(zip(ids, answers))


async def test_waiting_stream_is_refused_before_the_node_ends(
    short_node, runners, client
):
    """It is not held until then if its turn does not come in time."""
    for runner in runners.values():
        runner.faults.event_s = LONG_EVENT_S
    # Two at one head would have it ejected, as their events are slow.
    await _send_streams(short_node, client, 1, 'learned')
    for runner in runners.values():
        runner.seen.clear()
        runner.faults.answer = 'hang'
    capacity = 2 * (4 + traffic.MAX_QUEUED_PER_GROUP)
    running = asyncio.ensure_future(
        _send_streams(short_node, client, capacity, 'r', '/once/x')
    )
    await conftest.until(
        lambda: sum(len(one.seen) for one in runners.values()) == capacity,
        'all full',
    )
    waiting = asyncio.ensure_future(
        _send_streams(short_node, client, 1, 'w', '/once/x')
    )
    await conftest.until(
        lambda: sum(short_node.dump()['queues'].values()) == 1, 'waiting'
    )
    await short_node.stop()
    assert {got.status for _id, got in await running} == {504}
    assert {got.status for _id, got in await waiting} == {503}

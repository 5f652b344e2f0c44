"""Tests of how ended requests are logged and counted."""

import asyncio

import pytest

from tests.platform import conftest


@pytest.fixture
def events(monkeypatch):
    """Keywords of all ``request_ended`` lines, by request."""
    found = {}

    def event(name, _level='INFO', **values):
        if name == 'request_ended':
            found.setdefault(values['request'], []).append(values)

    monkeypatch.setattr('plantainway.logs.event', event)
    return found


@pytest.mark.parametrize(
    'path, stream_end, deadline_ms, end, reason',
    [
        ('/stream/x', 'whole', 4000, 'served', ''),
        ('/once/x', 'reset', 4000, 'aborted', 'response body truncated'),
        ('/once/x', 'silent', 400, 'aborted', 'deadline passed'),
        ('/stream/x', 'silent', 400, 'aborted', 'deadline passed'),
    ],
)
async def test_cut_answer_is_not_counted_as_served(
    node, runners, client, events, path, stream_end, deadline_ms, end, reason
):
    """Guards against logs that hide answers that were cut off."""
    for runner in runners.values():
        runner.faults.stream_end, runner.faults.events = stream_end, 2
    got = await conftest.send_request(
        client,
        node,
        path,
        'POST',
        Model='m0',
        Token_Count='10,10',
        Deadline_Ms=str(deadline_ms),
    )
    assert got.is_whole == (end == 'served')
    (line,) = events['r-1']
    assert (line['end'], line['begun']) == (end, True)
    assert line['reason'].startswith(reason)
    assert node.outcomes.end_counts[('stream', end)] == 1


async def test_answer_that_the_end_of_the_node_cuts_is_logged(
    store, runners, client, events
):
    """It names the stop; a client that left is told apart."""
    for runner in runners.values():
        runner.faults.stream_end, runner.faults.events = 'silent', 2
    cfg = conftest.settings('n1', store.address, stop_s=1.2)
    async with conftest.running(cfg) as node:
        await conftest.until(node.is_ready, 'ready')
        await conftest.until(
            lambda: node.open_head_count('llm', 'm0') == 2, 'heads seen'
        )
        tasks = [
            asyncio.ensure_future(
                conftest.send_request(
                    client,
                    node,
                    '/once/x',
                    'POST',
                    request_id=name,
                    Model='m0',
                    Token_Count='10,10',
                )
            )
            for name in ('cut', 'left')
        ]
        await asyncio.sleep(0.2)
        tasks[1].cancel()
        await asyncio.sleep(0.1)
        await node.stop()
        got = await tasks[0]
    assert not got.is_whole
    (cut,), (left,) = events['cut'], events['left']
    assert (cut['end'], cut['reason']) == ('aborted', 'node ends')
    assert (cut['stopping'], left['stopping']) == (True, False)
    assert left['end'] == 'cancelled'

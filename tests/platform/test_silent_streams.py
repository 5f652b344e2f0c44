"""Tests of streams that fall silent, or seem to, and go on."""

import asyncio
import signal

import pytest

from plantainway import traffic
from plantainway.traffic import _attempts
from tests.platform import conftest
from tests.platform import processes
from tests.platform import runner_standin

SILENCE_S = 1.2
PREFILL_S = 0.08  # of one prompt
EVENTS = 5
WHOLE = b''.join(runner_standin.event(n) for n in range(1, EVENTS + 1))
HEADERS = {'Model': 'm0', 'Token_Count': '10,10', 'Deadline_Ms': '8000'}


def send(client, node, number=0, path='/stream/x'):
    """Begins to send one stream; returns its task."""
    return asyncio.ensure_future(
        conftest.send_request(
            client, node, path, 'POST', request_id=f's-{number}', **HEADERS
        )
    )


async def until_begun(runners, count=1) -> None:
    """Waits until the runners have got so many requests."""
    await conftest.until(
        lambda: sum(len(one.seen) for one in runners.values()) >= count,
        'begun',
    )
    await asyncio.sleep(0.05)


def refuse_all(runners) -> None:
    """Makes the runners refuse further requests as not run."""
    for runner in runners.values():
        runner.faults.answer = 'not_run'


def hang_all(runners) -> None:
    """Makes the runners leave further requests without an answer."""
    for runner in runners.values():
        runner.faults.answer = 'hang'


@pytest.mark.parametrize(
    'others', [refuse_all, hang_all, None], ids=['full', 'hang', 'free']
)
async def test_silent_stream_goes_on_at_its_runner_or_another(
    node, runners, client, others
):
    """Guards against begun answers that end for a silence (LOST)."""
    for runner in runners.values():
        runner.faults.silence_s = SILENCE_S
    task = send(client, node)
    await until_begun(runners)
    for runner in runners.values():
        runner.faults.silence_s = 0.0
    if others is not None:
        others(runners)
    got = await task
    assert (got.status, got.body, got.is_whole) == (200, WHOLE, True)


@pytest.mark.parametrize('spent', ['budget', 'stop'])
async def test_silent_stream_that_may_not_be_sent_again_is_not_cut(
    node, runners, client, monkeypatch, spent
):
    """Guards against begun answers that end for a silence (LOST)."""
    reserved = []
    heads = node._dependencies.heads
    reserve = heads.reserve
    monkeypatch.setattr(
        heads, 'reserve', lambda *args: reserved.append(1) or reserve(*args)
    )
    for runner in runners.values():
        runner.faults.silence_s = SILENCE_S
    task = send(client, node)
    await until_begun(runners)
    stopping = None
    if spent == 'budget':
        node._dependencies.budget._ratio = 0.0
        node._dependencies.budget._slack = 0.0
    else:
        refuse_all(runners)
        stopping = asyncio.ensure_future(node.stop())
    got = await task
    assert (got.status, got.body, got.is_whole) == (200, WHOLE, True)
    sends = sum(len(one.seen) for one in runners.values())
    if spent == 'budget':
        assert (sends, len(reserved)) == (1, 1)
    else:
        assert 1 < sends <= 1 + _attempts.MAX_REFUSALS
    if stopping is not None:
        await stopping


@pytest.mark.parametrize('pause_s', [0.4, 1.0])
async def test_streams_are_not_cut_by_a_pause_of_their_node(
    store, runners, client, tmp_path, pause_s
):
    """Guards against a late node that takes its runners for silent (LOST)."""
    for runner in runners.values():
        runner.faults.event_s = 0.15
    process = processes.Process(
        conftest.settings('n1', store.address), tmp_path / 'n1.json'
    )
    try:
        await process.start()
        await conftest.until(
            lambda: len(conftest.open_heads(runners)) == 2, 'groups'
        )
        await asyncio.sleep(0.5)
        address = process.addresses['caller']
        tasks = [send(client, address, number) for number in range(8)]
        await until_begun(runners, 8)
        refuse_all(runners)
        process.proc.send_signal(signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        process.proc.send_signal(signal.SIGCONT)
        answers = await asyncio.gather(*tasks)
    finally:
        await process.stop()
    assert [(got.body, got.is_whole) for got in answers] == [(WHOLE, True)] * 8
    assert sum(len(one.seen) for one in runners.values()) == 8


@pytest.mark.parametrize('is_lost', [False, True])
async def test_prompts_ahead_are_no_silence(
    store, node, runners, client, is_lost
):
    """Guards against requests taken away from the queue of their head."""
    cfg = conftest.configuration(version=4)
    cfg['services'][1]['engine']['usual'] = {'prompt': 5000, 'answer': 10}
    store.put('op', 'config', cfg)
    await conftest.until(
        lambda: node.dump()['configuration'] == 4, 'configuration'
    )
    count = 2 * (4 + traffic.MAX_QUEUED_PER_GROUP)
    for runner in runners.values():
        runner.faults.prefill_s = PREFILL_S
    if is_lost:
        for runner in conftest.open_heads(runners)[:1]:
            runner.faults.answer = 'hang'
    answers = await asyncio.gather(
        *(send(client, node, number) for number in range(count))
    )
    assert all(got.is_whole and got.status == 200 for got in answers)
    sends = sum(len(one.seen) for one in runners.values())
    assert (sends > count) == is_lost, sends

"""Tests of plain requests whose runner is silent, or seems so, for a while."""

import asyncio
import signal

import pytest

from plantainway import errors
from tests.platform import conftest
from tests.platform import processes

ANSWER_S = 1.2  # later than a second attempt, earlier than any deadline
KINDS = ['safe', 'unsafe']


def plain(runners):
    """Returns the plain runners."""
    return [runners['p-1'], runners['p-2']]


def seen_by(runners):
    """Returns the plain requests that the runners have got."""
    return [seen for runner in plain(runners) for seen in runner.seen]


def send(client, node, kind='safe', number=0, deadline_ms=4000):
    """Begins to send one request; returns its task."""
    return asyncio.ensure_future(
        conftest.send_request(
            client,
            node,
            f'/{kind}/x',
            'POST',
            request_id=f'p-{number}',
            Deadline_Ms=str(deadline_ms),
        )
    )


async def until_seen(runners, count) -> None:
    """Waits until the plain runners have got so many requests."""
    await conftest.until(lambda: len(seen_by(runners)) >= count, 'requests')


async def send_to_silent(client, node, runners, kind='safe', **more):
    """Begins to send a request to a runner that answers late.

    Returns:
        The task, that runner and the other one.
    """
    for runner in plain(runners):
        runner.faults.answer_s = ANSWER_S
    task = send(client, node, kind, **more)
    await until_seen(runners, 1)
    first, other = sorted(plain(runners), key=lambda one: not one.seen)
    return task, first, other


def is_closed(runner):
    """Returns whether the node has left the runner's requests."""
    return all(seen.cancelled for seen in runner.seen)


def spend_budget(node):
    """Leaves no further retry."""
    node._dependencies.budget._ratio = 0.0
    node._dependencies.budget._slack = 0.0


def quarantine(node):
    """Refuses all further attempts, as after crashes by the request."""
    node._dependencies.quarantine.find = lambda _keys: 'part'


def refuse_permits(node):
    """Limits the rate of all runners, and grants no permit."""
    rates = node._dependencies.rates
    rates._source.is_limited = lambda _upstream: True

    async def acquire(_upstreams, _max_wait_s):
        raise errors.NotRunError('no permit', 'limit', reason='limited')

    rates._source.acquire = acquire


@pytest.mark.parametrize(
    'kind, fault, other_runs',
    [
        ('safe', 'not_run', None),
        ('safe', 'error', 1),
        ('safe', 'reset', 1),
        ('safe', 'hang', 1),
        ('safe', 'truncated', 1),
        ('safe', 'draining', 0),
        ('safe', 'budget', 0),
        ('safe', 'quarantine', 0),
        ('safe', 'permit', 0),
        ('unsafe', 'whole', 0),
        ('unsafe', 'not_run', 0),
    ],
)
async def test_silent_request_that_no_other_runner_serves_is_answered(
    node, runners, client, kind, fault, other_runs
):
    """Guards against requests that end for a silence of their runner."""
    task, first, other = await send_to_silent(client, node, runners, kind)
    changes = {
        'draining': lambda _node: other.write_entry('draining'),
        'budget': spend_budget,
        'quarantine': quarantine,
        'permit': refuse_permits,
    }
    if fault in changes:
        changes[fault](node)
    else:
        other.faults.answer = fault
        other.faults.answer_s = 0.0
    got = await task
    assert (got.status, got.body) == (200, first.body)
    assert len(first.seen) == 1
    if other_runs is not None:
        assert len(other.seen) == other_runs
    assert fault != 'hang' or is_closed(other)
    assert sum(node.dump()['loads'].values()) == 0


@pytest.mark.parametrize('fault', ['', 'hang'])
async def test_silent_request_is_answered_by_another_runner(
    node, runners, client, fault
):
    """The first complete answer wins; the other attempt is closed."""
    for runner in plain(runners):
        runner.faults.answer = fault or 'whole'
    task, first, other = await send_to_silent(client, node, runners)
    other.faults.answer = 'whole'
    other.faults.answer_s = 0.0
    got = await task
    assert (got.status, got.body) == (200, other.body)
    assert (len(first.seen), len(other.seen)) == (1, 1)
    if fault:
        await conftest.until(lambda: is_closed(first), 'closed')


async def test_refused_request_is_tried_again_beside_a_silent_one(
    node, runners, client
):
    """A runner that was full for a moment takes the request."""
    task, first, other = await send_to_silent(client, node, runners)
    other.faults.answer = 'not_run'
    await until_seen(runners, 2)
    other.faults.answer = 'whole'
    other.faults.answer_s = 0.0
    got = await task
    assert (got.status, got.body) == (200, other.body)
    assert len(other.seen) >= 2


@pytest.mark.parametrize(
    'kind, max_attempts, runs',
    [('safe', 1, 1), ('safe', 2, 2), ('safe', 3, 2), ('unsafe', 2, 1)],
)
async def test_request_that_nobody_answers_ends_at_its_deadline(
    node, store, runners, client, kind, max_attempts, runs
):
    """Open attempts count as runs; all are closed in the end."""
    await configure(node, store, maxAttempts=max_attempts)
    for runner in plain(runners):
        runner.faults.answer = 'hang'
    got = await send(client, node, kind, deadline_ms=1500)
    assert got.status == 504
    seen = seen_by(runners)
    assert len(seen) == runs
    await conftest.until(lambda: all(one.cancelled for one in seen), 'closed')


async def configure(node, store, **more) -> None:
    """Changes all routes."""
    changed = conftest.configuration(version=9)
    for one in changed['routes']:
        one |= more
    store.put('op', 'config', changed)
    await conftest.until(
        lambda: node.dump()['configuration'] == 9, 'version 9'
    )


@pytest.mark.parametrize('max_attempts', [1, 2])
async def test_slow_answer_is_passed_on_whatever_may_be_tried(
    node, store, runners, client, max_attempts
):
    """Guards against requests that end for a silence of their runner."""
    await configure(node, store, maxAttempts=max_attempts)
    task, first, other = await send_to_silent(client, node, runners)
    got = await task
    assert (got.status, got.body) == (200, first.body)
    assert len(other.seen) == max_attempts - 1


async def test_client_that_leaves_closes_all_attempts(node, runners, client):
    """None of them goes on for nobody."""
    for runner in plain(runners):
        runner.faults.answer = 'hang'
    task = send(client, node)
    await until_seen(runners, 2)
    task.cancel()
    await conftest.until(
        lambda: all(is_closed(runner) for runner in plain(runners)), 'closed'
    )
    await conftest.until(lambda: node.dump()['in_progress'] == 0, 'ended')
    assert sum(node.dump()['loads'].values()) == 0


@pytest.mark.parametrize('refusal', ['draining', 'permit'])
async def test_attempt_that_is_not_sent_takes_no_retry(
    node, runners, client, refusal
):
    """The budget is for requests that are sent."""
    task, _first, other = await send_to_silent(client, node, runners)
    if refusal == 'permit':
        refuse_permits(node)
    else:
        other.write_entry('draining')
    assert (await task).status == 200
    budget = node._dependencies.budget
    assert budget._counter(budget._retries, 'plain')._total == 0


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('pause_s', [0.4, 1.0])
async def test_answers_that_come_during_a_pause_of_the_node_count(
    store, runners, client, tmp_path, kind, pause_s
):
    """Guards against a late node that takes its runners for silent."""
    for runner in plain(runners):
        runner.faults.answer_s = 0.3
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
        tasks = [
            send(client, address, kind, number, deadline_ms=1000)
            for number in range(8)
        ]
        await until_seen(runners, 8)
        process.proc.send_signal(signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        process.proc.send_signal(signal.SIGCONT)
        answers = await asyncio.gather(*tasks)
    finally:
        await process.stop()
    assert [got.status for got in answers] == [200] * 8
    assert len(seen_by(runners)) == 8

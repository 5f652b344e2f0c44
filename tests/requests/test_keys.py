"""Tests of idempotency keys: non-idempotent calls run at most once."""

import asyncio
import types

import pytest

from plantainway import clock
from plantainway import errors
from plantainway import requests
from plantainway.requests import _group_commit
from plantainway.requests import _key_sweep
from plantainway.requests import _keys
from plantainway import standins
from plantainway import upstreams

ANSWER = upstreams.ServiceResponse(201, 'application/json', b'{"order": 1}')


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch):
    """Shortens the time-outs that the tests wait for in real time."""
    monkeypatch.setattr(_keys, 'ANSWER_WAIT_S', 0.05)
    monkeypatch.setattr(_keys, 'RETRY_DELAY_S', 0.01)
    monkeypatch.setattr(_group_commit, 'SETTLE_TIMEOUT_S', 0.15)


class TwoNodeCluster:
    """Idempotency key stores of two nodes that share one table.

    ``sent`` lists the attempts that were allowed to be sent.
    """

    def __init__(self):
        self.table = standins.MemoryTable()
        self.clock = clock.MonotonicClock()
        self.stores = [
            requests.IdempotencyKeyStore(self.table, self.clock, name)
            for name in ('n1', 'n2')
        ]
        self.sent = []

    async def start_attempt(self, node, attempt, body=b'body', key='k'):
        """Starts an attempt; adds it to ``sent`` if it may be sent."""
        found = await self.stores[node].start_attempt(
            'shops', key, body, attempt
        )
        if isinstance(found, requests.StartedAttempt):
            self.sent.append(attempt)
        return found

    async def state(self):
        """Returns the state of the only key row, or ``None``."""
        rows = await self.table.scan('key/')
        return rows[0].value['state'] if rows else None


async def answer_stored(cluster):
    """The first attempt was answered and its answer was stored."""
    started = await cluster.start_attempt(0, 'a1')
    assert await cluster.stores[0].record_answer(started, b'body', ANSWER)


async def node_crashed(cluster):
    """The node crashed after it had sent the first attempt."""
    await cluster.start_attempt(0, 'a1')


async def attempt_voided(cluster):
    """The first attempt was never sent, and its row was voided."""
    started = await cluster.start_attempt(0, 'a1')
    cluster.sent.clear()
    assert await cluster.stores[0].mark_void(started.row_key, 'a1')


async def table_unavailable(cluster):
    """The table was unavailable at the first attempt."""
    cluster.table.faults.outage = True
    with pytest.raises(errors.NotRunError):
        await cluster.start_attempt(0, 'a1')
    cluster.table.faults.outage = False


async def write_lost(cluster):
    """The write of the row was lost once and then retried."""
    cluster.table.faults.lost_requests = 1
    await cluster.start_attempt(0, 'a1')


async def write_reply_lost(cluster):
    """The row was written, but the reply of the table was lost."""
    cluster.table.faults.lost_replies = 1
    await cluster.start_attempt(0, 'a1')


async def write_outcome_unknown(cluster):
    """The outcome of the write stayed unknown until its time-out."""
    cluster.table.faults.lost_requests = 1000
    with pytest.raises(errors.NotRunError):
        await cluster.start_attempt(0, 'a1')
    cluster.table.faults.lost_requests = 0
    await asyncio.wait(cluster.stores[0].background)


async def key_unused(cluster):
    """The key has not been used before."""


@pytest.mark.parametrize(
    'prepare, body, outcome, sent',
    [
        (key_unused, b'body', requests.StartedAttempt, ['a2']),
        (answer_stored, b'body', requests.Replay, ['a1']),
        (answer_stored, b'other', errors.KeyReusedError, ['a1']),
        (node_crashed, b'body', errors.OutcomeUnknownError, ['a1']),
        (node_crashed, b'other', errors.KeyReusedError, ['a1']),
        (attempt_voided, b'body', requests.StartedAttempt, ['a2']),
        (table_unavailable, b'body', requests.StartedAttempt, ['a2']),
        (write_lost, b'body', errors.OutcomeUnknownError, ['a1']),
        (write_reply_lost, b'body', errors.OutcomeUnknownError, ['a1']),
        (write_outcome_unknown, b'body', requests.StartedAttempt, ['a2']),
    ],
)
async def test_second_attempt_with_the_same_key(prepare, body, outcome, sent):
    """A second attempt is sent only if the first was certainly not sent."""
    cluster = TwoNodeCluster()
    await prepare(cluster)
    if issubclass(outcome, errors.PlantainwayError):
        with pytest.raises(outcome):
            await cluster.start_attempt(1, 'a2', body)
    else:
        found = await cluster.start_attempt(1, 'a2', body)
        assert isinstance(found, outcome)
        if outcome is requests.Replay:
            assert found.answer == ANSWER
    assert cluster.sent == sent


@pytest.mark.parametrize('nodes', [(0, 0), (0, 1)])
async def test_concurrent_attempts_with_one_key(nodes):
    """Of two concurrent attempts with one key, only one is sent."""
    cluster = TwoNodeCluster()
    found = await asyncio.gather(
        cluster.start_attempt(nodes[0], 'a1'),
        cluster.start_attempt(nodes[1], 'a2'),
        return_exceptions=True,
    )
    assert len(cluster.sent) == 1
    assert sum(isinstance(x, errors.OutcomeUnknownError) for x in found) == 1


async def test_second_attempt_waits_for_the_answer_of_the_first():
    """A second attempt gets the answer that the first one receives."""
    cluster = TwoNodeCluster()
    started = await cluster.start_attempt(0, 'a1')
    second = asyncio.ensure_future(cluster.start_attempt(1, 'a2'))
    await asyncio.sleep(0.01)
    await cluster.stores[0].record_answer(started, b'body', ANSWER)
    assert (await second).answer == ANSWER


async def test_delayed_write_after_void_has_no_effect():
    """A delayed write has no effect once the row is void.

    It would otherwise revive an attempt that was never sent.
    """
    cluster = TwoNodeCluster()
    delayed = []
    commit = cluster.table.commit

    async def delay_first(txn):
        if not delayed:
            delayed.append(txn)
            return await _lose(cluster, txn)
        return await commit(txn)

    cluster.table.commit = delay_first
    cluster.table.faults.outage = False
    store = cluster.stores[0]
    row_key = (await store._read_rows('shops', 'k')).keys[0]
    assert await store.mark_void(row_key, 'a1')
    result = cluster.table.apply(delayed[0])
    assert result.reason == 'conflict'
    assert await cluster.state() == 'void'


async def _lose(cluster, txn):
    cluster.table.faults.lost_requests = 1
    return await type(cluster.table).commit(cluster.table, txn)


async def test_group_commit_of_concurrent_keys():
    """Concurrent keys share commits; one conflict fails no other key."""
    cluster = TwoNodeCluster()
    cluster.table.faults.slow_s = 0.01
    await cluster.start_attempt(1, 'taken', key='k7')
    before = cluster.table.commits
    found = await asyncio.gather(
        *(cluster.start_attempt(0, f'a{n}', key=f'k{n}') for n in range(100)),
        return_exceptions=True,
    )
    started = [x for x in found if isinstance(x, requests.StartedAttempt)]
    assert len(started) == 99
    assert isinstance(found[7], errors.OutcomeUnknownError)
    assert cluster.table.commits - before <= 10


async def test_keys_of_the_previous_epoch_are_kept():
    """Rows of the previous epoch are still read; older ones are removed."""
    cluster = TwoNodeCluster()
    manual = clock.ManualClock()
    parts = types.SimpleNamespace(table=cluster.table, clock=manual)
    sweep = _key_sweep.IdempotencyKeySweepTask('n1', parts)
    await answer_stored(cluster)

    async def advance_epoch():
        await sweep.sweep_once()
        manual.advance(_key_sweep.EPOCH_S + 1)
        await sweep.sweep_once()
        for store in cluster.stores:
            store._epoch_expires_at = 0.0

    await advance_epoch()
    await sweep.sweep_once()
    assert isinstance(await cluster.start_attempt(1, 'a2'), requests.Replay)
    await advance_epoch()
    await sweep.sweep_once()
    assert sweep.removed_rows == 1
    assert await cluster.state() is None


class _PausedTable(standins.MemoryTable):
    """Table at which the third read takes ``pause_s`` of the node's time.

    Meanwhile the attempt gets its answer.
    """

    def __init__(self, manual_clock):
        super().__init__()
        self._clock = manual_clock
        self.reads_left = None
        self.pause_s = 0.0
        self.on_pause = None

    async def read(self, key):
        """Reads a row, before the node is paused."""
        row = await super().read(key)
        if self.reads_left:
            self.reads_left -= 1
            if not self.reads_left:
                self._clock.advance(self.pause_s)
                await self.on_pause()
        return row


@pytest.mark.parametrize('reads', [3, 5])
@pytest.mark.parametrize('pause_s', [0.0, 60.0])
async def test_answer_recorded_during_a_pause_is_found(reads, pause_s):
    """Guards against a late node that trusts a row read before its pause."""
    cluster = TwoNodeCluster()
    cluster.clock = clock.ManualClock()
    cluster.table = _PausedTable(cluster.clock)
    cluster.stores = [
        requests.IdempotencyKeyStore(cluster.table, cluster.clock, name)
        for name in ('n1', 'n2')
    ]
    started = await cluster.start_attempt(0, 'a1')

    async def record():
        assert await cluster.stores[0].record_answer(started, b'body', ANSWER)

    cluster.table.on_pause = record
    cluster.table.pause_s = pause_s
    cluster.table.reads_left = reads
    async with asyncio.timeout(5.0):
        found = await cluster.start_attempt(1, 'a2')
    assert found == requests.Replay(ANSWER)

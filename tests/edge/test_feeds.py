"""Tests of how often a node polls the tables."""

import pytest

from plantainway import clock as clocks
from plantainway import cluster
from plantainway.edge import _feeds
from plantainway import errors
from plantainway import stores


class _Feed:
    """Fake store that records how long each poll may wait."""

    def __init__(self):
        self.waits = []

    async def snapshot(self, _table):
        """Returns an empty table."""
        return stores.RowBatch((), 1)

    async def changes(self, _table, _version, wait_s):
        """Returns no changes."""
        self.waits.append(wait_s)
        return stores.RowBatch((), 1)


async def _run_steps(task, clock, pauses):
    """Advances the clock and runs one step, for each pause."""
    for pause in pauses:
        clock.advance(pause)
        await task._step()


@pytest.mark.parametrize(
    'pauses, waits',
    [
        ((0.0, 0.1), [0.0, 0.0]),
        ((0.0, 0.9, 0.2), [0.0, 0.0, _feeds.LEADER_LONG_POLL_S]),
    ],
)
async def test_new_leader_polls_without_wait(pauses, waits, monkeypatch):
    """A new leader plans groups once it has read the table in its term."""
    monkeypatch.setattr(_feeds, 'LEADER_POLL_PAUSE_S', 0.0)
    clock = clocks.ManualClock()
    feed = _Feed()
    table = cluster.TableCache('t', clock)
    table.apply_snapshot(stores.RowBatch((), 1), clock.now())
    task = _feeds.TablePoller(table, feed, lambda: True, clock)
    await _run_steps(task, clock, pauses)
    assert feed.waits == waits


@pytest.mark.parametrize('is_leader, longest', [(True, 0.4), (False, 1.3)])
async def test_leader_retries_lost_store_often(
    is_leader, longest, monkeypatch
):
    """The leader's retry pause stays short: the other nodes depend on it."""
    pauses = []

    async def sleep(seconds):
        pauses.append(seconds)

    monkeypatch.setattr(_feeds.asyncio, 'sleep', sleep)
    clock = clocks.ManualClock()
    table = cluster.TableCache('t', clock)
    task = _feeds.TablePoller(table, _Feed(), lambda: is_leader, clock)
    for _failure in range(8):
        await task._handle_failure(
            errors.StoreUnavailableError('away', 'changes', 'store')
        )
    assert 0.2 <= pauses[-1] <= longest
    assert pauses[-1] > 0.4 or is_leader


class _SlowFeed(_Feed):
    """Fake store that answers late."""

    def __init__(self, clock, takes_s, rows):
        super().__init__()
        self._clock = clock
        self._takes_s = takes_s
        self._rows = rows

    async def changes(self, _table, _version, _wait_s):
        """Returns the rows after the delay."""
        self._clock.advance(self._takes_s)
        return stores.RowBatch(self._rows, 2)


@pytest.mark.parametrize(
    'takes_s, rows, age_s',
    [
        (0.51, (), 0.01),
        (0.2, (), 0.2),  # answered before the wait was over
        (0.51, (stores.RawRow('a', b'1', 2),), 0.51),
    ],
)
async def test_age_after_a_poll(takes_s, rows, age_s):
    """After a full wait without changes, the table is current at its end."""
    clock = clocks.ManualClock()
    table = cluster.TableCache('t', clock)
    table.apply_snapshot(stores.RowBatch((), 1), clock.now())
    feed = _SlowFeed(clock, takes_s, rows)
    task = _feeds.TablePoller(table, feed, lambda: True, clock)
    await task._poll(_feeds.LEADER_LONG_POLL_S)
    assert table.age_s() == pytest.approx(age_s)

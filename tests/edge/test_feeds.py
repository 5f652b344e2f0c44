"""How often a node reads the followed tables."""

import pytest

from plantainway import clock as clocks
from plantainway import cluster
from plantainway.edge import _feeds
from plantainway import errors
from plantainway import stores


class _Feed:
    """A store that notes how long each poll would wait."""

    def __init__(self):
        self.waits = []

    async def snapshot(self, _table):
        """Returns an empty table."""
        return stores.RowBatch((), 1)

    async def changes(self, _table, _version, wait_s):
        """Returns no changes."""
        self.waits.append(wait_s)
        return stores.RowBatch((), 1)


async def _steps(task, clock, moments):
    """Runs one step after each pause."""
    for pause in moments:
        clock.advance(pause)
        await task._step()


@pytest.mark.parametrize(
    'pauses, waits',
    [
        ((0.0, 0.1), [0.0, 0.0]),
        ((0.0, 0.9, 0.2), [0.0, 0.0, _feeds.LEADER_WAIT_S]),
    ],
)
async def test_new_leader_polls_without_waiting(pauses, waits, monkeypatch):
    """Groups can be planned as soon as the table is of the own term."""
    monkeypatch.setattr(_feeds, 'LEADER_PAUSE_S', 0.0)
    clock = clocks.ManualClock()
    feed = _Feed()
    follower = cluster.Follower('t', clock)
    follower.load(stores.RowBatch((), 1), clock.now())
    task = _feeds.FeedTask(follower, feed, lambda: True, clock)
    await _steps(task, clock, pauses)
    assert feed.waits == waits


@pytest.mark.parametrize('leads, longest', [(True, 0.4), (False, 1.3)])
async def test_leader_asks_a_lost_store_often(leads, longest, monkeypatch):
    """All nodes wait for the leader's reading once the store is back."""
    pauses = []

    async def sleep(seconds):
        pauses.append(seconds)

    monkeypatch.setattr(_feeds.asyncio, 'sleep', sleep)
    clock = clocks.ManualClock()
    follower = cluster.Follower('t', clock)
    task = _feeds.FeedTask(follower, _Feed(), lambda: leads, clock)
    for _failure in range(8):
        await task._note_failure(
            errors.StoreUnavailableError('away', 'changes', 'store')
        )
    assert 0.2 <= pauses[-1] <= longest
    assert pauses[-1] > 0.4 or leads


class _SlowFeed(_Feed):
    """A store that answers after a while."""

    def __init__(self, clock, takes_s, rows):
        super().__init__()
        self._clock = clock
        self._takes_s = takes_s
        self._rows = rows

    async def changes(self, _table, _version, _wait_s):
        """Returns rows later."""
        self._clock.advance(self._takes_s)
        return stores.RowBatch(self._rows, 2)


@pytest.mark.parametrize(
    'takes_s, rows, age_s',
    [
        (0.51, (), 0.01),
        (0.2, (), 0.2),  # answered early: nobody waited
        (0.51, (stores.RawRow('a', b'1', 2),), 0.51),
    ],
)
async def test_age_after_a_poll(takes_s, rows, age_s):
    """A poll that waited in vain shows the table as it was at its end."""
    clock = clocks.ManualClock()
    follower = cluster.Follower('t', clock)
    follower.load(stores.RowBatch((), 1), clock.now())
    feed = _SlowFeed(clock, takes_s, rows)
    task = _feeds.FeedTask(follower, feed, lambda: True, clock)
    await task._poll(_feeds.LEADER_WAIT_S)
    assert follower.age_s() == pytest.approx(age_s)

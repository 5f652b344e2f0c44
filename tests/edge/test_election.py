"""Tests of the election task during shutdowns and store outages."""

import asyncio
import random

import pytest

from plantainway import clock as clocks
from plantainway import cluster
from plantainway.edge import _election
from plantainway import errors
from tests.platform import conftest


class _Leadership:
    """Fake lease; a test sets whether its store answers."""

    def __init__(self):
        self.is_held = True
        self.is_store_down = False
        self.term = 1
        self.extensions = 0

    def is_leader(self):
        """Returns whether the lease is held."""
        return self.is_held

    async def renew(self):
        """Returns whether the store answers."""
        return not self.is_store_down

    def extend(self):
        """Counts the extensions."""
        self.extensions += 1

    async def release(self):
        """Gives the lease up; fails if the store does not answer."""
        self.is_held = False
        if self.is_store_down:
            raise errors.StoreUnavailableError('away', 'commit', 'store')


class _Hub:
    """Fake hub; a test sets whether nodes follow the leader."""

    has_followers = True

    def record_link_count(self):
        """Does nothing."""

    def has_enough_followers(self):
        """Returns what the test has set."""
        return self.has_followers


class _Setup:
    """An election task of a leader and its fakes."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.lease = _Leadership()
        self.hub = _Hub()
        self.task = _election.ElectionTask(
            self.lease,
            self.hub,
            None,
            self.clock,
            random.Random(1),
            1.0,
            None,
        )

    async def renew(self):
        """Advances the clock to the next renewal and runs it."""
        self.clock.advance(cluster.RENEW_EVERY_S + 0.01)
        await self.task._renew()

    async def stop_store(self):
        """Stops the store and lets a renewal become late."""
        await self.renew()
        self.lease.is_store_down = True
        await self.renew()
        self.clock.advance(_election.RENEWAL_LATE_S)
        self.task.extend_if_late()


@pytest.mark.parametrize(
    'is_store_down, has_followers, extensions',
    [(True, True, 1), (True, False, 0), (False, True, 0)],
)
async def test_extension_needs_outage_and_followers(
    is_store_down, has_followers, extensions
):
    """Extends only without the store, and only with enough followers."""
    setup = _Setup()
    setup.hub.has_followers = has_followers
    if is_store_down:
        await setup.stop_store()
    else:
        await setup.renew()
        setup.task.extend_if_late()
    assert setup.lease.extensions == extensions


@pytest.mark.parametrize('pause_s', [1.3, 1.75])
@pytest.mark.parametrize(
    'is_tried, answer_s, extensions',
    [
        (False, 0.0, 0),
        (True, 0.0, 0),
        (True, 0.1, 0),
        (True, 0.2, 1),
    ],
)
async def test_late_leader_is_not_extended_before_it_tried_to_renew(
    pause_s, is_tried, answer_s, extensions
):
    """Guards against a lease that is longer for the pause of its holder."""
    setup = _Setup()
    await setup.renew()
    setup.clock.advance(pause_s)
    setup.lease.is_store_down = True
    if is_tried:
        await setup.task._renew()
    setup.clock.advance(answer_s)
    setup.task.extend_if_late()
    assert setup.lease.extensions == extensions


async def test_stopping_leader_releases_lease():
    """The lease is released at once if the store answers."""
    setup = _Setup()
    await setup.renew()
    await setup.task.resign()
    assert not setup.lease.is_held


async def test_stopping_leader_keeps_lease_during_outage():
    """The lease is kept, and released after the next renewal."""
    setup = _Setup()
    await setup.stop_store()
    await setup.task.resign()
    assert setup.lease.is_held
    setup.lease.is_store_down = False
    await setup.renew()
    assert not setup.lease.is_held


async def test_failed_release_is_no_error():
    """The lease lapses instead; this node does not lead any more."""
    setup = _Setup()
    setup.lease.is_store_down = True
    await setup.task.resign()
    assert not setup.lease.is_held


class _FreeLease(_Leadership):
    """Fake lease of a dead leader; a test sets when it has lapsed."""

    def __init__(self):
        super().__init__()
        self.is_held = False
        self.has_lapsed = False
        self.delays = []
        self.holder = cluster.Holder('n9/1', '10.0.0.9:1', 1, 4)

    async def read_lease(self):
        """Does nothing: the row is unchanged."""

    def may_acquire(self, delay_s):
        """Returns whether the lease has lapsed, and records the delay."""
        self.delays.append(delay_s)
        return self.has_lapsed

    async def acquire(self, _address):
        """Takes the lease."""
        self.is_held = True
        return True


class _Link:
    """Fake link whose connection attempt never ends."""

    def __init__(self, weights=()):
        self.is_dialling = False
        self.is_receiving = False
        self.nodes = [
            cluster.NodeInfo(f'n{n}', f'n{n}:1', 'a', weight, True)
            for n, weight in enumerate(weights)
        ]

    async def run_link(self, _address):
        """Hangs, as a connection to a VM without power does."""
        self.is_dialling = True
        await asyncio.Event().wait()


class _AdoptingHub(_Hub):
    """Fake hub of a node that becomes the leader."""

    def adopt_nodes(self, _nodes):
        """Does nothing."""


def _candidate(lease, link, capacity, seed=1):
    return _election.ElectionTask(
        lease,
        _AdoptingHub(),
        link,
        clocks.MonotonicClock(),
        random.Random(seed),
        capacity,
        asyncio.ensure_future,
    )


async def test_lapsed_lease_is_taken_while_dead_leader_is_dialled(
    monkeypatch,
):
    """A preferred candidate does not lose its turn to a hanging connection."""
    monkeypatch.setattr(_election, 'TICK_S', 0.01)
    lease, link = _FreeLease(), _Link()
    task = asyncio.ensure_future(_candidate(lease, link, 1.0).run())
    await conftest.until(lambda: link.is_dialling, 'dialling')
    lease.has_lapsed = True
    try:
        await conftest.until(lambda: lease.is_held, 'lease taken')
    finally:
        task.cancel()


# Candidates learn of the last renewal within an update's interval of each
# other, and look at the lease once a tick.
OBSERVATION_SPREAD_S = 0.4 + _election.TICK_S


@pytest.mark.parametrize(
    'capacity, others, is_preferred',
    [
        (0.717, (0.361, 0.717), True),
        (0.361, (0.361, 0.717), False),
        (0.361, (0.361, 0.361), True),
        (0.731, (0.731, 0.731), True),
    ],
)
@pytest.mark.parametrize('seed', range(5))
async def test_small_vm_leaves_the_lease_to_a_larger_one(
    capacity, others, is_preferred, seed
):
    """A small VM waits until every larger one has had its turn."""
    lease, link = _FreeLease(), _Link(others)
    await _candidate(lease, link, capacity, seed)._try_acquire()
    (delay_s,) = lease.delays
    if is_preferred:
        assert delay_s <= _election.CANDIDATE_DELAY_MAX_S
    else:
        assert delay_s > (
            _election.CANDIDATE_DELAY_MAX_S + OBSERVATION_SPREAD_S
        )


async def test_lapse_of_the_lease_is_logged_with_its_cause(monkeypatch):
    """A lapse between two steps of the task is told, once."""
    events = []
    monkeypatch.setattr(
        _election.logs,
        'event',
        lambda name, **pairs: events.append((name, pairs)),
    )
    setup = _Setup()
    await setup.renew()
    setup.clock.advance(2.5)
    setup.lease.is_held = False
    setup.task._record_leadership()
    setup.task._record_leadership()
    assert events == [
        (
            'leadership_lost',
            {'term': 1, 'since_renewal_ms': 2500, 'renewal_due_ms': 1700},
        )
    ]

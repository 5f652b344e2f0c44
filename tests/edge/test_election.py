"""Tests of the election task during shutdowns and store outages."""

import random

import pytest

from plantainway import clock as clocks
from plantainway import cluster
from plantainway.edge import _election
from plantainway import errors


class _Leadership:
    """Fake lease; a test sets whether its store answers."""

    def __init__(self):
        self.held = True
        self.is_store_away = False
        self.term = 1
        self.extended = 0

    def is_leader(self):
        """Returns whether the lease is held."""
        return self.held

    async def renew(self):
        """Returns whether the store answers."""
        return not self.is_store_away

    def extend(self):
        """Counts the extensions."""
        self.extended += 1

    async def release(self):
        """Gives the lease up; fails if the store does not answer."""
        self.held = False
        if self.is_store_away:
            raise errors.StoreUnavailableError('away', 'commit', 'store')


class _Hub:
    """Fake hub; a test sets whether nodes follow the leader."""

    followed = True

    def record_renewal(self):
        """Does nothing."""

    def has_enough_followers(self):
        """Returns what the test has set."""
        return self.followed


class _World:
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

    async def lose_store(self):
        """Stops the store and lets a renewal become late."""
        await self.renew()
        self.lease.is_store_away = True
        await self.renew()
        self.clock.advance(_election.RENEWAL_LATE_S)
        self.task.extend_if_late()


@pytest.mark.parametrize(
    'away, followed, extended',
    [(True, True, 1), (True, False, 0), (False, True, 0)],
)
async def test_extension_needs_outage_and_followers(away, followed, extended):
    """Extends only without the store, and only with enough followers."""
    world = _World()
    world.hub.followed = followed
    if away:
        await world.lose_store()
    else:
        await world.renew()
        world.task.extend_if_late()
    assert world.lease.extended == extended


async def test_stopping_leader_releases_lease():
    """The lease is released at once if the store answers."""
    world = _World()
    await world.renew()
    await world.task.resign()
    assert not world.lease.held


async def test_stopping_leader_keeps_lease_during_outage():
    """The lease is kept, and released after the next renewal."""
    world = _World()
    await world.lose_store()
    await world.task.resign()
    assert world.lease.held
    world.lease.is_store_away = False
    await world.renew()
    assert not world.lease.held


async def test_failed_release_is_no_error():
    """The lease lapses instead; this node does not lead any more."""
    world = _World()
    world.lease.is_store_away = True
    await world.task.resign()
    assert not world.lease.held

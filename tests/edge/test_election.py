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

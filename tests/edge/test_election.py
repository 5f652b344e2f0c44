"""Who leads while nodes leave and the store is away."""

import random

import pytest

from plantainway import clock as clocks
from plantainway import cluster
from plantainway.edge import _election
from plantainway import errors


class _Leadership:
    """A lease whose store a test takes away."""

    def __init__(self):
        self.held = True
        self.is_store_away = False
        self.term = 1
        self.extended = 0

    def is_leader(self):
        """Tells whether the lease is held."""
        return self.held

    async def renew(self):
        """Renews it if the store answers."""
        return not self.is_store_away

    def extend(self):
        """Counts the extensions."""
        self.extended += 1

    async def hand_back(self):
        """Gives it up."""
        self.held = False
        if self.is_store_away:
            raise errors.StoreUnavailableError('away', 'commit', 'store')


class _Hub:
    """Links to nodes that follow, or don't."""

    followed = True

    def note_renewed(self):
        """Takes no note."""

    def is_followed(self):
        """Tells what the test has set."""
        return self.followed


class _World:
    """An election task that leads."""

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
        """Lets the next renewal come due."""
        self.clock.advance(cluster.RENEW_EVERY_S + 0.01)
        await self.task._renew()

    async def lose_store(self):
        """Takes the store away until the leader goes on without it."""
        await self.renew()
        self.lease.is_store_away = True
        await self.renew()
        self.clock.advance(_election.LATE_S)
        self.task.go_on()


@pytest.mark.parametrize(
    'away, followed, extended',
    [(True, True, 1), (True, False, 0), (False, True, 0)],
)
async def test_leader_goes_on_only_where_it_is_followed(
    away, followed, extended
):
    """Without the store a leader needs followers; with it, nothing."""
    world = _World()
    world.hub.followed = followed
    if away:
        await world.lose_store()
    else:
        await world.renew()
        world.task.go_on()
    assert world.lease.extended == extended


async def test_leaving_leader_hands_back_at_once():
    """Another node can take over at once."""
    world = _World()
    await world.renew()
    await world.task.leave()
    assert not world.lease.held


async def test_leaving_leader_stays_while_nobody_can_take_over():
    """It leads on, and hands back with the first renewal."""
    world = _World()
    await world.lose_store()
    await world.task.leave()
    assert world.lease.held
    world.lease.is_store_away = False
    await world.renew()
    assert not world.lease.held


async def test_lease_that_cannot_be_handed_back_is_no_error():
    """It lapses; this node leads no more."""
    world = _World()
    world.lease.is_store_away = True
    await world.task.leave()
    assert not world.lease.held

"""Takes part in the election, and leads or follows."""

import asyncio

from plantainway import cluster
from plantainway import errors
from plantainway import logs

TICK_S = 0.25
LOOK_EVERY_S = 0.8  # as often as the lease is renewed
LATE_S = 0.4  # a tick and a renewal
PATIENCE_MAX_S = 0.2  # candidates spread over so long
SMALL_WAIT_S = 0.6  # left to VMs with a whole core by one with none


class ElectionTask:
    """Keeps the lease while this node leads, and a link to the leader else.

    Args:
        leadership: The lease.
        hub: Links of the other nodes, while this one leads.
        link: Link to the leader.
        clock: Source of monotonic time.
        rng: Source of randomness.
        capacity: Part of a core that this node may use.
        spawn: Function that runs a coroutine as a task.
    """

    def __init__(
        self, leadership, hub, link, clock, rng, capacity: float, spawn
    ):
        self._leadership = leadership
        self._hub = hub
        self._link = link
        self._clock = clock
        self._spawn = spawn
        # The leader's work and traffic grow with the number of nodes.
        self._patience_s = rng.uniform(0.0, PATIENCE_MAX_S) + (
            SMALL_WAIT_S * max(1.0 - capacity, 0.0)
        )
        self._renew_at = 0.0
        self._renewed_at = float('-inf')
        self._is_extended = False
        self._looked_at = float('-inf')
        self._link_task: asyncio.Task | None = None
        self.address = ''
        self._is_leaving = False
        self.on_renewed = []

    async def run(self) -> None:
        """Leads or follows while the node runs."""
        while True:
            try:
                if self._leadership.is_leader():
                    await self._renew()
                elif self._link_task is None or self._link_task.done():
                    await self._look()
            except errors.StoreUnavailableError as exc:
                logs.event('lease_unreadable', reason=exc.message)
            await asyncio.sleep(TICK_S)

    async def _renew(self) -> None:
        if self._clock.now() < self._renew_at:
            return
        self._renew_at = self._clock.now() + cluster.RENEW_EVERY_S
        if await self._leadership.renew():
            self._note_renewed()
            if self._is_leaving:
                await self._leadership.hand_back()
                return
        else:
            self._renew_at = self._clock.now() + TICK_S
        if not self._leadership.is_leader():
            logs.event('leadership_lost', term=self._leadership.term)
        for listener in self.on_renewed:
            listener()

    async def leave(self) -> None:
        """Lets another node lead, now or once the store lets it.

        While the store is away nobody could take over: this node goes on
        until the first renewal or its end.
        """
        self._is_leaving = True
        if self._is_extended and self._leadership.is_leader():
            logs.event('leadership_kept', term=self._leadership.term)
            return
        try:
            await self._leadership.hand_back()
        except errors.StoreUnavailableError as exc:
            logs.event('lease_not_handed_back', reason=exc.message)

    def go_on(self) -> None:
        """Keeps leading through an outage of the store.

        Called with each beat, since a renewal may wait for the store.
        """
        late_at = self._renewed_at + cluster.RENEW_EVERY_S + LATE_S
        if not self._leadership.is_leader() or self._clock.now() < late_at:
            self._is_extended = False
            return
        if not self._hub.is_followed():
            return
        self._leadership.extend()
        if not self._is_extended:
            self._is_extended = True
            logs.event(
                'leadership_extended',
                term=self._leadership.term,
                since_renewal_ms=int(
                    (self._clock.now() - self._renewed_at) * 1000
                ),
            )

    def _note_renewed(self) -> None:
        self._renewed_at = self._clock.now()
        self._hub.note_renewed()

    async def _look(self) -> None:
        now = self._clock.now()
        if now - self._looked_at >= LOOK_EVERY_S:
            self._looked_at = now
            try:
                await self._leadership.look()
            except errors.StoreUnavailableError:
                self._follow()  # the last known leader may still lead
                raise
        if not await self._take():
            self._follow()

    async def _take(self) -> bool:
        """Takes the lease if it is free.

        Returns:
            Whether this node leads now.
        """
        leadership = self._leadership
        if self._is_leaving or not leadership.may_take(self._patience_s):
            return False
        if not await leadership.take(self.address):
            return False
        self._renew_at = self._clock.now() + cluster.RENEW_EVERY_S
        self._hub.inherit(self._link.nodes)
        self._note_renewed()
        logs.event('leadership_taken', term=leadership.term)
        return True

    def _follow(self) -> None:
        holder = self._leadership.holder
        if holder is None or not holder.node:
            return
        if holder.address != self.address:
            self._link_task = self._spawn(self._link.run_link(holder.address))

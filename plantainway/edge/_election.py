"""Leader election task of a node."""

import asyncio

from plantainway import cluster
from plantainway import errors
from plantainway import logs

TICK_S = 0.25
LEASE_READ_INTERVAL_S = 0.8  # as often as the lease is renewed
# A renewal later than this means that the store does not answer: one tick and
# the duration of a renewal are normal.
RENEWAL_LATE_S = 0.4
# Duration of a renewal that is normal. After a pause of this node the renewal
# is due, but says nothing about the store before it has taken longer.
RENEWAL_ANSWER_S = 0.15
CANDIDATE_DELAY_MAX_S = 0.2  # random, so that candidates do not collide
# Before the other nodes are known, candidates with less than a whole core
# wait up to this much longer.
START_DELAY_S = 0.6
# Once they are known, a candidate with half the capacity of the largest node
# waits this much longer: until each larger one has seen that the lease has
# lapsed, for which an update's interval and a tick may pass.
HALF_CAPACITY_DELAY_S = 0.9
# A node without links to the upstreams leaves the lease to others for longer.
BLIND_DELAY_S = 2.5


class ElectionTask:
    """Keeps this node leading or following.

    Renews the lease while this node leads; otherwise acquires the lease if
    it is free, or links this node to the leader.

    Args:
        leadership: Leader lease.
        hub: Server for the other nodes while this node leads.
        link: Link to the leader.
        clock: Source of monotonic time.
        rng: Source of randomness.
        capacity: Fraction of a core that this node may use.
        spawn: Function that runs a coroutine as a task.

    Attributes:
        address: ``IP:PORT`` of this node's hub; set before ``run``.
        is_blind: Function that returns whether this node has lost its links
            to the upstreams while others have not; set by the node.
        on_renewal_attempt: Called after a renewal was written or failed,
            unless it raised an error or the lease was then released.
        on_acquired: Called after this node has become the leader.
    """

    def __init__(
        self, leadership, hub, link, clock, rng, capacity: float, spawn
    ):
        self._leadership = leadership
        self._hub = hub
        self._leader_link = link
        self._clock = clock
        self._spawn = spawn
        self._capacity = capacity
        self._random_delay_s = rng.uniform(0.0, CANDIDATE_DELAY_MAX_S)
        self._renew_at = 0.0
        self._renewed_at = float('-inf')
        self._first_tried_at: float | None = None  # after that
        self._is_extended = False
        self._lease_read_at = float('-inf')
        self._link_task: asyncio.Task | None = None
        self.address = ''
        self.is_blind = bool
        self._is_leaving = False
        self._led_term: int | None = None
        self.on_renewal_attempt = []
        self.on_acquired = []

    async def run(self) -> None:
        """Leads or follows until cancelled."""
        while True:
            self._record_leadership()
            try:
                if self._may_hand_over():
                    await self._hand_over()
                elif self._leadership.is_leader():
                    await self._renew()
                elif not self._is_following():
                    await self._acquire_or_follow()
            except errors.StoreUnavailableError as exc:
                logs.event('lease_unreadable', reason=exc.message)
            await asyncio.sleep(TICK_S)

    def _record_leadership(self) -> None:
        """Logs that this node leads no more, however it came about."""
        if self._leadership.is_leader():
            self._led_term = self._leadership.term
        elif self._led_term is not None:
            logs.event(
                'leadership_lost',
                term=self._led_term,
                since_renewal_ms=int(
                    (self._clock.now() - self._renewed_at) * 1000
                ),
                renewal_due_ms=int(
                    (self._clock.now() - self._renew_at) * 1000
                ),
            )
            self._led_term = None

    def _is_following(self) -> bool:
        """Returns whether a leader sends this node updates.

        False while a link is being opened: the connection to a dead leader
        hangs for longer than other candidates wait.
        """
        return (
            self._link_task is not None
            and not self._link_task.done()
            and self._leader_link.is_receiving
        )

    def _candidate_delay_s(self) -> float:
        """Returns how long to leave a free lease to other candidates.

        Prefers large nodes, since the processor time and the traffic of the
        leader grow with the number of nodes.
        """
        if self.is_blind():
            return self._random_delay_s + BLIND_DELAY_S
        known = [item.weight for item in self._leader_link.nodes]
        if known:
            missing = max(1.0 - self._capacity / max(known), 0.0)
            return self._random_delay_s + 2 * HALF_CAPACITY_DELAY_S * missing
        missing = max(1.0 - self._capacity, 0.0)
        return self._random_delay_s + START_DELAY_S * missing

    async def _renew(self) -> None:
        if self._clock.now() < self._renew_at:
            return
        now = self._clock.now()
        self._renew_at = now + cluster.RENEW_EVERY_S
        if self._first_tried_at is None:
            self._first_tried_at = now
        if await self._leadership.renew():
            self._record_renewal()
            if self._is_leaving:
                await self._leadership.release()
                return
        else:
            self._renew_at = self._clock.now() + TICK_S
        self._record_leadership()
        for listener in self.on_renewal_attempt:
            listener()

    def _may_hand_over(self) -> bool:
        """Returns whether another node should lead, and can.

        During an outage of the store no node could acquire the lease.
        """
        return (
            self._leadership.is_leader()
            and self.is_blind()
            and not self._is_extended
        )

    async def _hand_over(self) -> None:
        """Releases the lease to a node that reaches the upstreams."""
        logs.event('leadership_handed_over', term=self._leadership.term)
        self._led_term = None
        self._leader_link.nodes = self._hub.live_nodes()
        await self._leadership.release()

    async def resign(self) -> None:
        """Releases the lease for good; called when this node shuts down.

        During an outage of the store no node could acquire the lease.
        This node then keeps leading, and releases the lease after the first
        renewal that succeeds, or stops with the process.
        """
        self._is_leaving = True
        if self._is_extended and self._leadership.is_leader():
            logs.event('leadership_kept', term=self._leadership.term)
            return
        self._led_term = None
        try:
            await self._leadership.release()
        except errors.StoreUnavailableError as exc:
            logs.event('lease_not_handed_back', reason=exc.message)

    def extend_if_late(self) -> None:
        """Extends the leadership if a renewal is late and nodes follow.

        Keeps this node leading through an outage of the store. Called with
        each heartbeat received, since a renewal may block on the store. Those
        that lay unread while this node was paused do not show that their
        senders still follow.
        """
        if not self._leadership.is_leader() or not self._is_renewal_late():
            self._is_extended = False
            return
        if not self._hub.has_enough_followers():
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

    def _is_renewal_late(self) -> bool:
        """Returns whether the store has not answered a renewal in time.

        A renewal that this node has not sent yet does not count.
        """
        if self._first_tried_at is None:
            return False
        return self._clock.now() >= max(
            self._renewed_at + cluster.RENEW_EVERY_S + RENEWAL_LATE_S,
            self._first_tried_at + RENEWAL_ANSWER_S,
        )

    def _record_renewal(self) -> None:
        self._renewed_at = self._clock.now()
        self._first_tried_at = None
        self._hub.record_link_count()

    async def _acquire_or_follow(self) -> None:
        now = self._clock.now()
        if now - self._lease_read_at >= LEASE_READ_INTERVAL_S:
            self._lease_read_at = now
            try:
                await self._leadership.read_lease()
            except errors.StoreUnavailableError:
                self._link_to_leader()  # the last known leader may still lead
                raise
        if not await self._try_acquire():
            self._link_to_leader()

    async def _try_acquire(self) -> bool:
        """Acquires the lease if it is free.

        Returns:
            Whether this node is the leader now.
        """
        leadership = self._leadership
        if self._is_leaving or not leadership.may_acquire(
            self._candidate_delay_s()
        ):
            return False
        previous = leadership.holder
        if not await leadership.acquire(self.address):
            return False
        if self._link_task is not None:
            self._link_task.cancel()
        self._renew_at = self._clock.now() + cluster.RENEW_EVERY_S
        self._hub.adopt_nodes(self._leader_link.nodes)
        self._record_renewal()
        self._led_term = leadership.term
        logs.event(
            'leadership_taken',
            term=leadership.term,
            previous=previous.node if previous else '',
            previous_term=previous.term if previous else 0,
            previous_count=previous.count if previous else 0,
        )
        for listener in self.on_acquired:
            listener()
        return True

    def _link_to_leader(self) -> None:
        holder = self._leadership.holder
        if holder is None or not holder.node or not holder.address:
            return
        if self._link_task is not None and not self._link_task.done():
            return
        if holder.address != self.address:
            self._link_task = self._spawn(
                self._leader_link.run_link(holder.address)
            )

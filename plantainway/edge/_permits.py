"""Permits for upstreams that limit the rate of requests of all nodes."""

import asyncio

from plantainway import errors
from plantainway import ratelimits
from plantainway import traffic

# An upstream that no answer has been heard of for this long is asked.
CONFIRM_AFTER_S = 2.0
CONFIRM_INTERVAL_S = 1.0
TICK_S = 0.1
# A permit for a cold upstream that would be used later is dropped: the burst
# of such an upstream allows only for this and the time to connect.
PERMIT_LATE_MAX_S = 0.1
ATTEMPTS_MAX = 2  # requests for a permit, if the first one is late
LEADER_RETRY_AFTER_S = 0.5  # a lost leader is noticed within about a second


class PermitSource(traffic.BasePermitSource):
    """Gets permits from the leader, or from the shares of this node.

    Args:
        node: Name of this node.
        limits: The limits that upstreams have named.
        issuer: Issues permits while this node leads.
        shares: What this node may send while it hears of no leader.
        leadership: Leader lease.
        link: Link to the leader.
        clock: Source of monotonic time.
    """

    def __init__(self, node, limits, issuer, shares, leadership, link, clock):
        self._node = node
        self._limits = limits
        self._issuer = issuer
        self._shares = shares
        self._leadership = leadership
        self._link = link
        self._clock = clock

    def is_limited(self, upstream) -> bool:
        """Returns whether an upstream has named a limit or is cold."""
        return self._limits.find(upstream) is not None

    async def acquire(self, upstreams, max_wait_s: float):
        """Waits until one request may be sent; see the base class."""
        names = [one.name for one in upstreams]
        wait_until = self._clock.now() + max_wait_s
        for _ in range(ATTEMPTS_MAX):
            asked_at = self._clock.now()
            permit = await self._request(
                names, max(wait_until - asked_at, 0.0)
            )
            if not permit.upstream:
                break
            if permit.wait_s > 0:
                await asyncio.sleep(permit.wait_s)
            late_s = self._clock.now() - asked_at - permit.wait_s
            is_cold = self._limits.is_cold(permit.upstream)
            if late_s <= PERMIT_LATE_MAX_S or not is_cold:
                return next(
                    one for one in upstreams if one.name == permit.upstream
                )
            permit = ratelimits.Permit('', LEADER_RETRY_AFTER_S)
        raise errors.NotRunError(
            'upstreams take no more requests for now',
            'permit',
            reason=traffic.REASON_LIMITED,
            retry_after_s=permit.wait_s,
        )

    async def _request(self, names, max_wait_s: float) -> ratelimits.Permit:
        if self._leadership.is_leader():
            permit = self._issuer.issue(self._node, names, max_wait_s)
        elif self._link.is_receiving:
            permit = await self._request_from_leader(names, max_wait_s)
        else:
            permit = self._request_from_shares(names)
        if permit.upstream in names:
            self._shares.record_sent(permit.upstream)
            return permit
        return ratelimits.Permit('', permit.wait_s)

    async def _request_from_leader(self, names, max_wait_s: float):
        if self._shares.has_cold_parts:
            cold = [
                name
                for name in names
                if self._limits.find_cold_by_name(name) is not None
            ]
            permit = self._request_from_shares(cold)
            if permit.upstream or len(cold) == len(names):
                return permit
            names = [name for name in names if name not in cold]
        try:
            return await self._link.request_permit(names, max_wait_s)
        except errors.LeaderUnavailableError:
            return ratelimits.Permit('', LEADER_RETRY_AFTER_S)

    def _request_from_shares(self, names) -> ratelimits.Permit:
        for name in names:
            if self._shares.may_send(name):
                return ratelimits.Permit(name, 0.0)
        return ratelimits.Permit('', self._shares.retry_after_s(names))

    def forget(self, name: str) -> None:
        """Drops the limit of an upstream that no longer exists."""
        self._limits.forget(name)
        self._issuer.forget(name)
        self._shares.forget(name)


class LimitTask:
    """Keeps the limits known to this node in touch with the other nodes.

    While this node leads it also asks upstreams that no one calls whether
    their limits still hold.

    Args:
        node: Name of this node.
        limits: The limits that upstreams have named.
        issuer: Issues permits while this node leads.
        shares: What this node may send while it hears of no leader.
        leadership: Leader lease.
        link: Link to the leader.
        ask: Coroutine function that asks an upstream, given by name, for any
            answer.
        spawn: Function that runs a coroutine as a task.
        clock: Source of monotonic time.
    """

    def __init__(
        self,
        node,
        limits,
        issuer,
        shares,
        leadership,
        link,
        ask,
        spawn,
        clock,
    ):
        self._node = node
        self._limits = limits
        self._issuer = issuer
        self._shares = shares
        self._leadership = leadership
        self._link = link
        self._ask = ask
        self._spawn = spawn
        self._clock = clock
        self._ask_at = float('-inf')

    def handle_acquired(self) -> None:
        """Starts to issue permits, as the leader."""
        self.update_touch(is_leader=False)
        others = {info.node for info in self._link.nodes}
        others |= set(self._link.absent_nodes)
        self._issuer.begin_term(others - {self._node}, self._shares.shares())
        self.update_touch(is_leader=True)

    def handle_heartbeat(self, beat, delay_s: float) -> None:
        """Records the limits and shares in a node's heartbeat.

        Args:
            beat: The heartbeat.
            delay_s: Longest time that it may have been on its way.
        """
        self._limits.merge(beat.limits, delay_s)
        self._limits.cold.merge(beat.cold)
        self._issuer.record_heard(beat.info.node, beat.shares)

    def handle_update(self, update) -> None:
        """Records the limits in an update of the leader.

        Args:
            update: The update.
        """
        if update.limits is not None:
            self._limits.merge(update.limits, self._link.update_delay_s)
        if update.cold is None:
            nodes = [info.node for info in self._link.nodes]
            self._shares.begin_cold_parts(nodes)
        else:
            self._shares.end_cold_parts()
            self._limits.cold.merge(update.cold)

    def update_touch(self, is_leader: bool) -> None:
        """Fixes the shares of this node when it hears of no leader.

        Args:
            is_leader: Whether this node leads.
        """
        self._shares.update(
            is_leader or self._link.is_receiving,
            [info.node for info in self._link.nodes],
            self._link.last_update_at,
        )

    async def run(self) -> None:
        """Follows the state of the link until cancelled."""
        while True:
            is_leader = self._leadership.is_leader()
            self.update_touch(is_leader)
            self._limits.cold.expire()
            if is_leader:
                self._ask_unconfirmed()
            await asyncio.sleep(TICK_S)

    def _ask_unconfirmed(self) -> None:
        if self._clock.now() < self._ask_at:
            return
        self._ask_at = self._clock.now() + CONFIRM_INTERVAL_S
        for name in self._limits.unconfirmed(CONFIRM_AFTER_S):
            self._spawn(self._ask(name))

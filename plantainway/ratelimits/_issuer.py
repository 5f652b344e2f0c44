"""Permits to send requests to limited upstreams, issued by the leader."""

import collections
import dataclasses

from plantainway.ratelimits import _cold
from plantainway.ratelimits import _shares
from plantainway.ratelimits import _window

BURST_S = 0.5  # an unused limit may be caught up with for this long
NODE_TIMEOUT_S = 1.2  # a node without a heartbeat for longer keeps its share
# Longer than any node keeps a share, by the time an update is on its way.
RESERVATION_TTL_S = _shares.SHARE_TTL_S + 2.0
# Permits are kept for as long as the share of a node may be asked for.
ISSUED_TTL_S = _shares.SHARE_WINDOW_S + 2 * NODE_TIMEOUT_S
UNKNOWN_RETRY_AFTER_S = 2.0  # while no permit is in sight
UPDATE_INTERVAL_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """Answer to a node that asks where it may send one request.

    ``upstream`` is empty if there is no permit; ``wait_s`` is then the time
    to the next one, otherwise the time to wait before sending.
    """

    upstream: str
    wait_s: float


class _Schedule:
    """Times at which one upstream may be sent a request.

    ``next_at`` is when the next permit would fall due if they were evenly
    spaced; a permit may be issued up to ``burst_s`` before that. ``limit`` is
    what the upstream has named, ``per_second`` what is left of it without
    what is held back, until ``update_at``.
    """

    def __init__(self, now: float, burst_s: float):
        self.created_at = now
        self.burst_s = burst_s
        self.next_at = now + burst_s
        self.limit = 0.0
        self.per_second = 0.0
        self.update_at = float('-inf')
        self.issued: collections.deque = collections.deque()

    def set_rate(self, per_second: float, now: float) -> None:
        if per_second != self.per_second and self.next_at > now:
            ahead = (self.next_at - now) * self.per_second
            if per_second and self.per_second:
                self.next_at = now + ahead / per_second
        self.per_second = per_second

    def wait_s(self, now: float) -> float:
        """Returns the seconds until a permit may be used."""
        if not self.per_second:
            return float('inf')
        return max(self.next_at - self.burst_s - now, 0.0)

    def take(self, node: str, now: float) -> None:
        """Issues the next permit."""
        self.next_at = max(self.next_at, now) + 1 / self.per_second
        self.issued.append((now, node))
        while self.issued[0][0] < now - ISSUED_TTL_S:
            self.issued.popleft()


class PermitIssuer:
    """Divides the limits of upstreams among the nodes, request by request.

    All nodes together get as many permits as a limit allows. What a node that
    is not heard of may go on sending is held back, until it is heard of again
    or can't do so any more.

    Args:
        node: Name of this node.
        limits: The limits that upstreams have named.
        clock: Source of monotonic time.
    """

    def __init__(self, node: str, limits, clock):
        self._node = node
        self._limits = limits
        self._clock = clock
        self._schedules: dict[str, _Schedule] = {}
        self._heard_at: dict[str, float] = {}
        self._silent: dict[str, tuple[float, dict[str, int]]] = {}
        self._unaccounted: set[str] = set()
        self._unaccounted_until = float('-inf')
        self._returned: dict[str, float] = {}  # until when, by node
        self._cold_held_back: dict[float, int] = {}  # by rate
        self._handed_over: collections.Counter = collections.Counter()
        self._limited_at_start: frozenset = frozenset()
        self._update_at = float('-inf')

    def begin_term(self, nodes, own_shares: dict[str, int]) -> None:
        """Starts anew, on becoming the leader.

        Args:
            nodes: Names of the other nodes that may hold shares.
            own_shares: Shares of this node, by upstream.
        """
        self._schedules.clear()
        self._heard_at.clear()
        self._silent.clear()
        self._returned.clear()
        self._cold_held_back.clear()
        self._unaccounted = set(nodes)
        self._unaccounted_until = self._clock.now() + RESERVATION_TTL_S
        self._handed_over = collections.Counter(own_shares)
        self._limited_at_start = frozenset(self._limits.in_force())

    def record_heard(self, node: str, shares: dict[str, int]) -> None:
        """Records a heartbeat of a node, which is in touch now.

        Args:
            node: Name of the node.
            shares: Shares that it held until now, by upstream.
        """
        if node not in self._heard_at or node in self._unaccounted:
            self._cold_held_back.clear()
        now = self._heard_at[node] = self._clock.now()
        if self._silent.pop(node, None) or node in self._unaccounted:
            # It may just have used its part of what a cold upstream takes.
            self._returned[node] = now + _cold.COLD_WINDOW_S
        if node in self._unaccounted:
            self._unaccounted.discard(node)
            self._handed_over.update(shares)

    def record_lost(self, node: str) -> None:
        """Records that the link to a node has ended.

        Args:
            node: Name of the node.
        """
        heard_at = self._heard_at.pop(node, None)
        if heard_at is not None:
            self._hold_back(node, heard_at)

    def _hold_back(self, node: str, heard_at: float) -> None:
        oldest = heard_at - _shares.SHARE_WINDOW_S
        shares = {
            name: sum(
                at >= oldest and issued_to == node
                for at, issued_to in schedule.issued
            )
            for name, schedule in self._schedules.items()
            if schedule.created_at < heard_at
        }
        self._silent[node] = (heard_at + RESERVATION_TTL_S, shares)
        self._cold_held_back.clear()

    def absent_nodes(self) -> list[str]:
        """Returns the nodes that may be using shares of their own."""
        self._update_absent()
        return sorted(self._silent.keys() | self._unaccounted)

    def _update_absent(self) -> None:
        now = self._clock.now()
        if now < self._update_at:
            return
        self._update_at = now + UPDATE_INTERVAL_S
        self._cold_held_back.clear()
        for node, heard_at in list(self._heard_at.items()):
            if now - heard_at > NODE_TIMEOUT_S:
                self.record_lost(node)
        self._silent = {
            node: (until, shares)
            for node, (until, shares) in self._silent.items()
            if now < until
        }
        self._returned = {
            node: until
            for node, until in self._returned.items()
            if now < until
        }
        if now >= self._unaccounted_until:
            self._unaccounted.clear()

    def _held_back(self, upstream: str, per_second: float) -> int:
        """Returns how much of a limit absent nodes may use in a window.

        Of a limit that has been named since they were lost they use equal
        parts.
        """
        if not self._silent and not self._unaccounted:
            return 0
        units = _shares.units(per_second)
        nodes = self._nodes()
        largest = _shares.max_share(per_second, len(nodes))
        count = 0
        later = set()
        for node, (_until, shares) in self._silent.items():
            if upstream in shares:
                count += min(shares[upstream], largest)
            else:
                later.add(node)
        if upstream in self._limited_at_start:
            count += min(
                len(self._unaccounted) * largest,
                max(units - self._handed_over[upstream], 0),
            )
        else:
            later |= self._unaccounted
        if later:
            quotas = _window.equal_quotas(units, nodes)
            count += sum(quotas[node] for node in later)
        return count

    def _held_back_cold(self, per_second: float) -> int:
        """Returns how much of a cold upstream's rate other nodes may use.

        That is the equal parts, in a window, of the nodes that are absent or
        were so until the window began.
        """
        absent = self._silent.keys() | self._returned.keys()
        absent |= self._unaccounted
        if not absent:
            return 0
        if per_second not in self._cold_held_back:
            self._cold_held_back[per_second] = self._sum_parts(
                absent, per_second
            )
        return self._cold_held_back[per_second]

    def _sum_parts(self, absent, per_second: float) -> int:
        units = _shares.units(per_second, _cold.COLD_WINDOW_S)
        quotas = _window.equal_quotas(units, self._nodes())
        return sum(quotas[node] for node in absent)

    def _nodes(self) -> set[str]:
        nodes = self._heard_at.keys() | self._silent.keys()
        return nodes | self._unaccounted | {self._node}

    def issue(self, node: str, upstreams, max_wait_s: float) -> Permit:
        """Issues a permit for one of some upstreams.

        Args:
            node: Name of the node that asks.
            upstreams: Names of the upstreams, the best first.
            max_wait_s: Longest time for which the request can wait.

        Returns:
            The permit that can be used first.
        """
        self._update_absent()
        now = self._clock.now()
        best, best_wait_s, best_schedule = '', float('inf'), None
        for name in upstreams:
            schedule, wait_s = self._look_up(name, now)
            if wait_s < best_wait_s:
                best, best_wait_s, best_schedule = name, wait_s, schedule
        if best_wait_s > max_wait_s:
            return Permit('', min(best_wait_s, UNKNOWN_RETRY_AFTER_S))
        if best_schedule is not None:
            best_schedule.take(node, now)
        return Permit(best, best_wait_s)

    def _look_up(self, name: str, now: float):
        """Returns the schedule of an upstream and the wait for a permit."""
        per_second = self._limits.find_by_name(name)
        if per_second is None:
            return None, 0.0
        schedule = self._schedules.get(name)
        if schedule is None:
            schedule = _Schedule(now, self._burst_s(name, per_second))
            self._schedules[name] = schedule
        if now >= schedule.update_at or per_second != schedule.limit:
            schedule.update_at = now + UPDATE_INTERVAL_S
            schedule.limit = per_second
            schedule.burst_s = self._burst_s(name, per_second)
            rate = self._rate(name, per_second)
            schedule.set_rate(max(rate, 0.0), now)
        return schedule, schedule.wait_s(now)

    def _burst_s(self, name: str, per_second: float) -> float:
        """Returns for how long an unused limit may be caught up with."""
        if not self._limits.is_cold(name):
            return BURST_S
        burst = self._limits.cold.burst(per_second)
        return min(burst / max(per_second, 1.0), BURST_S)

    def _rate(self, name: str, per_second: float) -> float:
        """Returns what is left of a limit without what is held back."""
        if not self._limits.is_cold(name):
            held_back = self._held_back(name, per_second)
            return per_second - held_back / _shares.SHARE_WINDOW_S
        held_back = self._held_back_cold(per_second)
        return per_second - held_back / _cold.COLD_WINDOW_S

    def forget(self, upstream: str) -> None:
        """Drops the schedule of an upstream that no longer exists.

        Args:
            upstream: Name of the upstream.
        """
        self._schedules.pop(upstream, None)

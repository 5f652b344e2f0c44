"""What a node may send to limited upstreams while it hears of no leader."""

import math

from plantainway.ratelimits import _cold
from plantainway.ratelimits import _window

# A share is a number of requests in any window of this length.
SHARE_WINDOW_S = 4.0
# A node that hears of no leader for longer sends nothing to them any more.
SHARE_TTL_S = 30.0
# A share is at most this many times the equal part of a limit.
SHARE_MAX_PARTS = 2
# The leader may take 1.6 s to hold back the part of a silent node; what it
# issued before has left the window of a cold upstream a second later.
COLD_SHARE_DELAY_S = 2.6


def units(per_second: float, window_s: float = SHARE_WINDOW_S) -> int:
    """Returns how many requests a limit allows in a window.

    Args:
        per_second: The limit in requests a second.
        window_s: Length of the window in seconds.
    """
    return int(per_second * window_s)


def max_share(per_second: float, node_count: int) -> int:
    """Returns the largest share of a limit that one node keeps.

    Args:
        per_second: The limit in requests a second.
        node_count: Number of nodes.
    """
    part = SHARE_MAX_PARTS * units(per_second) / max(node_count, 1)
    return max(math.ceil(part), 1)


class KeptShares:
    """This node's shares of limits, for the time without a leader.

    A share is what the node has sent in the window before it lost touch. The
    requests of that window count, so that all nodes together go on sending as
    much as they did. Of a limit that becomes known later each node has an
    equal part, and of the rate of a cold upstream an equal part of what it
    takes in ``COLD_WINDOW_S``.

    Args:
        node: Name of this node.
        limits: The limits that upstreams have named.
        clock: Source of monotonic time.

    Attributes:
        has_cold_parts: Whether this node uses its equal parts of the rates of
            cold upstreams, although it hears of a leader.
    """

    def __init__(self, node: str, limits, clock):
        self._node = node
        self._limits = limits
        self._clock = clock
        self._sent: dict[str, _window.SlidingWindow] = {}
        self._shares: dict[str, int] = {}
        self._equal_parts: dict[int, int] = {}
        self._nodes: frozenset = frozenset()
        self._valid_until = float('-inf')
        self._cold_from = float('inf')
        self._is_in_touch = True
        self.has_cold_parts = False

    def record_sent(self, upstream: str) -> None:
        """Counts a request to a limited upstream.

        Args:
            upstream: Name of the upstream.
        """
        window = self._sent.get(upstream)
        if window is None:
            window = self._sent[upstream] = _window.SlidingWindow(self._clock)
        window.count(SHARE_WINDOW_S)  # drops what is older
        window.add()

    def forget(self, upstream: str) -> None:
        """Drops what was sent to an upstream that no longer exists.

        Args:
            upstream: Name of the upstream.
        """
        self._sent.pop(upstream, None)
        self._shares.pop(upstream, None)

    def update(self, is_in_touch: bool, nodes, heard_at: float) -> None:
        """Fixes the shares when touch with the leader is lost.

        Args:
            is_in_touch: Whether this node leads or hears of the leader.
            nodes: Names of the nodes as last known.
            heard_at: Monotonic seconds when the leader was last heard of.
        """
        if is_in_touch:
            self._is_in_touch = True
            return
        if not self._is_in_touch:
            return
        self._is_in_touch = False
        self._nodes = frozenset(nodes) | {self._node}
        self._cold_from = heard_at + COLD_SHARE_DELAY_S
        self._equal_parts.clear()
        self._valid_until = heard_at + SHARE_TTL_S
        self._shares = {
            name: min(self._sent_count(name), self._max_share(per_second))
            for name, per_second in self._limits.in_force().items()
        }

    def begin_cold_parts(self, nodes) -> None:
        """Uses equal parts of cold upstreams while in touch with the leader.

        A leader of an earlier build permits any number of requests to them.

        Args:
            nodes: Names of the nodes as last known.
        """
        known = frozenset(nodes) | {self._node}
        if not self.has_cold_parts:
            self._cold_from = self._clock.now() + COLD_SHARE_DELAY_S
        elif known == self._nodes:
            return
        self.has_cold_parts = True
        self._nodes = known
        self._equal_parts.clear()

    def end_cold_parts(self) -> None:
        """Leaves the permits for cold upstreams to the leader again."""
        self.has_cold_parts = False

    def _max_share(self, per_second: float) -> int:
        return max_share(per_second, len(self._nodes))

    def _sent_count(self, upstream: str) -> int:
        window = self._sent.get(upstream)
        return window.count(self._window_s(upstream)) if window else 0

    def _window_s(self, upstream: str) -> float:
        if self._limits.is_cold(upstream):
            return _cold.COLD_WINDOW_S
        return SHARE_WINDOW_S

    def try_send(self, upstream: str) -> bool:
        """Counts a request to a limited upstream, if the share allows it.

        Args:
            upstream: Name of the upstream.

        Returns:
            Whether the request may be sent.
        """
        if not self.may_send(upstream):
            return False
        self.record_sent(upstream)
        return True

    def may_send(self, upstream: str) -> bool:
        """Returns whether the share of an upstream allows a request.

        Args:
            upstream: Name of the upstream.
        """
        return self._sent_count(upstream) < self._share(upstream)

    def retry_after_s(self, upstreams) -> float:
        """Returns the seconds until one of the shares allows a request.

        Args:
            upstreams: Names of the upstreams.
        """
        return min(
            (
                self._sent[name].remaining_s(self._window_s(name))
                for name in upstreams
                if name in self._sent and self._share(name)
            ),
            default=SHARE_WINDOW_S,
        )

    def shares(self) -> dict[str, int]:
        """Returns the shares in force by upstream, empty while in touch."""
        if not self._is_valid():
            return {}
        names = self._shares.keys() | self._limits.in_force().keys()
        names |= self._limits.cold_in_force().keys()
        shares = {name: self._share(name) for name in names}
        return {name: share for name, share in shares.items() if share}

    def _is_valid(self) -> bool:
        return not self._is_in_touch and self._clock.now() < self._valid_until

    def _share(self, name: str) -> int:
        """Returns the share of one upstream, 0 if the leader decides."""
        uses_cold_part = self._is_in_touch and self.has_cold_parts
        if not self._is_valid() and not uses_cold_part:
            return 0
        cold_per_s = self._limits.find_cold_by_name(name)
        if cold_per_s is not None:
            if self._clock.now() < self._cold_from:
                return 0
            return self._equal_part(units(cold_per_s, _cold.COLD_WINDOW_S))
        if uses_cold_part:
            return 0
        if name not in self._shares:
            per_second = self._limits.find_named(name)
            if per_second is None:
                return 0
            self._shares[name] = self._equal_part(units(per_second))
        return self._shares[name]

    def _equal_part(self, count: int) -> int:
        """Returns this node's part of some units."""
        if count not in self._equal_parts:
            self._equal_parts[count] = _window.equal_quota(
                count, self._node, self._nodes
            )
        return self._equal_parts[count]

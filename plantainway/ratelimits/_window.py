"""Uses within a sliding window, and equal parts of a number of units."""

import collections


class SlidingWindow:
    """Times of uses, of which those within a window count.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._used_at: collections.deque = collections.deque()

    def add(self) -> None:
        """Counts a use now."""
        self._used_at.append(self._clock.now())

    def count(self, window_s: float) -> int:
        """Returns the uses within the window, and drops older ones.

        Args:
            window_s: Length of the window in seconds.
        """
        oldest = self._clock.now() - window_s
        while self._used_at and self._used_at[0] <= oldest:
            self._used_at.popleft()
        return len(self._used_at)

    def remaining_s(self, window_s: float) -> float:
        """Returns the seconds until the oldest use leaves the window.

        Args:
            window_s: Length of the window in seconds.
        """
        if not self._used_at:
            return 0.0
        return max(self._used_at[0] + window_s - self._clock.now(), 0.0)


def equal_quotas(units: int, nodes) -> dict[str, int]:
    """Returns the parts of some units by node.

    The parts are equal; the nodes that come first by name get one unit of
    the remainder each.

    Args:
        units: Number of units.
        nodes: Names of the nodes, at least one.
    """
    names = sorted(nodes)
    share, remainder = divmod(units, len(names))
    return {
        name: share + (index < remainder) for index, name in enumerate(names)
    }


def equal_quota(units: int, node: str, nodes) -> int:
    """Returns a node's part of some units, 0 if it is not among the nodes.

    Args:
        units: Number of units.
        node: Name of the node.
        nodes: Names of all nodes that share the units.
    """
    return equal_quotas(units, nodes).get(node, 0) if nodes else 0

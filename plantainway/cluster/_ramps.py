"""Sums of the first events at heads that are ramped up, over all nodes."""


class RampSums:
    """Adds up the first events that nodes report for heads with a ramp.

    A node reports running numbers, which restart with each ramp of its own
    and are left out before the first choice of the head.
    A sum never falls while any node has a ramp of the head, so that nodes
    whose ramps end first take nothing from the others.
    """

    def __init__(self):
        self._sums: dict[str, tuple[int, int]] = {}
        self._known: dict[str, dict[str, tuple[int, int]]] = {}

    def add(self, node: str, results: dict[str, tuple[int, int]]) -> None:
        """Adds what a node reports.

        Args:
            node: Name of the node.
            results: Fast and slow first events since the node's ramp has
                begun, by head and epoch.
        """
        for key, by_node in self._known.items():
            if key not in results:
                by_node.pop(node, None)
        for key, counts in results.items():
            by_node = self._known.setdefault(key, {})
            known = by_node.get(node, (0, 0))
            # Lower numbers are those of a message that was overtaken.
            fast, slow = map(max, counts, known)
            by_node[node] = (fast, slow)
            total = self._sums.get(key, (0, 0))
            self._sums[key] = (
                total[0] + fast - known[0],
                total[1] + slow - known[1],
            )

    def retain(self, keys) -> dict[str, tuple[int, int]]:
        """Drops the sums of heads that no node ramps up any more.

        Args:
            keys: Heads and epochs that live nodes report.

        Returns:
            The sums that are left.
        """
        for key in self._sums.keys() - keys:
            del self._sums[key], self._known[key]
        return dict(self._sums)

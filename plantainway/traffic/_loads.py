"""Requests in progress at each upstream: this node's and the others'."""

import collections


class LoadTracker:
    """Counts of requests in progress by upstream."""

    def __init__(self):
        self.local_counts: collections.Counter = collections.Counter()
        self._others: dict[str, int] = {}

    def started(self, name: str) -> None:
        """Notes that this node sends a request to an upstream.

        Args:
            name: Name of the upstream.
        """
        self.local_counts[name] += 1

    def ended(self, name: str) -> None:
        """Notes that one of this node's requests has ended.

        Args:
            name: Name of the upstream.
        """
        self.local_counts[name] -= 1
        if self.local_counts[name] <= 0:
            del self.local_counts[name]

    def set_remote_counts(self, counts: dict[str, int]) -> None:
        """Takes what the other nodes have in progress.

        Args:
            counts: Requests in progress by upstream.
        """
        self._others = counts

    def total(self, name: str) -> int:
        """Returns the requests in progress at an upstream.

        Args:
            name: Name of the upstream.
        """
        return self.local_counts.get(name, 0) + self._others.get(name, 0)

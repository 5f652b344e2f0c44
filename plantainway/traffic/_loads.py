"""Counts of requests in progress at each upstream, over all nodes."""

import collections


class LoadTracker:
    """Counts requests in progress by upstream.

    ``local_counts`` holds the requests that this node has sent.
    """

    def __init__(self):
        self.local_counts: collections.Counter = collections.Counter()
        self._remote_counts: dict[str, int] = {}

    def increment(self, name: str) -> None:
        """Counts a request that this node sends to an upstream.

        Args:
            name: Name of the upstream.
        """
        self.local_counts[name] += 1

    def decrement(self, name: str) -> None:
        """Removes one of this node's requests, which has ended.

        Args:
            name: Name of the upstream.
        """
        self.local_counts[name] -= 1
        if self.local_counts[name] <= 0:
            del self.local_counts[name]

    def set_remote_counts(self, counts: dict[str, int]) -> None:
        """Replaces the counts of the other nodes.

        Args:
            counts: Their requests in progress by upstream.
        """
        self._remote_counts = counts

    def total(self, name: str) -> int:
        """Returns the number of requests that all nodes have at an upstream.

        Args:
            name: Name of the upstream.
        """
        return self.local_counts.get(name, 0) + self._remote_counts.get(
            name, 0
        )

"""Estimated load of upstreams: own requests and those of other nodes."""

import collections
import math

EWMA_WEIGHT = 0.2  # of each new report in the moving averages
OWN_GROWTH_MAX = 1.25  # factor over the moving average of own requests


class _HeadLoad:
    """Moving averages of one head VM, updated with each report."""

    __slots__ = ('reported', 'reported_mean', 'own_mean')

    def __init__(self, reported: int, own: int):
        self.reported = reported
        self.reported_mean = float(reported)
        self.own_mean = float(own)


class LoadEstimator:
    """Estimates the number of requests at each head VM.

    Own requests are known exactly. A report lags by an unknown time, so its
    difference from the present number of own requests says little. The
    moving average of the reports less that of the own requests, however,
    estimates the requests of other nodes, whatever the lag.
    """

    def __init__(self):
        self._heads: dict[str, _HeadLoad] = {}
        self._own: collections.Counter = collections.Counter()

    def record_report(self, loads: dict[str, list[int]]) -> None:
        """Updates the averages with reported loads.

        Args:
            loads: Numbers of requests running and waiting, by head VM.
        """
        for vm, (running, waiting) in loads.items():
            total = running + waiting
            own = self._own[vm]
            head = self._heads.get(vm)
            if head is None:
                self._heads[vm] = _HeadLoad(total, own)
                continue
            head.reported = total
            head.reported_mean += EWMA_WEIGHT * (total - head.reported_mean)
            head.own_mean += EWMA_WEIGHT * (own - head.own_mean)

    def record_sent(self, vm: str) -> None:
        """Counts an own request that is sent.

        Args:
            vm: Head VM that it is sent to.
        """
        self._own[vm] += 1

    def record_ended(self, vm: str) -> None:
        """Removes an own request that has ended from the count.

        Args:
            vm: Head VM that it was sent to.
        """
        self._own[vm] -= 1

    def last_reported(self, vm: str) -> int:
        """Returns the number of requests that a VM reported last.

        Args:
            vm: Head VM.
        """
        head = self._heads.get(vm)
        return head.reported if head else 0

    def estimated_requests(self, vm: str) -> float:
        """Returns the estimated number of requests at a VM, of all nodes.

        Args:
            vm: Head VM.
        """
        return self._own[vm] + self._requests_of_others(vm)

    def _requests_of_others(self, vm: str) -> float:
        head = self._heads.get(vm)
        if head is None:
            return 0.0
        return max(head.reported_mean - head.own_mean, 0.0)

    def has_room_for_own(self, vm: str, limit: float, nodes: int) -> bool:
        """Returns whether a VM may get one more request from this node.

        A node may always use an equal part of the limit, since lagging
        reports may not yet show the requests of others. Beyond that it may
        use what the others leave free, but its number of requests must not
        grow faster than the reports can follow.

        Args:
            vm: Head VM.
            limit: Maximum of requests at the VM, from all nodes.
            nodes: Number of live nodes.
        """
        own = self._own[vm]
        if own < math.ceil(limit / max(nodes, 1)):
            return True
        head = self._heads.get(vm)
        own_mean = head.own_mean if head else 0.0
        free = limit - self._requests_of_others(vm)
        return own < min(free, own_mean * OWN_GROWTH_MAX + 1.0)

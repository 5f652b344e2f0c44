"""Load of upstreams: own requests, and what others are thought to have."""

import collections
import math

AVERAGE_WEIGHT = 0.2  # of each new report in the running averages
GROWTH = 1.25  # own requests against their usual number


class _Head:
    """One head VM's averages, taken at each report."""

    __slots__ = ('reported', 'reported_mean', 'own_mean')

    def __init__(self, reported: int, own: int):
        self.reported = reported
        self.reported_mean = float(reported)
        self.own_mean = float(own)


class LoadBook:
    """Estimates the requests at each head VM.

    A report lags by an unknown time, so its difference from the own
    requests of the moment says little. Over a while, though, the mean of
    the reports less the mean of the own requests is what other nodes have
    there, whatever the lag. Own requests are known exactly.
    """

    def __init__(self):
        self._heads: dict[str, _Head] = {}
        self._own: collections.Counter = collections.Counter()

    def report(self, loads: dict[str, list[int]]) -> None:
        """Takes in reported loads.

        Args:
            loads: Requests running and waiting by VM.
        """
        for vm, (running, waiting) in loads.items():
            total = running + waiting
            own = self._own[vm]
            head = self._heads.get(vm)
            if head is None:
                self._heads[vm] = _Head(total, own)
                continue
            head.reported = total
            head.reported_mean += AVERAGE_WEIGHT * (total - head.reported_mean)
            head.own_mean += AVERAGE_WEIGHT * (own - head.own_mean)

    def sent(self, vm: str) -> None:
        """Counts an own request in.

        Args:
            vm: Head VM it was sent to.
        """
        self._own[vm] += 1

    def ended(self, vm: str) -> None:
        """Counts an own request out.

        Args:
            vm: Head VM it was sent to.
        """
        self._own[vm] -= 1

    def reported(self, vm: str) -> int:
        """Returns the requests that a VM reported last.

        Args:
            vm: Head VM.
        """
        head = self._heads.get(vm)
        return head.reported if head else 0

    def estimate(self, vm: str) -> float:
        """Returns the requests that a VM is thought to have now.

        Args:
            vm: Head VM.
        """
        return self._own[vm] + self._others(vm)

    def _others(self, vm: str) -> float:
        head = self._heads.get(vm)
        if head is None:
            return 0.0
        return max(head.reported_mean - head.own_mean, 0.0)

    def may_take(self, vm: str, most: float, nodes: int) -> bool:
        """Tells whether a VM may get one more request from this node.

        Reports lag, so until they show what the others do, every node
        keeps to an equal part. Beyond that it takes what the others leave,
        growing no faster than reports can follow.

        Args:
            vm: Head VM.
            most: Requests that the VM should have at most, from all nodes.
            nodes: Live nodes.
        """
        own = self._own[vm]
        if own < math.ceil(most / max(nodes, 1)):
            return True
        head = self._heads.get(vm)
        usual = head.own_mean if head else 0.0
        left = most - self._others(vm)
        return own < min(left, usual * GROWTH + 1.0)

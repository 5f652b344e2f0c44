"""Repeats that a service may get, shared by all nodes.

Every node keeps to its part of the allowance, so that the sum over all
nodes holds without a message for each request.
"""

import collections

SAFETY = 0.8  # part of the allowance in use; windows slide at every node
BUCKET_S = 0.5
AGE_MIN = 0.25  # with SAFETY, two lives of all nodes keep to the slack
NODES_UNKNOWN = 40  # until the leader has told; many keep the sum small


class RetryBudget:
    """Counts requests and repeats of each service in a sliding window.

    Args:
        clock: Source of monotonic time.
        ratio: Repeats allowed for each request.
        slack: Repeats allowed in a window besides, over all nodes.
        window_s: Length of the window in seconds.
    """

    def __init__(self, clock, ratio: float, slack: float, window_s: float):
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: dict[str, _Window] = {}
        self._repeats: dict[str, _Window] = {}
        self._born_at = clock.now()
        self.node_count = NODES_UNKNOWN

    def note_request(self, service: str) -> None:
        """Counts a client's request.

        Args:
            service: Name of the service.
        """
        self._window(self._requests, service).add(self._clock.now())

    def take(self, service: str) -> bool:
        """Takes one repeat out of the budget.

        Args:
            service: Name of the service.

        Returns:
            Whether the repeat is allowed; it is counted then.
        """
        now = self._clock.now()
        repeats = self._window(self._repeats, service)
        requests = self._window(self._requests, service)
        # An earlier life of this process may have spent its part already.
        age = (now - self._born_at) / self._window_s
        age = min(max(age, AGE_MIN), 1.0)
        allowed = SAFETY * (
            self._ratio * requests.count(now)
            + self._slack * age / max(self.node_count, 1)
        )
        if repeats.count(now) + 1 > allowed:
            return False
        repeats.add(now)
        return True

    def _window(self, windows, service: str) -> '_Window':
        window = windows.get(service)
        if window is None:
            window = windows[service] = _Window(self._window_s)
        return window


class _Window:
    """Events in the last seconds, counted in buckets."""

    def __init__(self, length_s: float):
        self._length_s = length_s
        self._buckets: collections.deque = collections.deque()
        self._total = 0

    def add(self, now: float) -> None:
        """Counts one event."""
        if self._buckets and now - self._buckets[-1][0] < BUCKET_S:
            self._buckets[-1][1] += 1
        else:
            self._buckets.append([now, 1])
        self._total += 1

    def count(self, now: float) -> int:
        """Returns the events within the window."""
        oldest = now - self._length_s - BUCKET_S
        while self._buckets and self._buckets[0][0] < oldest:
            self._total -= self._buckets.popleft()[1]
        return self._total

"""Retry budget of each service, divided among the nodes.

Every node spends at most its own part of the budget, so all nodes together
stay within it without exchanging a message for each request.
"""

import collections

# Part of the budget that is used: the windows of the nodes are not aligned.
ALLOWANCE_FRACTION = 0.8
BUCKET_WIDTH_S = 0.5
# Smallest part of a window for which a restarted node gets slack. If all nodes
# restart at once, they still spend at most the slack in both runs together:
# ALLOWANCE_FRACTION * (1 + MIN_AGE_RATIO) is 1.
MIN_AGE_RATIO = 0.25
# Used until the leader has sent the number of nodes; a high number keeps the
# sum over all nodes small.
DEFAULT_NODE_COUNT = 40


class RetryBudget:
    """Limits the retries of each service within a sliding window.

    Grants only ``ALLOWANCE_FRACTION`` of the budget. During the first window
    after a start, it grants only a part of the slack.

    ``node_count`` is the number of nodes that share the budget; its owner
    updates it when nodes join or leave.

    Args:
        clock: Source of monotonic time.
        ratio: Retries allowed for each request.
        slack: Additional retries allowed per window, over all nodes.
        window_s: Length of the window in seconds.
    """

    def __init__(self, clock, ratio: float, slack: float, window_s: float):
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: dict[str, _SlidingWindowCounter] = {}
        self._retries: dict[str, _SlidingWindowCounter] = {}
        self._started_at = clock.now()
        self.node_count = DEFAULT_NODE_COUNT

    def record_request(self, service: str) -> None:
        """Counts a client's request, which adds to the budget of its service.

        Args:
            service: Name of the service.
        """
        self._counter(self._requests, service).add(self._clock.now())

    def has_left(self, service: str) -> bool:
        """Returns whether a retry would be allowed now, and takes none.

        Args:
            service: Name of the service.
        """
        return self._retries_left(service) >= 1

    def try_take(self, service: str) -> bool:
        """Takes one retry from the budget if it allows one.

        Args:
            service: Name of the service.

        Returns:
            Whether the retry is allowed; only an allowed one is counted.
        """
        if not self.has_left(service):
            return False
        self._counter(self._retries, service).add(self._clock.now())
        return True

    def _retries_left(self, service: str) -> float:
        now = self._clock.now()
        retries = self._counter(self._retries, service)
        requests = self._counter(self._requests, service)
        # Before a restart, this node may have spent its part already.
        age_ratio = (now - self._started_at) / self._window_s
        age_ratio = min(max(age_ratio, MIN_AGE_RATIO), 1.0)
        allowed = ALLOWANCE_FRACTION * (
            self._ratio * requests.count(now)
            + self._slack * age_ratio / max(self.node_count, 1)
        )
        return allowed - retries.count(now)

    def _counter(self, counters, service: str) -> '_SlidingWindowCounter':
        counter = counters.get(service)
        if counter is None:
            counter = counters[service] = _SlidingWindowCounter(self._window_s)
        return counter


class _SlidingWindowCounter:
    """Counts events within a sliding window, in buckets of fixed width."""

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._buckets: collections.deque = collections.deque()
        self._total = 0

    def add(self, now: float) -> None:
        """Counts one event.

        Args:
            now: Monotonic seconds.
        """
        if self._buckets and now - self._buckets[-1][0] < BUCKET_WIDTH_S:
            self._buckets[-1][1] += 1
        else:
            self._buckets.append([now, 1])
        self._total += 1

    def count(self, now: float) -> int:
        """Returns the number of events within the window, drops older ones.

        Args:
            now: Monotonic seconds.
        """
        oldest = now - self._window_s - BUCKET_WIDTH_S
        while self._buckets and self._buckets[0][0] < oldest:
            self._total -= self._buckets.popleft()[1]
        return self._total

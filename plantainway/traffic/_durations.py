"""How long streams run, learned from those that have ended."""

import collections

KEPT_RUNS = 64  # of each service
QUANTILE = 0.9


class RunDurations:
    """Durations of complete streams, in proportion to their tokens."""

    def __init__(self):
        self._s_per_token: dict[str, collections.deque] = {}

    def record(self, service: str, tokens: int, duration_s: float) -> None:
        """Records a stream that ended as complete.

        Args:
            service: Name of the service.
            tokens: Number of answer tokens, 0 if unknown.
            duration_s: Time from sending the request first to the end of its
                answer, attempts that broke off included.
        """
        runs = self._s_per_token.setdefault(
            service, collections.deque(maxlen=KEPT_RUNS)
        )
        runs.append(duration_s / max(tokens, 1))

    def expected_s(self, service: str, tokens: int) -> float:
        """Returns how long a stream takes at most, with few exceptions.

        Args:
            service: Name of the service.
            tokens: Number of answer tokens, 0 if unknown.

        Returns:
            Time in seconds, 0 before any stream of the service has ended.
        """
        runs = sorted(self._s_per_token.get(service, ()))
        if not runs:
            return 0.0
        return runs[int(QUANTILE * (len(runs) - 1))] * max(tokens, 1)

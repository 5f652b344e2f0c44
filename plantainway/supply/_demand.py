"""Measurement of the demand for each model."""

import collections

# Long enough to average out noise, short enough to follow a burst.
DEMAND_WINDOW_S = 4.0
SAMPLE_INTERVAL_S = 0.2
MIN_WINDOW_S = 2.0  # shorter measurements are too noisy


class DemandMeter:
    """Measures how many groups the requests for each model keep busy.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._samples: collections.deque = collections.deque()

    def record(self, totals: dict[str, float]) -> None:
        """Adds a sample of the cumulative work.

        Samples that follow the last one within ``SAMPLE_INTERVAL_S`` are
        dropped.

        Args:
            totals: Group-seconds of work by model, counted from any fixed
                moment.
        """
        now = self._clock.now()
        if self._samples and now - self._samples[-1][0] < SAMPLE_INTERVAL_S:
            return
        self._samples.append((now, totals))
        while now - self._samples[0][0] > DEMAND_WINDOW_S:
            self._samples.popleft()

    def busy_groups(self) -> dict[str, float]:
        """Returns the average number of busy groups by model.

        The result is empty until samples span ``MIN_WINDOW_S``.
        """
        if not self._samples:
            return {}
        started_at, before = self._samples[0]
        ended_at, after = self._samples[-1]
        if ended_at - started_at < MIN_WINDOW_S:
            return {}
        return {
            model: (total - before.get(model, 0.0)) / (ended_at - started_at)
            for model, total in after.items()
        }

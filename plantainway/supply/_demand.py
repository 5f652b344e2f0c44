"""Measurement of the demand for each model."""

import collections
import dataclasses

# Long enough to average out noise, short enough to follow a burst.
DEMAND_WINDOW_S = 4.0
SAMPLE_INTERVAL_S = 0.2
MIN_WINDOW_S = 2.0  # shorter measurements are too noisy
HISTORY_S = 17.0  # a period of the demand that swings fastest
PEAK_WINDOW_S = 2.0
MIN_SPAN_S = 4.0  # long enough for a decision that costs a load


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Busy groups by model: mean and highest short-time mean.

    ``measured_s`` is the time in seconds since the first work of a model.
    Models without any work are missing there.
    """

    mean: dict[str, float]
    peak: dict[str, float]
    measured_s: dict[str, float]


class DemandMeter:
    """Measures how many groups the requests for each model keep busy.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._samples: collections.deque = collections.deque()
        # Time of the last sample before the first work, by model.
        self._started_at: dict[str, float] = {}

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
        if self._samples:
            started_at, before = self._samples[-1]
            for model, total in totals.items():
                if total > before.get(model, 0.0):
                    self._started_at.setdefault(model, started_at)
        self._samples.append((now, totals))
        while now - self._samples[0][0] > HISTORY_S:
            self._samples.popleft()

    def clear(self) -> None:
        """Drops all samples, since the totals may have a gap."""
        self._samples.clear()
        self._started_at.clear()

    def busy_groups(self) -> dict[str, float]:
        """Returns the average number of busy groups by model.

        The result is empty until samples span ``MIN_WINDOW_S``.
        """
        if not self._samples:
            return {}
        last = self._samples[-1]
        first = next(
            sample
            for sample in self._samples
            if last[0] - sample[0] <= DEMAND_WINDOW_S
        )
        if last[0] - first[0] < MIN_WINDOW_S:
            return {}
        return _rates(first, last)

    def summarize(self) -> Demand | None:
        """Returns mean and peak of the last ``HISTORY_S``.

        The mean of a model is that since its first work. Samples before the
        first work of all are left out; the result is ``None`` until the
        others span ``MIN_SPAN_S``.
        """
        if not self._started_at:
            return None
        started_at = min(self._started_at.values())
        samples = [item for item in self._samples if item[0] >= started_at]
        if not samples or samples[-1][0] - samples[0][0] < MIN_SPAN_S:
            return None
        peak: dict[str, float] = {}
        first = 0
        for last, sample in enumerate(samples):
            while (
                first + 1 < last
                and sample[0] - samples[first + 1][0] >= PEAK_WINDOW_S
            ):
                first += 1
            if sample[0] - samples[first][0] < PEAK_WINDOW_S:
                continue
            for model, rate in _rates(samples[first], sample).items():
                peak[model] = max(peak.get(model, 0.0), rate)
        mean = _rates(samples[0], samples[-1])
        measured_s = {}
        for model, started_at in self._started_at.items():
            measured_s[model] = samples[-1][0] - started_at
            span_s = samples[-1][0] - samples[0][0]
            mean[model] *= span_s / min(measured_s[model], span_s)
        return Demand(mean, peak, measured_s)


def _rates(first, last) -> dict[str, float]:
    """Returns the work per second between two samples, by model."""
    started_at, before = first
    ended_at, after = last
    return {
        model: (total - before.get(model, 0.0)) / (ended_at - started_at)
        for model, total in after.items()
    }

"""How much work is asked of each model."""

import collections

WINDOW_S = 4.0  # long enough for an even count, short enough for a burst
SAMPLE_S = 0.2
TRUSTED_S = 2.0  # shorter measurements say little


class DemandMeter:
    """Work asked of each model, in groups that it keeps busy.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._samples: collections.deque = collections.deque()

    def note(self, totals: dict[str, float]) -> None:
        """Takes in the work asked so far.

        Args:
            totals: Seconds of a group by model, counted since any moment.
        """
        now = self._clock.now()
        if self._samples and now - self._samples[-1][0] < SAMPLE_S:
            return
        self._samples.append((now, totals))
        while now - self._samples[0][0] > WINDOW_S:
            self._samples.popleft()

    def groups(self) -> dict[str, float]:
        """Returns the groups kept busy by model, nothing if not yet known."""
        if not self._samples:
            return {}
        started_at, before = self._samples[0]
        ended_at, after = self._samples[-1]
        if ended_at - started_at < TRUSTED_S:
            return {}
        return {
            model: (total - before.get(model, 0.0)) / (ended_at - started_at)
            for model, total in after.items()
        }

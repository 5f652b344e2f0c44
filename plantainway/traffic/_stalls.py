"""Detection of stalled streams, which are then moved to another group.

When a group loses a member, its head goes on accepting requests, but its
streams make no progress until it fails seconds later. A group that prefills
long prompts is silent for up to a whole forward pass, so only a longer
silence counts as a stall.
"""

import dataclasses
import math

GAP_TIMEOUT_PASSES = 1.1  # longest passes; a longer gap is a stall
FIRST_EVENT_TIMEOUT_PASSES = 2.0  # for prefill of the prompt and one pass
TIMEOUT_TO_AVERAGE = 3.0  # a gap this many times the average is a stall
DEFAULT_PASS_S = 0.3  # for engines whose profile is unknown
AVERAGE_WEIGHT = 0.1  # of a new value in a moving average
TIMEOUT_GROWTH = 2.0  # next timeout, relative to the silence of a stall
# A node sees a first event of each head every few seconds; older averages say
# nothing about a head that has emptied meanwhile.
OBSERVED_FOR_S = 3.0
SUSPECT_DURATION_S = 0.6  # no new requests for a head with a stalled stream


@dataclasses.dataclass(slots=True)
class HeadTiming:
    """Moving averages over the streams of one head; times in seconds.

    ``last_progress_at`` is when any of its streams last sent an event,
    ``last_first_event_at`` when one sent its first.
    """

    last_progress_at: float = 0.0
    last_first_event_at: float = -math.inf
    average_gap_s: float = 0.05
    average_first_event_s: float = 0.1


class StallDetector:
    """Adapts stall timeouts to each head and tracks suspect heads.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._timings: dict[str, HeadTiming] = {}
        self._suspect_until: dict[str, float] = {}

    def _timing(self, name: str) -> HeadTiming:
        timing = self._timings.get(name)
        if timing is None:
            timing = self._timings[name] = HeadTiming()
        return timing

    def record_first_event(self, name: str, latency_s: float) -> None:
        """Updates the time to the first event; clears any suspicion.

        Args:
            name: Name of the head.
            latency_s: Seconds from sending the request to the first event.
        """
        timing = self._timing(name)
        timing.average_first_event_s += AVERAGE_WEIGHT * (
            latency_s - timing.average_first_event_s
        )
        timing.last_progress_at = timing.last_first_event_at = (
            self._clock.now()
        )
        self._suspect_until.pop(name, None)

    def record_gap(self, name: str, gap_s: float) -> None:
        """Updates the gap between two events; clears any suspicion.

        Args:
            name: Name of the head.
            gap_s: Seconds between the events.
        """
        timing = self._timing(name)
        timing.average_gap_s += AVERAGE_WEIGHT * (gap_s - timing.average_gap_s)
        timing.last_progress_at = self._clock.now()
        self._suspect_until.pop(name, None)

    def record_stall(self, name: str, silence_s: float) -> None:
        """Raises the timeouts of a head and marks it as suspect.

        Called when a stream is abandoned after a silence. Later streams get
        more time, so that a head that is only slow is not abandoned
        repeatedly.

        Args:
            name: Name of the head.
            silence_s: Seconds without an event.
        """
        timing = self._timing(name)
        min_average_s = silence_s * TIMEOUT_GROWTH / TIMEOUT_TO_AVERAGE
        timing.average_gap_s = max(timing.average_gap_s, min_average_s)
        timing.average_first_event_s = max(
            timing.average_first_event_s, min_average_s
        )
        self.mark_suspect(name)

    def forget(self, name: str) -> None:
        """Drops the state of a head whose group has changed.

        Args:
            name: Name of the head.
        """
        self._timings.pop(name, None)
        self._suspect_until.pop(name, None)

    def mark_suspect(self, name: str) -> None:
        """Keeps new requests off a head that has a stalled stream.

        Lasts ``SUSPECT_DURATION_S`` or until a stream of the head makes
        progress. Called when another node reports the stall; for streams of
        this node, call ``record_stall``.

        Args:
            name: Name of the head.
        """
        self._suspect_until[name] = self._clock.now() + SUSPECT_DURATION_S

    def is_suspect(self, name: str) -> bool:
        """Returns whether a head should get no new requests at the moment.

        Args:
            name: Name of the head.
        """
        return self._suspect_until.get(name, 0.0) > self._clock.now()

    def recent_first_event_s(self, name: str) -> float:
        """Returns the average time to the first event at a head.

        Args:
            name: Name of the head.

        Returns:
            Seconds, 0 if no stream here has begun in ``OBSERVED_FOR_S``.
        """
        timing = self._timings.get(name)
        if timing is None or (
            self._clock.now() - timing.last_first_event_at > OBSERVED_FOR_S
        ):
            return 0.0
        return timing.average_first_event_s

    def first_event_timeout_s(self, name: str, longest_pass_s: float) -> float:
        """Returns for how many seconds to wait for a stream's first event.

        Args:
            name: Name of the head.
            longest_pass_s: Longest forward pass of its engine, 0 if unknown.
        """
        adaptive_s = (
            self._timing(name).average_first_event_s * TIMEOUT_TO_AVERAGE
        )
        return max(
            adaptive_s,
            (longest_pass_s or DEFAULT_PASS_S) * FIRST_EVENT_TIMEOUT_PASSES,
        )

    def gap_timeout_s(self, name: str, longest_pass_s: float) -> float:
        """Returns for how many seconds to wait for a stream's next event.

        Args:
            name: Name of the head.
            longest_pass_s: Longest forward pass of its engine, 0 if unknown.
        """
        adaptive_s = self._timing(name).average_gap_s * TIMEOUT_TO_AVERAGE
        return max(
            adaptive_s, (longest_pass_s or DEFAULT_PASS_S) * GAP_TIMEOUT_PASSES
        )

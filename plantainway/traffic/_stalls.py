"""When a silent stream is taken for dead and moved to another group.

Answers the load of groups that lose a member: the head goes on accepting
and nothing moves until it breaks seconds later. A group that prefills long
prompts is silent for up to a whole pass, so only a longer silence tells.
"""

import dataclasses

PASS_RATIO = 1.1  # of the longest pass: a pause beyond it is a stall
FIRST_PASSES = 2.0  # a first event waits for its prompt and for one pass
SLOW_RATIO = 3.0  # a pause this many times the usual one is a stall
PASS_UNKNOWN_S = 0.3
PACE_WEIGHT = 0.1
STALL_GROWTH = 2.0  # patience after a stall against the silence before it
SUSPECT_S = 0.6  # a head with a stalled stream gets no new work for so long


@dataclasses.dataclass(slots=True)
class HeadPace:
    """What this node sees of one head; times in seconds.

    ``progress_at`` is when any of its streams last moved.
    """

    progress_at: float = 0.0
    gap_s: float = 0.05
    first_s: float = 0.1


class StallDetector:
    """Pauses of the streams of each head.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._paces: dict[str, HeadPace] = {}
        self._suspects: dict[str, float] = {}

    def _pace(self, name: str) -> HeadPace:
        pace = self._paces.get(name)
        if pace is None:
            pace = self._paces[name] = HeadPace()
        return pace

    def note_first(self, name: str, took_s: float) -> None:
        """Takes in the time to the first event of a stream.

        Args:
            name: Name of the head.
            took_s: Seconds since the request was sent to it.
        """
        pace = self._pace(name)
        pace.first_s += PACE_WEIGHT * (took_s - pace.first_s)
        pace.progress_at = self._clock.now()
        self._suspects.pop(name, None)

    def note_gap(self, name: str, gap_s: float) -> None:
        """Takes in a pause between two events.

        Args:
            name: Name of the head.
            gap_s: Its length.
        """
        pace = self._pace(name)
        pace.gap_s += PACE_WEIGHT * (gap_s - pace.gap_s)
        pace.progress_at = self._clock.now()
        self._suspects.pop(name, None)

    def note_stall(self, name: str, waited_s: float) -> None:
        """Notes that a stream was given up after a silence.

        The next one gets more time: a head that is only slow is then not
        left again and again.

        Args:
            name: Name of the head.
            waited_s: Length of the silence.
        """
        pace = self._pace(name)
        longer = waited_s * STALL_GROWTH / SLOW_RATIO
        pace.gap_s = max(pace.gap_s, longer)
        pace.first_s = max(pace.first_s, longer)
        self.mark_suspect(name)

    def forget(self, name: str) -> None:
        """Forgets a head whose group has changed.

        Args:
            name: Name of the head.
        """
        self._paces.pop(name, None)
        self._suspects.pop(name, None)

    def mark_suspect(self, name: str) -> None:
        """Notes that a stream of a head stalls.

        Args:
            name: Name of the head.
        """
        self._suspects[name] = self._clock.now() + SUSPECT_S

    def is_suspect(self, name: str) -> bool:
        """Tells whether a head should get no new work now.

        Args:
            name: Name of the head.
        """
        return self._suspects.get(name, 0.0) > self._clock.now()

    def first_patience_s(self, name: str, pass_s: float) -> float:
        """Returns how long to wait for a stream's first event.

        Args:
            name: Name of the head.
            pass_s: Longest pass of its engine.
        """
        usual = self._pace(name).first_s * SLOW_RATIO
        return max(usual, (pass_s or PASS_UNKNOWN_S) * FIRST_PASSES)

    def gap_patience_s(self, name: str, pass_s: float) -> float:
        """Returns how long to wait for a stream's next event.

        Args:
            name: Name of the head.
            pass_s: Longest pass of its engine.
        """
        usual = self._pace(name).gap_s * SLOW_RATIO
        return max(usual, (pass_s or PASS_UNKNOWN_S) * PASS_RATIO)

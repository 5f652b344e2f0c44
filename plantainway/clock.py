"""Monotonic time, real and settable."""

import abc
import time


class BaseClock(abc.ABC):
    """Source of monotonic time in seconds."""

    @abc.abstractmethod
    def now(self) -> float:
        """Returns monotonic seconds; only differences mean anything."""


class MonotonicClock(BaseClock):
    """The clock of the running process."""

    def now(self) -> float:
        """Returns ``time.monotonic()``."""
        return time.monotonic()


class ManualClock(BaseClock):
    """A clock that only moves when told to.

    Args:
        start: First reading in seconds.
    """

    def __init__(self, start: float = 1000.0):
        self._now = start

    def now(self) -> float:
        """Returns the current setting."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Moves the clock forward.

        Args:
            seconds: Step, not negative.
        """
        self._now += seconds

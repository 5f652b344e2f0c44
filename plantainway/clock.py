"""Monotonic clocks: the real one and one that tests advance."""

import abc
import time


class BaseClock(abc.ABC):
    """Source of monotonic time in seconds."""

    @abc.abstractmethod
    def now(self) -> float:
        """Returns monotonic seconds; only differences mean anything."""


class MonotonicClock(BaseClock):
    """The monotonic clock of the operating system."""

    def now(self) -> float:
        """Returns ``time.monotonic()``."""
        return time.monotonic()


class SuspendAwareClock(BaseClock):
    """A monotonic clock that goes on while the VM is suspended."""

    def now(self) -> float:
        """Returns the seconds since the VM was started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(BaseClock):
    """A clock that moves only when ``advance`` is called.

    Args:
        start: First reading in seconds.
    """

    def __init__(self, start: float = 1000.0):
        self._now = start

    def now(self) -> float:
        """Returns the time that the clock was last advanced to."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Moves the clock forward.

        Args:
            seconds: Seconds to add, not negative.
        """
        self._now += seconds

"""Timer that ends an attempt whose stream has stalled."""

import asyncio

STALL_RECHECK_S = 0.1  # while a stalled stream may not be moved


class StallTimer:
    """Ends an attempt whose stream is silent for too long.

    Args:
        timeout: Timeout around the attempt, which it expires.
        may_abandon: Function that returns whether another attempt is allowed.
            While it is not, the attempt goes on.

    Attributes:
        timeout_s: Longest silence in seconds.
        late_s: By how much it has expired late, in seconds.
    """

    def __init__(self, timeout, may_abandon):
        self._loop = asyncio.get_running_loop()
        self._timeout = timeout
        self._may_abandon = may_abandon
        self._handle = None
        self._due_at = 0.0
        self.timeout_s = 0.0
        self.late_s = 0.0

    def arm(self, timeout_s: float) -> None:
        """Starts the timer, replacing a running one.

        Args:
            timeout_s: Longest silence in seconds.
        """
        self.disarm()
        self.timeout_s = timeout_s
        self._due_at = self._loop.time() + timeout_s
        self._handle = self._loop.call_later(timeout_s, self._on_expired)

    def disarm(self) -> None:
        """Stops the timer, if it runs."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _on_expired(self) -> None:
        if self._may_abandon():
            self.late_s = self._loop.time() - self._due_at
            self._timeout.reschedule(self._loop.time())
        else:
            self._handle = self._loop.call_later(
                STALL_RECHECK_S, self._on_expired
            )

"""Timers that do not take a late event loop for a silent peer.

After a pause of the process, or beside too much work, timers are due while
what peers have sent lies unread in the sockets, or requests to them have not
been sent yet. Such a silence is the node's own.
"""

import asyncio
import contextlib

SLICE_S = 0.1  # of a time-out; a pause of the loop uses up one at most
LISTEN_S = 0.02  # some rounds of the loop, in which all readers run
LATE_MAX_S = 0.02  # the loop is on time if its timers run no later
LISTEN_ROUNDS_MAX = 5  # beside steady overload timers still expire


class ListeningTimer:
    """Calls a function once the loop has listened for some time.

    Time for which the loop did not run does not count, but for a slice of
    ``SLICE_S``. In the end the loop runs for ``LISTEN_S``, and again while it
    runs late. Whoever hears from the peer meanwhile disarms the timer.

    Args:
        callback: Function without parameters.

    Attributes:
        timeout_s: Seconds for which the timer was armed last.
        late_s: By how much the call came after its time, in seconds.
    """

    def __init__(self, callback):
        self._loop = asyncio.get_running_loop()
        self._callback = callback
        self._handle = None
        self._expires_at = 0.0
        self._remaining_s = 0.0
        self._rounds = 0
        self.timeout_s = 0.0
        self.late_s = 0.0

    def arm(self, timeout_s: float) -> None:
        """Starts the timer, replacing a running one.

        Args:
            timeout_s: Time in seconds until the call.
        """
        self.disarm()
        self.timeout_s = timeout_s
        self._expires_at = self._loop.time() + timeout_s
        self._remaining_s = timeout_s
        self._rounds = 0
        self._wait()

    def disarm(self) -> None:
        """Stops the timer, if it runs."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _wait(self) -> None:
        """Waits for the rest of the time, one slice after the other."""
        if self._remaining_s <= 0:
            self._listen()
            return
        slice_s = min(self._remaining_s, SLICE_S)
        self._remaining_s -= slice_s
        self._handle = self._loop.call_later(slice_s, self._wait)

    def _listen(self) -> None:
        self._rounds += 1
        due_at = self._loop.time() + LISTEN_S
        self._handle = self._loop.call_at(due_at, self._expire, due_at)

    def _expire(self, due_at: float) -> None:
        now = self._loop.time()
        is_late = now - due_at > LATE_MAX_S
        if is_late and self._rounds < LISTEN_ROUNDS_MAX:
            self._listen()
            return
        self._handle = None
        self.late_s = now - self._expires_at
        self._callback()


@contextlib.asynccontextmanager
async def timeout(timeout_s: float):
    """Limits how long a peer may take; see ``ListeningTimer``.

    Args:
        timeout_s: Time in seconds.

    Yields:
        The scope, whose ``expired`` tells whether the time ran out.

    Raises:
        TimeoutError: If it did.
    """
    async with asyncio.timeout(None) as scope:
        loop = asyncio.get_running_loop()
        timer = ListeningTimer(lambda: scope.reschedule(loop.time()))
        timer.arm(timeout_s)
        try:
            yield scope
        finally:
            timer.disarm()

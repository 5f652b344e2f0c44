"""Queue of requests that wait for capacity at a group.

It is for overload, when more streams arrive than the open groups can start.
Requests that can still meet their target go before those that are already
late, and a request that can't be served in time is refused at once, while its
client still has time to retry.
"""

import asyncio
import dataclasses
import math

START_LATENCY_S = 0.12  # usual time from dispatch to the first event
RELEASE_INTERVAL_WEIGHT = 0.1  # of one interval in the moving average
INITIAL_RELEASE_INTERVAL_S = 0.2  # assumed before the first release
MAX_WAIT_S = 1.5  # clients give up on a stream 2 s after they sent it


@dataclasses.dataclass(eq=False, slots=True)
class QueueEntry:
    """A request that waits for capacity; times are monotonic seconds.

    The next event meets its target until ``on_time_until``; the client gives
    up at ``client_gone_at``. ``excluded_heads`` names the heads that already
    had the request. Once queued, ``reservation`` is the future of its
    reservation. ``prompt_tokens`` is 0 if unknown. ``is_exempt`` tells whether
    it need not yield to more urgent ones, ``None`` until that is drawn.
    ``is_unsent`` tells that no upstream has had the request yet.
    """

    priority: int
    arrived_at: float
    on_time_until: float
    client_gone_at: float
    excluded_heads: frozenset = frozenset()
    reservation: 'asyncio.Future | None' = None
    prompt_tokens: int = 0
    is_exempt: bool | None = None
    is_unsent: bool = False


def sort_key(
    entry: QueueEntry, now: float, start_latency_s: float = START_LATENCY_S
) -> tuple:
    """Returns the sort key of a waiting request; the lowest goes first.

    Args:
        entry: The request.
        now: Monotonic seconds.
        start_latency_s: Expected time from dispatch to the first event.

    Returns:
        A key that puts requests which can still meet their target before late
        ones, then lower priority numbers first, then earlier targets.
    """
    is_late = now + start_latency_s > entry.on_time_until
    return (is_late, entry.priority, entry.on_time_until)


class WaitQueue:
    """Waiting requests of one model, with a prediction of their wait.

    Args:
        clock: Source of monotonic time.

    Attributes:
        start_latency_s: Expected time from dispatch to the first event.
    """

    def __init__(self, clock):
        self._clock = clock
        self.start_latency_s = START_LATENCY_S
        self._entries: list[QueueEntry] = []
        self._release_interval_s = INITIAL_RELEASE_INTERVAL_S
        self._last_release_at = clock.now()

    def __len__(self) -> int:
        return len(self._entries)

    def record_release(self) -> None:
        """Updates the average interval at which capacity becomes free.

        Called when a served request releases its reservation.
        """
        now = self._clock.now()
        interval_s = min(now - self._last_release_at, 1.0)
        self._release_interval_s += RELEASE_INTERVAL_WEIGHT * (
            interval_s - self._release_interval_s
        )
        self._last_release_at = now

    def _sort_key(self, entry: QueueEntry, now: float) -> tuple:
        return sort_key(entry, now, self.start_latency_s)

    def predicted_wait_s(self, entry: QueueEntry) -> float:
        """Returns how long a request would wait for capacity.

        Args:
            entry: The request, not yet in the queue.
        """
        now = self._clock.now()
        own_key = self._sort_key(entry, now)
        count_ahead = sum(
            self._sort_key(item, now) <= own_key for item in self._entries
        )
        return (count_ahead + 1) * self._release_interval_s

    def may_wait(self, entry: QueueEntry) -> bool:
        """Returns whether a request can be served before its client gives up.

        Its predicted wait must also be within ``MAX_WAIT_S``.

        Args:
            entry: The request.
        """
        wait_s = self.predicted_wait_s(entry)
        start_at = self._clock.now() + wait_s + self.start_latency_s
        return wait_s <= MAX_WAIT_S and start_at < entry.client_gone_at

    def latest_start(self, entry: QueueEntry) -> float:
        """Returns until when a request can begin and still meet its target.

        Args:
            entry: The request.
        """
        return entry.on_time_until - self.start_latency_s

    def push(self, entry: QueueEntry) -> None:
        """Adds a request.

        Args:
            entry: The request.
        """
        self._entries.append(entry)

    def remove(self, entry: QueueEntry) -> None:
        """Removes a request if it is in the queue.

        Args:
            entry: The request.
        """
        if entry in self._entries:
            self._entries.remove(entry)

    def in_order(self) -> list[QueueEntry]:
        """Returns the waiting requests, the one to dispatch next first."""
        now = self._clock.now()
        return sorted(
            self._entries, key=lambda item: self._sort_key(item, now)
        )


def retry_after_s(predicted_wait_s: float, remaining_s: float) -> float:
    """Returns after how long a refused client should retry.

    Args:
        predicted_wait_s: Seconds that it would have waited for capacity.
        remaining_s: Seconds until the deadline of the client.

    Returns:
        Seconds, at most a third of the remaining time, since clients do not
        honour more, but at least 0.05.
    """
    return (
        max(min(predicted_wait_s, remaining_s / 3), 0.05)
        if (math.isfinite(predicted_wait_s))
        else max(remaining_s / 3, 0.05)
    )

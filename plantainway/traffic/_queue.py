"""Requests that wait until a group can take them.

Answers the load of a day on which more streams arrive than the open groups
can start: a request that can still be prompt goes before one that is late
already, and a client is turned away while it can still come back in time.
"""

import asyncio
import dataclasses
import math

START_S = 0.12  # from a place in a group to the first event, usually
RATE_WEIGHT = 0.1
RATE_FIRST_S = 0.2  # expected pause between free places before any was seen
WAIT_MAX_S = 1.5  # clients give a stream up 2 s after they sent it


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """A waiting request; times are monotonic seconds.

    ``prompt_until`` is when its first event stops counting as prompt,
    ``leaves_at`` when its client is gone. ``excluded`` names heads that the
    request has been at.
    """

    priority: int
    arrived_at: float
    prompt_until: float
    leaves_at: float
    excluded: frozenset = frozenset()
    place: 'asyncio.Future | None' = None


def turn_key(ticket: Ticket, now: float) -> tuple:
    """Returns the sort key of a waiting request, lowest goes first.

    Args:
        ticket: The request.
        now: Monotonic seconds.
    """
    late = now + START_S > ticket.prompt_until
    return (late, ticket.priority, ticket.prompt_until)


class WaitingLine:
    """Waiting requests of one model and the rate at which places free up.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._tickets: list[Ticket] = []
        self._pause_s = RATE_FIRST_S
        self._freed_at = clock.now()

    def __len__(self) -> int:
        return len(self._tickets)

    def note_freed(self) -> None:
        """Notes that a place became free."""
        now = self._clock.now()
        pause = min(now - self._freed_at, 1.0)
        self._pause_s += RATE_WEIGHT * (pause - self._pause_s)
        self._freed_at = now

    def predicted_wait_s(self, ticket: Ticket) -> float:
        """Returns how long a request would wait for a place.

        Args:
            ticket: The request.
        """
        now = self._clock.now()
        key = turn_key(ticket, now)
        ahead = sum(turn_key(item, now) <= key for item in self._tickets)
        return (ahead + 1) * self._pause_s

    def may_wait(self, ticket: Ticket) -> bool:
        """Tells whether waiting makes sense for a request.

        Args:
            ticket: The request.
        """
        wait_s = self.predicted_wait_s(ticket)
        start_at = self._clock.now() + wait_s + START_S
        return wait_s <= WAIT_MAX_S and start_at < ticket.leaves_at

    def push(self, ticket: Ticket) -> None:
        """Adds a request.

        Args:
            ticket: The request.
        """
        self._tickets.append(ticket)

    def remove(self, ticket: Ticket) -> None:
        """Takes a request out that waits no more.

        Args:
            ticket: The request.
        """
        if ticket in self._tickets:
            self._tickets.remove(ticket)

    def first(self) -> Ticket | None:
        """Returns the request whose turn it is, ``None`` if none waits."""
        now = self._clock.now()
        return min(
            self._tickets,
            key=lambda item: turn_key(item, now),
            default=None,
        )


def retry_after_s(predicted_wait_s: float, left_s: float) -> float:
    """Returns when a client that was turned away should come back.

    Args:
        predicted_wait_s: How long it would have waited for a place.
        left_s: Seconds that the client still has.

    Returns:
        Seconds, at most the third of its time that clients honour.
    """
    return (
        max(min(predicted_wait_s, left_s / 3), 0.05)
        if (math.isfinite(predicted_wait_s))
        else max(left_s / 3, 0.05)
    )

"""Places at the open groups of a model, given out one by one."""

import asyncio
import dataclasses

from plantainway import deployment
from plantainway import errors
from plantainway.traffic import _queue

EXTRA_PLACES = 3  # requests that a group may have queued beside its slots
FULL_S = 0.15  # a head that has no room is left alone for so long
EVEN_WITHIN = 2  # loads that differ by so little count as even


@dataclasses.dataclass(slots=True)
class Place:
    """A place at the head of a group."""

    head: deployment.Upstream
    service: str
    model: str


class HeadPool:
    """Chooses heads, and lets requests wait while all groups are full.

    Loads of other nodes are some hundred milliseconds old: two groups are
    drawn and the one with less load is taken, which keeps nodes that see
    the same figures from choosing the same group.

    Args:
        upstreams: The upstream book.
        health: Health of the upstreams.
        stalls: Pauses of their streams.
        loads: Requests in progress.
        clock: Source of monotonic time.
        rng: Source of randomness.
    """

    def __init__(self, upstreams, health, stalls, loads, clock, rng):
        self._upstreams = upstreams
        self._health = health
        self._stalls = stalls
        self._loads = loads
        self._clock = clock
        self._rng = rng
        self._turn = rng.randrange(1 << 16)
        self._full_until: dict[str, float] = {}
        self._closed: dict[str, deployment.Membership] = {}
        self._lines: dict[tuple[str, str], _queue.WaitingLine] = {}

    def candidates(self, service: str, model: str, excluded=()) -> list:
        """Returns the heads that may get a request.

        Args:
            service: Name of the service.
            model: Name of the model.
            excluded: Names of heads that the request has been at.
        """
        heads = [
            item
            for item in self._upstreams.find_open_heads(service, model)
            if item.name not in excluded
            and self._closed.get(item.name) != item.membership
        ]
        heads = self._health.usable(heads)
        moving = [
            item for item in heads if not self._stalls.is_suspect(item.name)
        ]
        return moving or heads

    def _limit(self, head) -> int:
        return head.slots + EXTRA_PLACES

    def _choose(self, heads):
        free = [
            item
            for item in heads
            if self._loads.total(item.name) < self._limit(item)
            and not self._is_full(item.name)
        ]
        if not free:
            return None
        lightest = min(self._loads.total(item.name) for item in free)
        even = [
            item
            for item in free
            if self._loads.total(item.name) <= lightest + EVEN_WITHIN
        ]
        self._turn += 1
        even.sort(key=lambda item: item.name)
        return even[self._turn % len(even)]

    def _is_full(self, name: str) -> bool:
        return self._full_until.get(name, 0.0) > self._clock.now()

    def mark_closed(self, head) -> None:
        """Notes that an engine no longer serves as the head it shows.

        Its entry may say otherwise for as long as the store is away.

        Args:
            head: The engine as its entry shows it.
        """
        self._closed[head.name] = head.membership

    def forget(self, name: str) -> None:
        """Forgets an engine that is gone.

        Args:
            name: Name of the engine.
        """
        self._closed.pop(name, None)
        self._full_until.pop(name, None)

    def note_full(self, place: Place) -> None:
        """Notes that a head had no room, and looks again a little later.

        Args:
            place: The place that there was not.
        """
        self._full_until[place.head.name] = self._clock.now() + FULL_S
        asyncio.get_running_loop().call_later(FULL_S, self.dispatch_waiting)

    def _line(self, service: str, model: str) -> _queue.WaitingLine:
        key = (service, model)
        line = self._lines.get(key)
        if line is None:
            line = self._lines[key] = _queue.WaitingLine(self._clock)
        return line

    def _take(self, service, model, excluded) -> Place | None:
        """Takes a place, ``None`` if all groups are full.

        Raises:
            NotRunError: If no group is open.
        """
        heads = self.candidates(service, model, excluded)
        if not heads:
            raise errors.NotRunError(
                'no group is open', 'route', reason='unavailable'
            )
        head = self._choose(heads)
        if head is None:
            return None
        self._loads.started(head.name)
        return Place(head, service, model)

    async def place(self, service, model, ticket: _queue.Ticket) -> Place:
        """Waits for a place at a group.

        Args:
            service: Name of the service.
            model: Name of the model.
            ticket: The request and how long it may wait.

        Raises:
            NotRunError: If waiting makes no sense.
        """
        line = self._line(service, model)
        if not len(line):
            place = self._take(service, model, ticket.excluded)
            if place is not None:
                return place
        if not line.may_wait(ticket):
            raise errors.NotRunError(
                'all groups are full',
                'queue',
                reason='overload',
                retry_after_s=line.predicted_wait_s(ticket),
            )
        ticket.place = asyncio.get_running_loop().create_future()
        line.push(ticket)
        return await self._wait(line, ticket)

    async def _wait(self, line, ticket) -> Place:
        left_s = min(ticket.leaves_at - self._clock.now(), _queue.WAIT_MAX_S)
        fut = ticket.place
        place = None
        try:
            async with asyncio.timeout(max(left_s, 0.0)):
                place = await fut
            return place
        except TimeoutError:
            raise errors.NotRunError(
                'no place became free',
                'queue',
                reason='overload',
                retry_after_s=_queue.WAIT_MAX_S / 2,
            )
        finally:
            line.remove(ticket)
            if place is None and _has_place(fut):
                self.release(fut.result())

    def release(self, place: Place, served: bool = False) -> None:
        """Gives a place back.

        Args:
            place: The place.
            served: Whether a request was served at it; the rate at which
                places become free is that of requests served.
        """
        self._loads.ended(place.head.name)
        line = self._line(place.service, place.model)
        if served:
            line.note_freed()
        self._pump(place.service, place.model, line)

    def dispatch_waiting(self) -> None:
        """Gives out places that have become free elsewhere."""
        for (service, model), line in self._lines.items():
            self._pump(service, model, line)

    def _pump(self, service, model, line) -> None:
        while (ticket := line.first()) is not None:
            try:
                place = self._take(service, model, ticket.excluded)
            except errors.NotRunError as exc:
                line.remove(ticket)
                _settle(ticket.place, exc)
                continue
            if place is None:
                return
            line.remove(ticket)
            if ticket.place.done():
                self._loads.ended(place.head.name)
                continue
            ticket.place.set_result(place)

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        return {
            f'{service}/{model}': len(line)
            for (service, model), line in self._lines.items()
        }


def _settle(fut, exc) -> None:
    if not fut.done():
        fut.set_exception(exc)


def _has_place(fut) -> bool:
    return fut.done() and not fut.cancelled() and fut.exception() is None

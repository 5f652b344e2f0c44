"""Gives requests slots at copies, at once or in turn."""

import asyncio
import dataclasses
import math

from plantainway import errors
from plantainway.requests import _queue

QUEUE_TIMEOUT_S = 2.0  # twice the longest wait that is predicted


@dataclasses.dataclass(slots=True)
class Slot:
    """A slot at a copy.

    ``priority`` is for the engine, ``since`` is monotonic seconds.
    """

    copy: object
    model: str
    account: str
    rank: int
    priority: int
    since: float


class Dispatcher:
    """Rooms of waiting requests, one for each model name.

    Args:
        view: Route view.
        clock: Source of monotonic time.
    """

    def __init__(self, view, clock):
        self._view = view
        self._clock = clock
        self._rooms: dict[str, _queue.WaitingRoom] = {}
        view.on_change.append(self.pump_all)

    async def slot(self, req, excluded, digests) -> Slot:
        """Waits for a slot.

        Args:
            req: Chat request.
            excluded: Copies that already failed the request.
            digests: Digests of the prompt's beginnings.

        Returns:
            The slot; give it back with ``release``.

        Raises:
            NotRunError: If the request is refused.
        """
        room = self._rooms.get(req.model)
        if room is None:
            room = self._rooms[req.model] = _queue.WaitingRoom(self._clock)
        if not room.waits(req.rank):
            slot = self._take(req, excluded, digests, room)
            if slot is not None:
                return slot
        now = self._clock.now()
        ticket = _queue.Ticket(
            req.account, req.rank, req.deadline, now, (req, excluded, digests)
        )
        slots = max(float(room.running()), self._view.slots(req.model))
        if not room.may_wait(ticket, slots):
            wait_s = room.predicted_wait_s(ticket, slots)
            raise errors.NotRunError(
                f'predicted wait of {wait_s:.1f} s',
                'queue',
                reason='overload',
                retry_after_s=max(math.ceil(wait_s), 1),
            )
        ticket.slot = asyncio.get_running_loop().create_future()
        room.push(ticket)
        return await self._wait(room, ticket)

    async def _wait(self, room, ticket) -> Slot:
        left_s = min(ticket.deadline - self._clock.now(), QUEUE_TIMEOUT_S)
        try:
            async with asyncio.timeout(left_s):
                return await ticket.slot
        except TimeoutError:
            raise errors.NotRunError(
                'no slot became free', 'queue', reason='overload'
            )
        finally:
            room.remove(ticket)

    def _take(self, req, excluded, digests, room) -> Slot | None:
        """Takes a slot if a copy has one.

        Raises:
            NotRunError: If no copy may serve at all.
        """
        found, serving = self._view.candidates(
            req.model,
            excluded,
            digests,
            room.ceiling(req.rank, req.account),
        )
        if not serving:
            raise errors.NotRunError(
                'no copy may serve now',
                'route',
                reason='unavailable',
                retry_after_s=2,
            )
        chosen = self._view.choose(found)
        if chosen is None:
            return None
        copy = self._view.copy(chosen.name)
        self._view.loads.sent(copy.members[0][0])
        priority = room.priority(req.rank, req.account)
        room.started(req.account, req.rank)
        return Slot(
            copy,
            req.model,
            req.account,
            req.rank,
            priority,
            self._clock.now(),
        )

    def release(self, slot: Slot) -> None:
        """Gives a slot back.

        Args:
            slot: The slot.
        """
        room = self._rooms[slot.model]
        self._view.loads.ended(slot.copy.members[0][0])
        room.ended(slot.account, slot.rank, self._clock.now() - slot.since)
        self._pump(room)

    def pump_all(self) -> None:
        """Gives out slots that may have become free elsewhere."""
        for room in self._rooms.values():
            if room.waiting:
                self._pump(room)

    def _pump(self, room) -> None:
        while room.waiting:
            ticket = room.pop()
            if ticket.slot.done():
                continue
            try:
                slot = self._take(*ticket.request, room)
            except errors.NotRunError as exc:
                ticket.slot.set_exception(exc)
                continue
            if slot is None:
                room.push_front(ticket)
                return
            ticket.slot.set_result(slot)

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        return {
            model: {'waiting': room.waiting, 'running': room.running()}
            for model, room in self._rooms.items()
        }

"""Assigns slots of copies to requests, and queues requests for them."""

import asyncio
import dataclasses
import math

from plantainway import errors
from plantainway import loops
from plantainway.requests import _queue

QUEUE_TIMEOUT_S = 2.0  # twice the longest predicted wait that is accepted


@dataclasses.dataclass(slots=True)
class Slot:
    """A slot of a copy, held by one request.

    ``acquired_at`` is monotonic seconds.
    """

    copy: object
    model: str
    account: str
    rank: int
    engine_priority: int
    acquired_at: float


class Dispatcher:
    """Assigns slots to requests, with one queue for each model name.

    Args:
        view: Route view.
        clock: Source of monotonic time.
    """

    def __init__(self, view, clock):
        self._view = view
        self._clock = clock
        self._queues: dict[str, _queue.RequestQueue] = {}
        view.on_change.append(self.dispatch_waiting)

    async def acquire(self, req, excluded, digests) -> Slot:
        """Acquires a slot, waiting in the queue if none is free.

        A request with a slot counts towards the load of the copy and the use
        of its account until ``release``. The account counts as active even if
        the request gets no slot.

        Args:
            req: Chat request.
            excluded: Names of copies that already failed the request.
            digests: Digests of the prompt's prefixes.

        Returns:
            The slot; the caller must give it back with ``release``.

        Raises:
            NotRunError: If no copy outside ``excluded`` serves the model, the
                predicted wait is too long, or no slot became free in time.
        """
        queue = self._queues.get(req.model)
        if queue is None:
            queue = self._queues[req.model] = _queue.RequestQueue(self._clock)
        if not queue.has_waiting(req.rank):
            slot = self._try_acquire(req, excluded, digests, queue)
            if slot is not None:
                return slot
        now = self._clock.now()
        waiter = _queue.QueuedRequest(
            req.account, req.rank, req.deadline, now, (req, excluded, digests)
        )
        slots = max(
            float(queue.running_count()), self._view.own_slot_share(req.model)
        )
        if not queue.can_wait(waiter, slots):
            wait_s = queue.predicted_wait_s(waiter, slots)
            raise errors.NotRunError(
                f'the predicted wait of {wait_s:.1f} s is too long',
                'queue',
                reason='overload',
                retry_after_s=max(math.ceil(wait_s), 1),
            )
        waiter.slot = asyncio.get_running_loop().create_future()
        queue.push(waiter)
        return await self._wait(queue, waiter)

    async def _wait(self, queue, waiter) -> Slot:
        left_s = min(waiter.deadline - self._clock.now(), QUEUE_TIMEOUT_S)
        try:
            async with loops.timeout(left_s):
                # Unlike awaiting the future, this leaves it its slot.
                await asyncio.wait((waiter.slot,))
        except TimeoutError:
            if not waiter.slot.done():
                raise errors.NotRunError(
                    'no slot became free in time', 'queue', reason='overload'
                )
        except asyncio.CancelledError:
            if waiter.slot.done() and waiter.slot.exception() is None:
                self.release(waiter.slot.result())
            raise
        finally:
            queue.remove(waiter)
        slot = waiter.slot.result()
        if self._clock.now() >= waiter.deadline:
            self.release(slot)
            raise errors.NotRunError(
                'the deadline passed in the queue',
                'queue',
                reason='deadline',
            )
        return slot

    def _try_acquire(self, req, excluded, digests, queue) -> Slot | None:
        """Returns a slot, or ``None`` if all copies are at their ceiling.

        Raises:
            NotRunError: If no copy of the model may get requests.
        """
        candidates, is_serving = self._view.find_candidates(
            req.model,
            excluded,
            digests,
            queue.load_ceiling(req.rank, req.account),
        )
        if not is_serving:
            raise errors.NotRunError(
                'no copy of the model can take the request',
                'route',
                reason='unavailable',
                retry_after_s=2,
            )
        chosen = self._view.choose(candidates)
        if chosen is None:
            return None
        copy = self._view.get_copy(chosen.name)
        self._view.load_estimator.record_sent(copy.members[0][0])
        engine_priority = queue.engine_priority(req.rank, req.account)
        queue.record_start(req.account, req.rank)
        return Slot(
            copy,
            req.model,
            req.account,
            req.rank,
            engine_priority,
            self._clock.now(),
        )

    def release(self, slot: Slot) -> None:
        """Frees a slot and assigns free slots to queued requests.

        Args:
            slot: The slot.
        """
        queue = self._queues[slot.model]
        self._view.load_estimator.record_ended(slot.copy.members[0][0])
        queue.record_end(
            slot.account, slot.rank, self._clock.now() - slot.acquired_at
        )
        self._dispatch_queue(queue)

    def dispatch_waiting(self) -> None:
        """Assigns free slots to queued requests of all models.

        Call it when a copy or its load has changed.
        """
        for queue in self._queues.values():
            if queue.waiting_count:
                self._dispatch_queue(queue)

    def _dispatch_queue(self, queue) -> None:
        while queue.waiting_count:
            waiter = queue.pop()
            if waiter.slot.done():
                continue
            try:
                slot = self._try_acquire(*waiter.acquire_args, queue)
            except errors.NotRunError as exc:
                waiter.slot.set_exception(exc)
                continue
            if slot is None:
                queue.push_front(waiter)
                return
            waiter.slot.set_result(slot)

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        return {
            model: {
                'waiting': queue.waiting_count,
                'running': queue.running_count(),
            }
            for model, queue in self._queues.items()
        }

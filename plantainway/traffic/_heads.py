"""Assigns requests to the heads of the open groups of a model."""

import asyncio
import collections
import dataclasses

from plantainway import deployment
from plantainway import errors
from plantainway import loops
from plantainway.traffic import _admission
from plantainway.traffic import _placement
from plantainway.traffic import _queue
from plantainway.traffic import _types
from plantainway.traffic import _warmup

MAX_QUEUED_PER_GROUP = 3  # requests at a group beyond its slots
FULL_BACKOFF_S = 0.15  # pause after a head has refused a request as full
RETURN_SPREAD_S = 0.5  # over which refused clients come back
# A request waits this long for a permit even if it is late then.
PERMIT_WAIT_MIN_S = 0.2
# Heads that are full for this long have more than a burst to serve.
SHED_AFTER_S = 3.0
# Clients of requests that were shed return over this time, so that those
# refused together do not return together.
SHED_RETURN_MIN_S = 0.5
SHED_RETURN_MAX_S = 2.0
# A limited head is used if it has this many fewer requests than others.
LOAD_TOLERANCE = 2


@dataclasses.dataclass(slots=True)
class Reservation:
    """Capacity for one request at the head of a group; see ``release``."""

    head: deployment.Upstream
    service: str
    model: str


class HeadPool:
    """Chooses heads for requests and queues requests while all are full.

    The head of a replica group is the engine that takes its requests.

    The loads of other nodes are some hundred milliseconds old. Heads are
    therefore drawn at random, by the room that they have, which keeps nodes
    that see the same loads from all choosing the same group.

    Args:
        upstreams: All known upstreams.
        health: Which upstreams are ejected after failures.
        stalls: Which heads have stalled streams.
        loads: Requests in progress by upstream.
        rates: Permits for heads that limit their rate.
        clock: Source of monotonic time.
        rng: Source of randomness.

    Attributes:
        pressure: Which models have urgent requests that are affected.
        shed: Numbers of requests refused because they could no longer be on
            time, by service and model.
        yielded: Numbers of requests that had to leave headroom, by service
            and model.
        warmup: Ramps of heads that have just opened or recovered.
    """

    def __init__(self, upstreams, health, stalls, loads, rates, clock, rng):
        self._upstreams = upstreams
        self._health = health
        self._stalls = stalls
        self._loads = loads
        self._rates = rates
        self._clock = clock
        self._rng = rng
        self._engines: dict[str, deployment.EngineProfile] = {}
        self._ranked_services: frozenset[str] = frozenset()
        self._saturation = _admission.SaturationTracker(clock)
        self.shed: collections.Counter = collections.Counter()
        self.pressure = _admission.PressureBook(clock)
        self.yielded: collections.Counter = collections.Counter()
        self.warmup = _warmup.WarmupPacer(clock)
        self._full_until: dict[str, float] = {}
        self._closed_memberships: dict[str, deployment.Membership] = {}
        self._queues: dict[tuple[str, str], _queue.WaitQueue] = {}

    def configure(
        self,
        engines: dict[str, deployment.EngineProfile],
        ranked_services=frozenset(),
    ) -> None:
        """Sets the figures of the engines and which services are ranked.

        Args:
            engines: Profiles of engines by service, from which the time to
                the first event is expected.
            ranked_services: Services to which routes of different priorities
                lead. Only for them the time to the first event is expected,
                and requests that can no longer be on time are shed as soon as
                all heads are full, not only once that lasts.
        """
        self._engines = engines
        self._ranked_services = ranked_services

    def candidates(self, service: str, model: str, excluded_heads=()) -> list:
        """Returns the open heads of a model, full ones included.

        Ejected and suspect heads are returned only if there are no others.

        Args:
            service: Name of the service.
            model: Name of the model.
            excluded_heads: Names of heads that already had the request.
        """
        heads = self._open_heads(service, model, excluded_heads)
        heads = self._health.exclude_ejected(heads)
        unsuspected = [
            item for item in heads if not self._stalls.is_suspect(item.name)
        ]
        return unsuspected or heads

    def _open_heads(self, service: str, model: str, excluded_heads) -> list:
        return [
            item
            for item in self._upstreams.find_open_heads(service, model)
            if item.name not in excluded_heads
            and self._closed_memberships.get(item.name) != item.membership
        ]

    def _max_load(self, head) -> int:
        full_load = head.slots + MAX_QUEUED_PER_GROUP
        return self.warmup.max_load(head, full_load)

    def _may_shed(self, service, model, entry) -> bool:
        """Returns whether a request is refused once it can't be on time.

        Requests that an upstream has had are kept, as their clients may be
        told neither that they ran nor that they did not.
        """
        if not entry.is_unsent:
            return False
        if service in self._ranked_services:
            return True
        full_s = self._saturation.duration_s(f'{service}/{model}')
        return full_s >= SHED_AFTER_S

    def _observe_saturation(self, service, model, heads) -> None:
        self._saturation.observe(
            f'{service}/{model}',
            sum(self._loads.total(item.name) for item in heads),
            sum(item.slots for item in heads),
        )

    def _room(self, head, entry, yields: bool) -> int:
        limit = _admission.ceiling(self._max_load(head), head.slots, yields)
        if self._may_shed(head.service, head.membership.model, entry):
            # Places beyond the slots are for those that must not be refused.
            limit = min(limit, head.slots)
        return limit - self._loads.total(head.name)

    def _yields(self, service, model, entry) -> bool:
        """Returns whether a request leaves headroom to more urgent ones.

        Requests of the exempt share don't.
        """
        key = f'{service}/{model}'
        if not self.pressure.is_above(key, entry.priority):
            return False
        if entry.is_exempt is None:
            entry.is_exempt = self._rng.random() < _admission.EXEMPT_SHARE
            self.yielded[key] += not entry.is_exempt
        return not entry.is_exempt

    def record_late(self, service: str, model: str, priority: int) -> None:
        """Records a stream whose first event came after its target.

        Args:
            service: Name of the service.
            model: Name of the model.
            priority: Priority of the request.
        """
        self.pressure.record(f'{service}/{model}', priority)

    def _record_held_up(self, service, model, entry) -> None:
        """Records a request that was refused or has to wait."""
        if not self._yields(service, model, entry):
            self.record_late(service, model, entry.priority)

    def _with_capacity(self, heads, entry, yields: bool) -> list:
        return [
            item
            for item in heads
            if self._room(item, entry, yields) > 0
            and not self._is_full(item.name)
        ]

    def _min_load(self, heads) -> float:
        return min(
            (self._loads.total(item.name) for item in heads),
            default=float('inf'),
        )

    def _choose_head(self, heads, entry, yields: bool):
        available = self._with_capacity(heads, entry, yields)
        rooms = [self._room(item, entry, yields) for item in available]
        remaining_s = entry.on_time_until - self._clock.now()
        late_heads = {
            item
            for item in available
            if self._expected_s(item, entry.prompt_tokens) > remaining_s
        }
        return _placement.draw(available, rooms, self._rng, late_heads)

    def _expected_s(self, head, prompt_tokens=0, held_max=None) -> float:
        """Returns the expected time to the first event of a request.

        It is at least what this node has observed at the head recently,
        which shows what the figures do not, as a slow member.

        Args:
            head: The head.
            prompt_tokens: Prompt tokens of the request, 0 if unknown.
            held_max: Most other requests that it will hold, if known.
        """
        profile = self._engines.get(head.service)
        if profile is None or head.service not in self._ranked_services:
            return _queue.START_LATENCY_S
        held = self._loads.total(head.name)
        if held_max is not None:
            held = min(held, held_max)
        return max(
            _admission.expected_first_event_s(
                profile, head.membership.model, held, prompt_tokens
            ),
            self._stalls.recent_first_event_s(head.name),
        )

    def _update_start_latency(self, queue, heads) -> None:
        """Sets how soon a waiting request begins once it gets a slot."""
        queue.start_latency_s = min(
            (
                self._expected_s(item, held_max=max(item.slots - 1, 0))
                for item in heads
            ),
            default=_queue.START_LATENCY_S,
        )

    def _is_full(self, name: str) -> bool:
        return self._full_until.get(name, 0.0) > self._clock.now()

    def mark_closed(self, head) -> None:
        """Excludes a head whose group no longer serves.

        Its entry in the store may still show the group as open, in
        particular while the store is unavailable. The head is used again as
        soon as its entry shows another membership.

        Args:
            head: The engine as its entry in the store shows it.
        """
        self._closed_memberships[head.name] = head.membership

    def forget(self, name: str) -> None:
        """Drops the state of an engine that no longer exists.

        Args:
            name: Name of the engine.
        """
        self._closed_memberships.pop(name, None)
        self._full_until.pop(name, None)
        self.warmup.forget(name)

    def mark_full(self, reservation: Reservation, pause_s: float = 0) -> None:
        """Sends a head no requests for ``FULL_BACKOFF_S`` at least.

        Called when a head refuses a request because it is full. Waiting
        requests are dispatched again once that time is over. The caller still
        has to release the reservation.

        Args:
            reservation: Reservation of the refused request.
            pause_s: Seconds for which the head asks for no requests.
        """
        self.warmup.handle_paused(reservation.head, pause_s)
        pause_s = max(pause_s, FULL_BACKOFF_S)
        name = reservation.head.name
        self._full_until[name] = max(
            self._clock.now() + pause_s, self._full_until.get(name, 0.0)
        )
        asyncio.get_running_loop().call_later(pause_s, self.dispatch_waiting)

    def _ensure_one_returns(self, service, model, entry) -> None:
        """Checks that not all heads stay away for longer than a request waits.

        Raises:
            NotRunError: If they do, with the time until the first is back.
        """
        now = self._clock.now()
        heads = self._open_heads(service, model, entry.excluded_heads)
        back_at = min(
            (self._full_until.get(item.name, 0.0) for item in heads),
            default=0.0,
        )
        latest_at = min(
            now + _queue.MAX_WAIT_S,
            entry.client_gone_at - _queue.START_LATENCY_S,
        )
        if back_at > max(now, latest_at):
            raise errors.NotRunError(
                'all groups ask for a pause',
                'queue',
                reason='overload',
                retry_after_s=back_at
                - now
                + self._rng.uniform(0.0, RETURN_SPREAD_S),
            )

    def _queue_for(self, service: str, model: str) -> _queue.WaitQueue:
        key = (service, model)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = _queue.WaitQueue(self._clock)
        return queue

    def _try_reserve(self, service, model, entry) -> Reservation | None:
        """Reserves capacity at a head without a limit, without waiting.

        Returns:
            The reservation, ``None`` if all these groups are full.

        Raises:
            NotRunError: If no group is open, or with ``REASON_LIMITED`` if
                all heads have limits.
        """
        unlimited, _limited = self._split(service, model, entry.excluded_heads)
        if not unlimited:
            raise errors.NotRunError(
                'all groups limit their rate',
                'queue',
                reason=_types.REASON_LIMITED,
            )
        return self._try_reserve_among(unlimited, service, model, entry)

    def _try_reserve_among(
        self, heads, service, model, entry
    ) -> Reservation | None:
        yields = self._yields(service, model, entry)
        head = self._choose_head(heads, entry, yields)
        return None if head is None else self._reserve_at(head, service, model)

    def _reserve_at(self, head, service, model) -> Reservation:
        self._loads.increment(head.name)
        return Reservation(head, service, model)

    def _split(self, service, model, excluded_heads) -> tuple[list, list]:
        """Returns the unlimited and the limited open heads of a model.

        Raises:
            NotRunError: If no group is open.
        """
        heads = self.candidates(service, model, excluded_heads)
        if not heads:
            raise errors.NotRunError(
                'no open group serves the model', 'route', reason='unavailable'
            )
        return self._rates.split(heads)

    def _try_reserve_avoided(
        self, service, model, entry
    ) -> Reservation | None:
        """Reserves capacity at an ejected or suspect head without a limit.

        Returns:
            The reservation, ``None`` if there is none with capacity.
        """
        heads = self._open_heads(service, model, entry.excluded_heads)
        unlimited, _limited = self._rates.split(heads)
        return self._try_reserve_among(unlimited, service, model, entry)

    async def _try_reserve_limited(
        self, unlimited, limited, service, model, entry
    ) -> Reservation | None:
        """Reserves capacity at a limited head that is less loaded.

        Only if it has a permit now, and has less to do than the other heads.

        Args:
            unlimited: The other heads.
            limited: Limited heads.
            service: Name of the service.
            model: Name of the model.
            entry: Queue entry of the request.

        Returns:
            The reservation, ``None`` if another head is the better choice.
        """
        yields = self._yields(service, model, entry)
        limited = self._with_capacity(limited, entry, yields)
        others = self._with_capacity(unlimited, entry, yields)
        if not limited or not others:
            return None
        if self._min_load(limited) + LOAD_TOLERANCE >= self._min_load(others):
            return None
        head = await self._rates.try_acquire((service, model), limited)
        return None if head is None else self._reserve_at(head, service, model)

    async def _reserve_limited(self, service, model, entry) -> Reservation:
        """Waits for a permit for a limited head.

        Raises:
            NotRunError: At once, if there is none in time.
        """
        _unlimited, limited = self._split(service, model, entry.excluded_heads)
        with self.warmup.bypassed(service, entry.priority):
            limited = self._with_capacity(
                limited, entry, self._yields(service, model, entry)
            )
        if not limited:
            raise errors.NotRunError(
                'all groups are full',
                'queue',
                reason='overload',
                retry_after_s=self._queue_for(service, model).predicted_wait_s(
                    entry
                ),
            )
        now = self._clock.now()
        latest_at = entry.client_gone_at - _queue.START_LATENCY_S
        due_at = max(
            entry.on_time_until - _queue.START_LATENCY_S,
            now + PERMIT_WAIT_MIN_S,
        )
        head = await self._rates.acquire(
            limited, max(min(due_at, latest_at) - now, 0.0)
        )
        return self._reserve_at(head, service, model)

    async def reserve(
        self, service, model, entry: _queue.QueueEntry
    ) -> Reservation:
        """Reserves capacity at a head, waiting in the queue if all are full.

        The request counts towards the load of the head until ``release``.
        ``entry.reservation`` is set if the request has to wait.

        Args:
            service: Name of the service.
            model: Name of the model.
            entry: Queue entry of the request, with its time limits.

        Returns:
            The reservation, to be given back with ``release``.

        Raises:
            NotRunError: If no group outside ``entry.excluded_heads`` is open,
                or if the request can't be served in time.
        """
        try:
            return await self._reserve(service, model, entry)
        except errors.NotRunError as exc:
            if exc.reason != 'unavailable':
                self._record_held_up(service, model, entry)
            raise

    async def _reserve(self, service, model, entry) -> Reservation:
        queue = self._queue_for(service, model)
        unlimited, limited = self._split(service, model, entry.excluded_heads)
        if entry.is_unsent:
            self._observe_saturation(service, model, unlimited + limited)
        if limited:
            reservation = await self._try_reserve_limited(
                unlimited, limited, service, model, entry
            )
            if reservation is not None:
                return reservation
            unlimited, limited = self._split(
                service, model, entry.excluded_heads
            )
        if not self._has_ahead(service, model, queue, entry):
            reservation = self._try_reserve_among(
                unlimited, service, model, entry
            )
            if reservation is not None:
                return reservation
        if self.warmup.is_urgent(service, entry.priority):
            with self.warmup.bypassed(service, entry.priority):
                reservation = self._try_reserve_among(
                    unlimited, service, model, entry
                )
            if reservation is not None:
                return reservation
        if limited:
            try:
                return await self._reserve_limited(service, model, entry)
            except errors.NotRunError:
                if not unlimited:
                    reservation = self._try_reserve_avoided(
                        service, model, entry
                    )
                    if reservation is None:
                        raise
                    return reservation
        try:
            self._ensure_one_returns(service, model, entry)
            self._update_start_latency(queue, unlimited)
            self._record_held_up(service, model, entry)
            return await self._reserve_queued(service, model, queue, entry)
        except errors.NotRunError as exc:
            if exc.reason != _types.REASON_LIMITED:
                raise
            return await self._reserve_limited(service, model, entry)

    def _has_ahead(self, service, model, queue, entry) -> bool:
        """Returns whether a new request has to wait for others that wait.

        Those that leave headroom don't hold up one that need not.
        """
        if not len(queue) or self._yields(service, model, entry):
            return len(queue) > 0
        return any(
            not self._yields(service, model, item) for item in queue.in_order()
        )

    async def _reserve_queued(
        self, service, model, queue, entry
    ) -> Reservation:
        if not queue.may_wait(entry):
            raise errors.NotRunError(
                'all groups are full and the wait is too long',
                'queue',
                reason='overload',
                retry_after_s=queue.predicted_wait_s(entry),
            )
        wait_until = min(
            entry.client_gone_at, self._clock.now() + _queue.MAX_WAIT_S
        )
        if not self._may_shed(service, model, entry):
            return await self._await_reservation(queue, entry, wait_until)
        wait_until = min(wait_until, queue.latest_start(entry))
        try:
            return await self._await_reservation(queue, entry, wait_until)
        except errors.NotRunError as exc:
            if exc.reason == 'overload':
                self.shed[f'{service}/{model}'] += 1
                exc.retry_after_s = self._rng.uniform(
                    SHED_RETURN_MIN_S, SHED_RETURN_MAX_S
                )
            raise

    async def _await_reservation(
        self, queue, entry, wait_until: float
    ) -> Reservation:
        entry.reservation = asyncio.get_running_loop().create_future()
        queue.push(entry)
        fut = entry.reservation
        reservation = None
        try:
            async with loops.timeout(max(wait_until - self._clock.now(), 0.0)):
                reservation = await fut
            return reservation
        except TimeoutError:
            raise errors.NotRunError(
                'timed out while waiting for capacity at a group',
                'queue',
                reason='overload',
                retry_after_s=_queue.MAX_WAIT_S / 2,
            )
        finally:
            queue.remove(entry)
            if reservation is None and _has_reservation(fut):
                self.release(fut.result())

    def release(self, reservation: Reservation, served: bool = False) -> None:
        """Gives a reservation back and dispatches waiting requests.

        Args:
            reservation: The reservation.
            served: Whether its request was served. Only these releases count
                for the predicted waiting time.
        """
        self._loads.decrement(reservation.head.name)
        queue = self._queue_for(reservation.service, reservation.model)
        if served:
            queue.record_release()
        self._dispatch(reservation.service, reservation.model, queue)

    def dispatch_waiting(self) -> None:
        """Dispatches waiting requests wherever there is capacity now.

        Called when loads, heads or their state have changed.
        """
        for (service, model), queue in self._queues.items():
            self._dispatch(service, model, queue)

    def _dispatch(self, service, model, queue) -> None:
        has_headroom_only = False
        for entry in queue.in_order():
            yields = self._yields(service, model, entry)
            if yields and has_headroom_only:
                continue
            try:
                reservation = self._try_reserve(service, model, entry)
            except errors.NotRunError as exc:
                queue.remove(entry)
                _fail_if_pending(entry.reservation, exc)
                continue
            if reservation is None:
                if not yields:
                    return
                has_headroom_only = True
                continue
            queue.remove(entry)
            if entry.reservation.done():
                self._loads.decrement(reservation.head.name)
                continue
            entry.reservation.set_result(reservation)

    def dump(self) -> dict:
        """Returns the queue lengths by service and model."""
        return {
            f'{service}/{model}': len(queue)
            for (service, model), queue in self._queues.items()
        }


def _fail_if_pending(fut, exc) -> None:
    if not fut.done():
        fut.set_exception(exc)


def _has_reservation(fut) -> bool:
    return fut.done() and not fut.cancelled() and fut.exception() is None

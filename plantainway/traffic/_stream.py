"""Streamed answers, resumed at another group if one breaks off."""

import asyncio
import dataclasses
import enum

from plantainway import errors
from plantainway.traffic import _events
from plantainway.traffic import _queue
from plantainway.traffic import _types

SENDS_MAX = 4  # sendings of a request, those that it was not run at included
SILENCE_MIN_S = 2.0  # clients give a stream up after this or longer
SILENCE_TARGETS = 4.0  # or after so many targets
SILENCE_PAUSES = 8.0  # or after so many of the longest pauses
UNAVAILABLE_RETRY_S = 0.5  # a group of staged engines opens within 2 s
PRIORITY_RESUMED = 0  # a pause in the middle of a stream counts at once
PRIORITY_FIRST = 3  # of the most urgent new stream; engines take 0 to 9
LOOK_AGAIN_S = 0.1  # at a stalled stream that can't be moved yet


class _End(enum.Enum):
    """How one attempt ended."""

    DONE = 'done'
    NOT_RUN = 'not_run'
    BROKEN = 'broken'
    STALLED = 'stalled'
    FAILED = 'failed'


@dataclasses.dataclass(slots=True)
class _Progress:
    """State of one streamed answer over its attempts."""

    req: _types.Request
    route: object
    service: str
    account: str
    priority: int
    deadline: float
    leaves_at: float
    last_event_id: int | None
    started: bool = False
    runs: int = 0
    sends: int = 0
    excluded: set = dataclasses.field(default_factory=set)
    last_event_at: float = 0.0
    failure: _types.Response | None = None
    reason: str = ''
    lost_heads: list = dataclasses.field(default_factory=list)
    is_sent: bool = False  # an attempt is under way and may run
    pass_s: float = 0.0


class _StallWatch:
    """Ends an attempt whose stream is silent for too long.

    Args:
        timeout: Timeout around the attempt.
        may_move: Function that tells whether another attempt is allowed.
    """

    def __init__(self, timeout, may_move):
        self._loop = asyncio.get_running_loop()
        self._timeout = timeout
        self._may_move = may_move
        self._handle = None
        self.patience_s = 0.0

    def arm(self, patience_s: float) -> None:
        """Starts to wait.

        Args:
            patience_s: Longest silence.
        """
        self.disarm()
        self.patience_s = patience_s
        self._handle = self._loop.call_later(patience_s, self._on_due)

    def disarm(self) -> None:
        """Stops waiting."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _on_due(self) -> None:
        if self._may_move():
            self._timeout.reschedule(self._loop.time())
        else:
            self._handle = self._loop.call_later(LOOK_AGAIN_S, self._on_due)


class StreamRunner:
    """Serves requests whose answer is a stream of events.

    Args:
        parts: What the runners share.
    """

    def __init__(self, parts):
        self._parts = parts

    async def serve(
        self, req, route, service, account, priority, sink, engine
    ):
        """Serves one request.

        Args:
            req: The request.
            route: Its route.
            service: Name of the service.
            account: Name of the client account, or empty.
            priority: Rank of the request, 0 goes first.
            sink: Where the events go.
            engine: Profile of the service's engines, ``None`` if unknown.

        Returns:
            An answer, or ``None`` once the sink was used.
        """
        silence_s = max(
            SILENCE_MIN_S,
            SILENCE_TARGETS * route.latency_target_ms / 1000,
            SILENCE_PAUSES * route.max_event_gap_ms / 1000,
        )
        state = _Progress(
            req,
            route,
            service,
            account,
            priority,
            deadline=min(
                req.deadline, req.arrived_at + route.timeout_ms / 1000
            ),
            leaves_at=min(req.deadline, req.arrived_at + silence_s),
            last_event_id=req.last_event_id,
            pass_s=engine.max_pass_duration_s(req.model) if engine else 0.0,
        )
        try:
            async with asyncio.timeout(
                max(state.deadline - self._parts.clock.now(), 0.0)
            ):
                done = await self._run(state, sink)
        except TimeoutError:
            done = False
            state.reason = 'deadline passed'
        if done:
            return None
        return self._give_up(state, sink)

    def _give_up(self, state, sink):
        """Ends a request that can't be served any more."""
        if state.started:
            sink.abort()
            return None
        if state.failure is not None:
            return state.failure
        if state.runs == 0 and not state.is_sent:
            return _types.Response(
                503, retry_after_s=UNAVAILABLE_RETRY_S, reason=state.reason
            )
        status = 504 if state.reason == 'deadline passed' else 502
        return _types.Response(status, reason=state.reason)

    async def _run(self, state, sink) -> bool:
        """Makes attempts until one completes the answer."""
        parts = self._parts
        while state.sends < SENDS_MAX:
            if state.sends and not parts.budget.take(state.service):
                state.reason = 'retry budget spent'
                return False
            try:
                place = await self._place(state)
            except errors.NotRunError as exc:
                state.reason = exc.message
                if state.runs == 0 and not state.started:
                    state.failure = _types.Response(
                        503,
                        retry_after_s=self._retry_after_s(state, exc),
                        reason=exc.message,
                    )
                return False
            state.sends += 1
            state.is_sent = True
            end = await self._attempt(state, place, sink)
            state.is_sent = False  # a run is counted by now
            if end is _End.DONE:
                return True
            parts.outcomes.decided(
                state.req,
                'attempt_failed',
                upstream=place.head.name,
                group=place.head.membership.group,
                end=end.value,
                reason=state.reason,
                runs=state.runs,
                after_event=state.last_event_id,
            )
            state.excluded.add(place.head.name)
            if end is _End.NOT_RUN:
                continue
            if end in (_End.STALLED, _End.BROKEN):
                state.lost_heads.append(place.head)
            if not self._may_run_again(state):
                return False
        return False

    def _may_run_again(self, state, uncounted: int = 0) -> bool:
        """Tells whether the route allows one more run.

        Runs at heads that have ended since do not count.

        Args:
            state: State of the answer.
            uncounted: Runs that are not in the state yet.
        """
        runs = state.runs + uncounted
        if not state.route.is_idempotent:
            return runs == 0
        book = self._parts.upstreams
        lost = 0
        for head in state.lost_heads:
            now = book.by_name.get(head.name)
            lost += now is None or now.started_ms != head.started_ms
        return runs - lost < state.route.max_attempts

    def _retry_after_s(self, state, exc) -> float:
        left_s = state.req.deadline - self._parts.clock.now()
        if exc.reason == 'unavailable':
            return _queue.retry_after_s(UNAVAILABLE_RETRY_S, left_s)
        return _queue.retry_after_s(exc.retry_after_s, left_s)

    async def _place(self, state):
        req, route = state.req, state.route
        prompt_until = req.arrived_at + route.latency_target_ms / 1000
        leaves_at = state.leaves_at
        if state.started:
            prompt_until = state.last_event_at + route.max_event_gap_ms / 1000
            leaves_at = state.deadline
        ticket = _queue.Ticket(
            priority=-1 if state.started else state.priority,
            arrived_at=req.arrived_at,
            prompt_until=prompt_until,
            leaves_at=leaves_at,
            excluded=frozenset(state.excluded),
        )
        try:
            return await self._parts.heads.place(
                state.service, req.model, ticket
            )
        except errors.NotRunError:
            if not state.excluded:
                raise
            # Every other group is full or gone: one that refused before may
            # have room by now.
            state.excluded.clear()
            ticket.excluded = frozenset()
            return await self._parts.heads.place(
                state.service, req.model, ticket
            )

    async def _attempt(self, state, place, sink) -> _End:
        parts, head = self._parts, place.head
        reply = None
        sent_at = parts.clock.now()
        sending = _types.Attempt(
            state.req,
            head,
            state.account,
            state.deadline,
            priority=(
                PRIORITY_RESUMED
                if state.started
                else min(PRIORITY_FIRST + state.priority, 9)
            ),
            last_event_id=state.last_event_id,
        )
        watch = None
        end = _End.BROKEN
        try:
            async with asyncio.timeout(None) as stall:
                watch = _StallWatch(
                    stall, lambda: self._may_move(state, reply is not None)
                )
                watch.arm(self._first_patience_s(state, head))
                reply = await parts.client.send(sending)
                if reply.status != 200:
                    watch.disarm()
                    return await self._failed(state, place, reply)
                state.runs += 1
                end = await self._forward(
                    state, head, reply, sink, watch, sent_at
                )
                return end
        except TimeoutError:
            if not stall.expired():
                raise
            if reply is None:
                state.runs += 1
            parts.stalls.note_stall(head.name, watch.patience_s)
            parts.note_failed(head, 'stalled')
            state.reason = 'stalled'
            return _End.STALLED
        except errors.UpstreamError as exc:
            state.reason = exc.message
            if reply is None and exc.sent:
                state.runs += 1
            parts.note_failed(head, exc.message, certain=not exc.sent)
            return _End.BROKEN if exc.sent else _End.NOT_RUN
        finally:
            if watch is not None:
                watch.disarm()
            parts.heads.release(place, served=end is _End.DONE)
            if reply is not None:
                reply.close()

    def _may_move(self, state, is_counted: bool) -> bool:
        """Tells whether a stalled attempt may be given up for another."""
        return self._may_run_again(state, 0 if is_counted else 1)

    def _first_patience_s(self, state, head) -> float:
        stalls = self._parts.stalls
        if state.started:
            return 2 * stalls.gap_patience_s(head.name, state.pass_s)
        return stalls.first_patience_s(head.name, state.pass_s)

    async def _failed(self, state, place, reply) -> _End:
        """Takes in an answer that is no stream."""
        parts, head = self._parts, place.head
        body = await reply.read()
        state.reason = f'status {reply.status}'
        if reply.not_run:
            if reply.misdirected:
                parts.heads.mark_closed(head)
            elif reply.failed_upstream:
                parts.note_failed(
                    head, f'lost {reply.failed_upstream}', certain=True
                )
            else:
                parts.heads.note_full(place)
            return _End.NOT_RUN
        state.runs += 1
        state.failure = _types.Response(reply.status, reply.headers, body)
        parts.note_failed(head, state.reason)
        return _End.FAILED

    async def _forward(self, state, head, reply, sink, watch, sent_at) -> _End:
        """Passes events on until the stream ends."""
        parts = self._parts
        splitter = _events.EventSplitter()
        moved_at = sent_at
        first = True
        while chunk := await reply.next_chunk():
            events = splitter.feed(chunk)
            if not events:
                continue
            now = parts.clock.now()
            if first:
                parts.stalls.note_first(head.name, now - sent_at)
                first = False
            else:
                parts.stalls.note_gap(head.name, now - moved_at)
            moved_at = now
            # A client that reads slowly is no stall of the upstream.
            watch.disarm()
            await self._pass_on(state, reply, events, sink)
            watch.arm(parts.stalls.gap_patience_s(head.name, state.pass_s))
        watch.disarm()
        if not state.started:
            await sink.start(reply.status, reply.headers)
            state.started = True
        if splitter.rest:
            await sink.write(splitter.rest)
        await sink.finish()
        parts.health.note_served(head.name)
        return _End.DONE

    async def _pass_on(self, state, reply, events, sink) -> None:
        parts = self._parts
        data = []
        for event in events:
            if event.number is not None:
                if (
                    state.last_event_id is not None
                    and event.number <= state.last_event_id
                ):
                    continue  # the client has it
                state.last_event_id = event.number
            data.append(event.data)
        if not state.started:
            state.started = True
            parts.outcomes.note_first(state.req)
            await sink.start(reply.status, reply.headers)
        state.last_event_at = parts.clock.now()
        if data:
            await sink.write(b''.join(data))

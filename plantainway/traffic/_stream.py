"""Streamed responses, resumed at another group after a failure."""

import asyncio
import dataclasses
import enum
import math

from plantainway import errors
from plantainway import quarantine
from plantainway.traffic import _durations
from plantainway.traffic import _events
from plantainway.traffic import _queue
from plantainway.traffic import _stall_timer
from plantainway.traffic import _types

MAX_SENDS = 4  # attempts per request, including refused ones
# Clients give up on a silent stream after the longest of these times: a fixed
# one, a multiple of the route's target and one of its longest pause.
MIN_CLIENT_TIMEOUT_S = 2.0
CLIENT_TIMEOUT_TARGETS = 4.0
CLIENT_TIMEOUT_PAUSES = 8.0
UNAVAILABLE_RETRY_AFTER_S = 0.5  # groups with staged weights open within 2 s
PRIORITY_RESUMED_STREAM = 0  # its client already sees a pause
# Lowest number of a new stream; engines accept 0 to 9, 0 goes first.
PRIORITY_NEW_STREAM = 3
ERROR_BODY_TIMEOUT_S = 1.0  # for the body of a failure, some hundred bytes
EVENT_BYTES_MAX = 1 << 20  # an event holds a few tokens
LEAVING_RETRY_AFTER_S = 0.05  # other nodes take the request at once


class _AttemptResult(enum.Enum):
    """Outcome of one attempt; the values are logged."""

    DONE = 'done'
    NOT_RUN = 'not_run'
    BROKEN = 'broken'
    STALLED = 'stalled'
    FAILED = 'failed'


@dataclasses.dataclass(slots=True, eq=False)
class _StreamState:
    """State of one streamed response over all its attempts.

    ``runs`` counts the attempts that may have run at an upstream, ``sends``
    all that were sent, ``unreached`` those for which no connection could be
    opened. ``is_attempt_running`` tells whether an attempt or a relay is in
    progress that may run. ``lost_heads`` are those at which the stream stalled
    or broke off. ``silence_s`` is the silence for which the last attempt was
    given up, ``late_s`` by how much the loop noticed it late. Times are
    monotonic seconds.
    """

    req: _types.Request
    sink: _types.BaseSink
    route: object
    service: str
    account: str
    priority: int
    deadline: float
    client_gone_at: float
    last_event_id: int | None
    runs: int = 0
    sends: int = 0
    excluded_heads: set = dataclasses.field(default_factory=set)
    sent_heads: set = dataclasses.field(default_factory=set)
    first_sent_at: float = 0.0
    last_event_at: float = 0.0
    error_response: _types.Response | None = None
    reason: str = ''
    lost_heads: list = dataclasses.field(default_factory=list)
    unreached: int = 0
    is_attempt_running: bool = False
    longest_pass_s: float = 0.0
    silence_s: float = 0.0
    late_s: float = 0.0

    @property
    def answer_tokens(self) -> int:
        """Number of tokens of the answer, 0 if unknown."""
        return self.req.answer_tokens or self.req.length_hint

    @property
    def is_started(self) -> bool:
        """Whether the client's answer has begun, here or by a relay."""
        return self.sink.is_started


class StreamRunner:
    """Serves requests whose response is a stream of events.

    Args:
        deps: Components that the request runners share.
    """

    def __init__(self, deps):
        self._deps = deps
        self._durations = _durations.RunDurations()
        self._ends_at: float | None = None
        self._waiting: dict[asyncio.Timeout, _StreamState] = {}
        self._in_progress: set[_StreamState] = set()

    def end_at(self, ends_at: float) -> None:
        """Sets when this node ends.

        Streams that would outlast it are not begun any more; those that wait
        for capacity are refused as soon as it would come too late.

        Args:
            ends_at: Monotonic seconds.
        """
        self._ends_at = ends_at
        for scope, state in self._waiting.items():
            scope.reschedule(self._loop_time_of(self._latest_start(state)))

    def _latest_start(self, state) -> float:
        """Returns until when a stream may begin to end before this node.

        A node that has seen none end yet goes by the age of those that run.
        """
        if self._ends_at is None:
            return math.inf
        expected_s = self._durations.expected_s(
            state.service, state.answer_tokens
        )
        return self._ends_at - (expected_s or self._longest_age_s(state))

    def _longest_age_s(self, state) -> float:
        """Returns for how long the oldest stream of a service has run."""
        now = self._deps.clock.now()
        return max(
            (
                now - item.first_sent_at
                for item in self._in_progress
                if item.service == state.service and item.first_sent_at
            ),
            default=0.0,
        )

    def _loop_time_of(self, at: float) -> float | None:
        if at == math.inf:
            return None
        loop = asyncio.get_running_loop()
        return loop.time() + at - self._deps.clock.now()

    def _ensure_ends_in_time(self, state) -> None:
        """Checks that a stream that has not run ends before this node.

        Raises:
            NotRunError: If it would not; other nodes take it at once.
        """
        may_refuse = state.runs == 0 and not state.is_started
        if may_refuse and self._deps.clock.now() > self._latest_start(state):
            raise _leaving_error()

    async def serve(
        self, req, route, service, account, priority, sink, engine
    ):
        """Serves one request and resumes its stream if an attempt fails.

        Args:
            req: The request.
            route: Its route.
            service: Name of the service.
            account: Name of the client account, or empty.
            priority: Priority of the request, 0 goes first.
            sink: Receives the events.
            engine: Profile of the service's engines, ``None`` if unknown.

        Returns:
            An error response, or ``None`` if the sink was used, even if it was
            aborted.
        """
        client_timeout_s = max(
            MIN_CLIENT_TIMEOUT_S,
            CLIENT_TIMEOUT_TARGETS * route.latency_target_ms / 1000,
            CLIENT_TIMEOUT_PAUSES * route.max_event_gap_ms / 1000,
        )
        state = _StreamState(
            req,
            sink,
            route,
            service,
            account,
            priority,
            deadline=min(
                req.deadline, req.arrived_at + route.timeout_ms / 1000
            ),
            client_gone_at=min(
                req.deadline, req.arrived_at + client_timeout_s
            ),
            last_event_id=req.last_event_id,
            longest_pass_s=engine.max_pass_duration_s(req.model)
            if engine
            else 0.0,
        )
        self._in_progress.add(state)
        try:
            async with asyncio.timeout(
                max(state.deadline - self._deps.clock.now(), 0.0)
            ):
                done = await self._run_attempts(state, sink)
        except TimeoutError:
            done = False
            state.reason = 'deadline passed'
        finally:
            self._in_progress.discard(state)
        if done:
            return None
        return self._finish_unserved(state, sink)

    def _finish_unserved(self, state, sink):
        """Returns an error response, ``None`` after it aborted the sink."""
        if state.is_started:
            sink.abort(state.reason)
            return None
        if state.error_response is not None:
            return state.error_response
        if state.runs == 0 and not state.is_attempt_running:
            return _types.Response(
                503,
                retry_after_s=UNAVAILABLE_RETRY_AFTER_S,
                reason=state.reason,
            )
        status = 504 if state.reason == 'deadline passed' else 502
        return _types.Response(status, reason=state.reason)

    async def _run_attempts(self, state, sink) -> bool:
        """Makes attempts until one completes; returns whether one did."""
        deps = self._deps
        while state.sends < MAX_SENDS:
            try:
                self._ensure_ends_in_time(state)
                if deps.relay.is_needed(state.req, state.unreached):
                    may_run = state.route.is_idempotent or state.runs == 0
                    if may_run:
                        return await self._relay_within_budget(state, sink)
                if state.sends and not deps.budget.try_take(state.service):
                    state.reason = 'retry budget exhausted'
                    return False
                reservation = await self._reserve_allowed(state)
            except errors.NotRunError as exc:
                state.reason = exc.message
                if state.runs == 0 and not state.is_started:
                    state.error_response = _types.Response(
                        503,
                        retry_after_s=self._retry_after_s(state, exc),
                        reason=exc.message,
                    )
                return False
            state.sends += 1
            state.is_attempt_running = True
            state.silence_s = state.late_s = 0.0
            result = await self._run_attempt(state, reservation, sink)
            state.is_attempt_running = False  # runs includes it now
            if result is _AttemptResult.DONE:
                return True
            deps.outcomes.log_decision(
                state.req,
                'attempt_failed',
                upstream=reservation.head.name,
                group=reservation.head.membership.group,
                end=result.value,
                reason=state.reason,
                runs=state.runs,
                after_event=state.last_event_id,
                silence_ms=int(state.silence_s * 1000),
                late_ms=int(state.late_s * 1000),
                parts=','.join(state.req.crash_keys),
            )
            state.excluded_heads.add(reservation.head.name)
            if result is _AttemptResult.NOT_RUN:
                continue
            if result in (_AttemptResult.STALLED, _AttemptResult.BROKEN):
                state.lost_heads.append(reservation.head)
            if not self._may_run_again(state):
                return False
        return False

    def _may_run_again(self, state, uncounted_runs: int = 0) -> bool:
        """Returns whether the route allows one more run.

        Runs at heads that have disappeared or restarted since do not count.

        Args:
            state: State of the response.
            uncounted_runs: Runs that ``state.runs`` does not include yet.
        """
        runs = state.runs + uncounted_runs
        if not state.route.is_idempotent:
            return runs == 0
        if self._deps.relay.is_needed(state.req):
            return True  # the heads are cut off from this node
        return self._remaining_runs(state, uncounted_runs) > 0

    def _remaining_runs(self, state, uncounted_runs: int = 0) -> int:
        runs = state.runs + uncounted_runs
        upstreams = self._deps.upstreams
        ended_heads = 0
        for head in state.lost_heads:
            current = upstreams.by_name.get(head.name)
            ended_heads += (
                current is None or current.started_ms != head.started_ms
            )
        return state.req.run_limit(state.route) - (runs - ended_heads)

    async def _relay_within_budget(self, state, sink) -> bool:
        """Relays a stream; a retry if it has arrived at an upstream."""
        has_arrived = state.sends > state.unreached
        if has_arrived and not self._deps.budget.try_take(state.service):
            state.reason = 'retry budget exhausted'
            return False
        return await self._relay(state, sink)

    async def _relay(self, state, sink) -> bool:
        """Serves the rest of a stream through another node.

        Returns:
            Whether the sink was used; otherwise there is an error response.
        """
        state.is_attempt_running = True
        response = await self._deps.relay.serve(
            state.req,
            state.deadline,
            max(self._remaining_runs(state), 1),
            sink,
            resumed=(state.last_event_id or 0) if state.is_started else None,
        )
        state.is_attempt_running = False  # the response tells if it ran
        if response is None:
            return True
        if state.runs and response.status == 503 and response.reason:
            response = _types.Response(502, reason=response.reason)
        state.error_response = response
        state.reason = response.reason
        return False

    def _retry_after_s(self, state, exc) -> float:
        remaining_s = state.req.deadline - self._deps.clock.now()
        if exc.reason == 'quarantined':
            return exc.retry_after_s
        if exc.reason == 'unavailable':
            return _queue.retry_after_s(UNAVAILABLE_RETRY_AFTER_S, remaining_s)
        return _queue.retry_after_s(exc.retry_after_s, remaining_s)

    async def _reserve_allowed(self, state):
        """Reserves capacity, unless engines crash on the prompt.

        That may become known while the request waits, and this node may
        begin to stop.

        Raises:
            NotRunError: If a part of the prompt is quarantined, if the stream
                would outlast this node, or as ``HeadPool.reserve``.
        """
        ensure_allowed = self._deps.quarantine.ensure_allowed
        ensure_allowed(state.req.crash_keys)
        reservation = await self._reserve_in_time(state)
        try:
            ensure_allowed(state.req.crash_keys)
            self._ensure_ends_in_time(state)
        except errors.NotRunError:
            self._deps.heads.release(reservation)
            raise
        return reservation

    async def _reserve_in_time(self, state):
        """Reserves capacity; waits no longer than the end of this node allows.

        Raises:
            NotRunError: As ``_ensure_ends_in_time`` or ``HeadPool.reserve``.
        """
        if state.runs or state.is_started:
            return await self._reserve(state)
        scope = asyncio.timeout_at(
            self._loop_time_of(self._latest_start(state))
        )
        self._waiting[scope] = state
        try:
            async with scope:
                return await self._reserve(state)
        except TimeoutError:
            if not scope.expired():
                raise
            raise _leaving_error()
        finally:
            del self._waiting[scope]

    async def _reserve(self, state):
        req, route = state.req, state.route
        on_time_until = req.arrived_at + route.latency_target_ms / 1000
        client_gone_at = state.client_gone_at
        if state.is_started:
            on_time_until = state.last_event_at + route.max_event_gap_ms / 1000
            client_gone_at = state.deadline
        entry = _queue.QueueEntry(
            priority=-1 if state.is_started else state.priority,
            arrived_at=req.arrived_at,
            on_time_until=on_time_until,
            client_gone_at=client_gone_at,
            excluded_heads=frozenset(state.excluded_heads),
        )
        try:
            return await self._deps.heads.reserve(
                state.service, req.model, entry
            )
        except errors.NotRunError:
            if not state.excluded_heads:
                raise
            # All other groups are full or gone; one that refused the request
            # before may have capacity by now.
            state.excluded_heads.clear()
            entry.excluded_heads = frozenset()
            return await self._deps.heads.reserve(
                state.service, req.model, entry
            )

    async def _run_attempt(self, state, reservation, sink) -> _AttemptResult:
        deps, head = self._deps, reservation.head
        response = None
        sent_at = deps.clock.now()
        state.first_sent_at = state.first_sent_at or sent_at
        attempt = _types.Attempt(
            state.req,
            head,
            state.account,
            state.deadline,
            priority=(
                PRIORITY_RESUMED_STREAM
                if state.is_started
                else min(PRIORITY_NEW_STREAM + state.priority, 9)
            ),
            last_event_id=state.last_event_id,
            use_new_connection=head.name in state.sent_heads,
            is_repeated=state.sends > 1,
        )
        state.sent_heads.add(head.name)
        stall_timer = None
        evidence = quarantine.RunEvidence(deps.evidence, state.req.crash_keys)
        result = _AttemptResult.BROKEN
        try:
            async with asyncio.timeout(None) as attempt_timeout:
                stall_timer = _stall_timer.StallTimer(
                    attempt_timeout,
                    lambda: self._may_abandon(state, response is not None),
                )
                stall_timer.arm(self._first_timeout_s(state, head))
                response = await deps.send(attempt)
                if response.status != 200:
                    stall_timer.disarm()
                    return await self._handle_error_response(
                        state, reservation, response
                    )
                state.runs += 1
                result = await self._forward_stream(
                    state, head, response, sink, stall_timer, sent_at, evidence
                )
                return result
        except TimeoutError:
            if not attempt_timeout.expired():
                raise
            if response is None:
                state.runs += 1
            evidence.record_cut_off(head)
            deps.stalls.record_stall(head.name, stall_timer.timeout_s)
            deps.record_failure(head, 'stalled')
            state.reason = 'stalled'
            state.silence_s = stall_timer.timeout_s
            state.late_s = stall_timer.late_s
            return _AttemptResult.STALLED
        except errors.UpstreamError as exc:
            state.reason = exc.message
            if response is None and exc.sent:
                state.runs += 1
            if exc.sent:
                evidence.record_cut_off(head)
            state.unreached += not exc.sent
            deps.record_failure(head, exc.message, eject_now=not exc.sent)
            return (
                _AttemptResult.BROKEN if exc.sent else _AttemptResult.NOT_RUN
            )
        finally:
            if stall_timer is not None:
                stall_timer.disarm()
            deps.heads.release(
                reservation, served=result is _AttemptResult.DONE
            )
            if response is not None:
                response.close()

    def _may_abandon(self, state, is_run_counted: bool) -> bool:
        """Returns whether a stalled attempt may be abandoned for another."""
        return self._may_run_again(state, 0 if is_run_counted else 1)

    def _first_timeout_s(self, state, head) -> float:
        """Returns the stall timeout for the first event of an attempt."""
        stalls = self._deps.stalls
        if state.is_started:
            return 2 * stalls.gap_timeout_s(head.name, state.longest_pass_s)
        return stalls.first_event_timeout_s(head.name, state.longest_pass_s)

    async def _handle_error_response(
        self, state, reservation, response
    ) -> _AttemptResult:
        """Handles a status other than 200; updates the state of the head."""
        deps, head = self._deps, reservation.head
        state.reason = f'status {response.status}'
        if response.not_run:
            await response.discard()
            if response.misdirected:
                deps.heads.mark_closed(head)
            elif response.failed_upstream:
                deps.record_failure(
                    head,
                    f'reported failure of {response.failed_upstream}',
                    eject_now=True,
                )
            else:
                deps.heads.mark_full(reservation, response.retry_after_s)
            return _AttemptResult.NOT_RUN
        state.runs += 1
        try:
            async with asyncio.timeout(ERROR_BODY_TIMEOUT_S):
                body = await response.read()
        except TimeoutError:
            raise errors.UpstreamError(
                f'body of status {response.status} did not end',
                'body',
                head.name,
            )
        state.error_response = _types.Response(
            response.status, response.headers, body
        )
        deps.record_failure(head, state.reason)
        return _AttemptResult.FAILED

    async def _forward_stream(
        self, state, head, response, sink, stall_timer, sent_at, evidence
    ) -> _AttemptResult:
        """Forwards events to the client until the stream ends.

        Raises:
            UpstreamError: If the stream was broken off. Regular framing does
                not rule that out: a stream may end with its connection.
        """
        deps = self._deps
        splitter = _events.EventSplitter()
        last_progress_at = sent_at
        is_first_chunk = True
        while chunk := await response.next_chunk():
            events = splitter.feed(chunk)
            if len(splitter.remainder) > EVENT_BYTES_MAX:
                raise errors.UpstreamError(
                    f'event exceeds {EVENT_BYTES_MAX} bytes', 'body', head.name
                )
            if not events:
                continue
            evidence.record_events(len(events))
            deps.links.record_contact()
            now = deps.clock.now()
            if is_first_chunk:
                deps.stalls.record_first_event(head.name, now - sent_at)
                is_first_chunk = False
            else:
                deps.stalls.record_gap(head.name, now - last_progress_at)
            last_progress_at = now
            # A client that reads slowly must not count as a stalled upstream.
            stall_timer.disarm()
            await self._forward_events(state, response, events, sink)
            stall_timer.arm(
                deps.stalls.gap_timeout_s(head.name, state.longest_pass_s)
            )
        stall_timer.disarm()
        if response.ends_with_connection or splitter.remainder:
            deps.outcomes.log_decision(
                state.req,
                'stream_end_unframed',
                upstream=head.name,
                with_connection=response.ends_with_connection,
                left_bytes=len(splitter.remainder),
                after_event=state.last_event_id,
            )
        if splitter.remainder.strip():
            raise errors.UpstreamError(
                'stream ended inside an event', 'body', head.name
            )
        if response.ends_with_connection and is_first_chunk:
            raise errors.UpstreamError(
                'connection closed before the first event', 'body', head.name
            )
        if not state.is_started:
            await sink.start(response.status, response.headers)
        if splitter.remainder:
            await sink.write(splitter.remainder)  # blank lines
        evidence.record_end()
        if state.req.last_event_id is None:
            self._durations.record(
                state.service,
                state.answer_tokens,
                deps.clock.now() - state.first_sent_at,
            )
        await sink.finish()
        deps.health.record_success(head.name)
        return _AttemptResult.DONE

    async def _forward_events(self, state, response, events, sink) -> None:
        """Sends the client those events that it does not have yet."""
        deps = self._deps
        pending = []
        for event in events:
            if event.event_id is not None:
                if (
                    state.last_event_id is not None
                    and event.event_id <= state.last_event_id
                ):
                    continue  # the client already has it
                state.last_event_id = event.event_id
            pending.append(event.data)
        if not state.is_started:
            deps.outcomes.record_first_event(state.req)
            await sink.start(response.status, response.headers)
        state.last_event_at = deps.clock.now()
        if pending:
            await sink.write(b''.join(pending))


def _leaving_error() -> errors.NotRunError:
    return errors.NotRunError(
        'node ends before the stream would',
        'stream',
        reason='leaving',
        retry_after_s=LEAVING_RETRY_AFTER_S,
    )

"""Streamed responses that go on at another group after a failure."""

import asyncio
import math

from plantainway import errors
from plantainway.traffic import _attempts
from plantainway.traffic import _durations
from plantainway.traffic import _queue
from plantainway.traffic import _stream_attempt
from plantainway.traffic import _stream_state
from plantainway.traffic import _types

# Clients give up on a silent stream after the longest of these times: a fixed
# one, a multiple of the route's target and one of its longest pause.
MIN_CLIENT_TIMEOUT_S = 2.0
CLIENT_TIMEOUT_TARGETS = 4.0
CLIENT_TIMEOUT_PAUSES = 8.0
UNAVAILABLE_RETRY_AFTER_S = 0.5  # groups with staged weights open within 2 s
LEAVING_RETRY_AFTER_S = 0.05  # other nodes take the request at once


class StreamRunner:
    """Serves requests whose response is a stream of events.

    Args:
        deps: Components that the request runners share.
    """

    def __init__(self, deps):
        self._deps = deps
        self._durations = _durations.RunDurations()
        self._ends_at: float | None = None
        self._waiting: dict[asyncio.Timeout, _stream_state.StreamState] = {}
        self._in_progress: set[_stream_state.StreamState] = set()

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
        may_refuse = state.attempts.runs == 0 and not state.is_started
        if may_refuse and self._deps.clock.now() > self._latest_start(state):
            raise _leaving_error()

    async def serve(
        self, req, route, service, account, priority, sink, engine
    ):
        """Serves one request and goes on with its stream if an attempt fails.

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
        state = _stream_state.StreamState(
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
            attempts=_attempts.AnswerAttempts(
                route.is_idempotent, req.run_limit(route)
            ),
            longest_pass_s=engine.max_pass_duration_s(req.model)
            if engine
            else 0.0,
            prefill_s=engine.prefill_duration_s(req.model) if engine else 0.0,
        )
        self._in_progress.add(state)
        try:
            async with asyncio.timeout(
                max(state.deadline - self._deps.clock.now(), 0.0)
            ):
                await self._run_attempts(state)
        except TimeoutError:
            state.reason = 'deadline passed'
        finally:
            self._in_progress.discard(state)
        if state.attempts.is_complete:
            return None
        return self._finish_unserved(state)

    def _finish_unserved(self, state):
        """Returns an error response, ``None`` after it aborted the sink."""
        if state.sink.is_finished:
            return None
        if state.is_started:
            state.sink.abort(state.reason)
            return None
        if state.error_response is not None:
            return state.error_response
        if state.attempts.runs == 0:
            return state.refusal or _types.Response(
                503,
                retry_after_s=UNAVAILABLE_RETRY_AFTER_S,
                reason=state.reason,
            )
        status = 504 if state.reason == 'deadline passed' else 502
        return _types.Response(status, reason=state.reason)

    async def _run_attempts(self, state) -> None:
        """Opens attempts until one completes or no more is possible."""
        attempts, clock = state.attempts, self._deps.clock
        try:
            while True:
                state.changed.clear()
                _collect_ended(state)
                decision = attempts.decide(
                    clock.now(), self._uncounted_runs(state)
                )
                if decision.action is _attempts.Action.END:
                    return
                if decision.action is _attempts.Action.OPEN:
                    self._open_attempt(state)
                else:
                    await self._wait_for_change(state, decision.at)
        finally:
            await _cancel_all(state.tasks.values())

    async def _wait_for_change(self, state, until: float) -> None:
        handle = None
        if until != math.inf:
            handle = asyncio.get_running_loop().call_at(
                self._loop_time_of(until), state.changed.set
            )
        try:
            await state.changed.wait()
        finally:
            if handle is not None:
                handle.cancel()

    def _uncounted_runs(self, state) -> int:
        """Returns how many runs do not count against the route's limit.

        They are those at heads that have disappeared or restarted since, and
        all of this node's own if the heads are cut off from it.
        """
        if self._deps.relay.is_needed(state.req):
            return len(state.run_heads)
        return self._ended_heads(state)

    def _ended_heads(self, state) -> int:
        by_name = self._deps.upstreams.by_name
        ended_heads = 0
        for head in state.run_heads.values():
            current = by_name.get(head.name)
            ended_heads += (
                current is None or current.started_ms != head.started_ms
            )
        return ended_heads

    def _open_attempt(self, state) -> None:
        """Opens one more attempt; those that are open stay so."""
        silent = state.attempts.open_numbers
        number = state.attempts.open()
        attempt = _stream_attempt.StreamAttempt(
            self._deps, state, number, self._durations
        )
        if silent:
            self._deps.outcomes.log_decision(
                state.req,
                'attempt_added',
                attempt=number,
                silent=','.join(str(item) for item in silent),
                after_event=state.last_event_id,
            )
        for item in silent:
            state.open_attempts[item].blame_silence()
        state.open_attempts[number] = attempt
        task = asyncio.ensure_future(self._run_attempt(state, number, attempt))
        state.tasks[number] = task
        task.add_done_callback(lambda _task: state.changed.set())

    async def _run_attempt(self, state, number: int, attempt) -> None:
        """Runs one attempt, here or through another node."""
        deps = self._deps
        try:
            self._ensure_ends_in_time(state)
            if deps.relay.is_needed(state.req, state.unreached):
                if state.attempts.sends > state.unreached:
                    self._take_retry(state)
                await attempt.relay(self._relayed_runs(state))
                return
            is_retry = state.attempts.sends > 0
            if is_retry and not deps.budget.has_left(state.service):
                raise _no_retry_error()
            reservation = await self._reserve_allowed(state)
            try:
                if is_retry:
                    self._take_retry(state)
            except errors.NotRunError:
                deps.heads.release(reservation)
                raise
        except errors.NotRunError as exc:
            self._handle_refusal(state, number, exc)
            return
        await attempt.run(reservation)

    def _take_retry(self, state) -> None:
        """Takes one retry from the budget.

        Raises:
            NotRunError: If there is none.
        """
        if not self._deps.budget.try_take(state.service):
            raise _no_retry_error()

    def _relayed_runs(self, state) -> int:
        """Returns how often a request may run through another node."""
        runs = state.attempts.runs - self._uncounted_runs(state)
        return max(state.req.run_limit(state.route) - runs, 1)

    def _handle_refusal(self, state, number: int, exc) -> None:
        """Records that no head takes an attempt."""
        state.reason = exc.message
        state.attempts.record_refusal(
            number,
            self._deps.clock.now(),
            is_final=True,
            is_lasting=exc.reason == 'quarantined',
        )
        state.refusal = _types.Response(
            503,
            retry_after_s=self._retry_after_s(state, exc),
            reason=exc.message,
        )

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
        begin to stop. A head whose failure domain is evacuated meanwhile is
        given back for another one.

        Raises:
            NotRunError: If a part of the prompt is quarantined, if the stream
                would outlast this node, or as ``HeadPool.reserve``.
        """
        ensure_allowed = self._deps.quarantine.ensure_allowed
        ensure_allowed(state.req.crash_keys)
        reservation = await self._reserve_in_time(state)
        while self._deps.upstreams.is_evacuated(reservation.head):
            self._deps.heads.release(reservation)
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
        if state.attempts.runs or state.is_started:
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
            excluded_heads=frozenset(state.excluded_heads | state.open_heads),
            prompt_tokens=req.prompt_tokens,
            is_unsent=not state.is_started and state.attempts.sends == 0,
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
            entry.excluded_heads = frozenset(state.open_heads)
            return await self._deps.heads.reserve(
                state.service, req.model, entry
            )


def _collect_ended(state) -> None:
    """Forgets the tasks that have ended.

    Raises:
        Exception: If one failed, as when the client has left.
    """
    for number, task in list(state.tasks.items()):
        if task.done():
            del state.tasks[number]
            del state.open_attempts[number]
            if not task.cancelled():
                task.result()
            elif number in state.attempts.open_numbers:
                state.attempts.record_failure(number)


async def _cancel_all(tasks) -> None:
    """Cancels tasks and waits until they have ended."""
    pending = [task for task in tasks if not task.done()]
    for task in pending:
        task.cancel()
    if pending:
        await asyncio.wait(pending)


def _no_retry_error() -> errors.NotRunError:
    return errors.NotRunError(
        'retry budget exhausted', 'stream', reason='unavailable'
    )


def _leaving_error() -> errors.NotRunError:
    return errors.NotRunError(
        'node ends before the stream would',
        'stream',
        reason='leaving',
        retry_after_s=LEAVING_RETRY_AFTER_S,
    )

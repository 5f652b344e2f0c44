"""Requests to plain services, which send complete responses.

Unsafe requests run at most once. A silent attempt of a safe request stays
open while another one is tried; the first complete answer ends both.
"""

import asyncio
import collections
import contextlib
import dataclasses
import math
import random

from plantainway import errors
from plantainway import loops
from plantainway.traffic import _attempts
from plantainway.traffic import _queue
from plantainway.traffic import _types

MAX_SENDS = 4  # attempts per request, including refused ones
REFUSED_RETRY_AFTER_S = 0.3  # several run times of a plain request
GATEWAY_TIMEOUT = 504
BAD_GATEWAY = 502
PERMIT_WAIT_TARGETS = 0.5  # of the route; the rest is for the run
SILENCE_TARGETS = 1.75  # of the route; then another attempt is opened


@dataclasses.dataclass(slots=True, eq=False)
class _PlainState:
    """State of one request over all its attempts.

    ``open_attempts`` holds the attempts by number, ``tasks`` what runs them;
    ``changed`` is set after each event of one. ``tried_names`` are upstreams
    that had the request, ``run_names`` those of them that did not refuse it,
    ``sent_names`` all that ever had it. ``tries`` counts the attempts for
    which there was an upstream, ``unreached`` those for which no connection
    could be opened. ``answer`` is the response to pass on,
    ``error_response`` that of an attempt that failed, ``refusal`` the answer
    if none ran. Times are monotonic seconds.
    """

    req: _types.Request
    route: object
    service: str
    account: str
    deadline: float
    attempts: _attempts.AnswerAttempts
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    tasks: dict[int, asyncio.Task] = dataclasses.field(default_factory=dict)
    open_attempts: dict = dataclasses.field(default_factory=dict)
    tried_names: set[str] = dataclasses.field(default_factory=set)
    run_names: set[str] = dataclasses.field(default_factory=set)
    sent_names: set[str] = dataclasses.field(default_factory=set)
    tries: int = 0
    unreached: int = 0
    answer: _types.Response | None = None
    error_response: _types.Response | None = None
    refusal: _types.Response | None = None
    reason: str = 'outcome unknown, request may have run'

    @property
    def wait_until(self) -> float:
        """Until when the request can wait for a permit."""
        target_s = self.route.latency_target_ms / 1000
        return min(
            self.req.arrived_at + target_s * PERMIT_WAIT_TARGETS,
            self.deadline,
        )


class PlainRunner:
    """Serves requests whose response is read completely before it is sent.

    Args:
        deps: Components that the request runners share.
        rng: Source of randomness for the return of refused clients.
    """

    def __init__(self, deps, rng: random.Random):
        self._deps = deps
        self._rng = rng
        self._choice = _UpstreamChoice(deps)

    async def serve(self, req, route, service: str, account: str):
        """Serves one request, with retries as far as they are allowed.

        Retries are limited by the route, the retry budget and ``MAX_SENDS``.
        They end at the client's deadline or the time-out of the route,
        whichever is earlier.

        Args:
            req: The request.
            route: Its route.
            service: Name of the service.
            account: Name of the client account, or empty.

        Returns:
            The response of an upstream, or an error of this node.
        """
        state = _PlainState(
            req,
            route,
            service,
            account,
            deadline=min(
                req.deadline, req.arrived_at + route.timeout_ms / 1000
            ),
            attempts=_attempts.AnswerAttempts(
                route.is_idempotent, req.run_limit(route)
            ),
        )
        try:
            async with loops.timeout(
                max(state.deadline - self._deps.clock.now(), 0.0)
            ):
                await self._run_attempts(state)
        except TimeoutError:
            for number in state.attempts.open_numbers:
                state.open_attempts[number].blame_silence()
        finally:
            # A reference cycle would keep the bodies until the next garbage
            # collection.
            state.open_attempts.clear()
            state.tasks.clear()
        return state.answer or self._unserved(state)

    def _unserved(self, state) -> _types.Response:
        """Returns the answer to a request that no attempt has served."""
        if state.error_response is not None:
            return state.error_response
        if state.attempts.runs == 0:
            return state.refusal or _types.Response(
                503,
                retry_after_s=self._refused_retry_after_s(state),
                reason='no upstream accepted the request',
            )
        if self._deps.clock.now() >= state.deadline:
            return _types.Response(GATEWAY_TIMEOUT, reason='deadline passed')
        return _types.Response(BAD_GATEWAY, reason=state.reason)

    def _refused_retry_after_s(self, state) -> float:
        """Returns when a client should try again: when an upstream is back."""
        deps = self._deps
        pause_s = min(
            (
                deps.pauses.remaining_s(item.name)
                for item in deps.upstreams.find_available(state.service)
            ),
            default=0.0,
        )
        if not pause_s:
            return REFUSED_RETRY_AFTER_S
        return _queue.retry_after_s(
            pause_s + self._rng.uniform(0.0, REFUSED_RETRY_AFTER_S),
            state.req.deadline - deps.clock.now(),
        )

    async def _run_attempts(self, state) -> None:
        """Opens attempts until one is answered or no more is possible."""
        try:
            while True:
                state.changed.clear()
                _collect_ended(state)
                decision = state.attempts.decide(
                    self._deps.clock.now(), self._uncounted_runs(state)
                )
                if decision.action is _attempts.Action.END:
                    return
                if decision.action is _attempts.Action.OPEN:
                    self._open_attempt(state)
                else:
                    await self._wait_for_change(state, decision.at)
        finally:
            await _cancel_all(state.tasks.values())

    def _uncounted_runs(self, state) -> float:
        """Returns how many runs do not count against the route's limit.

        All, if the upstreams are cut off from this node, as their answers
        can't arrive.
        """
        is_cut_off = self._deps.relay.is_needed(state.req, state.unreached)
        return math.inf if is_cut_off else 0

    async def _wait_for_change(self, state, until: float) -> None:
        timeout_s = None
        if until != math.inf:
            timeout_s = max(until - self._deps.clock.now(), 0.0)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await state.changed.wait()

    def _open_attempt(self, state) -> None:
        """Opens one more attempt; those that are open stay so."""
        number = state.attempts.open()
        attempt = _PlainAttempt(self._deps, state, self._choice, number)
        state.open_attempts[number] = attempt
        task = asyncio.ensure_future(attempt.run())
        state.tasks[number] = task
        task.add_done_callback(lambda _task: state.changed.set())


class _PlainAttempt:
    """Sends a request once and reads the answer.

    Args:
        deps: Components that the request runners share.
        state: State of the request.
        choice: Chooses the upstream.
        number: Number of the attempt.
    """

    def __init__(self, deps, state, choice, number: int):
        self._deps = deps
        self._state = state
        self._choice = choice
        self._number = number
        self._upstream = None
        self._is_blamed = False
        self._timer = loops.ListeningTimer(self._handle_silence)

    async def run(self) -> None:
        """Runs the attempt, here or through another node."""
        deps, state = self._deps, self._state
        if deps.relay.is_needed(state.req, state.unreached):
            # A retry if it has arrived at an upstream.
            is_retry = state.attempts.sends > state.unreached
            if self._may_try() and self._may_send(is_retry):
                await self._relay()
                return
        else:
            self._upstream = await self._choose()
            if self._upstream and self._may_send(state.attempts.sends > 0):
                await self._send()
                return
        state.attempts.record_refusal(
            self._number, deps.clock.now(), is_final=True
        )

    # Before it is sent.

    def _may_try(self) -> bool:
        """Returns whether one more attempt is made; counts it."""
        state = self._state
        if state.tries >= MAX_SENDS:
            return False
        state.tries += 1
        return self._deps.clock.now() < state.deadline

    def _may_send(self, is_retry: bool) -> bool:
        """Returns whether the retry budget allows the attempt."""
        state = self._state
        if not is_retry or self._deps.budget.try_take(state.service):
            return True
        self._log_denied()
        return False

    def _log_denied(self) -> None:
        state = self._state
        self._deps.outcomes.log_decision(
            state.req, 'retry_denied', service=state.service
        )

    async def _choose(self):
        """Returns the upstream to send to, ``None`` if there is none."""
        deps, state = self._deps, self._state
        candidates = self._find_candidates()
        if not candidates or not self._may_try():
            return None
        if deps.quarantine.find(state.req.crash_keys) is not None:
            return None
        if state.attempts.sends and not deps.budget.has_left(state.service):
            self._log_denied()
            return None  # a permit is taken for what is sent only
        try:
            return await self._choose_among(candidates)
        except errors.NotRunError as exc:
            remaining_s = state.req.deadline - deps.clock.now()
            state.refusal = _types.Response(
                503,
                retry_after_s=_queue.retry_after_s(
                    exc.retry_after_s, remaining_s
                ),
                reason=exc.message,
            )
            return None

    async def _choose_among(self, candidates):
        """Returns the upstream to send to, ``None`` if there is none.

        Its failure domain may be evacuated while the request waits for a
        permit; the choice is then made anew.

        Raises:
            NotRunError: If there is no permit in time.
        """
        deps, state = self._deps, self._state
        while candidates:
            chosen = await self._choice.choose(
                state.service, candidates, state.tried_names, state.wait_until
            )
            if not deps.upstreams.is_evacuated(chosen):
                return chosen
            candidates = self._find_candidates()
        return None

    def _find_candidates(self) -> list:
        """Returns upstreams to choose from.

        If all were tried, those that have refused the request may have room
        by now, unless it has run and nothing runs for it any more.
        """
        state = self._state
        candidates = self._choice.find(state.service, state.tried_names)
        if candidates:
            return candidates
        if state.attempts.runs and len(state.attempts.open_numbers) == 1:
            return []
        state.tried_names = set(state.run_names)
        return self._choice.find(state.service, state.tried_names)

    # At an upstream.

    async def _send(self) -> None:
        """Sends the request and handles the answer."""
        deps, upstream = self._deps, self._upstream
        attempt = self._record_sent()
        deps.loads.increment(upstream.name)
        response = None
        try:
            response = await deps.send(attempt)
            if response.not_run:
                self._handle_refusal(response)
                await response.discard()
            else:
                self._handle_answer(response, await response.read())
        except errors.UpstreamError as exc:
            self._handle_break(exc)
        finally:
            self._timer.disarm()
            deps.loads.decrement(upstream.name)
            if response is not None:
                response.close()

    def _record_sent(self) -> _types.Attempt:
        """Records that the request is sent; returns what to send."""
        state, route = self._state, self._state.route
        name = self._upstream.name
        attempt = _types.Attempt(
            state.req,
            self._upstream,
            state.account,
            state.deadline,
            priority=route.priority,
            use_new_connection=(
                not route.is_idempotent or name in state.sent_names
            ),
            is_repeated=state.attempts.sends > 0,
        )
        self._log_added()
        state.attempts.record_sent(self._number)
        for names in (state.tried_names, state.run_names, state.sent_names):
            names.add(name)
        if route.is_idempotent:
            self._timer.arm(route.latency_target_ms * SILENCE_TARGETS / 1000)
        return attempt

    def _log_added(self) -> None:
        state = self._state
        silent = [
            str(item)
            for item in state.attempts.open_numbers
            if item != self._number
        ]
        if silent:
            self._deps.outcomes.log_decision(
                state.req,
                'attempt_added',
                attempt=self._number,
                silent=','.join(silent),
            )

    def _handle_silence(self) -> None:
        """Lets another attempt be opened beside this one."""
        state = self._state
        state.attempts.record_silence(self._number)
        self._deps.outcomes.log_decision(
            state.req,
            'attempt_silent',
            upstream=self._upstream.name,
            attempt=self._number,
            silence_ms=int(self._timer.timeout_s * 1000),
            late_ms=int(self._timer.late_s * 1000),
        )
        if state.attempts.may_run():
            self.blame_silence()
        state.changed.set()

    def blame_silence(self) -> None:
        """Counts the silence of this attempt against its upstream, once."""
        if self._upstream is None or self._is_blamed:
            return
        self._is_blamed = True
        self._deps.record_failure(self._upstream, 'no response in time')

    def _handle_refusal(self, response) -> None:
        """Records that the upstream did not run the request."""
        deps, upstream = self._deps, self._upstream
        self._timer.disarm()
        self._record_not_run()
        if response.misdirected:
            deps.record_failure(upstream, 'misdirected', eject_now=True)
        elif response.retry_after_s:
            deps.pauses.pause(upstream.name, response.retry_after_s)
        self._log_failure(f'not run, status {response.status}')

    def _handle_break(self, exc) -> None:
        """Records that no answer came, or that it broke off."""
        deps, state = self._deps, self._state
        if exc.sent:
            deps.evidence.record_cut_off(self._upstream, state.req.crash_keys)
            state.attempts.record_failure(self._number)
        else:
            state.unreached += 1
            self._record_not_run()
        deps.record_failure(
            self._upstream, exc.message, eject_now=not exc.sent
        )
        self._log_failure(exc.message)

    def _record_not_run(self) -> None:
        self._state.run_names.discard(self._upstream.name)
        self._state.attempts.record_refusal(
            self._number, self._deps.clock.now()
        )

    def _handle_answer(self, response, body: bytes) -> None:
        """Passes a complete answer on, unless the upstream has failed."""
        deps, state, upstream = self._deps, self._state, self._upstream
        found = _types.Response(response.status, response.headers, body)
        if response.status >= 500:
            reason = f'status {response.status}'
            state.error_response = found
            state.attempts.record_failure(self._number)
            deps.record_failure(upstream, reason)
            self._log_failure(reason)
            return
        self._win(found)
        deps.health.record_success(upstream.name)
        deps.evidence.record_survival(state.req.crash_keys)

    def _log_failure(self, reason: str) -> None:
        state = self._state
        self._deps.outcomes.log_decision(
            state.req,
            'attempt_failed',
            upstream=self._upstream.name,
            attempt=self._number,
            reason=reason,
            runs=state.attempts.runs,
            repeats=state.attempts.may_run(),
            parts=','.join(state.req.crash_keys),
        )

    def _win(self, response: _types.Response) -> None:
        """Makes a response the answer; closes all other attempts."""
        state = self._state
        closed = state.attempts.record_event(self._number)
        state.attempts.record_end(self._number)
        state.answer = response
        for number in closed:
            state.tasks[number].cancel()
        if closed:
            self._deps.outcomes.log_decision(
                state.req,
                'attempt_won',
                upstream=self._upstream.name if self._upstream else '',
                attempt=self._number,
                closed=','.join(str(number) for number in closed),
            )

    # Through another node.

    async def _relay(self) -> None:
        """Runs the attempt through another node."""
        deps, state, attempts = self._deps, self._state, self._state.attempts
        runs_left = state.req.run_limit(state.route) - attempts.runs
        max_runs = max(runs_left, 1)
        attempts.record_sent(self._number, max_runs)
        response = await deps.relay.serve(
            state.req, state.deadline, max_runs, None
        )
        if response.status < 500:
            self._win(response)
        elif response.status == 503 and response.reason:
            state.refusal, state.reason = response, response.reason
            attempts.record_refusal(
                self._number, deps.clock.now(), is_final=True
            )
        else:
            state.error_response = response
            state.tries = MAX_SENDS  # it may have used up all runs
            attempts.record_failure(self._number, is_final=True)


class _UpstreamChoice:
    """Chooses the upstreams of plain requests.

    Args:
        deps: Components that the request runners share.
    """

    def __init__(self, deps):
        self._deps = deps
        self._rotations: collections.Counter = collections.Counter()

    async def choose(
        self, service: str, candidates, tried_names, wait_until: float
    ):
        """Returns the upstream with the fewest requests of all nodes.

        Equally loaded ones are used in turn. One that limits its rate is
        returned only with a permit, for which the request waits if there are
        no others. Without one, ejected upstreams are better than none.

        Args:
            service: Name of the service.
            candidates: Upstreams to choose from, at least one.
            tried_names: Names of upstreams that had the request.
            wait_until: Monotonic seconds until which the request can wait.

        Raises:
            NotRunError: If there is no permit in that time.
        """
        deps = self._deps
        unlimited, limited = deps.rates.split(candidates)
        chosen = self._least_loaded(service, candidates)
        if chosen in unlimited:
            return chosen
        if not unlimited:
            try:
                return await deps.rates.acquire(
                    limited, max(wait_until - deps.clock.now(), 0.0)
                )
            except errors.NotRunError:
                active = self._active(service, tried_names)
                ejected, _limited = deps.rates.split(active)
                if not ejected:
                    raise
                return self._least_loaded(service, ejected)
        permitted = await deps.rates.try_acquire(service, limited)
        return permitted or self._least_loaded(service, unlimited)

    def find(self, service: str, tried_names) -> list:
        """Returns the upstreams to choose from.

        Args:
            service: Name of the service.
            tried_names: Names of upstreams to leave out.
        """
        active = self._active(service, tried_names)
        return self._deps.health.exclude_ejected(active)

    def _active(self, service: str, tried_names) -> list:
        """Returns available upstreams neither tried nor pausing."""
        return [
            item
            for item in self._deps.upstreams.find_available(service)
            if item.name not in tried_names
            and not self._deps.pauses.remaining_s(item.name)
        ]

    def _least_loaded(self, service: str, candidates):
        deps = self._deps
        self._rotations[service] += 1
        rotation = self._rotations[service]
        rotated = sorted(candidates, key=lambda item: item.name)
        rotated = (
            rotated[rotation % len(rotated) :]
            + rotated[: rotation % len(rotated)]
        )
        return min(rotated, key=lambda item: deps.loads.total(item.name))


def _collect_ended(state) -> None:
    """Forgets the tasks that have ended.

    Raises:
        Exception: If one failed.
    """
    for number, task in list(state.tasks.items()):
        if task.done():
            del state.tasks[number]
            del state.open_attempts[number]
            if not task.cancelled():
                task.result()


async def _cancel_all(tasks) -> None:
    """Cancels tasks and waits until they have ended."""
    pending = [task for task in tasks if not task.done()]
    for task in pending:
        task.cancel()
    if pending:
        await asyncio.wait(pending)

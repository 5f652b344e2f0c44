"""Requests to plain services, which send complete responses.

Unsafe requests run at most once.
"""

import asyncio
import collections
import random

from plantainway import deployment
from plantainway import errors
from plantainway.traffic import _queue
from plantainway.traffic import _types

MAX_SENDS = 4  # attempts per request, including refused ones
REFUSED_RETRY_AFTER_S = 0.3  # several run times of a plain request
GATEWAY_TIMEOUT = 504
BAD_GATEWAY = 502
PERMIT_WAIT_TARGETS = 0.5  # of the route; the rest is for the run
ATTEMPT_TIMEOUT_TARGETS = 1.75  # of the route; then a safe request is retried


class PlainRunner:
    """Serves requests whose response is read completely before it is sent.

    Args:
        deps: Components that the request runners share.
        rng: Source of randomness for the return of refused clients.
    """

    def __init__(self, deps, rng: random.Random):
        self._deps = deps
        self._rng = rng
        self._rotations: collections.Counter = collections.Counter()

    async def _choose_upstream(
        self, service: str, candidates, tried_names, wait_until
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

    def _candidates(self, service: str, tried_names) -> list:
        active = self._active(service, tried_names)
        return self._deps.health.exclude_ejected(active)

    def _active(self, service: str, tried_names) -> list:
        """Returns upstreams neither tried, draining nor pausing."""
        return [
            item
            for item in self._deps.upstreams.find_by_service(service)
            if not item.draining
            and item.name not in tried_names
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
        deps = self._deps
        deadline = min(req.deadline, req.arrived_at + route.timeout_ms / 1000)
        run_limit = req.run_limit(route)
        unreached = 0
        tried_names = set()
        sent_names = set()
        runs = 0
        last_response = None
        refused = None
        wait_until = min(
            req.arrived_at
            + route.latency_target_ms * PERMIT_WAIT_TARGETS / 1000,
            deadline,
        )
        for sends in range(MAX_SENDS):
            may_run = runs == 0 or route.is_idempotent
            if may_run and deps.relay.is_needed(req, unreached):
                # A retry if it has arrived at an upstream.
                if sends > unreached and not deps.budget.try_take(service):
                    deps.outcomes.log_decision(
                        req, 'retry_denied', service=service
                    )
                    break
                return await self._relay(req, deadline, run_limit, runs)
            candidates = self._candidates(service, tried_names)
            if not candidates and runs == 0:
                tried_names.clear()
                candidates = self._candidates(service, tried_names)
            if not candidates or deps.clock.now() >= deadline:
                break
            if deps.quarantine.find(req.crash_keys) is not None:
                break
            if sends and not deps.budget.try_take(service):
                deps.outcomes.log_decision(
                    req, 'retry_denied', service=service
                )
                break
            try:
                upstream = await self._choose_upstream(
                    service, candidates, tried_names, wait_until
                )
            except errors.NotRunError as exc:
                refused = exc
                break
            is_last = runs + 1 >= run_limit
            attempt = _types.Attempt(
                req,
                upstream,
                account,
                deadline,
                priority=route.priority,
                use_new_connection=(
                    route.kind is deployment.RouteKind.UNSAFE
                    or upstream.name in sent_names
                ),
                is_repeated=sends > 0,
            )
            result = await self._run_attempt(attempt, route, is_last)
            tried_names.add(upstream.name)
            sent_names.add(upstream.name)
            if result.response is not None and not result.is_server_error:
                return result.response
            runs += result.may_have_run
            unreached += result.is_unreached
            last_response = result.response or last_response
            may_retry = not result.may_have_run or (
                route.is_idempotent and runs < run_limit
            )
            deps.outcomes.log_decision(
                req,
                'attempt_failed',
                upstream=upstream.name,
                reason=result.reason,
                runs=runs,
                repeats=may_retry,
                parts=','.join(req.crash_keys),
            )
            if not may_retry:
                break
        if last_response is not None:
            return last_response
        if runs == 0 and refused is not None:
            remaining_s = req.deadline - deps.clock.now()
            return _types.Response(
                503,
                retry_after_s=_queue.retry_after_s(
                    refused.retry_after_s, remaining_s
                ),
                reason=refused.message,
            )
        if runs == 0:
            return _types.Response(
                503,
                retry_after_s=self._refused_retry_after_s(req, service),
                reason='no upstream accepted the request',
            )
        if deps.clock.now() >= deadline:
            return _types.Response(GATEWAY_TIMEOUT, reason='deadline passed')
        return _types.Response(
            BAD_GATEWAY, reason='outcome unknown, request may have run'
        )

    def _refused_retry_after_s(self, req, service: str) -> float:
        """Returns when a client should try again: when an upstream is back."""
        deps = self._deps
        pause_s = min(
            (
                deps.pauses.remaining_s(item.name)
                for item in deps.upstreams.find_by_service(service)
                if not item.draining
            ),
            default=0.0,
        )
        if not pause_s:
            return REFUSED_RETRY_AFTER_S
        return _queue.retry_after_s(
            pause_s + self._rng.uniform(0.0, REFUSED_RETRY_AFTER_S),
            req.deadline - deps.clock.now(),
        )

    async def _relay(self, req, deadline, run_limit: int, runs: int):
        """Serves a request through another node.

        Runs at upstreams that are cut off from this node do not count, as
        their answers can't arrive.

        Args:
            req: The request.
            deadline: Monotonic seconds.
            run_limit: How often the request may run.
            runs: How often it may have run.
        """
        try:
            async with asyncio.timeout(deadline - self._deps.clock.now()):
                response = await self._deps.relay.serve(
                    req, deadline, max(run_limit - runs, 1), None
                )
        except TimeoutError:
            return _types.Response(GATEWAY_TIMEOUT, reason='deadline passed')
        if runs and response.status == 503 and response.reason:
            return _types.Response(BAD_GATEWAY, reason=response.reason)
        return response

    async def _run_attempt(self, attempt, route, is_last: bool):
        deps = self._deps
        req, upstream = attempt.request, attempt.upstream
        is_unsafe = route.kind is deployment.RouteKind.UNSAFE
        deps.loads.increment(upstream.name)
        upstream_response = None
        try:
            async with asyncio.timeout(
                self._attempt_timeout_s(
                    route, attempt.deadline, is_unsafe, is_last
                )
            ):
                upstream_response = await deps.send(attempt)
                if upstream_response.not_run:
                    await upstream_response.discard()
                else:
                    body = await upstream_response.read()
        except TimeoutError:
            deps.record_failure(upstream, 'no response in time')
            was_refused = (
                upstream_response is not None and upstream_response.not_run
            )
            return _AttemptResult(None, not was_refused, 'no response in time')
        except errors.UpstreamError as exc:
            if exc.sent:
                deps.evidence.record_cut_off(upstream, req.crash_keys)
            deps.record_failure(upstream, exc.message, eject_now=not exc.sent)
            return _AttemptResult(
                None, exc.sent, exc.message, is_unreached=not exc.sent
            )
        finally:
            deps.loads.decrement(upstream.name)
            if upstream_response is not None:
                upstream_response.close()
        if upstream_response.not_run:
            if upstream_response.misdirected:
                deps.record_failure(upstream, 'misdirected', eject_now=True)
            elif upstream_response.retry_after_s:
                deps.pauses.pause(
                    upstream.name, upstream_response.retry_after_s
                )
            return _AttemptResult(
                None, False, f'not run, status {upstream_response.status}'
            )
        response = _types.Response(
            upstream_response.status, upstream_response.headers, body
        )
        if upstream_response.status >= 500:
            deps.record_failure(upstream, f'status {upstream_response.status}')
            return _AttemptResult(
                response,
                True,
                f'status {upstream_response.status}',
                is_server_error=True,
            )
        deps.health.record_success(upstream.name)
        deps.evidence.record_survival(req.crash_keys)
        return _AttemptResult(response, True, '')

    def _attempt_timeout_s(
        self, route, deadline, is_unsafe: bool, is_last: bool
    ) -> float:
        """Returns for how many seconds to wait for one attempt.

        A safe request with attempts left is given up early, to leave time for
        the next one. An unsafe request, which can't be retried after a
        time-out, and a last attempt wait until the deadline.
        """
        remaining_s = max(deadline - self._deps.clock.now(), 0.0)
        if is_unsafe or is_last:
            return remaining_s
        return min(
            remaining_s,
            route.latency_target_ms * ATTEMPT_TIMEOUT_TARGETS / 1000,
        )


class _AttemptResult:
    """Outcome of one attempt."""

    __slots__ = (
        'response',
        'may_have_run',
        'reason',
        'is_server_error',
        'is_unreached',
    )

    def __init__(
        self,
        response,
        may_have_run,
        reason,
        is_server_error=False,
        is_unreached=False,
    ):
        self.is_unreached = is_unreached
        self.response = response
        self.may_have_run = may_have_run
        self.reason = reason
        self.is_server_error = is_server_error

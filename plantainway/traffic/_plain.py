"""Requests to plain services: whole answers, at most once if unsafe."""

import asyncio
import collections

from plantainway import deployment
from plantainway import errors
from plantainway.traffic import _types

SENDS_MAX = 4  # sendings of a request, those that it was not run at included
REFUSED_RETRY_AFTER_S = 0.3  # some runs of a plain service
TIMEOUT_STATUS = 504
BAD_STATUS = 502
PATIENCE_OF_TARGET = 1.75  # a safe request moves on after so many targets


class PlainRunner:
    """Serves requests whose answer is one whole body.

    Args:
        parts: What the runners share.
    """

    def __init__(self, parts):
        self._parts = parts
        self._turns: collections.Counter = collections.Counter()

    def _choose(self, service: str, excluded):
        """Chooses the upstream with the least work from this node."""
        parts = self._parts
        standing = [
            item
            for item in parts.upstreams.find_by_service(service)
            if not item.draining
        ]
        found = [item for item in standing if item.name not in excluded]
        found = parts.health.usable(found)
        if not found:
            return None
        self._turns[service] += 1
        turn = self._turns[service]
        order = sorted(found, key=lambda item: item.name)
        order = order[turn % len(order) :] + order[: turn % len(order)]
        return min(order, key=lambda item: parts.loads.total(item.name))

    async def serve(self, req, route, service: str, account: str):
        """Serves one request.

        Args:
            req: The request.
            route: Its route.
            service: Name of the service.
            account: Name of the client account, or empty.

        Returns:
            The answer.
        """
        parts = self._parts
        deadline = min(req.deadline, req.arrived_at + route.timeout_ms / 1000)
        excluded = set()
        runs = 0
        kept = None
        for sends in range(SENDS_MAX):
            upstream = self._choose(service, excluded)
            if upstream is None and runs == 0 and excluded:
                excluded.clear()
                upstream = self._choose(service, excluded)
            if upstream is None or parts.clock.now() >= deadline:
                break
            if sends and not parts.budget.take(service):
                parts.outcomes.decided(req, 'retry_denied', service=service)
                break
            last = runs + 1 >= route.max_attempts
            tried = await self._attempt(
                req, route, upstream, account, deadline, last
            )
            excluded.add(upstream.name)
            if tried.answer is not None and not tried.failed:
                return tried.answer
            runs += tried.may_have_run
            kept = tried.answer or kept
            may_repeat = not tried.may_have_run or (
                route.is_idempotent and runs < route.max_attempts
            )
            parts.outcomes.decided(
                req,
                'attempt_failed',
                upstream=upstream.name,
                reason=tried.reason,
                runs=runs,
                repeats=may_repeat,
            )
            if not may_repeat:
                break
        if kept is not None:
            return kept
        if runs == 0:
            return _types.Response(
                503,
                retry_after_s=REFUSED_RETRY_AFTER_S,
                reason='no upstream took it',
            )
        if parts.clock.now() >= deadline:
            return _types.Response(TIMEOUT_STATUS, reason='deadline passed')
        return _types.Response(BAD_STATUS, reason='outcome unknown')

    async def _attempt(self, req, route, upstream, account, deadline, last):
        parts = self._parts
        unsafe = route.kind is deployment.RouteKind.UNSAFE
        sending = _types.Attempt(
            req,
            upstream,
            account,
            deadline,
            priority=route.priority,
            use_new_connection=unsafe,
        )
        parts.loads.started(upstream.name)
        reply = None
        try:
            async with asyncio.timeout(
                self._patience_s(route, deadline, unsafe, last)
            ):
                reply = await parts.client.send(sending)
                body = await reply.read()
        except TimeoutError:
            parts.note_failed(upstream, 'no answer')
            return _Tried(None, True, 'no answer in time')
        except errors.UpstreamError as exc:
            parts.note_failed(upstream, exc.message, certain=not exc.sent)
            return _Tried(None, exc.sent, exc.message)
        finally:
            parts.loads.ended(upstream.name)
            if reply is not None:
                reply.close()
        if reply.not_run:
            if reply.misdirected:
                parts.note_failed(upstream, 'misdirected', certain=True)
            return _Tried(None, False, f'not run, status {reply.status}')
        answer = _types.Response(reply.status, reply.headers, body)
        if reply.status >= 500:
            parts.note_failed(upstream, f'status {reply.status}')
            return _Tried(answer, True, f'status {reply.status}', failed=True)
        parts.health.note_served(upstream.name)
        return _Tried(answer, True, '')

    def _patience_s(self, route, deadline, unsafe: bool, last: bool) -> float:
        """Returns how long to wait for one attempt.

        A safe request leaves time for a further attempt if it may have one;
        an unsafe one has nowhere else to go.
        """
        left_s = max(deadline - self._parts.clock.now(), 0.0)
        if unsafe or last:
            return left_s
        return min(left_s, route.latency_target_ms * PATIENCE_OF_TARGET / 1000)


class _Tried:
    """How one attempt ended."""

    __slots__ = ('answer', 'may_have_run', 'reason', 'failed')

    def __init__(self, answer, may_have_run, reason, failed=False):
        self.answer = answer
        self.may_have_run = may_have_run
        self.reason = reason
        self.failed = failed

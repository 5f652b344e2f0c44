"""Calls of plain services, at most once if they are not idempotent."""

import asyncio
import collections
import dataclasses
import hashlib
import uuid

from plantainway import errors
from plantainway import logs
from plantainway.requests import _keys
from plantainway import upstreams

ATTEMPTS_MAX = 3
FINISH_WAIT_S = 2.0
SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """An admitted service call; ``deadline`` is monotonic seconds.

    ``key`` is the idempotency key, empty if the caller sent none.
    """

    req_id: str
    account: str
    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    key: str
    deadline: float


class ServiceRunner:
    """Runs calls of plain services, with retries where they are safe.

    Args:
        view: Route view.
        parts: Shared parts of the node.
        key_store: Store of idempotency keys.
        budget: Retry budget of the node.
    """

    def __init__(self, view, parts, key_store, budget):
        self._view = view
        self._parts = parts
        self._key_store = key_store
        self._retry_budget = budget
        self._running: collections.Counter = collections.Counter()
        self._background: set[asyncio.Task] = set()

    async def run(self, req: ServiceRequest) -> upstreams.ServiceResponse:
        """Runs a call and returns its answer.

        Args:
            req: The request.

        Returns:
            The answer of this call, or the recorded answer of an earlier
            attempt with the same key.

        Raises:
            NotRunError: If the call was refused and has not run.
            KeyReusedError: If the key was used with another request.
            OutcomeUnknownError: If the call may have run.
        """
        self._retry_budget.deposit()
        instances = self._view.available_instances(req.service)
        if not instances:
            self._refuse(
                req, 'no instance of the service is available', 'unavailable'
            )
        if req.method in SAFE_METHODS or instances[0].repeatable:
            return await self._run_repeatable(req)
        if not req.key:
            self._refuse(
                req, 'an Idempotency-Key header is required', 'key_required'
            )
        return await self._run_at_most_once(req)

    async def wait_for_pending_writes(self) -> None:
        """Waits until all writes of idempotency keys have ended.

        Call it before the node stops. It has no time limit of its own; each
        write gives up after ``_keys.WRITE_TIMEOUT_S``.
        """
        while open_tasks := self._background | self._key_store.background:
            await asyncio.wait(open_tasks)

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        return {
            'running': {k: n for k, n in self._running.items() if n},
            'finishing': len(self._background),
        }

    def _refuse(self, req, text: str, reason: str):
        self._parts.evidence.record('refuse', req=req.req_id, reason=reason)
        raise errors.NotRunError(text, 'route', reason=reason)

    async def _run_repeatable(self, req) -> upstreams.ServiceResponse:
        """Runs an idempotent call, with retries at other instances."""
        tried = set()
        failure = None
        was_sent = False
        for _attempt in range(ATTEMPTS_MAX):
            instance = self._pick_instance(req, tried)
            if instance is None:
                break
            tried.add(instance.name)
            try:
                return await self._call(req, instance, '')
            except errors.UpstreamError as exc:
                failure = exc
                was_sent = was_sent or exc.sent
                if exc.sent and not self._retry_budget.withdraw():
                    break
        if not was_sent:
            self._refuse(req, 'no instance could be reached', 'unavailable')
        raise errors.OutcomeUnknownError(
            failure.message, failure.step, failure.peer
        )

    async def _run_at_most_once(self, req) -> upstreams.ServiceResponse:
        """Runs a call under its idempotency key, or replays its answer."""
        attempt = uuid.uuid4().hex
        identity = b'\0'.join(
            (req.service.encode(), req.method.encode(), req.path.encode())
        )
        identity += b'\0' + req.body
        try:
            started = await self._key_store.start_attempt(
                req.account, req.key, identity, attempt
            )
        except errors.NotRunError as exc:
            self._parts.evidence.record(
                'refuse', req=req.req_id, reason=exc.reason
            )
            raise
        if isinstance(started, _keys.Replay):
            self._parts.evidence.record('replay', req=req.req_id)
            return started.answer
        answer = await self._send_at_most_once(req, started)
        self._record_answer(req, started, identity, answer)
        return answer

    async def _send_at_most_once(
        self, req, started
    ) -> upstreams.ServiceResponse:
        """Sends an attempt; retries only while no byte was sent."""
        tried = set()
        while True:
            instance = self._pick_instance(req, tried)
            if instance is None or (self._parts.clock.now() >= req.deadline):
                self._run_in_background(
                    self._key_store.mark_void(started.row_key, started.attempt)
                )
                self._refuse(
                    req, 'no instance could be reached', 'unavailable'
                )
            tried.add(instance.name)
            try:
                return await self._call(req, instance, started.row_key)
            except errors.UpstreamError as exc:
                if exc.sent:
                    raise errors.OutcomeUnknownError(
                        exc.message, exc.step, exc.peer, key=req.key
                    )

    def _record_answer(self, req, started, identity, answer) -> None:
        self._run_in_background(
            self._key_store.record_answer(started, identity, answer)
        )

    def _run_in_background(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _pick_instance(self, req, tried):
        instances = {
            item.name: item
            for item in self._view.available_instances(req.service)
            if item.name not in tried
        }
        names = self._view.instance_health.usable_instances(
            instances, self._parts.clock.now()
        )
        if not names:
            return None
        best = min(
            names,
            key=lambda name: (
                self._running[name],
                self._view.distance_to(name),
                name,
            ),
        )
        return instances[best]

    async def _call(self, req, instance, row_key: str):
        name = instance.name
        key = hashlib.blake2b(row_key.encode(), digest_size=16).hexdigest()
        key_field = {'key': key} if row_key else {}
        self._parts.evidence.record(
            'send',
            req=req.req_id,
            account=req.account,
            upstreams=[name],
            **key_field,
        )
        headers = {'X-Request-Id': req.req_id}
        if req.content_type:
            headers['Content-Type'] = req.content_type
        if req.key:
            headers['Idempotency-Key'] = req.key
        self._running[name] += 1
        has_failed = True
        try:
            answer = await self._parts.services(name, instance.address).call(
                upstreams.ServiceCall(
                    req.method, req.path, headers, req.body, req.deadline
                )
            )
            has_failed = False
        except errors.UpstreamError as exc:
            record_kind = 'broken' if exc.sent else 'unsent'
            self._parts.evidence.record(
                record_kind, req=req.req_id, planned=False, **key_field
            )
            logs.event(
                'call_failed',
                'WARNING',
                req=req.req_id,
                upstream=name,
                code=exc.code,
                sent=exc.sent,
                reason=exc.message,
            )
            raise
        finally:
            self._running[name] -= 1
            self._view.instance_health.record_result(
                name, has_failed, self._parts.clock.now()
            )
        self._parts.evidence.record(
            'answer',
            req=req.req_id,
            account=req.account,
            sent_for=req.account,
            outcome='whole',
            pieces=len(answer.body),
            end=len(answer.body),
        )
        return answer

"""Calls of plain services, some of which may not be repeated."""

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
    """An admitted call; ``deadline`` is monotonic seconds."""

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
    """Runs calls of plain services.

    Args:
        view: Route view.
        parts: Shared parts of the node.
        key_store: Rows of idempotency keys.
        budget: Retry budget of the node.
    """

    def __init__(self, view, parts, key_store, budget):
        self._view = view
        self._parts = parts
        self._keys = key_store
        self._budget = budget
        self._running: collections.Counter = collections.Counter()
        self._finishing: set[asyncio.Task] = set()

    async def run(self, req: ServiceRequest) -> upstreams.ServiceResponse:
        """Makes a call and returns its answer.

        Args:
            req: The request.

        Returns:
            The answer, or the one that an earlier attempt with the same
            key got.

        Raises:
            NotFoundError: If no such service is declared.
            NotRunError: If it was refused and has not run.
            KeyReusedError: If the key belongs to another request.
            OutcomeUnknownError: If it may have run.
        """
        self._budget.deposit()
        instances = self._view.instances(req.service)
        if not instances:
            self._refuse(req, 'no instance may serve now', 'unavailable')
        if req.method in SAFE_METHODS or instances[0].repeatable:
            return await self._run_repeatable(req)
        if not req.key:
            self._refuse(
                req, 'an Idempotency-Key header is needed', 'key_required'
            )
        return await self._run_once(req)

    async def wait_for_pending_writes(self) -> None:
        """Waits until answers that are being kept are kept."""
        while open_tasks := self._finishing | self._keys.background:
            await asyncio.wait(open_tasks)

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        return {
            'running': {k: n for k, n in self._running.items() if n},
            'finishing': len(self._finishing),
        }

    def _refuse(self, req, text: str, reason: str):
        self._parts.evidence.record('refuse', req=req.req_id, reason=reason)
        raise errors.NotRunError(text, 'route', reason=reason)

    async def _run_repeatable(self, req) -> upstreams.ServiceResponse:
        tried = set()
        failure = None
        sent = False
        for _attempt in range(ATTEMPTS_MAX):
            instance = self._pick(req, tried)
            if instance is None:
                break
            tried.add(instance.name)
            try:
                return await self._call(req, instance, '')
            except errors.UpstreamError as exc:
                failure = exc
                sent = sent or exc.sent
                if exc.sent and not self._budget.withdraw():
                    break
        if not sent:
            self._refuse(req, 'no instance could be reached', 'unavailable')
        raise errors.OutcomeUnknownError(
            failure.message, failure.step, failure.peer
        )

    async def _run_once(self, req) -> upstreams.ServiceResponse:
        attempt = uuid.uuid4().hex
        identity = b'\0'.join(
            (req.service.encode(), req.method.encode(), req.path.encode())
        )
        identity += b'\0' + req.body
        try:
            begun = await self._keys.begin(
                req.account, req.key, identity, attempt
            )
        except errors.NotRunError as exc:
            self._parts.evidence.record(
                'refuse', req=req.req_id, reason=exc.reason
            )
            raise
        if isinstance(begun, _keys.Replay):
            self._parts.evidence.record('replay', req=req.req_id)
            return begun.answer
        answer = await self._send_once(req, begun)
        self._keep(req, begun, identity, answer)
        return answer

    async def _send_once(self, req, begun) -> upstreams.ServiceResponse:
        """Sends an attempt; tries again only if no byte has left."""
        tried = set()
        while True:
            instance = self._pick(req, tried)
            if instance is None or (self._parts.clock.now() >= req.deadline):
                self._finish_later(
                    self._keys.void(begun.row_key, begun.attempt)
                )
                self._refuse(
                    req, 'no instance could be reached', 'unavailable'
                )
            tried.add(instance.name)
            try:
                return await self._call(req, instance, begun.row_key)
            except errors.UpstreamError as exc:
                if exc.sent:
                    raise errors.OutcomeUnknownError(
                        exc.message, exc.step, exc.peer, key=req.key
                    )

    def _keep(self, req, begun, identity, answer) -> None:
        self._finish_later(self._keys.finish(begun, identity, answer))

    def _finish_later(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._finishing.add(task)
        task.add_done_callback(self._finishing.discard)

    def _pick(self, req, tried):
        instances = {
            item.name: item
            for item in self._view.instances(req.service)
            if item.name not in tried
        }
        names = self._view.health.usable(instances, self._parts.clock.now())
        if not names:
            return None
        best = min(
            names,
            key=lambda name: (
                self._running[name],
                self._view.distance(name),
                name,
            ),
        )
        return instances[best]

    async def _call(self, req, instance, row_key: str):
        name = instance.name
        key = hashlib.blake2b(row_key.encode(), digest_size=16).hexdigest()
        fields = {'key': key} if row_key else {}
        self._parts.evidence.record(
            'send',
            req=req.req_id,
            account=req.account,
            upstreams=[name],
            **fields,
        )
        headers = {'X-Request-Id': req.req_id}
        if req.content_type:
            headers['Content-Type'] = req.content_type
        if req.key:
            headers['Idempotency-Key'] = req.key
        self._running[name] += 1
        failed = True
        try:
            answer = await self._parts.services(name, instance.address).call(
                upstreams.ServiceCall(
                    req.method, req.path, headers, req.body, req.deadline
                )
            )
            failed = False
        except errors.UpstreamError as exc:
            kind = 'broken' if exc.sent else 'unsent'
            self._parts.evidence.record(
                kind, req=req.req_id, planned=False, **fields
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
            self._view.health.note(name, failed, self._parts.clock.now())
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

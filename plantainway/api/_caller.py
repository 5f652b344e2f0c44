"""HTTP towards callers."""

import contextlib
import dataclasses
import json
import time
import uuid

from aiohttp import web

from plantainway.api import _directory
from plantainway.api import _http
from plantainway import errors
from plantainway import requests

DEADLINE_DEFAULT_S = 300.0
DEADLINE_MAX_S = 3600.0
DEADLINE_HEADER = 'X-Deadline-Ms'
PREFIX_MAX_CHARS = 1 << 20
_MS = 1000
_SSE_HEADERS = {
    'Content-Type': 'text/event-stream',
    'Cache-Control': 'no-store',
}


class CallerApi:
    """Chat completions, models, plain services and the directory.

    Args:
        cfg: Settings of the node.
        parts: Shared parts of the node.
        accounts: Account book.
        view: Route view.
        chats: Chat runner.
        services: Service runner.
    """

    def __init__(self, cfg, parts, accounts, view, chats, services):
        self._cfg = cfg
        self._parts = parts
        self._accounts = accounts
        self._view = view
        self._chats = chats
        self._services = services
        self.in_progress = 0

    def app(self) -> web.Application:
        """Returns the application."""
        app = web.Application(
            middlewares=[_http.error_middleware],
            client_max_size=_http.BODY_MAX_BYTES,
        )
        app.router.add_post('/v1/chat/completions', self._chat)
        app.router.add_get('/v1/models', self._models)
        app.router.add_get('/v1/entries', self._entries)
        app.router.add_route('*', '/services/{name}{tail:.*}', self._service)
        app.router.add_get('/healthz', self._health)
        return app

    async def _health(self, request) -> web.Response:
        return web.json_response({'node': self._cfg.node})

    async def _entries(self, request) -> web.Response:
        live = self._parts.book.live()
        peer = request.remote or ''
        entries = _directory.choose_entries(
            live,
            request.query.get('place', self._cfg.place),
            request.query.get('region', self._cfg.region),
            request.query.get('caller', peer),
        )
        life_ms = int(_directory.DIRECTORY_TTL_S * _MS)
        return web.json_response(
            {
                'entries': [dataclasses.asdict(item) for item in entries],
                'valid_ms': life_ms,
            },
            headers={
                'Cache-Control': f'max-age={int(_directory.DIRECTORY_TTL_S)}'
            },
        )

    def _authenticate(self, request) -> requests.AuthenticatedAccount:
        return self._accounts.authenticate(
            request.headers.get('Authorization', '')
        )

    @contextlib.asynccontextmanager
    async def _admitted(self, admission, req_id: str):
        try:
            await self._accounts.admit(admission)
        except errors.NotRunError as exc:
            self._parts.evidence.record(
                'refuse', req=req_id, reason=exc.reason
            )
            raise
        self.in_progress += 1
        try:
            yield
        finally:
            self.in_progress -= 1
            self._accounts.release(admission)

    def _deadline(self, request) -> float:
        text = request.headers.get(DEADLINE_HEADER)
        allowed_s = DEADLINE_DEFAULT_S
        if text is not None:
            if not text.isdigit() or int(text) > DEADLINE_MAX_S * _MS:
                raise errors.BadRequestError(
                    f'{DEADLINE_HEADER} must be milliseconds up to '
                    f'{int(DEADLINE_MAX_S * _MS)}',
                    'http',
                )
            allowed_s = int(text) / _MS
        return self._parts.clock.now() + allowed_s

    async def _models(self, request) -> web.Response:
        admission = self._authenticate(request)
        models = self._view.objects.of('model') if self._view.objects else {}
        return web.json_response(
            {
                'object': 'list',
                'data': [
                    {'id': name, 'object': 'model', 'owned_by': 'operator'}
                    for name in sorted(models)
                    if not admission.models or name in admission.models
                ],
            }
        )

    async def _chat(self, request) -> web.StreamResponse:
        admission = self._authenticate(request)
        body = await _http.json_body(request)
        req = self._chat_request(request, admission, body)
        request[_http.REQUEST_ID] = req.req_id
        async with self._admitted(admission, req.req_id):
            pieces = self._charged(admission, self._chats.run(req))
            if body.get('stream'):
                return await self._stream(request, pieces)
            return await self._collect(req, pieces)

    async def _charged(self, admission, pieces):
        """Passes pieces on and counts them as tokens."""
        async with contextlib.aclosing(pieces):
            async for piece in pieces:
                self._accounts.charge_tokens(admission, 1)
                yield piece

    def _chat_request(self, request, admission, body):
        model = body.get('model')
        if self._view.objects is None or not self._view.has_model(model):
            raise errors.NotFoundError(f'model {model!r}'[:200], 'chat')
        owner = self._view.model_of(model)
        if admission.models and owner not in admission.models:
            raise errors.UnauthorizedError(f'model {model}', 'chat')
        if not isinstance(body.get('messages'), list):
            raise errors.BadRequestError('messages must be a list', 'chat')
        resume = None
        if 'Last-Event-ID' in request.headers:
            resume = requests.parse_event_id(request.headers['Last-Event-ID'])
        body = dict(body)
        prefix, position = _continuation(body.pop('continue_from', None))
        return requests.ChatRequest(
            uuid.uuid4().hex,
            admission.account,
            admission.rank,
            model,
            body,
            self._deadline(request),
            position,
            prefix,
            resume,
        )

    async def _stream(self, request, pieces) -> web.StreamResponse:
        resp = web.StreamResponse(headers=_SSE_HEADERS)
        # A caller that went away leaves its attempt to the engine, where
        # it can be resumed for a while.
        with contextlib.suppress(ConnectionError):
            await self._send_pieces(request, resp, pieces)
        return resp

    async def _send_pieces(self, request, resp, pieces) -> None:
        try:
            async with contextlib.aclosing(pieces):
                async for piece in pieces:
                    if not resp.prepared:
                        await resp.prepare(request)
                    await resp.write(
                        b'id: %s\ndata: %s\n\n'
                        % (str(piece.event_id).encode(), piece.data)
                    )
        except errors.PlantainwayError as exc:
            if not resp.prepared:
                raise
            # The status is out already: the error goes as an event.
            error = json.dumps({'error': exc.to_dict()}).encode()
            await resp.write(b'event: error\ndata: %s\n\n' % error)
        await resp.write_eof()

    async def _collect(self, req, pieces) -> web.Response:
        parts = []
        count = 0
        async with contextlib.aclosing(pieces):
            async for piece in pieces:
                if not piece.end:
                    parts.append(requests.chunk_text(piece.data))
                    count = piece.event_id.position
        return web.json_response(
            {
                'id': f'chatcmpl-{req.req_id}',
                'object': 'chat.completion',
                'created': int(time.time()),
                'model': req.model,
                'choices': [
                    {
                        'index': 0,
                        'message': {
                            'role': 'assistant',
                            'content': ''.join(parts),
                        },
                        'finish_reason': 'stop',
                    }
                ],
                'usage': {'completion_tokens': count},
            }
        )

    async def _service(self, request) -> web.Response:
        admission = self._authenticate(request)
        name = request.match_info['name']
        if admission.services and name not in admission.services:
            raise errors.UnauthorizedError(f'service {name}', 'service')
        if self._view.objects is None or not self._view.has_service(name):
            raise errors.NotFoundError(f'service {name}', 'service')
        path = request.match_info['tail'] or '/'
        if request.query_string:
            path += '?' + request.query_string
        req = requests.ServiceRequest(
            uuid.uuid4().hex,
            admission.account,
            name,
            request.method,
            path,
            request.headers.get('Content-Type', ''),
            await request.read(),
            request.headers.get('Idempotency-Key', '')[:255],
            self._deadline(request),
        )
        request[_http.REQUEST_ID] = req.req_id
        async with self._admitted(admission, req.req_id):
            answer = await self._services.run(req)
        return web.Response(
            status=answer.status,
            body=answer.body,
            headers={'Content-Type': answer.content_type},
        )


def _continuation(raw) -> tuple[str, int]:
    """Reads the part of an answer that the caller already has."""
    if raw is None:
        return '', 0
    text = raw.get('text') if isinstance(raw, dict) else None
    position = raw.get('position') if isinstance(raw, dict) else None
    if (
        not isinstance(text, str)
        or not isinstance(position, int)
        or isinstance(position, bool)
        or position < 0
        or len(text) > PREFIX_MAX_CHARS
    ):
        raise errors.BadRequestError('malformed continue_from', 'chat')
    return text, position

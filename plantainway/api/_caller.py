"""HTTP API for callers."""

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

DEFAULT_TIMEOUT_S = 300.0
MAX_TIMEOUT_S = 3600.0
DEADLINE_HEADER = 'X-Deadline-Ms'
CONTINUATION_MAX_CHARS = 1 << 20
_MS = 1000
_SSE_HEADERS = {
    'Content-Type': 'text/event-stream',
    'Cache-Control': 'no-store',
}


class CallerApi:
    """Serves chat completions, models, services and the node directory.

    Args:
        cfg: Settings of the node.
        parts: Objects shared by the tasks of the node.
        accounts: Admission control of client accounts.
        view: Routing view of copies and services.
        chats: Runner of chat requests.
        services: Runner of service requests.
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
        """Returns a new application with the routes of the caller API."""
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
        live = self._parts.book.live_reports()
        remote_ip = request.remote or ''
        entries = _directory.choose_entries(
            live,
            request.query.get('place', self._cfg.place),
            request.query.get('region', self._cfg.region),
            request.query.get('caller', remote_ip),
        )
        ttl_ms = int(_directory.CACHED_LIST_TTL_S * _MS)
        return web.json_response(
            {
                'entries': [dataclasses.asdict(entry) for entry in entries],
                'valid_ms': ttl_ms,
            },
            headers={
                'Cache-Control': f'max-age={int(_directory.CACHED_LIST_TTL_S)}'
            },
        )

    def _authenticate(self, request) -> requests.AuthenticatedAccount:
        return self._accounts.authenticate(
            request.headers.get('Authorization', '')
        )

    @contextlib.asynccontextmanager
    async def _hold_admission(self, admission, req_id: str):
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

    def _parse_deadline(self, request) -> float:
        text = request.headers.get(DEADLINE_HEADER)
        timeout_s = DEFAULT_TIMEOUT_S
        if text is not None:
            if not text.isdigit() or int(text) > MAX_TIMEOUT_S * _MS:
                raise errors.BadRequestError(
                    f'{DEADLINE_HEADER} must be a number of milliseconds '
                    f'up to {int(MAX_TIMEOUT_S * _MS)}',
                    'http',
                )
            timeout_s = int(text) / _MS
        return self._parts.clock.now() + timeout_s

    async def _models(self, request) -> web.Response:
        admission = self._authenticate(request)
        models = (
            self._view.objects.of_kind('model') if self._view.objects else {}
        )
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
        req = self._parse_chat_request(request, admission, body)
        request[_http.REQUEST_ID] = req.req_id
        async with self._hold_admission(admission, req.req_id):
            pieces = self._charge_tokens(admission, self._chats.run(req))
            if body.get('stream'):
                return await self._stream(request, pieces)
            return await self._respond_complete(req, pieces)

    async def _charge_tokens(self, admission, pieces):
        """Yields the pieces, charging the account one token for each."""
        async with contextlib.aclosing(pieces):
            async for piece in pieces:
                self._accounts.charge_tokens(admission, 1)
                yield piece

    def _parse_chat_request(self, request, admission, body):
        model = body.get('model')
        if self._view.objects is None or not self._view.has_model(model):
            raise errors.NotFoundError(
                f'model {model!r} not found'[:200], 'chat'
            )
        owner = self._view.model_of(model)
        if admission.models and owner not in admission.models:
            raise errors.UnauthorizedError(
                f'model {model} is not permitted', 'chat'
            )
        if not isinstance(body.get('messages'), list):
            raise errors.BadRequestError('messages must be a list', 'chat')
        resume = None
        if 'Last-Event-ID' in request.headers:
            resume = requests.parse_event_id(request.headers['Last-Event-ID'])
        body = dict(body)
        prefix, position = _parse_continuation(body.pop('continue_from', None))
        return requests.ChatRequest(
            uuid.uuid4().hex,
            admission.account,
            admission.rank,
            model,
            body,
            self._parse_deadline(request),
            position,
            prefix,
            resume,
        )

    async def _stream(self, request, pieces) -> web.StreamResponse:
        resp = web.StreamResponse(headers=_SSE_HEADERS)
        # When the caller disconnects, the engine keeps the attempt for a
        # while so that the caller can resume it.
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
            # The status line has been sent, so the error is sent as an event.
            error = json.dumps({'error': exc.to_dict()}).encode()
            await resp.write(b'event: error\ndata: %s\n\n' % error)
        await resp.write_eof()

    async def _respond_complete(self, req, pieces) -> web.Response:
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
            raise errors.UnauthorizedError(
                f'service {name} is not permitted', 'service'
            )
        if self._view.objects is None or not self._view.has_service(name):
            raise errors.NotFoundError(f'service {name} not found', 'service')
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
            self._parse_deadline(request),
        )
        request[_http.REQUEST_ID] = req.req_id
        async with self._hold_admission(admission, req.req_id):
            answer = await self._services.run(req)
        return web.Response(
            status=answer.status,
            body=answer.body,
            headers={'Content-Type': answer.content_type},
        )


def _parse_continuation(raw) -> tuple[str, int]:
    """Returns the text that the caller already has and its position."""
    if raw is None:
        return '', 0
    text = raw.get('text') if isinstance(raw, dict) else None
    position = raw.get('position') if isinstance(raw, dict) else None
    if (
        not isinstance(text, str)
        or not isinstance(position, int)
        or isinstance(position, bool)
        or position < 0
        or len(text) > CONTINUATION_MAX_CHARS
    ):
        raise errors.BadRequestError(
            'continue_from must hold text and a position', 'chat'
        )
    return text, position

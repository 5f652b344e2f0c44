"""Listeners for clients: requests, the directory and readiness."""

import asyncio

from aiohttp import web

from plantainway import errors
from plantainway import logs
from plantainway.platform import _messages
from plantainway.platform import _names
from plantainway import traffic

DEADLINE_DEFAULT_MS = 30000.0  # for a client that names none
KEEP_IDLE_S = 75.0  # longer than clients keep idle connections
LINGER_S = 2.0  # unread rest of a body is read for so long
BACKLOG = 1024  # connections; a full queue drops them for seconds
_OWN = frozenset(
    name.lower()
    for name in (_names.KEY, _names.DEADLINE, _names.LAST_EVENT, 'Host')
)


class BodyTooLargeError(errors.BadRequestError):
    """The body is larger than the configuration allows."""

    code = 'body_too_large'
    http_status = 413


class _StreamSink(traffic.BaseSink):
    """Sends a streamed answer to one client."""

    def __init__(self, request: web.BaseRequest, closing: bool):
        self._request = request
        self._closing = closing
        self.response: web.StreamResponse | None = None

    async def start(self, status: int, headers) -> None:
        """Sends the head of the answer; see the base class."""
        resp = web.StreamResponse(status=status)
        for name, value in headers:
            resp.headers.add(name, value)
        if self._closing:
            resp.force_close()
        resp.enable_chunked_encoding()
        self.response = resp
        await resp.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Sends bytes of the body; see the base class."""
        await self.response.write(data)

    async def finish(self) -> None:
        """Ends the answer as complete; see the base class."""
        await self.response.write_eof()

    def abort(self) -> None:
        """Breaks the answer off; see the base class."""
        transport = self._request.transport
        if transport is not None:
            transport.abort()


class Ingress:
    """Takes requests of clients.

    Args:
        gateway: Serves the decoded requests.
        clock: Source of monotonic time.
    """

    def __init__(self, gateway, clock):
        self._gateway = gateway
        self._clock = clock
        self._server: web.Server | None = None
        self._listener: asyncio.Server | None = None
        self.is_closing = False

    async def listen(self, address: str) -> str:
        """Opens the listener.

        Args:
            address: ``IP:PORT``, port 0 for any.

        Returns:
            The address bound.
        """
        self._server, self._listener = await _serve(self._handle, address)
        return _bound(self._listener)

    async def stop_accepting(self) -> None:
        """Closes the listener and the connections without a request."""
        self._listener.close()
        for handler in self._server.connections:
            handler.close()

    async def close(self) -> None:
        """Closes everything."""
        if self._listener is not None:
            self._listener.close()
            await self._server.shutdown(0.1)

    async def _handle(self, raw: web.BaseRequest) -> web.StreamResponse:
        arrived_at = self._clock.now()
        try:
            req = await self._decode(raw, arrived_at)
        except errors.BadRequestError as exc:
            resp = web.Response(status=exc.http_status, text=exc.message)
            if exc.http_status == 413:
                resp.force_close()
            return resp
        sink = _StreamSink(raw, self.is_closing)
        answer = await self._gateway.handle(req, sink)
        if answer is None:
            return sink.response
        return self._encode(req, answer)

    async def _decode(self, raw, arrived_at: float) -> traffic.Request:
        headers = raw.headers
        limits = self._gateway.limits()
        if (raw.content_length or 0) > limits.body_bytes:
            raise BodyTooLargeError('body too large', 'ingress')
        body = b''
        if raw.body_exists:
            parts = []
            size = 0
            while data := await raw.content.readany():
                size += len(data)
                if size > limits.body_bytes:
                    raise BodyTooLargeError('body too large', 'ingress')
                parts.append(data)
            body = b''.join(parts)
        prompt, answer = _pair(headers.get(_names.TOKENS, ''))
        deadline_ms = _number(
            headers.get(_names.DEADLINE), DEADLINE_DEFAULT_MS
        )
        return traffic.Request(
            request_id=headers.get(_names.REQUEST_ID, ''),
            method=raw.method,
            target=raw.raw_path,
            host=headers.get('Host', ''),
            headers=[
                (name, value)
                for name, value in headers.items()
                if name.lower() not in _names.HOP_BY_HOP
                and name.lower() not in _OWN
            ],
            body=body,
            arrived_at=arrived_at,
            deadline=arrived_at + max(deadline_ms, 0.0) / 1000,
            key=headers.get(_names.KEY, ''),
            model=headers.get(_names.MODEL, ''),
            prompt_tokens=prompt,
            answer_tokens=answer,
            length_hint=int(_number(headers.get(_names.LENGTH_HINT), 0)),
            last_event_id=_event_id(headers.get(_names.LAST_EVENT)),
        )

    def _encode(self, req, answer: traffic.Response) -> web.Response:
        resp = web.Response(status=answer.status, body=answer.body)
        resp.headers.popall('Content-Type', None)
        for name, value in answer.headers:
            resp.headers.add(name, value)
        if answer.retry_after_s:
            resp.headers[_names.RETRY_AFTER] = f'{answer.retry_after_s:.3f}'
        if req.request_id and _names.REQUEST_ID not in resp.headers:
            resp.headers[_names.REQUEST_ID] = req.request_id
        if self.is_closing:
            resp.force_close()
        return resp


class DirectoryServer:
    """Tells clients which addresses to use.

    Args:
        addresses: Function from region and zone to the addresses to name.
        ttl_s: Seconds for which clients may keep an answer.
    """

    def __init__(self, addresses, ttl_s: float):
        self._addresses = addresses
        self._ttl_s = ttl_s
        self._server = None
        self._listener = None

    async def listen(self, address: str) -> str:
        """Opens the listener.

        Args:
            address: ``IP:PORT``, port 0 for any.
        """
        self._server, self._listener = await _serve(self._handle, address)
        return _bound(self._listener)

    async def close(self) -> None:
        """Closes everything."""
        if self._listener is not None:
            self._listener.close()
            await self._server.shutdown(0.1)

    async def _handle(self, raw: web.BaseRequest) -> web.Response:
        if raw.path != _names.RESOLVE_PATH:
            return web.Response(status=404)
        found = self._addresses(
            raw.query.get('region', ''), raw.query.get('zone', '')
        )
        if not found:
            return web.Response(status=503)
        body = {'addresses': found, 'ttlS': self._ttl_s}
        return web.Response(
            body=_messages.encode(body), content_type='application/json'
        )


class StatusServer:
    """Tells the platform whether the node takes requests.

    Args:
        is_ready: Function that tells so.
        metrics: Function that returns the metrics as text.
        dump: Function that returns the state of all tasks.
    """

    def __init__(self, is_ready, metrics, dump):
        self._is_ready = is_ready
        self._metrics = metrics
        self._dump = dump
        self._servers = []

    async def listen(self, address: str) -> str:
        """Opens a listener.

        Args:
            address: ``IP:PORT``, port 0 for any.
        """
        server, listener = await _serve(self._handle, address)
        self._servers.append((server, listener))
        return _bound(listener)

    async def close(self) -> None:
        """Closes everything."""
        for server, listener in self._servers:
            listener.close()
            await server.shutdown(0.1)

    async def _handle(self, raw: web.BaseRequest) -> web.Response:
        if raw.path == _names.READY_PATH:
            return web.Response(status=200 if self._is_ready() else 503)
        if raw.path == '/metrics':
            return web.Response(body=self._metrics())
        if raw.path == '/dump':
            return web.Response(
                body=_messages.encode(self._dump()),
                content_type='application/json',
            )
        return web.Response(status=404)


async def _serve(handler, address: str):
    loop = asyncio.get_running_loop()
    server = web.Server(
        handler,
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=KEEP_IDLE_S,
        lingering_time=LINGER_S,
        max_field_size=65536,
        max_line_size=65536,
        auto_decompress=False,
    )
    host, _, port = address.rpartition(':')
    listener = await loop.create_server(
        server, host, int(port), backlog=BACKLOG, reuse_address=True
    )
    return server, listener


def _bound(listener) -> str:
    host, port = listener.sockets[0].getsockname()[:2]
    return f'{host}:{port}'


def _number(text: str | None, default: float) -> float:
    try:
        return float(text) if text else default
    except ValueError:
        logs.event('header_unreadable', 'DEBUG', value=text[:40])
        return default


def _pair(text: str) -> tuple[int, int]:
    first, _, second = text.partition(',')
    return int(_number(first, 0)), int(_number(second, 0))


def _event_id(text: str | None) -> int | None:
    if not text:
        return None
    return int(_number(text, 0))

"""HTTP servers of a node: client requests, the directory and its status."""

import asyncio

from aiohttp import web

from plantainway import errors
from plantainway import logs
from plantainway.platform import _client_protocol
from plantainway.platform import _intake
from plantainway.platform import _messages
from plantainway.platform import _names
from plantainway import traffic

DEFAULT_DEADLINE_MS = 30000.0  # for requests without a deadline
READ_REQUESTS_BEGIN_S = 0.02  # some rounds of the event loop
KEEPALIVE_TIMEOUT_S = 75.0  # longer than the clients' own
PROMPT_PARTS_MAX = 64  # of one request; their ids are kept and sent around
PART_ID_CHARS_MAX = 64
HEAD_WITH_BODY_BYTES_MAX = 65536  # larger bodies are not copied to the head
# When the accept queue is full, new connections are dropped and clients
# wait seconds before they try again.
LISTEN_BACKLOG_CONNECTIONS = 1024
_SERVER_OPTIONS = {
    'access_log': None,
    'keepalive_timeout': KEEPALIVE_TIMEOUT_S,
    'lingering_time': _client_protocol.LINGERING_TIME_S,
    'max_field_size': 65536,
    'max_line_size': 65536,
    'auto_decompress': False,
}
# Headers that become fields of the request instead of being forwarded.
_CONSUMED_HEADERS = frozenset(
    name.lower()
    for name in (
        _names.API_KEY,
        _names.DEADLINE_MS,
        _names.LAST_EVENT_ID,
        _names.RELAYED_CONFIGURATION,
        _names.RELAYED_RUNS,
        'Host',
    )
)


class BodyTooLargeError(errors.BadRequestError):
    """The body of a request exceeds the configured limit."""

    code = 'body_too_large'
    http_status = 413


class _ResponseSink(traffic.BaseSink):
    """Sends a streamed answer to one client.

    Args:
        request: Request that is answered.
        close_connection: Whether to close the connection after the answer.
    """

    def __init__(self, request: web.BaseRequest, close_connection: bool):
        self._request = request
        self._close_connection = close_connection
        self.response: web.StreamResponse | None = None

    async def start(self, status: int, headers) -> None:
        """Sends the status and headers; see the base class."""
        resp = web.StreamResponse(status=status)
        for name, value in headers:
            resp.headers.add(name, value)
        if self._close_connection:
            resp.force_close()
        resp.enable_chunked_encoding()
        self.response = resp
        self.is_started = True
        await resp.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Sends a part of the body; see the base class."""
        await self.response.write(data)

    async def finish(self) -> None:
        """Ends the body, which marks it as complete; see the base class."""
        await self.response.write_eof()

    def _abort(self) -> None:
        """Aborts the connection; see the base class."""
        transport = self._request.transport
        if transport is not None:
            transport.abort()


class Ingress:
    """HTTP server for the requests of clients.

    Args:
        gateway: Gateway that handles the decoded requests.
        clock: Source of monotonic time.
        is_relay: Whether the requests come from other nodes.
        book: Book of all connections of the node; one without bounds if
            ``None``.

    Attributes:
        is_closing: Set to true before the node stops; each answer then
            closes its connection.
    """

    def __init__(self, gateway, clock, is_relay: bool = False, book=None):
        self._gateway = gateway
        self._clock = clock
        self._is_relay = is_relay
        self._book = book or _intake.ConnectionBook(clock)
        self._server: web.Server | None = None
        self._listener: asyncio.Server | None = None
        self._busy_handlers = set()  # connections with a running request
        self.is_closing = False

    async def listen(self, address: str) -> str:
        """Starts to listen.

        Args:
            address: ``IP:PORT``; port 0 chooses a free port.

        Returns:
            The bound address.
        """
        server = _client_protocol.ClientServer(
            self._handle,
            self._book,
            self._clock,
            _intake.Listener.RELAY
            if self._is_relay
            else _intake.Listener.CALLER,
            self._gateway.limits,
            **_SERVER_OPTIONS,
        )
        self._server = server
        self._listener = await _listen(server, address)
        return _bound_address(self._listener)

    async def stop_accepting(self) -> None:
        """Closes the listener and idle connections.

        Requests in progress are not interrupted; their connections close
        after the answer.
        """
        self._listener.close()
        handlers = list(self._server.connections)
        for handler in handlers:
            handler.close()
        # Until then the handlers of requests that were read before have begun.
        await asyncio.sleep(READ_REQUESTS_BEGIN_S)
        for handler in handlers:
            # An idle connection stays open after that, and its requests
            # would be read and dropped.
            is_sending = (
                handler.transport is not None
                and handler.transport.get_write_buffer_size() > 0
            )
            if handler not in self._busy_handlers and not is_sending:
                handler.force_close()

    async def close(self) -> None:
        """Closes the listener and all connections."""
        if self._listener is not None:
            self._listener.close()
            await self._server.shutdown(0.1)

    async def _handle(
        self, http_request: web.BaseRequest
    ) -> web.StreamResponse:
        handler = http_request.protocol
        if handler.transport is None or handler.transport.is_closing():
            # Nobody gets the answer, so the request must not run.
            return web.Response(status=503)
        self._busy_handlers.add(handler)
        try:
            return await self._serve_request(http_request)
        finally:
            self._busy_handlers.discard(handler)

    async def _serve_request(
        self, http_request: web.BaseRequest
    ) -> web.StreamResponse:
        arrived_at = self._clock.now()
        try:
            req = await self._decode_request(http_request, arrived_at)
        except errors.BadRequestError as exc:
            return _refuse(exc)
        conn = http_request.protocol
        conn.begin_running()
        if not self._book.may_begin(conn):
            return self._encode_response(
                req,
                traffic.Response(
                    503, retry_after_s=_intake.REFUSED_RETRY_AFTER_S
                ),
            )
        sink = _ResponseSink(http_request, self.is_closing)
        answer = await self._gateway.handle(req, sink)
        if answer is None:
            return sink.response
        if sink.is_started:
            # A second head would be read as a part of the first body.
            logs.event(
                'answer_begun_twice',
                'ERROR',
                request=req.request_id,
                status=answer.status,
                reason=answer.reason,
            )
            sink.abort('answer begun twice')
            return sink.response
        resp = self._encode_response(req, answer)
        if len(answer.body) > HEAD_WITH_BODY_BYTES_MAX:
            await resp.prepare(http_request)
            http_request.writer.send_headers()
        return resp

    async def _decode_request(
        self, http_request, arrived_at: float
    ) -> traffic.Request:
        headers = http_request.headers
        limits = self._gateway.limits()
        if (http_request.content_length or 0) > limits.body_bytes:
            raise BodyTooLargeError('body too large', 'ingress')
        body = b''
        if http_request.body_exists:
            body = await self._read_body(http_request, limits.body_bytes)
        prompt, answer = _parse_token_counts(
            headers.get(_names.TOKEN_COUNT, '')
        )
        deadline_ms = _parse_number(
            headers.get(_names.DEADLINE_MS), DEFAULT_DEADLINE_MS
        )
        req = traffic.Request(
            request_id=headers.get(_names.REQUEST_ID, ''),
            method=http_request.method,
            target=http_request.raw_path,
            host=headers.get('Host', ''),
            headers=[
                (name, value)
                for name, value in headers.items()
                if name.lower() not in _names.HOP_BY_HOP
                and name.lower() not in _CONSUMED_HEADERS
            ],
            body=body,
            arrived_at=arrived_at,
            deadline=arrived_at + max(deadline_ms, 0.0) / 1000,
            key=headers.get(_names.API_KEY, ''),
            model=headers.get(_names.MODEL, ''),
            prompt_tokens=prompt,
            answer_tokens=answer,
            length_hint=int(_parse_number(headers.get(_names.LENGTH_HINT), 0)),
            last_event_id=_parse_event_id(headers.get(_names.LAST_EVENT_ID)),
            shared_parts=_parse_shared_parts(
                headers.get(_names.PROMPT_PARTS, '')
            ),
        )
        if self._is_relay:
            req.is_relayed = True
            req.max_runs = int(
                _parse_number(headers.get(_names.RELAYED_RUNS), 1)
            )
            req.min_configuration = int(
                _parse_number(headers.get(_names.RELAYED_CONFIGURATION), 0)
            )
        return req

    async def _read_body(self, http_request, size_max: int) -> bytes:
        conn = http_request.protocol
        body = bytearray()
        try:
            while data := await http_request.content.readany():
                if len(body) + len(data) > size_max:
                    raise BodyTooLargeError('body too large', 'ingress')
                body += data
                conn.record_body(http_request.content, len(body))
            return bytes(body)
        except web.RequestPayloadError:
            raise errors.BadRequestError('body unreadable', 'ingress')
        finally:
            body.clear()  # the frame may live on in a traceback

    def _encode_response(self, req, answer: traffic.Response) -> web.Response:
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
    """HTTP server that tells clients the addresses of the nodes.

    Args:
        addresses: Function that returns the addresses for a region and zone.
        ttl_s: Time in seconds for which clients may cache an answer.
        clock: Source of monotonic time.
        book: Book of all connections of the node.
    """

    def __init__(self, addresses, ttl_s: float, clock, book):
        self._addresses = addresses
        self._ttl_s = ttl_s
        self._clock = clock
        self._book = book
        self._server = None
        self._listener = None

    async def listen(self, address: str) -> str:
        """Starts to listen.

        Args:
            address: ``IP:PORT``; port 0 chooses a free port.

        Returns:
            The bound address.
        """
        self._server = _client_protocol.ClientServer(
            self._handle,
            self._book,
            self._clock,
            _intake.Listener.DIRECTORY,
            **_SERVER_OPTIONS,
        )
        self._listener = await _listen(self._server, address)
        return _bound_address(self._listener)

    async def close(self) -> None:
        """Closes the listener and all connections."""
        if self._listener is not None:
            self._listener.close()
            await self._server.shutdown(0.1)

    async def _handle(self, http_request: web.BaseRequest) -> web.Response:
        if http_request.path != _names.RESOLUTION_PATH:
            return web.Response(status=404)
        addresses = self._addresses(
            http_request.query.get('region', ''),
            http_request.query.get('zone', ''),
        )
        if not addresses:
            return web.Response(status=503)
        body = {'addresses': addresses, 'ttlS': self._ttl_s}
        return web.Response(
            body=_messages.encode(body), content_type='application/json'
        )


class StatusServer:
    """HTTP server for the readiness probe, the metrics and a state dump.

    Args:
        is_ready: Function that returns whether the node accepts requests.
        metrics: Function that returns the metrics as text.
        dump: Function that returns the state of the node as a JSON object.
        clock: Source of monotonic time.
        book: Book of all connections of the node.
    """

    def __init__(self, is_ready, metrics, dump, clock, book):
        self._is_ready = is_ready
        self._metrics = metrics
        self._dump = dump
        self._clock = clock
        self._book = book
        self._servers = []

    async def listen(self, address: str) -> str:
        """Starts to listen on one more address.

        Args:
            address: ``IP:PORT``; port 0 chooses a free port.

        Returns:
            The bound address.
        """
        server = _client_protocol.ClientServer(
            self._handle,
            self._book,
            self._clock,
            _intake.Listener.STATUS,
            **_SERVER_OPTIONS,
        )
        listener = await _listen(server, address)
        self._servers.append((server, listener))
        return _bound_address(listener)

    async def close(self) -> None:
        """Closes all listeners and connections."""
        for server, listener in self._servers:
            listener.close()
            await server.shutdown(0.1)

    async def _handle(self, http_request: web.BaseRequest) -> web.Response:
        if http_request.path == _names.READY_PATH:
            return web.Response(status=200 if self._is_ready() else 503)
        if http_request.path == '/metrics':
            return web.Response(body=self._metrics())
        if http_request.path == '/dump':
            return web.Response(
                body=_messages.encode(self._dump()),
                content_type='application/json',
            )
        return web.Response(status=404)


def _refuse(exc: errors.BadRequestError) -> web.Response:
    resp = web.Response(status=exc.http_status, text=exc.message)
    if exc.http_status == 503:
        resp.headers[_names.RETRY_AFTER] = (
            f'{_intake.REFUSED_RETRY_AFTER_S:.3f}'
        )
    if exc.http_status in (408, 413, 503):
        resp.force_close()
    return resp


async def _listen(server, address: str) -> asyncio.Server:
    host, _, port = address.rpartition(':')
    return await asyncio.get_running_loop().create_server(
        server,
        host,
        int(port),
        backlog=LISTEN_BACKLOG_CONNECTIONS,
        reuse_address=True,
    )


def _bound_address(listener) -> str:
    host, port = listener.sockets[0].getsockname()[:2]
    return f'{host}:{port}'


def _parse_number(text: str | None, default: float) -> float:
    try:
        return float(text) if text else default
    except ValueError:
        logs.event('header_unreadable', 'DEBUG', value=text[:40])
        return default


def _parse_token_counts(text: str) -> tuple[int, int]:
    prompt, _, answer = text.partition(',')
    return int(_parse_number(prompt, 0)), int(_parse_number(answer, 0))


def _parse_shared_parts(text: str) -> tuple[str, ...]:
    """Returns the ids in a list of ``ID:TOKENS``, except for the last.

    Ids that are too long, and too many of them, are left out.
    """
    ids = [item.partition(':')[0].strip() for item in text.split(',')]
    return tuple(
        name
        for name in ids[:-1][:PROMPT_PARTS_MAX]
        if 0 < len(name) <= PART_ID_CHARS_MAX
    )


def _parse_event_id(text: str | None) -> int | None:
    if not text:
        return None
    return int(_parse_number(text, 0))

"""Connections of clients, whose buffers a book of connections bounds.

The library bounds the buffers of one connection loosely and none of those of
all connections; it has no time-outs for heads and bodies that trickle in.
"""

import asyncio
import traceback

from aiohttp import http_exceptions
from aiohttp import http_parser
from aiohttp import web
from aiohttp import web_protocol

from plantainway import deployment
from plantainway import errors
from plantainway.platform import _intake

READ_BYTES_MIN = 4096  # of densely chunked bodies, some 700 chunks
READ_BYTES_FIRST = 16384
READ_BYTES_MAX = 65536
READER_BYTES = 32768  # of a body before its connection is paused
CHUNK_BYTES = 48  # that the library holds for each unread chunk
DENSE_CHUNK_BYTES = 64  # sent for each chunk, at most, in a dense body
HEAD_SLICE_BYTES = 4096
REQUEST_LINE_BYTES = 8192  # besides the fields of a head
FIELDS_MAX = 128
MESSAGES_AHEAD_MAX = 2
LINGERING_TIME_S = 2.0  # for reading the rest of a refused body
REFUSAL_TIME_S = 0.2  # for sending a refusal before the connection is closed


class OverloadedError(errors.BadRequestError):
    """The body is not read, since the node holds too many."""

    code = 'overloaded'
    http_status = 503


class BodyTimeoutError(errors.BadRequestError):
    """The body did not arrive in time."""

    code = 'body_timeout'
    http_status = 408


class ClientProtocol(web_protocol.RequestHandler, _intake.BaseConnection):
    """Reads the requests of one connection as its book allows.

    Args:
        server: Server that accepted the connection.
        options: Passed to the base class.
    """

    def __init__(self, server: 'ClientServer', **options):
        web_protocol.RequestHandler.__init__(
            self,
            server,
            max_headers=FIELDS_MAX,
            read_bufsize=READER_BYTES,
            **options,
        )
        _intake.BaseConnection.__init__(
            self, server.listener, server.clock.now()
        )
        self._max_msg_queue_size = MESSAGES_AHEAD_MAX
        self._msg_queue_resume_size = MESSAGES_AHEAD_MAX // 2
        # The base class has no parameter for the length of the queue.
        self._parser = http_parser.HttpRequestParser(
            self,
            self._loop,
            READER_BYTES,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=FIELDS_MAX,
            payload_exception=web.RequestPayloadError,
            auto_decompress=options.get('auto_decompress', True),
            max_msg_queue_size=MESSAGES_AHEAD_MAX,
        )
        self._book = server.book
        self._clock = server.clock
        self._limits = server.limits
        self._dense = server.dense
        self._holds: set[str] = set()
        self._payload = None  # of the request that was parsed last
        self._body = None  # payload that a handler reads
        self._body_size = 0
        self._head_size = 0
        self._is_refused = False
        self.read_size = READ_BYTES_FIRST

    # Reading.

    def _is_in_body(self) -> bool:
        return self._payload is not None and not self._payload.is_eof()

    def data_received(self, data: bytes) -> None:
        """Parses what has arrived.

        Args:
            data: The bytes, empty to go on with what was left unparsed.
        """
        if self._is_refused:
            return
        if data and self.phase is _intake.Phase.IDLE:
            self._begin_head()
        self.received += len(data)
        place = 0
        while not self._is_refused:
            end = len(data)
            is_head = not self._is_in_body() and not self._buffer_paused
            if is_head:
                end = min(place + HEAD_SLICE_BYTES, end)
            seen = self._request_count
            super().data_received(data[place:end])
            if self._request_count > seen and self._messages:
                self._payload = self._messages[-1][1]
                self._head_size = 0
            elif is_head:
                self._head_size += end - place
                self._check_head()
            place = end
            if place >= len(data):
                break
        self._update_upload()
        if self.phase is _intake.Phase.BODY:
            self._extend_body()
            if not self.is_held and not self._book.may_read(self):
                self._hold('book')

    def _begin_head(self) -> None:
        now = self._clock.now()
        self.received = 0
        self.set_phase(_intake.Phase.HEAD, now)
        self.due_at = (
            now + self._limits().header_ms / 1000 + _intake.HEAD_MARGIN_S
        )

    def _check_head(self) -> None:
        if self._head_size <= self._limits().header_bytes + REQUEST_LINE_BYTES:
            return
        self._is_refused = True
        self._book.count('head_too_large')
        exc = http_exceptions.HttpProcessingError(
            code=431, message='request header fields too large'
        )
        self._messages.append(
            (
                web_protocol._ErrInfo(431, exc, exc.message),
                web_protocol.EMPTY_PAYLOAD,
            )
        )
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _extend_body(self) -> None:
        """Sets until when the body has to be complete, by what has arrived."""
        self.due_at = (
            self.began_at
            + self._limits().idle_ms / 1000
            + self.received / _intake.MIN_BODY_BYTES_PER_S
        )

    def _unread_chunks(self) -> int:
        splits = getattr(self._payload, '_http_chunk_splits', None)
        return len(splits) if splits else 0

    def _update_upload(self) -> None:
        unread = getattr(self._payload, '_size', 0)
        self._book.set_upload(
            self,
            self._body_size + unread + self._unread_chunks() * CHUNK_BYTES,
        )

    def record_read(self, size: int, seconds: float) -> None:
        """Decides how much to read next, and when.

        Args:
            size: Bytes that were read.
            seconds: How long they took to parse.
        """
        chunks = self._unread_chunks()
        if chunks * DENSE_CHUNK_BYTES > size and chunks > 16:
            self.read_size = READ_BYTES_MIN
            self._dense.record(seconds)
            self._hold('dense')
            self._dense.add(self._resume_dense)
        elif size == self.read_size:
            if self._is_in_body():
                self.read_size = min(self.read_size * 2, READ_BYTES_MAX)
            # Other connections come first.
            self._hold('round')
            self._loop.call_soon(self._unhold, 'round')

    def _resume_dense(self) -> None:
        self._unhold('dense')

    def _hold(self, reason: str) -> None:
        self._holds.add(reason)
        self._pause_transport_reading()

    def _unhold(self, reason: str) -> None:
        self._holds.discard(reason)
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        if not self._holds:
            super()._resume_transport_reading()

    def release(self) -> None:
        """Lets the connection be read again; see the base class."""
        self._unhold('book')

    # Requests.

    async def begin_request(self, request: web.BaseRequest) -> None:
        """Records that a handler has taken a request.

        Args:
            request: The request.
        """
        # The answer before it has to be out.
        await self._drain_helper()
        now = self._clock.now()
        self._book.set_answer(self, 0)
        if request.content.is_eof():
            self.set_phase(_intake.Phase.RUNNING, now)
        else:
            if self.phase is not _intake.Phase.HEAD:
                self.received = 0
            self.set_phase(_intake.Phase.BODY, now)
            self._extend_body()

    def record_body(self, payload, size: int) -> None:
        """Records how much of a body a handler holds.

        Args:
            payload: The payload that it reads.
            size: Bytes that it has read.
        """
        self._body = payload
        self._body_size = size
        self._update_upload()

    def begin_running(self) -> None:
        """Records that the body of the request is complete."""
        self._body = None
        self.set_phase(_intake.Phase.RUNNING, self._clock.now())
        self._book.release(self)

    async def finish_response(self, request, resp, start_time):
        """Sends an answer, as the base class does, and accounts for it."""
        now = self._clock.now()
        self._body = None
        self._body_size = 0
        self._book.release(self)
        self._update_upload()
        self.set_phase(_intake.Phase.WRITING, now)
        self.due_at = now + _intake.ANSWER_STALL_S
        try:
            return await super().finish_response(request, resp, start_time)
        except BaseException as exc:
            # The task and its exception are a reference cycle, which would
            # keep the answer until the next garbage collection.
            traceback.clear_frames(exc.__traceback__)
            raise
        finally:
            if isinstance(resp, web.Response):
                resp.body = None
            self._end_answer(request)

    def _end_answer(self, request) -> None:
        now = self._clock.now()
        if not request.content.is_eof():
            # The rest of the body is read and dropped for a time.
            self.set_phase(_intake.Phase.BODY, now)
            self.due_at = now + LINGERING_TIME_S + _intake.HEAD_MARGIN_S
        else:
            self.refresh(now)

    def refresh(self, now: float) -> None:
        """Records that an answer has left the node; see the base class."""
        if (
            self.phase is not _intake.Phase.WRITING
            or self._current_request is not None
            or self._request_in_progress
            or self.unread_bytes()
        ):
            return
        self._book.set_answer(self, 0)
        if self._head_size:
            self._begin_head()
        else:
            self.set_phase(_intake.Phase.IDLE, now)

    def unread_bytes(self) -> int:
        """Returns the bytes that wait for the client; see the base class."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    def end(self, reason: str) -> None:
        """Refuses the request or aborts the connection; see the base class."""
        transport = self.transport
        if transport is None:
            return
        if self._body is None or reason == 'connections':
            transport.abort()
            return
        exc = (
            BodyTimeoutError('body too slow', 'ingress')
            if reason == 'body_timeout'
            else OverloadedError('too many bodies', 'ingress')
        )
        self._is_refused = True
        self._body.set_exception(exc)
        self._loop.call_later(REFUSAL_TIME_S, transport.abort)

    # Connection.

    def connection_lost(self, exc) -> None:
        """Ends the record of the connection; see the base class."""
        is_cut = self.phase is _intake.Phase.BODY or self._request_in_progress
        self._book.remove(self, is_cut)
        super().connection_lost(exc)

    def log_exception(self, *args, **options) -> None:
        """Counts requests that can't be parsed, rather than log each."""
        exc = options.get('exc_info')
        if isinstance(exc, http_exceptions.HttpProcessingError):
            if not self._is_refused:
                self._book.count('malformed')
        elif not isinstance(exc, errors.BadRequestError):
            super().log_exception(*args, **options)


class _Receiver(asyncio.BufferedProtocol):
    """Reads into a buffer that all connections of a server share.

    Args:
        server: Server that accepted the connection.
        protocol: Protocol that gets what was read.
    """

    def __init__(self, server: 'ClientServer', protocol: ClientProtocol):
        self._server = server
        self._protocol = protocol
        self._is_refused = False

    def connection_made(self, transport) -> None:
        """Accepts or refuses the connection."""
        if not self._server.book.add(self._protocol):
            self._is_refused = True
            transport.abort()
            return
        self._protocol.connection_made(transport)

    def connection_lost(self, exc) -> None:
        """Passes the end of the connection on."""
        if not self._is_refused:
            self._protocol.connection_lost(exc)

    def get_buffer(self, _sizehint: int):
        """Returns where to read to."""
        return self._server.buffer[: self._protocol.read_size]

    def buffer_updated(self, nbytes: int) -> None:
        """Passes on what was read."""
        if self._is_refused:
            return
        began_at = _intake.parse_time()
        self._protocol.data_received(bytes(self._server.buffer[:nbytes]))
        self._protocol.record_read(nbytes, _intake.parse_time() - began_at)

    def eof_received(self):
        """Passes on that the client sends no more."""
        return None if self._is_refused else self._protocol.eof_received()

    def pause_writing(self) -> None:
        """Passes on that the client does not read."""
        if not self._is_refused:
            self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Passes on that the client has read."""
        if not self._is_refused:
            self._protocol.resume_writing()


class ClientServer(web.Server):
    """Server for the connections of a listener.

    Args:
        handler: Coroutine function that answers a request.
        book: Book of all connections of the node.
        clock: Source of monotonic time.
        listener: The listener.
        limits: Function that returns the limits in force.
        options: Passed to the protocol.
    """

    def __init__(
        self,
        handler,
        book: _intake.ConnectionBook,
        clock,
        listener: _intake.Listener,
        limits=deployment.Limits,
        **options,
    ):
        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            conn = request.protocol
            await conn.begin_request(request)
            _intake.CONNECTION.set((book, conn))
            return await handler(request)

        super().__init__(handle, handler_cancellation=True, **options)
        self.book = book
        self.clock = clock
        self.listener = listener
        self.limits = limits
        self.dense = _intake.DenseReader()
        self.buffer = memoryview(bytearray(READ_BYTES_MAX))

    def __call__(self) -> _Receiver:
        """Returns the protocol of a new connection."""
        return _Receiver(
            self, ClientProtocol(self, loop=self._loop, **self._kwargs)
        )

"""HTTP client of the platform's runners: requests, orders and reports."""

import asyncio
import math
import re
import socket

import aiohttp
import multidict
import yarl

from plantainway import deployment
from plantainway import errors
from plantainway import logs
from plantainway import loops
from plantainway.platform import _connections
from plantainway.platform import _intake
from plantainway.platform import _messages
from plantainway.platform import _names
from plantainway import sessions
from plantainway import supply
from plantainway import traffic

UNREADABLE_NAMES_MAX = 4096  # runners remembered as logged
CONNECT_TIMEOUT_S = 0.4  # connecting within the region takes about 5 ms
KEEPALIVE_TIMEOUT_S = 8.0  # upstreams close idle connections after a time
TCP_USER_TIMEOUT_MS = 4000  # unacknowledged data for longer: peer is lost
ORDER_TIMEOUT_S = 0.8  # an order is accepted within about 10 ms
HEALTH_TIMEOUT_S = 1.0  # a check waits for a slot as requests do
REPORT_TIMEOUT_S = 0.25  # a report needs no slot and takes about 10 ms
RESPONSE_BYTES_MAX = 4 << 20  # of a body that is read as a whole
READ_BUFFER_BYTES = 65536  # of each response that is not read yet
REPORT_BYTES_MAX = 1 << 20  # reports have some KB
CONTROL_BYTES_MAX = 1 << 16  # of answers whose body is not used
DEADLINE_MARGIN_MS = 5  # for returning the answer to the client
LEAVING = '1'  # value of the header
STATUS_UNAVAILABLE = 503
PAUSE_MAX_S = 60.0  # for which a runner may ask for no requests
STATUS_MISDIRECTED = 421  # another upstream has the address now
SKIPPED_AUTO_HEADERS = (
    'Accept',
    'Accept-Encoding',
    'User-Agent',
    'Content-Type',
)
_DECIMAL = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?', re.ASCII)
# Headers of the client that are dropped; the node sets its own values.
_REPLACED_HEADERS = frozenset(
    name.lower()
    for name in (
        _names.ACCOUNT,
        _names.DEADLINE_MS,
        _names.EXPECT_UPSTREAM,
        _names.API_KEY,
        _names.LAST_EVENT_ID,
        _names.PRIORITY,
    )
) | {'content-length', 'host', 'expect'}


def _open_socket(addr_info) -> socket.socket:
    family, kind, proto, _, _ = addr_info
    sock = socket.socket(family, kind, proto)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def new_session(connection_per_request: bool = False) -> aiohttp.ClientSession:
    """Returns an HTTP session for requests to upstreams and the store.

    It sends each request once, adds no headers of its own, keeps no cookies
    and does not decompress bodies.

    Args:
        connection_per_request: Whether to open a connection for each
            request, rather than to reuse idle ones.
    """
    options = {'force_close': True}
    if not connection_per_request:
        options = {'keepalive_timeout': KEEPALIVE_TIMEOUT_S}
    session = aiohttp.ClientSession(
        connector=_connections.StrictConnector(
            CONNECT_TIMEOUT_S,
            limit=0,
            socket_factory=_open_socket,
            **options,
        ),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=SKIPPED_AUTO_HEADERS,
        timeout=aiohttp.ClientTimeout(total=None),
        read_bufsize=READ_BUFFER_BYTES,
    )
    session._retry_connection = False  # see plantainway.sessions
    return session


class RunnerResponse(traffic.BaseUpstreamResponse):
    """Response of a runner, with a body that is read as it arrives.

    Args:
        resp: HTTP response whose headers have arrived.
        peer: Name of the runner.
    """

    def __init__(self, resp: aiohttp.ClientResponse, peer: str):
        self._resp = resp
        self._peer = peer
        self._protocol = resp.connection and resp.connection.protocol
        headers = resp.headers
        self.status = resp.status
        self.headers = tuple(
            (name, value)
            for name, value in headers.items()
            if name.lower() not in _names.HOP_BY_HOP
            and name.lower() != 'content-length'
        )
        self.misdirected = resp.status == STATUS_MISDIRECTED
        self.not_run = self.misdirected or _names.NOT_EXECUTED in headers
        self.signed = _names.SERVER_STAMP in headers
        if resp.status == STATUS_UNAVAILABLE and self.not_run:
            self.retry_after_s = _parse_pause(headers, peer)
        self.failed_upstream = headers.get(_names.FAILED_UPSTREAM, '')
        self.ends_with_connection = not (
            'Content-Length' in headers or 'Transfer-Encoding' in headers
        )

    async def read(self) -> bytes:
        """Returns the whole body; see the base class."""
        hold = _intake.AnswerHold()
        parts = []
        try:
            await hold.extend_to(
                min(self._resp.content_length or 0, RESPONSE_BYTES_MAX)
            )
            size = 0
            while data := await self.next_chunk():
                size += len(data)
                if size > RESPONSE_BYTES_MAX:
                    raise errors.UpstreamError(
                        f'response body exceeds {RESPONSE_BYTES_MAX} bytes',
                        'body',
                        self._peer,
                    )
                await hold.extend_to(size)
                parts.append(data)
            return b''.join(parts)
        except BaseException:
            hold.release()
            parts.clear()  # the frame may live on in a traceback
            raise

    async def next_chunk(self) -> bytes:
        """Returns the next part of the body; see the base class."""
        try:
            data = await self._resp.content.readany()
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            raise errors.UpstreamError(
                f'response body truncated: {exc!r}'[:120], 'body', self._peer
            )
        if not data and self._was_reset():
            raise errors.UpstreamError(
                'connection reset before the end of the body',
                'body',
                self._peer,
            )
        return data

    def _was_reset(self) -> bool:
        """Whether a reset of the connection truncated the body.

        A body without a length ends with its connection. aiohttp then takes
        a reset for the regular end of the body.
        """
        return (
            self.ends_with_connection
            and self._protocol is not None
            and isinstance(self._protocol.exception(), aiohttp.ClientOSError)
        )

    def close(self) -> None:
        """Releases the connection, or closes it if the body has not ended.

        See the base class.
        """
        if self._resp.content.is_eof() and not self.ends_with_connection:
            self._resp.release()
        else:
            self._resp.close()


class RunnerClient(traffic.BaseUpstreamClient, supply.BaseEngineClient):
    """Client of the platform's runners.

    Args:
        pooled_session: HTTP session that reuses connections.
        unpooled_session: HTTP session that opens a connection per request.
        clock: Source of monotonic time.

    Attributes:
        on_answer: Called with a runner and the rate that its answer names, in
            requests a second: ``None`` if it names none, NaN if that is
            unreadable. Answers of another runner at its address do not count.
        on_cold: Called with a runner and the seconds for which its answer says
            that it stays cold. Answers that say nothing on that do not count.
        on_leaving: Called with a runner each time that its answer says that it
            drains.
        on_unreached: Called with the name of a runner to which no connection
            could be opened.
    """

    def __init__(self, pooled_session, unpooled_session, clock):
        self._pooled_session = pooled_session
        self._unpooled_session = unpooled_session
        self._clock = clock
        self.on_answer = []
        self.on_cold = []
        self.on_leaving = []
        self.on_unreached = []
        self._unreadable_cold: set[str] = set()

    def _handle_unreached(self, upstream, exc) -> None:
        if isinstance(
            exc, (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
        ):
            for listener in self.on_unreached:
                listener(upstream.name)

    def _handle_leaving(self, upstream, resp) -> None:
        is_own = resp.status != STATUS_MISDIRECTED
        if is_own and resp.headers.get(_names.SERVER_LEAVING) == LEAVING:
            for listener in self.on_leaving:
                listener(upstream)

    def _handle_answer(self, upstream, resp) -> None:
        if resp.status == STATUS_MISDIRECTED:
            return
        self._handle_leaving(upstream, resp)
        per_second = _parse_rate_limit(resp.headers, upstream.name)
        for listener in self.on_answer:
            listener(upstream, per_second)
        text = resp.headers.get(_names.COLD_MS)
        cold_s = _parse_cold_s(text)
        if cold_s is None:
            self._record_unreadable_cold(upstream.name, text)
        elif cold_s:
            for listener in self.on_cold:
                listener(upstream, cold_s)

    def _record_unreadable_cold(self, name: str, text: str) -> None:
        """Logs an unreadable cold time, once for each runner."""
        if name in self._unreadable_cold:
            return
        if len(self._unreadable_cold) >= UNREADABLE_NAMES_MAX:
            self._unreadable_cold.clear()
        self._unreadable_cold.add(name)
        logs.event('cold_unreadable', upstream=name, value=text[:40])

    async def send(self, attempt: traffic.Attempt) -> RunnerResponse:
        """Sends one attempt of a request; see the base class."""
        req, upstream = attempt.request, attempt.upstream
        session = (
            self._unpooled_session
            if attempt.use_new_connection
            else self._pooled_session
        )
        remaining_ms = (attempt.deadline - self._clock.now()) * 1000
        headers = self._headers(attempt, remaining_ms)
        url = yarl.URL(f'http://{upstream.address}{req.target}', encoded=True)
        try:
            resp = await session.request(
                req.method,
                url,
                headers=headers,
                data=req.body or None,
                allow_redirects=False,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            self._handle_unreached(upstream, exc)
            raise errors.UpstreamError(
                repr(exc)[:120], 'connect', upstream.name, sent=False
            )
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            raise errors.UpstreamError(
                repr(exc)[:120], 'request', upstream.name
            )
        echoed = resp.headers.get(_names.REQUEST_ID)
        if echoed is not None and echoed != req.request_id:
            resp.close()
            raise errors.UpstreamError(
                'response has the Request-Id of another request',
                'request',
                upstream.name,
            )
        self._handle_answer(upstream, resp)
        found = RunnerResponse(resp, upstream.name)
        if found.not_run and req.request_id and echoed is None:
            resp.close()
            raise errors.UpstreamError(
                'refusal without the Request-Id', 'request', upstream.name
            )
        return found

    def _headers(self, attempt, remaining_ms) -> multidict.CIMultiDict:
        req = attempt.request
        headers = end_to_end_headers(req)
        headers[_names.DEADLINE_MS] = str(
            max(int(remaining_ms) - DEADLINE_MARGIN_MS, 1)
        )
        headers[_names.EXPECT_UPSTREAM] = attempt.upstream.name
        if attempt.account:
            headers[_names.ACCOUNT] = attempt.account
        if attempt.last_event_id is not None:
            headers[_names.LAST_EVENT_ID] = str(attempt.last_event_id)
        if req.model:
            headers[_names.PRIORITY] = str(attempt.priority)
        return headers

    async def report(
        self, upstream: deployment.Upstream
    ) -> deployment.EngineReport:
        """Requests the report of an engine; see the base class."""
        try:
            async with loops.timeout(REPORT_TIMEOUT_S):
                async with self._pooled_session.get(
                    f'http://{upstream.address}{_names.REPORT_PATH}',
                    headers={_names.EXPECT_UPSTREAM: upstream.name},
                ) as resp:
                    body = await sessions.read_body(resp, REPORT_BYTES_MAX)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise errors.UpstreamError(
                repr(exc)[:120],
                'report',
                upstream.name,
                refused=_is_refused(exc),
                answered=isinstance(exc, sessions.InvalidResponseError),
            )
        if resp.status != 200:
            raise errors.UpstreamError(
                f'status {resp.status}',
                'report',
                upstream.name,
                refused=resp.status == STATUS_MISDIRECTED,
                answered=True,
            )
        report = _messages.decode_report(body)
        if report.started_ms in (0, upstream.started_ms):
            self._handle_answer(upstream, resp)
        return report

    async def check_health(
        self, upstream: deployment.Upstream, path: str
    ) -> None:
        """Requests the health of a runner; see the base class."""
        try:
            async with loops.timeout(HEALTH_TIMEOUT_S):
                async with self._pooled_session.get(
                    f'http://{upstream.address}{path}',
                    headers={_names.EXPECT_UPSTREAM: upstream.name},
                ) as resp:
                    await sessions.read_body(resp, CONTROL_BYTES_MAX)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise errors.UpstreamError(
                repr(exc)[:120], 'health', upstream.name
            )
        self._handle_answer(upstream, resp)

    async def is_reached(
        self, upstream: deployment.Upstream, health_path: str | None
    ) -> bool:
        """Returns whether a runner answers anything on a new connection.

        Args:
            upstream: The runner.
            health_path: Path of its health check, ``None`` for an engine,
                which is asked for its report.
        """
        path = health_path or _names.REPORT_PATH
        try:
            async with loops.timeout(REPORT_TIMEOUT_S):
                async with self._unpooled_session.get(
                    f'http://{upstream.address}{path}',
                    headers={_names.EXPECT_UPSTREAM: upstream.name},
                ):
                    return True
        except sessions.InvalidResponseError:
            return True
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def order(
        self, upstream: deployment.Upstream, order: supply.Order
    ) -> supply.OrderOutcome:
        """Sends an order to an engine; see the base class."""
        body = _encode_order(order)
        try:
            # Time for which this node was paused counts: the right to give
            # the order may have run out.
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                async with self._unpooled_session.post(
                    f'http://{upstream.address}{_names.ORDER_PATH}',
                    headers={
                        _names.EXPECT_UPSTREAM: upstream.name,
                        'Content-Type': 'application/json',
                    },
                    data=_messages.encode(body),
                ) as resp:
                    await sessions.read_body(resp, CONTROL_BYTES_MAX)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            self._handle_unreached(upstream, exc)
            return supply.OrderOutcome(
                supply.OrderStatus.UNKNOWN, repr(exc)[:80]
            )
        self._handle_leaving(upstream, resp)
        return supply.OrderOutcome(
            _ORDER_STATUSES.get(resp.status, supply.OrderStatus.REFUSED),
            f'status {resp.status}',
        )


def end_to_end_headers(req) -> multidict.CIMultiDict:
    """Returns a client's headers but those that nodes set themselves.

    Args:
        req: The request.
    """
    headers = multidict.CIMultiDict(
        (name, value)
        for name, value in req.headers
        if name.lower() not in _REPLACED_HEADERS
    )
    headers['Host'] = req.host
    return headers


def _parse_pause(headers, peer: str) -> float:
    """Returns for how many seconds a runner wants no requests, 0 if unread."""
    text = headers.get(_names.RETRY_AFTER)
    if text is None:
        return 0.0
    if not _DECIMAL.fullmatch(text):
        logs.event('pause_unreadable', upstream=peer, value=text[:40])
        return 0.0
    return min(float(text), PAUSE_MAX_S)


def _parse_rate_limit(headers, peer: str) -> float | None:
    """Returns the limit named in a response, NaN if it is unreadable."""
    text = headers.get(_names.RATE_LIMIT)
    if text is None:
        return None
    if not _DECIMAL.fullmatch(text):
        logs.event('limit_unreadable', upstream=peer, value=text[:40])
        return math.nan
    return float(text)


def _parse_cold_s(text: str | None) -> float | None:
    """Returns for how long a runner stays cold, ``None`` if unreadable.

    Args:
        text: What its answer says, ``None`` if it says nothing.
    """
    if text is None:
        return 0.0
    return float(text) / 1000 if _DECIMAL.fullmatch(text) else None


_ORDER_STATUSES = {
    200: supply.OrderStatus.HOLDS,
    202: supply.OrderStatus.BEGUN,
    503: supply.OrderStatus.UNKNOWN,
}


def _is_refused(exc) -> bool:
    """Whether the address refused the connection: nothing listens there."""
    return isinstance(exc, aiohttp.ClientConnectorError) and isinstance(
        exc.os_error, ConnectionRefusedError
    )


def _encode_order(order: supply.Order) -> dict:
    body = {
        'op': order.kind.value,
        'group': order.group,
        'epoch': order.epoch,
    }
    if order.kind is supply.OrderKind.JOIN:
        body['model'] = order.model
        body['members'] = list(order.members)
    if order.kind is supply.OrderKind.CLOSE:
        body['closeMode'] = 'wait' if order.finish else 'cut'
    return body

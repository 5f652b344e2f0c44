"""Tests of what one client gets: served within the limits, refused beyond."""

import asyncio
import contextlib
import types

import pytest

from plantainway import clock as clocks
from plantainway import deployment
from plantainway import platform
from plantainway.platform import _client_protocol
from plantainway.platform import _intake
from plantainway import traffic

HEAD = b'POST /x HTTP/1.1\r\nHost: h\r\n'
BODY_BYTES = 4 << 20
READ_S = 20.0
IDLE_MS = 300.0


def _with_length(body: bytes) -> bytes:
    return HEAD + b'Content-Length: %d\r\n\r\n' % len(body) + body


def _chunked(size: int, chunk: int) -> bytes:
    one = b'%x\r\n%b\r\n' % (chunk, b'x' * chunk)
    return (
        HEAD
        + b'Transfer-Encoding: chunked\r\n\r\n'
        + one * (size // chunk)
        + b'0\r\n\r\n'
    )


def _with_fields(count: int, size: int) -> bytes:
    fields = b''.join(
        b'f%d: %b\r\n' % (n, b'x' * (size // count - 9)) for n in range(count)
    )
    return b'GET /x HTTP/1.1\r\nHost: h\r\n' + fields + b'\r\n'


class _Served:
    """An ingress with the bounds of the smallest VM, and a client."""

    def __init__(self):
        self.bodies: list[bytes] = []
        self.ahead = 0  # requests that were parsed before they were begun
        self.limits = deployment.Limits()
        gateway = types.SimpleNamespace(
            handle=self._handle, limits=lambda: self.limits
        )
        clock = clocks.MonotonicClock()
        self.book = _intake.ConnectionBook(
            clock, _intake.IntakeBounds.derive(152, 1535)
        )
        self.ingress = platform.Ingress(gateway, clock, book=self.book)

    async def _handle(self, req, _sink):
        self.bodies.append(req.body)
        _book, conn = _intake.CONNECTION.get()
        self.ahead = max(self.ahead, len(conn._messages))
        return traffic.Response(200, body=b'answer')

    async def open(self):
        host, _, port = (await self.ingress.listen('127.0.0.1:0')).rpartition(
            ':'
        )
        self._task = asyncio.ensure_future(self.book.run())
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port)
        )

    async def close(self):
        self._task.cancel()
        self.writer.close()
        await self.ingress.close()

    async def read(self, count: int = 1) -> bytes:
        """Reads until some answers are complete or the connection ends."""
        data = b''
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(READ_S):
                while data.count(b'answer') < count:
                    part = await self.reader.read(65536)
                    if not part:
                        break
                    data += part
        return data


@pytest.fixture
async def served():
    """An ingress that answers each request at once."""
    found = _Served()
    await found.open()
    yield found
    await found.close()


@pytest.mark.parametrize(
    'request_bytes, size',
    [
        (_with_length(b'x' * BODY_BYTES), BODY_BYTES),
        (_chunked(BODY_BYTES, 65536), BODY_BYTES),
        (_chunked(BODY_BYTES, 512), BODY_BYTES),
        (_chunked(1 << 17, 1), 1 << 17),
        (_with_fields(100, 16384), 0),
        (_with_fields(1, 16384), 0),
    ],
    ids=['length', 'chunks', 'small-chunks', 'bytes', 'fields', 'long-field'],
)
async def test_request_within_the_limits_is_served(
    served, request_bytes, size
):
    """Guards against limits that a single request meets in calm."""
    served.writer.write(request_bytes)
    assert (await served.read()).startswith(b'HTTP/1.1 200')
    assert served.bodies == [b'x' * size]
    assert not served.book.counts


@pytest.mark.parametrize('first', [b'', _with_length(b'x' * BODY_BYTES)])
@pytest.mark.parametrize('step', [1, 40, 100])
async def test_requests_sent_ahead_are_all_answered(served, step, first):
    """Guards against requests that are dropped, or kept in numbers.

    More is read at a time after a large body.
    """
    served.writer.write(first)
    one = b'GET /x HTTP/1.1\r\nHost: h\r\nf: %b\r\n\r\n' % (b'x' * 1000)
    count = 200 // step * step + bool(first)
    for _ in range(200 // step):
        served.writer.write(one * step)
    data = await served.read(count)
    assert data.count(b'HTTP/1.1 200') == count
    assert served.ahead <= _client_protocol.MESSAGES_AHEAD_MAX + 1
    assert not served.book.counts


@pytest.mark.parametrize(
    'request_bytes, status, reason',
    [
        (_with_fields(100, 40000), 431, 'head_too_large'),
        (_with_fields(1000, 16384), 400, 'malformed'),
        (_with_length(b'x' * (BODY_BYTES + 1)), 413, ''),
        (_chunked(BODY_BYTES + 65536, 65536), 413, ''),
        (HEAD + b'Transfer-Encoding: chunked\r\n\r\nzz\r\n', 400, 'malformed'),
    ],
    ids=['head', 'fields', 'length', 'chunks', 'unreadable'],
)
async def test_request_beyond_the_limits_is_refused(
    served, request_bytes, status, reason
):
    """Guards against a process that keeps whatever it is sent."""
    served.writer.write(request_bytes)
    assert (await served.read()).split()[1] == b'%d' % status
    assert not served.bodies
    assert list(served.book.counts) == ([reason] if reason else [])


@pytest.mark.parametrize(
    'sent, begins',
    [
        (HEAD, b''),
        (HEAD + b'Content-Length: 9\r\n\r\nx', b'HTTP/1.1 408'),
    ],
    ids=['head', 'body'],
)
async def test_request_that_does_not_end_is_given_up(served, sent, begins):
    """Guards against connections that are held without end."""
    served.limits = deployment.Limits(header_ms=IDLE_MS, idle_ms=IDLE_MS)
    served.writer.write(sent)
    data = await served.read()
    assert data[: len(begins) or None] == begins
    assert not served.bodies


async def test_refused_upload_has_not_run(served):
    """Guards against a refusal of a request that runs (GHOST)."""
    served.writer.write(HEAD + b'Content-Length: 9\r\n\r\nx')
    async with asyncio.timeout(READ_S):
        while not any(
            conn.phase is _intake.Phase.BODY and conn.upload_bytes
            for conn in served.book._connections
        ):
            await asyncio.sleep(0.01)
    (conn,) = served.book._connections
    served.book._end(conn, 'upload')
    served.writer.write(b'x' * 8)
    data = await served.read()
    assert data.startswith(b'HTTP/1.1 503')
    assert b'Retry-After: 1.000' in data
    assert not served.bodies

"""Tests that bytes without end from outside are not kept.

A machine that keeps them runs out of memory, and the requests of all its
clients end with it.
"""

import asyncio
import contextlib
import tracemalloc

import pytest

from plantainway import clock as clocks
from plantainway import deployment
from plantainway import errors
from plantainway import platform
from plantainway.platform import _store
from plantainway import stores
from plantainway import supply
from plantainway import traffic

CLOCK = clocks.MonotonicClock()
CALL_S = 1.0  # after which a call that keeps all has kept too much
# The longest answer of a runner that is read, twice while it is joined, and
# what the connection holds.
KEPT_BYTES_MAX = 10 << 20
STORE_BYTES_MAX = 4 << 20
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
# What is sent once, and what follows until the connection is closed.
ENDLESS = {
    'bytes': (b'', b'\xfe' * 65536),
    'blank lines': (b'', b'\r\n' * 30000),
    'reason': (b'HTTP/1.1 200 ', b'y' * 65536),
    'field name': (b'HTTP/1.1 200 OK\r\n', b'y' * 65536),
    'field': (b'HTTP/1.1 200 OK\r\nX: ', b'y' * 65536),
    'fields': (b'HTTP/1.1 200 OK\r\n', b'X: y\r\n' * 10000),
    'interim': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 2000),
    'upgrade': (
        b'HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n',
        b'y' * 65536,
    ),
    'upgrade with 200': (
        b'HTTP/1.1 200 OK\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n',
        b'y' * 65536,
    ),
    'after no content': (b'HTTP/1.1 204 OK\r\n\r\n', b'y' * 65536),
    'length': (
        b'HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n',
        b'y' * 65536,
    ),
    'connection': (b'HTTP/1.1 200 OK\r\n\r\n', b'y' * 65536),
    'error': (b'HTTP/1.1 500 X\r\n\r\n', b'y' * 65536),
    'chunks': (CHUNKED, b'10000\r\n' + b'y' * 65536 + b'\r\n'),
    'chunk size': (CHUNKED, b'0' * 65536),
    'chunk extension': (CHUNKED + b'1;', b'y' * 65536),
    'trailer': (CHUNKED + b'0\r\nX: ', b'y' * 65536),
    'trailers': (CHUNKED + b'0\r\n', b'X: y\r\n' * 10000),
}


class EndlessServer:
    """Answers each request with bytes without end.

    Args:
        how: Key of ``ENDLESS``.
    """

    def __init__(self, how: str):
        self._head, self._filler = ENDLESS[how]

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = '%s:%d' % self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Closes the listener."""
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self._head)
            while not writer.is_closing():
                writer.write(self._filler)
                await writer.drain()
                await asyncio.sleep(0)
        writer.close()


@pytest.fixture
async def server(request):
    """A running server that answers as the parameter says."""
    found = EndlessServer(request.param)
    await found.start()
    yield found
    await found.stop()


@pytest.fixture
async def sessions():
    """A session that reuses connections and one that does not."""
    async with platform.new_session() as pooled:
        async with platform.new_session(
            connection_per_request=True
        ) as unpooled:
            yield pooled, unpooled


async def peak_bytes(call) -> int:
    """Returns how much memory was added at most while a call ran."""
    tracemalloc.start()
    try:
        with contextlib.suppress(errors.PlantainwayError, TimeoutError):
            async with asyncio.timeout(CALL_S):
                await call()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


async def _send(client, upstream):
    req = traffic.Request(
        'r', 'GET', '/x', 'h', [], b'', CLOCK.now(), CLOCK.now() + CALL_S
    )
    attempt = traffic.Attempt(req, upstream, '', CLOCK.now() + CALL_S, 1)
    await (await client.send(attempt)).read()


RUNNER_CALLS = {
    'request': _send,
    'report': lambda client, upstream: client.report(upstream),
    'health': lambda client, upstream: client.check_health(upstream, '/h'),
    'probe': lambda client, upstream: client.is_reached(upstream, '/h'),
    'order': lambda client, upstream: client.order(
        upstream, supply.Order(supply.OrderKind.LEAVE, upstream.name, 'g', 1)
    ),
}


@pytest.mark.parametrize('server', ENDLESS, indirect=True)
@pytest.mark.parametrize('call', RUNNER_CALLS)
async def test_answer_of_a_runner_without_end_is_not_kept(
    server, sessions, call
):
    """Guards against a process that runs out of memory (LOST)."""
    client = platform.RunnerClient(*sessions, CLOCK)
    upstream = deployment.Upstream(
        name='i-1',
        address=server.address,
        service='s',
        zone='a',
        slots=4,
        draining=False,
    )
    kept = await peak_bytes(lambda: RUNNER_CALLS[call](client, upstream))
    assert kept <= KEPT_BYTES_MAX


STORE_CALLS = {
    'read': lambda store: store.snapshot('servers'),
    'feed': lambda store: store.changes('servers', 1, 0.1),
    'commit': lambda store: store.commit(
        stores.Transaction('t', (), (stores.Write('k', 1),))
    ),
}


@pytest.mark.parametrize('server', ENDLESS, indirect=True)
@pytest.mark.parametrize('call', STORE_CALLS)
async def test_answer_of_the_store_without_end_is_not_kept(
    server, sessions, monkeypatch, call
):
    """Guards against a process that runs out of memory (LOST)."""
    monkeypatch.setattr(
        _store, 'ANSWER_BYTES_MAX', STORE_BYTES_MAX, raising=False
    )
    store = platform.PlatformStore(server.address, sessions[0])
    kept = await peak_bytes(lambda: STORE_CALLS[call](store))
    assert kept <= KEPT_BYTES_MAX

"""Servers that answer with bytes without end, and what is kept of them."""

import asyncio
import contextlib
import tracemalloc
import zlib

from plantainway import errors

CALL_S = 1.0  # after which a call that keeps all has kept too much
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
# The start of a compressed body, and blocks of it that hold 1 MiB of zeros.
_COMPRESSOR = zlib.compressobj(wbits=31)
GZIP_HEAD = _COMPRESSOR.compress(b'') + _COMPRESSOR.flush(zlib.Z_FULL_FLUSH)
GZIP_BLOCKS = _COMPRESSOR.compress(bytes(1 << 20)) + _COMPRESSOR.flush(
    zlib.Z_FULL_FLUSH
)
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
    'conflict': (b'HTTP/1.1 409 X\r\n\r\n', b'y' * 65536),
    'gzip': (
        b'HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n' + GZIP_HEAD,
        GZIP_BLOCKS,
    ),
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

"""Minimal HTTP/1.1 over asyncio streams, for the stand-ins and clients."""

import asyncio
import dataclasses
import socket
import struct


class ProtocolError(Exception):
    """Bytes that are no HTTP/1.1 message."""


@dataclasses.dataclass
class Message:
    """Head and body of a request or a response.

    ``is_whole`` is false if the body ended early, ``fault`` describes bytes
    that are no answer in the protocol.
    """

    first: str
    headers: dict[str, str]
    body: bytes = b''
    is_whole: bool = True
    fault: str = ''

    @property
    def method(self) -> str:
        return self.first.split(' ')[0]

    @property
    def target(self) -> str:
        return self.first.split(' ')[1]

    @property
    def status(self) -> int:
        return int(self.first.split(' ')[1])


class PatientReader:
    """Reader that gives up after a longest pause between two pieces."""

    def __init__(self, reader, pause_s: float):
        self._reader = reader
        self._pause_s = pause_s

    async def readuntil(self, mark: bytes) -> bytes:
        async with asyncio.timeout(self._pause_s):
            return await self._reader.readuntil(mark)

    async def readexactly(self, size: int) -> bytes:
        async with asyncio.timeout(self._pause_s):
            return await self._reader.readexactly(size)

    async def read(self, size: int = -1) -> bytes:
        async with asyncio.timeout(self._pause_s):
            return await self._reader.read(size)


async def read_head(reader) -> Message:
    """Reads a head; raises ``IncompleteReadError`` at the end of the input."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').rstrip().split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return Message(first, headers)


async def read_request(reader) -> Message:
    """Reads a request with its body."""
    req = await read_head(reader)
    if req.headers.get('transfer-encoding', '').lower() == 'chunked':
        await read_chunks(reader, req)
    else:
        length = int(req.headers.get('content-length', 0))
        req.body = await reader.readexactly(length)
    return req


async def read_chunks(reader, msg) -> None:
    """Reads a chunked body; records what is no chunk."""
    while True:
        line = await reader.readuntil(b'\r\n')
        try:
            size = int(line.strip().partition(b';')[0], 16)
        except ValueError:
            msg.is_whole = False
            rest = line
            try:
                async with asyncio.timeout(0.5):
                    while data := await reader.read(4096):
                        rest += data
            except (TimeoutError, ConnectionError):
                pass
            msg.fault = f'bytes within the body that are no chunk: {rest!r}'
            return
        data = await reader.readexactly(size + 2)
        if not size:
            return
        msg.body += data[:-2]


async def read_response(reader) -> Message:
    """Reads a response; a body that breaks off is not whole."""
    resp = await read_head(reader)
    while resp.first.startswith('HTTP/1.1 1'):
        resp = await read_head(reader)
    if not resp.first.startswith('HTTP/1.1 '):
        raise ProtocolError(resp.first)
    try:
        if resp.headers.get('transfer-encoding', '').lower() == 'chunked':
            await read_chunks(reader, resp)
        elif 'content-length' in resp.headers:
            length = int(resp.headers['content-length'])
            resp.body = await reader.readexactly(length)
        else:
            resp.body = await reader.read()
    except asyncio.IncompleteReadError as exc:
        resp.body += exc.partial
        resp.is_whole = False
    except ConnectionError:
        resp.is_whole = False
    return resp


def encode(first: str, headers, body: bytes = b'') -> bytes:
    """Returns the bytes of a message; adds no header."""
    lines = [first, *(f'{name}: {value}' for name, value in headers)]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


def send(writer, status: int, headers=(), body: bytes = b'') -> None:
    """Writes a response with its length."""
    headers = [*headers, ('Content-Length', str(len(body)))]
    writer.write(encode(f'HTTP/1.1 {status} X', headers, body))


def chunk(data: bytes) -> bytes:
    """Returns one chunk of a body."""
    return b'%x\r\n%s\r\n' % (len(data), data)


def reset(writer) -> None:
    """Ends a connection with a reset."""
    sock = writer.get_extra_info('socket')
    if sock is not None and writer.transport is not None:
        try:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        except OSError:
            pass
        writer.transport.abort()

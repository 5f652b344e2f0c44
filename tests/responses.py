"""HTTP responses, valid and not, and a server that sends them."""

import asyncio
import contextlib

from aiohttp import client_proto
from aiohttp import http_parser
import pytest

# Fields that parsers know by name are read otherwise than unknown ones.
NAMES = (
    'X-Other',
    'Connection',
    'Content-Length',
    'Transfer-Encoding',
    'Upgrade',
    'Keep-Alive',
)
PARSERS = {
    'c': http_parser.HttpResponseParserC,
    'python': http_parser.HttpResponseParserPy,
}
WAIT_S = 5.0
OK = 'HTTP/1.1 200 OK'
LENGTH = 'Content-Length: 2'


def response(first: str = OK, *fields: str, body: str = 'ok') -> bytes:
    """Returns a response as bytes, with a place for further fields.

    Args:
        first: The status line.
        fields: Lines of fields.
        body: What follows the head.
    """
    head = '\r\n'.join([first, '{fields}', *fields])
    return f'{head}\r\n\r\n{body}'.encode('latin-1')


def fill(data: bytes, *fields: tuple[str, str]) -> bytes:
    """Returns a response with further fields at its place for them.

    Args:
        data: The response.
        fields: Names and values.
    """
    lines = [f'{name}: {value}\r\n'.encode() for name, value in fields]
    return data.replace(b'{fields}\r\n', b''.join(lines))


def _chunked(body: str) -> bytes:
    return response(OK, 'Transfer-Encoding: chunked', body=body)


BROKEN_STATUS_LINES = {
    line: response(line, LENGTH)
    for line in (
        *(
            f'HTTP/1.1 {status} X'
            for status in (
                '000 001 099 600 999 0 20 2000 +200 -200 2x0 0x2 \xb2\xb2\xb2'
            ).split()
        ),
        'HTTP/1.1  200 OK',
        'HTTP/1.1\t200 OK',
        'HTTP/1.1 200OK',
        'HTTP/1.1',
        'HTTP/1.1 OK',
        ' HTTP/1.1 200 OK',
        '\r\nHTTP/1.1 200 OK',
        'HTTP/2.0 200 OK',
        'HTTP/0.9 200 OK',
        'HTTP/1 200 OK',
        'HTTP/11 200 OK',
        'HTTP/1.1.1 200 OK',
        'http/1.1 200 OK',
        'HTTPS/1.1 200 OK',
        'ICY 200 OK',
        'HTTP/1.1 200 O\x00K',
        'HTTP/1.1 200 O\x01K',
        'HTTP/1.1 200 O\x7fK',
        'HTTP/1.1 200 O\rK',
        'HTTP/1.1 200 OK\n',
    )
}
BROKEN_NAMES = {
    f'{line!r}': response(OK, LENGTH, line)
    for name in NAMES
    for line in (
        f'{name} : 2',
        f'{name}\t: 2',
        f'{name} x: 2',
        f'X {name}: 2',
        f' {name}: 2',
        f'\t{name}: 2',
        f'{name}\x00: 2',
        f'{name}\x01: 2',
        f'\x01{name}: 2',
        f'{name[:3]}\x0b{name[3:]}: 2',
        f'{name}\x7f: 2',
        f'{name}\xe9: 2',
        f'{name}(x): 2',
        f'"{name}": 2',
        f'{name}',
    )
} | {
    'no name': response(OK, LENGTH, ': 2'),
    'blank name': response(OK, LENGTH, ' : 2'),
    'first name after a blank': response(OK + '\r\n X-Other: 2', LENGTH),
    'only length with a blank': response(OK, 'Content-Length : 2'),
    'only coding with a blank': response(
        OK, 'Transfer-Encoding : chunked', body='2\r\nok\r\n0\r\n\r\n'
    ),
}
BROKEN_VALUES = {
    f'{name}: {value!r}': response(OK, LENGTH, f'{name}: {value}')
    for name in ('X-Other', 'Connection', 'Upgrade', 'Keep-Alive')
    for value in (
        'a\x00b',
        'a\x01b',
        '\x01',
        'a\x0bb',
        'a\x0cb',
        'a\x1fb',
        'a\x7fb',
        'a\rb',
        '\ra',
        'a\nX-More: b',
        'a\n\nb',
        'a\r\n b',
        'a\r\n\tb',
        'a\r\r',
    )
}
BROKEN_FRAMING = {
    f'{lines}': response(OK, *lines)
    for lines in (
        *(
            (f'Content-Length: {value}',)
            for value in (
                '+2 -2 2x 0x2 2.0 2,3 2;2 "2" \xb2 2_0 x'.split()
                + ['', '2 2', '2\x00', '2\x0b', '9' * 30]
            )
        ),
        (LENGTH, 'Content-Length: 3'),
        (LENGTH, 'Transfer-Encoding: chunked'),
        ('Transfer-Encoding: chunked', LENGTH),
        ('Transfer-Encoding:',),
    )
} | {
    f'Transfer-Encoding: {value!r}': response(
        OK,
        f'Transfer-Encoding: {value}',
        body='2\r\nok\r\n0\r\n\r\n',
    )
    for value in (
        'gzip',
        'identity',
        'gzip, chunked',
        'chunked, gzip',
        'chunked, chunked',
        'chunked\x0b',
        'xchunked',
        'chunked;q=1',
        '"chunked"',
        'chunked\r\nTransfer-Encoding: chunked',
        'chunked\r\nTransfer-Encoding: gzip',
    )
}
BROKEN_FRAMING |= {
    'chunks in HTTP/1.0': response(
        'HTTP/1.0 200 OK',
        'Transfer-Encoding: chunked',
        body='2\r\nok\r\n0\r\n\r\n',
    ),
    '204 with a body': response('HTTP/1.1 204 X', LENGTH),
    '204 with chunks': response(
        'HTTP/1.1 204 X',
        'Transfer-Encoding: chunked',
        body='2\r\nok\r\n0\r\n\r\n',
    ),
    '101 that was not asked for': response(
        'HTTP/1.1 101 X', 'Connection: upgrade', 'Upgrade: x'
    ),
    'interim response with a body': response(
        'HTTP/1.1 100 X\r\nContent-Length: 2\r\n\r\nok' + OK, LENGTH
    ),
    'interim response with a broken name': response(
        'HTTP/1.1 103 X\r\nX : 2\r\n\r\n' + OK, LENGTH
    ),
    'interim status 099': response('HTTP/1.1 099 X\r\n\r\n' + OK, LENGTH),
    'bare LF in all lines': response(OK, LENGTH).replace(b'\r\n', b'\n'),
    'bare LF at the end': response(OK, LENGTH, body='').replace(
        b'\r\n\r\n', b'\r\n\n'
    )
    + b'ok',
}
BROKEN_HEADS = (
    BROKEN_STATUS_LINES | BROKEN_NAMES | BROKEN_VALUES | BROKEN_FRAMING
)
# Of bodies in chunks; the first event of a stream is valid in each.
EVENT = 'id: 1\ndata: word1\n\n'
FIRST_CHUNK = f'{len(EVENT):x}\r\n{EVENT}\r\n'
BROKEN_CHUNKS = {
    repr(body): _chunked(FIRST_CHUNK + body)
    for body in (
        'x\r\nok\r\n0\r\n\r\n',
        '\r\nok\r\n0\r\n\r\n',
        '-2\r\nok\r\n0\r\n\r\n',
        '+2\r\nok\r\n0\r\n\r\n',
        '0x2\r\nok\r\n0\r\n\r\n',
        ' 2\r\nok\r\n0\r\n\r\n',
        '2 2\r\nok\r\n0\r\n\r\n',
        '2_0\r\nok\r\n0\r\n\r\n',
        '2\x00\r\nok\r\n0\r\n\r\n',
        '2\nok\r\n0\r\n\r\n',
        '2;\nok\r\n0\r\n\r\n',
        '2\r\nokay\r\n0\r\n\r\n',
        '2\r\nok\n0\r\n\r\n',
        '2\r\nok\r0\r\n\r\n',
        '2\r\nok0\r\n\r\n',
        'f' * 30 + '\r\nok\r\n0\r\n\r\n',
        '0\r\nX : 1\r\n\r\n',
        '0\r\nX y: 1\r\n\r\n',
        '0\r\n X: 1\r\n\r\n',
        '0\r\nX\x01: 1\r\n\r\n',
        '0\r\nX: a\x00b\r\n\r\n',
        '0\r\nX: a\x01b\r\n\r\n',
        '0\r\nContent-Length : 1\r\n\r\n',
        '0\r\nConnection\x01: 1\r\n\r\n',
        '0\r\nX\r\n\r\n',
        '0\r\n: 1\r\n\r\n',
    )
}
BROKEN = BROKEN_HEADS | BROKEN_CHUNKS

# Each with its status and body.
VALID = {
    'length': (response(OK, LENGTH), 200, b'ok'),
    'no content': (response(OK, 'Content-Length: 0', body=''), 200, b''),
    'zeros before a length': (
        response(OK, 'Content-Length: 002'),
        200,
        b'ok',
    ),
    'no reason': (response('HTTP/1.1 200 ', LENGTH), 200, b'ok'),
    'any reason': (
        response('HTTP/1.1 200 \xe9 \t!', LENGTH),
        200,
        b'ok',
    ),
    'HTTP/1.0': (response('HTTP/1.0 200 OK', LENGTH), 200, b'ok'),
    'unknown status': (response('HTTP/1.1 299 X', LENGTH), 299, b'ok'),
    'largest status': (response('HTTP/1.1 599 X', LENGTH), 599, b'ok'),
    'conflict': (response('HTTP/1.1 409 X', LENGTH), 409, b'ok'),
    '204': (response('HTTP/1.1 204 X', body=''), 204, b''),
    '204 of length 0': (
        response('HTTP/1.1 204 X', 'Content-Length: 0', body=''),
        204,
        b'',
    ),
    '304 of some length': (
        response('HTTP/1.1 304 X', LENGTH, body=''),
        304,
        b'',
    ),
    '304 of some chunks': (
        response('HTTP/1.1 304 X', 'Transfer-Encoding: chunked', body=''),
        304,
        b'',
    ),
    'token characters': (
        response(OK, LENGTH, "!#$%&'*+-.^_`|~09aZ: 1"),
        200,
        b'ok',
    ),
    'any value': (
        response(OK, LENGTH, 'X: \t \xe9:a"\t b \t', 'Y:', 'Z:1'),
        200,
        b'ok',
    ),
    'blanks around a length': (
        response(OK, 'Content-Length: \t2 \t'),
        200,
        b'ok',
    ),
    'known fields': (
        response(
            OK, LENGTH, 'Connection: keep-alive', 'Keep-Alive: timeout=5'
        ),
        200,
        b'ok',
    ),
    'close': (response(OK, LENGTH, 'Connection: close'), 200, b'ok'),
    'interim responses': (
        b'HTTP/1.1 100 Continue\r\n\r\n'
        b'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n'
        + response(OK, LENGTH),
        200,
        b'ok',
    ),
    'chunks': (
        _chunked('1\r\no\r\n01\r\nk\r\n0\r\n\r\n'),
        200,
        b'ok',
    ),
    'case of the coding': (
        response(
            OK, 'transfer-encoding: Chunked', body='2\r\nok\r\n0\r\n\r\n'
        ),
        200,
        b'ok',
    ),
    'blanks around the coding': (
        response(
            OK,
            'Transfer-Encoding: \t chunked\t ',
            body='2\r\nok\r\n0\r\n\r\n',
        ),
        200,
        b'ok',
    ),
    'same length twice': (response(OK, LENGTH, LENGTH), 200, b'ok'),
    'list of the same length': (
        response(OK, 'Content-Length: 2, 2'),
        200,
        b'ok',
    ),
    'offer of an upgrade': (
        response(OK, LENGTH, 'Connection: upgrade', 'Upgrade: x'),
        200,
        b'ok',
    ),
    'bytes of a chunk extension': (
        _chunked('2;\x01\xe9 "\r\nok\r\n0\r\n\r\n'),
        200,
        b'ok',
    ),
    'blanks after a size': (_chunked('2 \t\r\nok\r\n0\r\n\r\n'), 200, b'ok'),
    'hexadecimal size': (
        _chunked('A\r\n0123456789\r\na\r\n0123456789\r\n0\r\n\r\n'),
        200,
        b'01234567890123456789',
    ),
    'chunk extension': (
        _chunked('2;a="b"\r\nok\r\n0;c\r\n\r\n'),
        200,
        b'ok',
    ),
    'trailer': (
        _chunked('2\r\nok\r\n0\r\nX: 1\r\nY:\r\n\r\n'),
        200,
        b'ok',
    ),
}


@pytest.fixture(params=PARSERS)
def parser(request, monkeypatch):
    """Has clients use one parser of the library, then the other."""
    monkeypatch.setattr(
        client_proto, 'HttpResponseParser', PARSERS[request.param]
    )
    return request.param


class RawServer:
    """Sends bytes in answer to each request, whose body it ignores.

    Args:
        data: The bytes.

    Attributes:
        answer: Returns the bytes for the head of a request.
        requests: Heads of the requests received.
        connections: How many were accepted.
    """

    def __init__(self, data: bytes):
        self.data = data
        self.answer = lambda _head: self.data
        self.requests: list[bytes] = []
        self.connections = 0
        self._closed = asyncio.Event()
        self._writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = '%s:%d' % self._server.sockets[0].getsockname()[:2]
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def until_closed(self) -> None:
        """Waits until a client has closed its connection."""
        async with asyncio.timeout(WAIT_S):
            await self._closed.wait()

    async def _serve(self, reader, writer) -> None:
        self._writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            self.connections += 1
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.requests.append(head)
                writer.write(self.answer(head))
        self._closed.set()
        writer.close()

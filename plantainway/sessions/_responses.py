"""Validates HTTP responses and writes them anew (RFC 9110, RFC 9112).

The parsers of the client library accept malformed responses, and each reads
them in its own way: whether a line is dropped, joined to another or taken for
framing depends on the parser and on the name of the field. They get what has
one reading only.
"""

import re

import aiohttp
import h11

HEAD_BYTES_MAX = 1 << 20  # the client library has lower limits for each line
INTERIM_RESPONSES_MAX = 16  # servers have a reason for one or two
STATUS_MAX = 599
STATUS_NO_CONTENT = 204
STATUS_NOT_MODIFIED = 304  # has the framing that it had with a body
_HEAD_END = b'\r\n\r\n'
# A bare LF or CR, and line folding, which senders must not use.
_BAD_LINE = re.compile(rb'(?<!\r)\n|\r(?=[^\n])|\r\n[ \t]')
_CONTROL = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')  # all but HTAB
_REQUESTS = {
    method: h11.Request(method=method, target='/', headers=[('Host', 'h')])
    for method in ('GET', 'HEAD')
}


class InvalidResponseError(aiohttp.ClientPayloadError):
    """A response violates the protocol."""


class ResponseNormalizer:
    """Writes the response to one request anew, with its interim responses.

    Line ends, blanks around values, chunk extensions and trailers are lost.

    Args:
        has_body: Whether the response may have a body; that to a HEAD request
            has none.

    Attributes:
        is_complete: Whether the response has ended. One without a length ends
            with its connection, which is not recorded here.
        rest: Bytes that arrived last and follow the response.
    """

    def __init__(self, has_body: bool = True):
        self._conn = h11.Connection(h11.CLIENT)
        self._conn.send(_REQUESTS['GET' if has_body else 'HEAD'])
        self._conn.send(h11.EndOfMessage())
        self._head = bytearray()
        self._scanned = 0  # bytes of the head that hold no bad line
        self._interim_responses = 0
        self._has_head = False
        self._has_body = has_body
        self._is_chunked = False
        self.is_complete = False
        self.rest = b''

    def receive(self, data: bytes) -> bytes:
        """Validates the next bytes and returns what they stand for.

        Args:
            data: What has arrived, of any length.

        Returns:
            The next bytes of the response as it is written anew.

        Raises:
            InvalidResponseError: If the response is not valid.
        """
        if self.is_complete:
            self.rest = data
            return b''
        parts = []
        if not self._has_head:
            data = self._receive_heads(data, parts)
        if self._has_head:
            self._receive_body(data, parts)
        return b''.join(parts)

    def _receive_heads(self, data: bytes, parts: list) -> bytes:
        """Reads heads up to the final one; returns what follows it."""
        self._head += data
        while not self._has_head:
            end = self._head.find(_HEAD_END, self._scanned)
            if end < 0:
                self._check_lines(len(self._head))
                self._scanned = max(len(self._head) - len(_HEAD_END) + 1, 0)
                return b''
            end += len(_HEAD_END)
            self._check_lines(end)
            self._conn.receive_data(bytes(self._head[:end]))
            del self._head[:end]
            self._scanned = 0
            parts.append(self._write_head(self._next_event()))
        rest = bytes(self._head)
        self._head.clear()
        return rest

    def _check_lines(self, end: int) -> None:
        bad_line = _BAD_LINE.search(self._head, self._scanned, end)
        if bad_line:
            raise InvalidResponseError(
                f'line end {bad_line.group()!r} in the head'
            )
        if end > HEAD_BYTES_MAX:
            raise InvalidResponseError(f'head over {HEAD_BYTES_MAX} bytes')

    def _write_head(self, head) -> bytes:
        _check_head(head)
        if isinstance(head, h11.Response):
            self._has_head = True
            self._is_chunked = (
                self._has_body
                and head.status_code != STATUS_NOT_MODIFIED
                and b'transfer-encoding' in dict(head.headers)
            )
        else:
            self._interim_responses += 1
            if self._interim_responses > INTERIM_RESPONSES_MAX:
                raise InvalidResponseError(
                    f'over {INTERIM_RESPONSES_MAX} interim responses'
                )
        version = b'1.0' if head.http_version == b'1.0' else b'1.1'
        lines = [b'HTTP/%b %d %b' % (version, head.status_code, head.reason)]
        lines += [b'%b: %b' % field for field in head.headers.raw_items()]
        return b'\r\n'.join(lines) + _HEAD_END

    def _receive_body(self, data: bytes, parts: list) -> None:
        if data:  # none would stand for the end of the connection
            self._conn.receive_data(data)
        found = []
        event = self._next_event()
        while isinstance(event, h11.Data):
            found.append(event.data)
            event = self._next_event()
        body = b''.join(found)
        if self._is_chunked and body:
            body = b'%x\r\n%b\r\n' % (len(body), body)
        parts.append(body)
        if isinstance(event, h11.EndOfMessage):
            _check_values(event.headers)
            if self._is_chunked:
                parts.append(b'0\r\n\r\n')
            self.is_complete = True
            self.rest, _is_closed = self._conn.trailing_data

    def _next_event(self):
        try:
            return self._conn.next_event()
        except h11.RemoteProtocolError as exc:
            raise InvalidResponseError(str(exc))


def _check_head(head) -> None:
    """Checks what h11 leaves to its callers.

    Raises:
        InvalidResponseError: If a head is not valid.
    """
    status, version = head.status_code, head.http_version
    if status > STATUS_MAX:
        raise InvalidResponseError(f'status {status}')
    if not version.startswith(b'1.'):
        raise InvalidResponseError(f'HTTP version {version!r}')
    _check_values([(b'the reason phrase', head.reason), *head.headers])
    fields = dict(head.headers)  # h11 rejects lengths that differ
    is_chunked = b'transfer-encoding' in fields
    if is_chunked and (b'content-length' in fields or version == b'1.0'):
        raise InvalidResponseError(
            'Transfer-Encoding with Content-Length or in HTTP/1.0'
        )
    if status < 200 or status == STATUS_NO_CONTENT:
        if is_chunked or int(fields.get(b'content-length', 0)):
            raise InvalidResponseError(f'framing of a body in status {status}')


def _check_values(headers) -> None:
    for name, value in headers:
        if _CONTROL.search(value):
            raise InvalidResponseError(f'control byte in {name.decode()}')

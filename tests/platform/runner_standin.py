"""Stand-in for a runner: requests, streams, orders, groups and reports.

It writes raw HTTP to its connections, so that tests can make it violate the
protocol.
"""

import asyncio
import contextlib
import dataclasses
import json
import socket
import struct

from tests import responses

EVENT_S = 0.01
DRIP_S = 0.1
ENDLESS_PAUSE_S = 0.002  # about 30 MB/s
ENTRY_TTL_S = 0.3  # the entry of a runner that has crashed goes away
RESTART_S = 0.6  # after a crash by a request


@dataclasses.dataclass
class ReceivedRequest:
    """A request as the runner received it.

    ``cancelled`` is set once the client closes the connection of a request
    that is left unanswered or whose answer does not end; ``sent_bytes``
    counts the bytes of such an answer. ``at`` is in seconds of the event
    loop.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    cancelled: bool = False
    sent_bytes: int = 0
    at: float = 0.0


@dataclasses.dataclass
class BrokenAnswer:
    """An answer whose body ends early; several runners may share one.

    ``remaining`` is how many more requests are answered like this.
    ``framing`` is ``length`` (of the complete body), ``short_length`` (of the
    bytes that are sent), ``chunks`` or ``none``. ``cut`` tells where the body
    ends: ``before`` its first byte, ``between`` two events, ``inside`` an
    event or a plain body, or at its ``end``. ``close`` tells how the
    connection ends: ``finish`` sends the last chunk first, ``reset_at_once``
    resets it without a pause after the body.
    """

    framing: str
    cut: str
    close: str
    status: int = 200
    remaining: int = 1


@dataclasses.dataclass
class RawAnswer:
    """An answer as bytes; several runners may share one.

    ``data`` has a place for the runner's own fields and ``fields``. The
    connection is left open. ``remaining`` is how many more requests are
    answered like this.
    """

    data: bytes
    remaining: int = 1
    fields: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass
class RunnerFaults:
    """How the next requests are answered.

    ``answer`` is one of

    - ``whole``: a complete answer;
    - ``unframed``: a body without a length, which ends with the connection;
    - ``unframed_reset``: the same, but the connection is reset;
    - ``truncated``: a body shorter than its Content-Length;
    - ``other_id``: the Request-Id of another request;
    - ``not_run``: a refusal with Not-Executed;
    - ``unnamed_refusal``: such a refusal without Request-Id, although the
      request runs;
    - ``refusal_again``: one refusal, and on its connection a copy of it with
      the id of the next request, which runs; then complete answers;
    - ``error``: status 500;
    - ``error_truncated``: status 500 with a truncated body;
    - ``reset``: a connection reset before any answer;
    - ``hang``: no answer;
    - ``interim``: two interim answers before a complete one;
    - ``endless_head``, ``endless_field``, ``endless_fields``,
      ``endless_interim``: bytes without a line end, a header field, header
      fields or interim answers until the client closes the connection;
    - ``endless_body``, ``endless_refusal``, ``endless_error``: the body of a
      success, of a refusal with Not-Executed or of status 500 does not end.

    ``stream_end`` is ``whole`` for a complete stream. Otherwise the stream
    ends after ``events`` events: with a connection reset (``reset``), with a
    part of an event and a reset (``torn``), or with an open connection that
    stays idle (``silent``) or gets one byte of an event every ``DRIP_S``
    (``drip``). Events come every ``event_s``; ``silence_s`` is how long a
    stream stays silent after ``silent_after`` events, before it goes on.
    ``broken``, then ``raw`` go before all of these. Prompts are read one after
    the other, each for ``prefill_s``.
    A complete plain answer comes after ``answer_s``.
    The runner crashes when it is about to send the first event of a request
    whose prompt has ``crash_part``, or any answer to one whose body is
    ``crash_body``, and starts again after ``RESTART_S``. All answers name
    ``rate_limit`` and ``cold_ms``, unless they are empty, and refusals
    ``retry_after``; all have ``leaving`` as their Server-Leaving.
    """

    raw: RawAnswer | None = None
    broken: BrokenAnswer | None = None
    crash_part: str = ''
    crash_body: bytes = b''
    rate_limit: str = ''
    cold_ms: str = ''
    retry_after: str = ''
    leaving: str = ''
    answer: str = 'whole'
    event_s: float = EVENT_S
    events: int = 5
    stream_end: str = 'whole'
    silence_s: float = 0.0
    silent_after: int = 1
    prefill_s: float = 0.0
    answer_s: float = 0.0


class RunnerStandIn:
    """One runner on a port of its own.

    Args:
        name: Name of this incarnation.
        service: Service that it belongs to.
        store: Store stand-in in which it registers, ``None`` for none.
        model: Model that it serves as a group of one, empty for a plain
            runner.
        events: Number of events in a complete stream.
    """

    def __init__(self, name, service='s1', store=None, model='', events=5):
        self.name = name
        self.service = service
        self.store = store
        self.faults = RunnerFaults()
        self.events = events
        self.started_ms = 1700000000000
        self.model = model
        self.domain = 'd0'
        self.zone = 'a'
        self.staged: list[str] = []
        self.group: dict | None = None
        self.seq = 0
        self.is_cut_from_store = False
        self.cold_left_ms = 0
        self.seen: list[ReceivedRequest] = []
        self.ran: list[str] = []  # ids of requests that a refusal denies
        self._refusals: list = []
        self.orders: list[dict] = []
        self.newest_epoch = 0
        self.body = b'the answer of ' + name.encode()
        self.crashes = 0
        self.reports = 0
        self.health_checks = 0
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._prefill = asyncio.Lock()
        self.silent_for: set[str] = set()  # addresses that get no bytes
        self._silenced: set[asyncio.StreamWriter] = set()
        self.address = ''

    async def start(self, port: int = 0) -> None:
        """Starts to listen and registers in the store.

        Args:
            port: Port to listen on, 0 for a free one.
        """
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        self.write_entry()

    async def stop(self) -> None:
        """Aborts all connections, as a crash does."""
        for task in self._tasks:
            task.cancel()
        self._close()

    def _crash(self) -> None:
        """Aborts all connections, and starts again after a pause."""
        self.crashes += 1
        self._close()
        task = asyncio.ensure_future(self._restart())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart(self) -> None:
        await asyncio.sleep(ENTRY_TTL_S)
        self.store.put('servers', self.name, None)
        await asyncio.sleep(RESTART_S - ENTRY_TTL_S)
        self.started_ms += 1000
        self.group, self.seq, self.newest_epoch = None, 0, 0
        await self.start(int(self.address.rpartition(':')[2]))

    def _close(self) -> None:
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def is_running(self) -> bool:
        """Returns whether it listens."""
        return self._server is not None and self._server.is_serving()

    def reset_connections(self, source: str, if_silent=False) -> None:
        """Resets the connections from an address.

        Args:
            source: IP address.
            if_silent: Whether to reset only those that were silent.
        """
        for writer in list(self._silenced if if_silent else self._writers):
            if _source(writer) == source:
                _reset(writer)

    async def _wait_if_silent(self, writer) -> None:
        if _source(writer) in self.silent_for:
            self._silenced.add(writer)
            try:
                while not writer.is_closing():
                    await asyncio.sleep(EVENT_S)
            finally:
                self._silenced.discard(writer)
            raise _Closed

    def write_entry(self, state: str = 'ready') -> None:
        """Writes its entry to the store.

        Args:
            state: ``ready`` or ``draining``.
        """
        if self.store is None or self.is_cut_from_store:
            return
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'slots': 4,
            'state': state,
            'born': self.started_ms,
            'domain': self.domain,
            'staged': self.staged,
            'seq': self.seq,
            'coldLeftMs': self.cold_left_ms,
        }
        if self.group is not None:
            entry['group'] = self.group
            entry['models'] = [{'name': self.model, 'version': 1}]
        self.store.put('servers', self.name, entry)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                await self._serve_one(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, _Closed):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def _serve_one(self, reader, writer) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode().rstrip().split('\r\n')
        method, target, _version = first.split(' ')
        headers = {}
        for line in lines:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get('content-length', 0))
        body = await reader.readexactly(length)
        await self._wait_if_silent(writer)
        if target == '/plantainway/report':
            self.reports += 1
            self._send_json(writer, 200, self._report())
            return
        if target == '/healthz':
            self.health_checks += 1
            _send(writer, 200, self._named([('Instance-Id', self.name)]), b'')
            return
        expected = headers.get('expect-instance', self.name)
        if expected != self.name:
            names = [('Instance-Id', self.name)]
            if 'request-id' in headers:
                names.append(('Request-Id', headers['request-id']))
            _send(writer, 421, self._named(names), b'')
            return
        if target == '/plantainway/order':
            status = self._order(json.loads(body))
            self._send_json(writer, status, {})
            return
        seen = ReceivedRequest(method, target, headers, body)
        seen.at = asyncio.get_running_loop().time()
        self.seen.append(seen)
        await self._answer(reader, writer, seen)

    def _report(self) -> dict:
        report = {
            'phase': 'both',
            'models': [],
            'busy': False,
            'seq': self.seq,
            'born': self.started_ms,
            'queued': 0,
            'active': 0,
        }
        if self.group is not None:
            report['group'] = self.group
            report['models'] = [{'name': self.model, 'version': 1}]
        return report

    def _order(self, order: dict) -> int:
        """Carries out an order at once and returns the HTTP status."""
        self.orders.append(order)
        op = order['op']
        epoch, name = order['epoch'], order['group']
        if op == 'join':
            if epoch < self.newest_epoch:
                return 412
            self.newest_epoch = epoch
            self.seq += 1
            self.model = order['model']
            self.staged = [order['model']]
            self.group = {
                'name': name,
                'epoch': epoch,
                'rank': order['members'].index(self.name),
                'state': 'ready',
            }
        else:
            own_group = self.group or {}
            if (own_group.get('name'), own_group.get('epoch')) != (
                name,
                epoch,
            ):
                return 200 if op == 'leave' else 409
            if op == 'open':
                if own_group['rank'] != 0 or own_group['state'] != 'ready':
                    return 409
                own_group['state'] = 'open'
            elif op == 'close':
                own_group['state'] = 'ready'
            elif op == 'leave':
                self.group = None
        self.write_entry()
        return 202

    def _send_json(self, writer, status, value) -> None:
        body = json.dumps(value).encode()
        headers = self._named([('Content-Type', 'application/json')])
        _send(writer, status, headers, body)

    def _named(self, headers) -> list:
        named = [
            ('Server-Limit', self.faults.rate_limit),
            ('Server-Leaving', self.faults.leaving),
            ('Cold-Ms', self.faults.cold_ms),
        ]
        return [*headers, *(item for item in named if item[1])]

    async def _answer(self, reader, writer, seen) -> None:
        request_id = seen.headers.get('request-id', '')
        headers = [
            ('Request-Id', request_id),
            ('Server-Stamp', f'stamp-{self.name}'),
        ]
        headers = self._named(headers)
        answer_mode = self.faults.answer
        raw, broken = self.faults.raw, self.faults.broken
        if broken is not None and broken.remaining > 0:
            broken.remaining -= 1
            await self._send_broken(writer, seen, headers, broken)
        elif raw is not None and raw.remaining > 0:
            raw.remaining -= 1
            writer.write(responses.fill(raw.data, *headers, *raw.fields))
            await self._wait_for_close(reader, seen)
        elif self._crashes_on(seen):
            await asyncio.sleep(EVENT_S)
            self._crash()
            raise _Closed
        elif answer_mode == 'not_run':
            self._refuse(writer, request_id)
        elif answer_mode == 'unnamed_refusal':
            _send(writer, 503, self._named([('Not-Executed', '1')]), b'')
            self.ran.append(request_id)
        elif answer_mode == 'refusal_again' and not self._refusals:
            self._refuse(writer, request_id)
            self._refusals.append(writer)
        elif answer_mode == 'refusal_again' and writer in self._refusals:
            self.ran.append(request_id)
            self._refuse(writer, request_id)
            await asyncio.sleep(EVENT_S)
            _send(writer, 200, headers, self.body)
        elif answer_mode == 'error':
            _send(writer, 500, headers, b'failed')
        elif answer_mode == 'error_truncated':
            headers.append(('Content-Length', '100'))
            _send(writer, 500, headers, b'failed', framed=False)
            writer.close()
            raise _Closed
        elif answer_mode == 'reset':
            _reset(writer)
            raise _Closed
        elif answer_mode == 'interim':
            for status in (100, 103):
                writer.write(b'HTTP/1.1 %d X\r\n\r\n' % status)
            _send(writer, 200, headers, self.body)
        elif answer_mode == 'hang':
            await self._wait_for_close(reader, seen)
        elif answer_mode in _ENDLESS:
            await self._send_without_end(writer, seen, headers, answer_mode)
        elif answer_mode == 'other_id':
            headers[0] = ('Request-Id', 'another')
            _send(writer, 200, headers, self.body)
        elif self.model:
            await self._stream(reader, writer, seen, headers)
        elif answer_mode in ('whole', 'refusal_again'):
            if self.faults.answer_s:
                await asyncio.sleep(self.faults.answer_s)
            _send(writer, 200, headers, self.body)
        elif answer_mode == 'truncated':
            headers.append(('Content-Length', str(len(self.body) + 10)))
            _send(writer, 200, headers, self.body, framed=False)
            writer.close()
            raise _Closed
        elif answer_mode == 'unframed':
            _send(writer, 200, headers, self.body, framed=False)
            writer.close()
            raise _Closed
        elif answer_mode == 'unframed_reset':
            _send(writer, 200, headers, self.body, framed=False)
            await asyncio.sleep(EVENT_S)
            _reset(writer)
            raise _Closed

    def _crashes_on(self, seen) -> bool:
        return bool(seen.body) and seen.body == self.faults.crash_body

    def _refuse(self, writer, request_id: str) -> None:
        headers = [('Request-Id', request_id), ('Not-Executed', '1')]
        if self.faults.retry_after:
            headers.append(('Retry-After', self.faults.retry_after))
        _send(writer, 503, self._named(headers), b'')

    async def _send_broken(self, writer, seen, headers, broken) -> None:
        whole, sent = self.body, {'before': 0, 'inside': 5}.get(broken.cut)
        if self.model and broken.status == 200:
            headers.append(('Content-Type', 'text/event-stream'))
            first = int(seen.headers.get('last-event-id', 0)) + 1
            events = [event(n) for n in range(first, self.events + 1)]
            whole = b''.join(events)
            if broken.cut in ('between', 'inside'):
                torn = 5 if broken.cut == 'inside' else 0
                sent = len(events[0]) + torn
        body = whole[:sent]
        if broken.framing.endswith('length'):
            framed = whole if broken.framing == 'length' else body
            headers.append(('Content-Length', str(len(framed))))
        elif broken.framing == 'chunks':
            headers.append(('Transfer-Encoding', 'chunked'))
        _send(writer, broken.status, headers, b'', framed=False)
        if broken.framing == 'chunks' and body:
            _chunk(writer, body)
        else:
            writer.write(body)
        if broken.framing == 'chunks' and broken.close == 'finish':
            writer.write(b'0\r\n\r\n')
        await writer.drain()
        if broken.close != 'reset_at_once':
            await asyncio.sleep(EVENT_S)
        if broken.close.startswith('reset'):
            _reset(writer)
        else:
            writer.close()
        raise _Closed

    async def _wait_for_close(self, reader, seen) -> None:
        await reader.read(1)
        seen.cancelled = True
        raise _Closed

    async def _send_without_end(self, writer, seen, headers, mode) -> None:
        status, filler = _ENDLESS[mode]
        if status:
            if mode == 'endless_refusal':
                headers = [headers[0], ('Not-Executed', '1')]
            _send(writer, status, headers, b'', framed=False)
        elif mode in ('endless_field', 'endless_fields'):
            writer.write(b'HTTP/1.1 200 OK\r\nX: y')
        try:
            while not writer.is_closing():
                writer.write(filler)
                await writer.drain()
                seen.sent_bytes += len(filler)
                await asyncio.sleep(ENDLESS_PAUSE_S)
        except ConnectionError:
            pass
        seen.cancelled = True
        raise _Closed

    async def _stream(self, reader, writer, seen, headers) -> None:
        headers.append(('Content-Type', 'text/event-stream'))
        headers.append(('Transfer-Encoding', 'chunked'))
        _send(writer, 200, headers, b'', framed=False)
        prefix = seen.headers.get('prefix-hash', '').split(',')
        if self.faults.crash_part in [
            item.partition(':')[0] for item in prefix[:-1]
        ]:
            await asyncio.sleep(EVENT_S)
            self._crash()
            raise _Closed
        first = int(seen.headers.get('last-event-id', 0)) + 1
        is_interrupted = self.faults.stream_end != 'whole'
        last = self.events
        if is_interrupted:
            last = min(first + self.faults.events - 1, self.events)
        if self.faults.prefill_s:
            async with self._prefill:
                await asyncio.sleep(self.faults.prefill_s)
        silence_s = self.faults.silence_s
        for number in range(first, last + 1):
            if silence_s and number == first + self.faults.silent_after:
                await asyncio.sleep(silence_s)
            await self._wait_if_silent(writer)
            _chunk(writer, event(number))
            await writer.drain()
            await asyncio.sleep(self.faults.event_s)
        while self.faults.stream_end == 'drip':
            _chunk(writer, b'x')
            await writer.drain()
            await asyncio.sleep(DRIP_S)
        if self.faults.stream_end == 'torn':
            _chunk(writer, b'id: 99\ndata: to')
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        if self.faults.stream_end == 'silent':
            await self._wait_for_close(reader, seen)
        if is_interrupted:
            _reset(writer)
            raise _Closed
        writer.write(b'0\r\n\r\n')


# Status, 0 for none, and the bytes that are sent again and again.
_ENDLESS = {
    'endless_head': (0, b'\xfe' * 65536),
    'endless_field': (0, b'y' * 65536),
    'endless_fields': (0, b'\r\nX: y' * 10000),
    'endless_interim': (0, b'HTTP/1.1 100 Continue\r\n\r\n' * 2000),
    'endless_body': (200, b'z' * 65536),
    'endless_refusal': (503, b'z' * 65536),
    'endless_error': (500, b'z' * 65536),
}


class _Closed(Exception):
    """Ends the handler of a connection that is closed."""


def event(number: int) -> bytes:
    """Returns an event of a stream as bytes.

    Args:
        number: Id of the event.
    """
    return b'id: %d\ndata: word%d\n\n' % (number, number)


def _source(writer) -> str:
    return (writer.get_extra_info('peername') or ('',))[0]


def _reset(writer) -> None:
    """Closes a connection with a TCP reset instead of a regular end."""
    sock = writer.get_extra_info('socket')
    linger = struct.pack('ii', 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def _chunk(writer, data: bytes) -> None:
    writer.write(b'%x\r\n%s\r\n' % (len(data), data))


def _send(writer, status, headers, body, framed: bool = True) -> None:
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in headers]
    if framed:
        lines.append(f'Content-Length: {len(body)}')
    writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)

"""Stand-ins of the store and of plain runners, node processes and a client.

Standard library only. Everything listens on loopback addresses. One process
holds the stand-ins and the clients; the nodes are processes of their own,
started with the command and the settings template of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
KEY = 'key-of-tenant-1'
TENANT = 'tenant-1'
BOUNDS = {
    'graceS': 8,
    'retryBudgetRatio': 0.2,
    'retryBudgetSlack': 283,
    'budgetWindowS': 10,
}


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._start = time.monotonic()

    def line(self, text: str) -> None:
        self._file.write(f'{time.monotonic() - self._start:8.3f} {text}\n')
        self._file.flush()


# Messages.


async def read_head(reader):
    """Returns the first line and the fields of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').rstrip().split('\r\n')
    fields = {}
    for line in lines:
        name, _, value = line.partition(':')
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader, fields) -> bytes:
    """Returns a body with a length or in chunks."""
    if fields.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while size := int((await reader.readline()).split(b';')[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        return b''.join(parts)
    return await reader.readexactly(int(fields.get('content-length', 0)))


def message(first: str, fields, body: bytes = b'', length=True) -> bytes:
    """Returns a message as bytes."""
    lines = [first] + [f'{name}: {value}' for name, value in fields]
    if length:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


def reset(writer) -> None:
    """Closes a connection by a TCP reset."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()


class Server:
    """Listener whose connections carry one request after the other."""

    def __init__(self):
        self.address = ''
        self._server = None
        self._writers = set()

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(
            self._serve, HOST, port, limit=1 << 22
        )
        self.address = '%s:%d' % self._server.sockets[0].getsockname()

    def stop(self) -> None:
        """Ends the listener and all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _version = first.split(' ')
                await self.handle(method, target, fields, body, reader, writer)
                await writer.drain()
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            OSError,
            RuntimeError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(RuntimeError, OSError):
                writer.close()

    async def handle(self, method, target, fields, body, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store: versioned rows, transactions, a feed.

    While ``mode`` is ``silent``, calls get no answer; ``busy`` answers 503.
    ``hold_tx`` is called with each transaction and may return a number of
    seconds after which it is carried out, unanswered.
    """

    def __init__(self):
        super().__init__()
        self.version = 0
        self.rows = {}
        self.mode = ''
        self.hold_tx = None
        self._history = []
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value) -> None:
        """Writes or (``None``) removes a row, as operator and runners do."""
        if value is not None and not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.version += 1
        self._write(table, '', key, value)
        self._notify()

    def _write(self, table, part, key, value) -> None:
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[table, part, key] = (value, self.version)
        self._history.append((table, part, key, value, self.version))

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, method, target, fields, body, reader, writer):
        if self.mode == 'silent':
            await reader.read(1)
            raise OSError
        if self.mode == 'busy':
            writer.write(message('HTTP/1.1 503 X', []))
            return
        path, _, query = target.partition('?')
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        status, answer = 404, {}
        if path == '/plantainway/rows-get':
            status, answer = 200, self._get(query)
        elif path == '/plantainway/rows-feed':
            status, answer = 200, await self._feed(query)
        elif path == '/plantainway/rows-tx':
            call = json.loads(body)
            delay_s = self.hold_tx(call) if self.hold_tx else None
            if delay_s is not None:
                asyncio.get_running_loop().call_later(
                    delay_s, self._apply, call
                )
                await reader.read(1)
                raise OSError
            status, answer = self._apply(call)
        data = json.dumps(answer | {'ver': self.version, 'nowMs': 1}).encode()
        kind = [('Content-Type', 'application/json')]
        writer.write(message(f'HTTP/1.1 {status} X', kind, data))

    def _get(self, query) -> dict:
        found = sorted(
            (key, value, version)
            for (table, part, key), (value, version) in self.rows.items()
            if table == query['table']
            and part == query['part']
            and key >= query.get('from', '')
            and ('to' not in query or key < query['to'])
        )
        return {
            'rows': [
                _row(query['table'], key, value, version)
                for key, value, version in found[:500]
            ],
            'morePages': len(found) > 500,
        }

    async def _feed(self, query) -> dict:
        table, after = query['table'], int(query['after'])
        until = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            rows = [
                _row(name, key, value, version)
                for name, _part, key, value, version in self._history
                if name == table and version > after
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return {'rows': rows}
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await changed.wait()

    def _apply(self, call):
        for check in call.get('expectedRev', ()):
            place = (check['table'], check['part'], check['key'])
            if self.rows.get(place, (b'', 0))[1] != check['ver']:
                return 412, {'rows': []}
        self.version += 1
        for put in call.get('puts', ()):
            value = base64.b64decode(put['value'])
            self._write(put['table'], put['part'], put['key'], value)
        for drop in call.get('remove', ()):
            self._write(drop['table'], drop['part'], drop['key'], None)
        self._notify()
        return 200, {}


def _row(table, key, value, version) -> dict:
    row = {'table': table, 'part': '', 'key': key, 'ver': version}
    if value is None:
        return row | {'tombstone': True}
    return row | {'value': base64.b64encode(value).decode()}


class Runner(Server):
    """A runner of a plain service; answers after ``work_s``.

    ``body_of`` returns the answer to a request id. ``runs`` lists the ids
    that it has begun to run, each with its time.
    """

    def __init__(self, name, service, store, record, work_s=0.02):
        super().__init__()
        self.name = name
        self.service = service
        self.store = store
        self.record = record
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.runs = []
        self.body_of = lambda name: f'answer to {name}.'.encode()

    def entry(self, state='ready') -> dict:
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'a',
            'version': 1,
            'slots': 6,
            'state': state,
            'coldLeftMs': 0,
            'seq': 0,
            'born': self.born,
        }

    async def start(self, port: int = 0) -> None:
        await super().start(port)
        self.store.put('servers', self.name, self.entry())

    async def handle(self, method, target, fields, body, reader, writer):
        if target == '/healthz':
            writer.write(
                message('HTTP/1.1 200 OK', [('Instance-Id', self.name)])
            )
            return
        names = [('Request-Id', fields.get('request-id', ''))]
        if fields.get('expect-instance', self.name) != self.name:
            writer.write(
                message('HTTP/1.1 421 X', names + [('Not-Executed', '1')])
            )
            return
        await self.run(method, target, fields, body, reader, writer, names)

    async def run(self, method, target, fields, body, reader, writer, names):
        name = fields.get('request-id', '')
        self.runs.append((name, time.monotonic()))
        self.record.line(f'runner {self.name} runs {name} {method} {target}')
        await asyncio.sleep(self.work_s)
        stamp = [('Server-Stamp', f'{self.name}.{name}')]
        writer.write(
            message('HTTP/1.1 200 OK', names + stamp, self.body_of(name))
        )


# Nodes.


_ports_taken: set[int] = set()


def free_ports(count: int, host: str = HOST) -> list[int]:
    """Returns free ports, in pairs of neighbours.

    They are below those that the system gives to outgoing connections.
    """
    found = []
    while len(found) < count:
        port = random.randrange(12000, 32000, 2)
        if port in _ports_taken:
            continue
        with contextlib.ExitStack() as stack:
            try:
                for one in (port, port + 1):
                    sock = stack.enter_context(socket.socket())
                    sock.bind((host, one))
            except OSError:
                continue
        _ports_taken.add(port)
        found += [port, port + 1]
    return found


def render(template: str, values: dict) -> str:
    """Fills in the settings template: values and sections that are present."""

    def find(name):
        found = values
        for part in name.split('.'):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if found is not None else None
        return found

    def section(match):
        return match[2] if find(match[1]) not in (None, False) else ''

    def value(match):
        found = find(match[1])
        if match[2]:
            return json.dumps(found)
        return '' if found is None else str(found)

    text = re.sub(
        r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', section, template, flags=re.S
    )
    return re.sub(r'\{\{([\w.]+)(\|json)?\}\}', value, text)


class Node:
    """A process of the role ``node``."""

    def __init__(self, name, store_address, folder, record, log, bounds=None):
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = role['roles']['node']
        ports = free_ports(6)
        self.name = name
        self.record = record
        self.caller = f'{HOST}:{ports[0]}'
        self.directory = f'{HOST}:{ports[2]}'
        self.readiness = f'{HOST}:{ports[3]}'
        values = {
            'nodeName': name,
            'zone': 'a',
            'region': 'r',
            'ip': HOST,
            'internalPorts': [ports[4], ports[1]],
            'platform': {'address': store_address},
            'listen': {
                'front': self.caller,
                'directory': self.directory,
                'readyAddr': self.readiness,
            },
            'bounds': BOUNDS | (bounds or {}),
            'limits': {'memoryMb': 222, 'maxFds': 1535, 'cpuShare': 0.731},
        }
        path = pathlib.Path(folder) / f'{name}.json'
        path.write_text(
            render((ROOT / role['template']).read_text(), values)
        )
        self._path = path
        self._run = role['run'].split()
        self._log = open(pathlib.Path(log) / f'{name}.log', 'wb')
        self.proc = None

    async def start(self) -> None:
        names = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in names if name in os.environ}
        env['PLANTAINWAY_SETTINGS'] = str(self._path)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        self.proc = await asyncio.create_subprocess_exec(
            *self._run, cwd=ROOT, env=env, stdout=self._log, stderr=self._log
        )
        self.record.line(f'node {self.name} started')

    def signal(self, number) -> None:
        if self.proc is not None and self.proc.returncode is None:
            self.proc.send_signal(number)
            self.record.line(f'node {self.name} gets {number.name}')

    async def until_ready(self, timeout_s=20.0) -> None:
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if self.proc.returncode is not None:
                raise CannotRun(f'node {self.name} has ended')
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                conn = await Connection.open(self.readiness)
                status, _, _ = await conn.ask('GET', '/plantainway/readyz')
                conn.close()
                if status == 200:
                    self.record.line(f'node {self.name} is ready')
                    return
            await asyncio.sleep(0.1)
        raise CannotRun(f'node {self.name} is not ready')

    async def end(self) -> None:
        if self.proc is not None and self.proc.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.proc.send_signal(signal.SIGCONT)
                self.proc.kill()
            await self.proc.wait()
        self._log.close()


class CannotRun(Exception):
    """The case could not be played."""


class Connection:
    """A client's connection to a node."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, address, receive_buffer=0, limit=1 << 20):
        """Connects; with ``receive_buffer`` like a host on a slow link.

        The segment size is then that of Ethernet, so that the kernel of the
        other end does not buffer megabytes as it does on the loopback device.
        """
        host, _, port = address.rpartition(':')
        sock = socket.socket()
        sock.setblocking(False)
        if receive_buffer:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
            )
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        reader, writer = await asyncio.open_connection(sock=sock, limit=limit)
        return cls(reader, writer)

    def send(self, method, target, fields=(), body=b'') -> None:
        fields = [('Host', 'shop.example'), *fields]
        length = bool(body) or method != 'GET'
        self.writer.write(
            message(f'{method} {target} HTTP/1.1', fields, body, length)
        )

    async def ask(self, method, target, fields=(), body=b''):
        """Returns status, fields and body of the answer."""
        self.send(method, target, fields, body)
        return await self.answer()

    async def answer(self):
        first, found = await read_head(self.reader)
        return int(first.split(' ')[1]), found, await read_body(
            self.reader, found
        )

    def close(self) -> None:
        self.writer.transport.abort()


def route(name, prefix, service, kind, **more) -> dict:
    return {
        'name': name,
        'host': 'shop.example',
        'prefix': prefix,
        'service': service,
        'routeType': kind,
        'timeoutMs': 1200,
        'sloMs': 200,
        'priority': 2,
        'maxAttempts': 2,
    } | more


def configuration(version, routes, services) -> dict:
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': TENANT, 'apiKeys': [KEY]}],
    }


def plain_service(name) -> dict:
    return {'name': name, 'healthPath': '/healthz', 'maxConns': 214}


def request_fields(name, deadline_ms=2500):
    return [
        ('Request-Id', name),
        ('Deadline-Ms', str(deadline_ms)),
        ('Credential', KEY),
    ]


def main(case, path) -> None:
    """Plays a case and exits with 0 (held), 1 (broken) or 2 (no result).

    ``path`` is that of the record. ``case`` is a coroutine function of a
    record, a temporary folder and whether there is a disruption; it returns
    the breaches as texts.
    """
    record = Record(path)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.line(f'disruption: {"yes" if has_trouble else "no"}')
    try:
        with tempfile.TemporaryDirectory() as temporary:

            async def play():
                async with asyncio.timeout(110):
                    return await case(record, temporary, has_trouble)

            breaches = asyncio.run(play())
    except Exception as exc:
        record.line(f'could not run: {exc!r}')
        print(f'could not run: {exc!r}')
        sys.exit(2)
    for text in breaches:
        record.line(f'BROKEN {text}')
        print(f'BROKEN {text}')
    print('broken' if breaches else 'held')
    record.line('broken' if breaches else 'held')
    sys.exit(1 if breaches else 0)

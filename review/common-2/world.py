"""Stand-ins on loopback for the scripts of this review.

A metadata store, runners (engines in groups and plain servers), and the node
processes, which are started with the command of ``deploy/system.toml``.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'h.example'
KEY = 'k1key'
TENANT = 'tenant-1'
HEARTBEAT_S = 1.2
EXPIRY_S = 3 * HEARTBEAT_S  # of the entry of a silent runner
# Entries are back within about two seconds of the store's return.
REWRITE_S = 2.0
FORM_S = 0.3
STOP_S = 8


class Record:
    """Writes what happens to a file of a case."""

    def __init__(self, path):
        self._file = open(path, 'w')
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def add(self, text: str) -> None:
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


class Head:
    """Head of an HTTP request."""

    def __init__(self, text: bytes):
        first, *lines = text.decode('latin1').rstrip().split('\r\n')
        self.method, self.target, _ = first.split(' ')
        self.path, _, query = self.target.partition('?')
        self.query = {}
        for item in filter(None, query.split('&')):
            name, _, value = item.partition('=')
            self.query[name] = _unquote(value)
        self.fields = {}
        for line in lines:
            name, _, value = line.partition(':')
            self.fields[name.strip().lower()] = value.strip()

    def get(self, name: str, default: str = '') -> str:
        return self.fields.get(name.lower(), default)


def _unquote(text: str) -> str:
    from urllib.parse import unquote_plus

    return unquote_plus(text)


async def read_body(reader, head) -> bytes:
    """Reads a body that has a length or comes in chunks."""
    if head.get('transfer-encoding').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(data[:-2])
    return await reader.readexactly(int(head.get('content-length', '0')))


def answer(status: int, fields=(), body: bytes = b'') -> bytes:
    """Returns an answer with a length."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in fields]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


class Server:
    """HTTP/1.1 server; ``serve`` answers one request at a time."""

    def __init__(self):
        self._server = None
        self._writers = set()
        self.address = ''

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(
            self._connected, '127.0.0.1', port, limit=1 << 20
        )
        self.address = '%s:%d' % self._server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """Closes the listener and resets all connections."""
        if self._server is not None:
            self._server.close()
        self.abort_all()

    def abort_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _connected(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = Head(await reader.readuntil(b'\r\n\r\n'))
                await self.serve(head, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, EOFError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def serve(self, head, reader, writer) -> None:
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store, with rows of the empty part only."""

    def __init__(self, record):
        super().__init__()
        self._record = record
        self.version = 0
        self.era = 0
        self.rows = {}
        self.is_away = False
        self._history = []
        self._forgotten = 0
        self._copy = None
        self._changed = asyncio.Event()
        self._returned = asyncio.Event()
        self._returned_at = float('-inf')
        self._written_at = {}

    async def run_expiry(self) -> None:
        """Removes the entries of runners that have been silent too long."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for table, key in list(self.rows):
                if table != 'servers' or self.is_away:
                    continue
                at = max(self._written_at.get(key, now), self._returned_at)
                if now - at > EXPIRY_S:
                    self._record.add(f'store: entry of {key} expires')
                    self.put(table, key, None)

    async def returned(self, limit_s: float) -> None:
        """Waits until the store comes back, for a time at most."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._returned.wait()

    def has_just_returned(self) -> bool:
        return time.monotonic() - self._returned_at < 0.05

    def put(self, table: str, key: str, value) -> bool:
        """Writes or removes a row; returns whether the store is there."""
        if self.is_away:
            return False
        self._written_at[key] = time.monotonic()
        self.version += 1
        data = None if value is None else json.dumps(value).encode()
        self._write(table, key, data)
        self._notify()
        return True

    def _write(self, table, key, data) -> None:
        if data is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (data, self.version)
        self._history.append((table, key, data, self.version))

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def copy(self) -> None:
        """Makes the copy from which the store comes back."""
        self._copy = (self.version, dict(self.rows), list(self._history))

    def go_away(self) -> None:
        self._record.add('store: away')
        self.is_away = True
        self.abort_all()

    def come_back(self, from_copy: bool = False) -> None:
        if from_copy:
            self.version, rows, history = self._copy
            self.rows, self._history = dict(rows), list(history)
            self.era += 1
        self.is_away = False
        self._returned_at = time.monotonic()
        self._returned.set()
        self._returned = asyncio.Event()
        self._record.add(f'store: back, Store-Era {self.era}')
        self._notify()

    async def serve(self, head, reader, writer) -> None:
        body = await read_body(reader, head)
        if self.is_away:
            raise ConnectionError
        name = head.path.rpartition('/')[2]
        status, value = await getattr(self, '_' + name.replace('-', '_'))(
            head, body
        )
        if self.is_away:
            raise ConnectionError
        writer.write(
            answer(
                status,
                [
                    ('Content-Type', 'application/json'),
                    ('Store-Era', self.era),
                ],
                json.dumps(value).encode(),
            )
        )

    def _body(self, rows, **more) -> dict:
        now_ms = int(time.monotonic() * 1000)
        return {'rows': rows, 'ver': self.version, 'nowMs': now_ms} | more

    async def _rows_get(self, head, _body):
        query = head.query
        found = sorted(
            (key, data, version)
            for (table, key), (data, version) in self.rows.items()
            if table == query['table']
            and key >= query.get('from', '')
            and ('to' not in query or key < query['to'])
        )
        limit = min(int(query.get('limit', 500)), 500)
        rows = [_row(query['table'], *item) for item in found[:limit]]
        return 200, self._body(rows, morePages=len(found) > limit)

    async def _rows_feed(self, head, _body):
        table, after = head.query['table'], int(head.query['after'])
        if after < self._forgotten or after > self.version:
            return 410, {}
        until = time.monotonic() + int(head.query.get('waitMs', 0)) / 1000
        era = self.era
        while True:
            rows = [
                _row(name, key, data, version)
                for name, key, data, version in self._history
                if name == table and version > after
            ]
            left = until - time.monotonic()
            if rows or left <= 0 or self.is_away or era != self.era:
                return 200, self._body(rows)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()

    async def _rows_tx(self, _head, body):
        await asyncio.sleep(0.003)
        call = json.loads(body)
        for check in call.get('expectedRev', ()):
            row = self.rows.get((check['table'], check['key']), (b'', 0))
            if row[1] != check['ver']:
                return 412, self._body([])
        self.version += 1
        for item in call.get('puts', ()):
            data = base64.b64decode(item['value'])
            self._write(item['table'], item['key'], data)
        for item in call.get('remove', ()):
            self._write(item['table'], item['key'], None)
        self._notify()
        return 200, self._body([])


def _row(table, key, data, version) -> dict:
    row = {'table': table, 'part': '', 'key': key, 'ver': version}
    if data is None:
        return row | {'tombstone': True}
    return row | {'value': base64.b64encode(data).decode()}


class Runner(Server):
    """A runner: it registers, beats, and serves requests.

    With ``models`` it is an engine that takes orders; ``peers`` holds all
    runners by name, so that broken rules about groups can be seen.
    """

    def __init__(self, world, name, service, domain='', models=None):
        super().__init__()
        self._world = world
        self.name, self.service, self.domain = name, service, domain
        self._models = models
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.seq = 0
        self.staged = []
        self.group = None
        self.members = ()
        self.model = ''
        self._last_model = ''
        self._newest_epoch = 0
        self._tasks = set()
        self.ran = []
        self.is_leaving = False
        self.is_silent_to_store = False
        self.work_s = 0.03
        self.safe_work_s = None  # of requests to /safe/, if different
        self.events = 10
        self.event_s = 0.03

    def spawn(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def start(self, port: int = 0) -> None:
        await super().start(port)
        self.spawn(self._beat())

    def stop(self) -> None:
        super().stop()
        for task in self._tasks:
            task.cancel()

    async def _beat(self) -> None:
        await asyncio.sleep(random.uniform(0, HEARTBEAT_S))
        while True:
            self.write_entry()
            await self._world.store.returned(HEARTBEAT_S)
            if self._world.store.has_just_returned():
                await asyncio.sleep(random.uniform(0.2, REWRITE_S))

    def _own_state(self) -> dict:
        state = {'born': self.born, 'seq': self.seq}
        if self._models:
            state |= {'domain': self.domain, 'staged': self.staged}
            state['models'] = (
                [{'name': self.model, 'version': 1, 'adapters': []}]
                if self.model
                else []
            )
            if self.group:
                state['group'] = self.group
        return state

    def write_entry(self) -> None:
        if self.is_silent_to_store:
            return
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': 'a',
            'version': 1,
            'slots': 13 if self._models else 6,
            'state': self.state,
            'coldLeftMs': 0,
        }
        self._world.store.put('servers', self.name, entry | self._own_state())

    async def serve(self, head, reader, writer) -> None:
        body = await read_body(reader, head)
        request_id = head.get('request-id')
        named = [('Request-Id', request_id)] if request_id else []
        if self.is_leaving:
            named.append(('Server-Leaving', '1'))
        if head.get('expect-instance', self.name) != self.name:
            writer.write(answer(421, [*named, ('Not-Executed', '1')]))
        elif head.path == '/plantainway/report':
            report = {
                'phase': 'both',
                'busy': False,
                'queued': 0,
                'active': 0,
                'kvInUse': 0,
                'kvTotal': 700000,
                'kvHandles': 0,
                'models': [],
                'pace': 1.0,
            }
            data = json.dumps(report | self._own_state()).encode()
            fields = [*named, ('Content-Type', 'application/json')]
            writer.write(answer(200, fields, data))
        elif head.path == '/healthz':
            fields = [*named, ('Instance-Id', self.name)]
            writer.write(answer(200, fields))
        elif head.path == '/plantainway/order':
            order = json.loads(body)
            status = self._order(order)
            self._world.record.add(
                f'order at {self.name}: {json.dumps(order)} -> {status}'
            )
            writer.write(answer(status, named, b'{}'))
        else:
            await self.run(head, body, named, writer)

    # Groups.

    def _order(self, order) -> int:
        kind = order['op']
        if kind == 'join':
            return self._join(order)
        own = self.group or {}
        key = (order['group'], order['epoch'])
        if (own.get('name'), own.get('epoch')) != key:
            return 200 if kind == 'leave' else 409
        if kind == 'open':
            if own['state'] == 'open':
                return 200
            if own['rank'] or own['state'] != 'ready':
                return 409
            self.seq += 1
            self.spawn(self._open(own))
            return 202
        self.seq += 1
        if kind == 'close':
            own['state'] = 'ready'
        elif kind == 'leave':
            self.group, self.members = None, ()
        self.write_entry()
        return 202

    async def _open(self, own) -> None:
        await asyncio.sleep(FORM_S)
        if self.group is own and own['state'] == 'ready':
            own['state'] = 'open'
            self._world.record.add(
                f'group {own["name"]} open at {self.name}, '
                f'members {",".join(self.members)}'
            )
            self.write_entry()

    def _join(self, order) -> int:
        own = self.group or {}
        key = (order['group'], order['epoch'])
        members = tuple(order['members'])
        if order['epoch'] < self._newest_epoch:
            return 412
        if (own.get('name'), own.get('epoch')) == key:
            return 200 if members == self.members else 412
        self._world.check_join(self, order)
        self._newest_epoch = order['epoch']
        self.seq += 1
        self.group = {
            'name': order['group'],
            'epoch': order['epoch'],
            'rank': members.index(self.name),
            'state': 'joining',
        }
        self.members, self.model = members, order['model']
        self.spawn(self._ready(self.group, order['model']))
        self.write_entry()
        return 202

    async def _ready(self, own, model: str) -> None:
        found = self._models[model]
        if self._last_model == model:
            join_s = 0.2
        elif model in self.staged:
            join_s = found['warmS']
        else:
            join_s = found['loadS'] / (1 if self._world.has_traffic else 10)
        await asyncio.sleep(join_s)
        if self.group is own:
            self._last_model = model
            self.staged = [model]
            own['state'] = 'ready'
            self.write_entry()

    # Requests.

    async def run(self, head, body, named, writer) -> None:
        request_id = head.get('request-id')
        self._world.has_traffic = True
        if self._models:
            own = self.group or {}
            if own.get('rank') or own.get('state') != 'open':
                writer.write(answer(421, [*named, ('Not-Executed', '1')]))
                return
        self._world.record.add(f'run at {self.name}: {request_id}')
        self.ran.append((request_id, head, body, time.monotonic()))
        fields = [*named, ('Server-Stamp', f'stamp-{self.name}')]
        if not self._models:
            work_s = self.work_s
            if self.safe_work_s is not None and head.path.startswith('/safe/'):
                work_s = self.safe_work_s
            await asyncio.sleep(work_s)
            writer.write(answer(200, fields, b'answer of ' + self.name.encode()))
            return
        fields += [
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        ]
        lines = ['HTTP/1.1 200 X'] + [f'{a}: {b}' for a, b in fields]
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
        for number in range(int(head.get('last-event-id', '0')) + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            data = b'id: %d\ndata: word\n\n' % number
            writer.write(b'%x\r\n%b\r\n' % (len(data), data))
            await writer.drain()
        writer.write(b'0\r\n\r\n')


def free_port(more: int = 0) -> int:
    """Returns a port that is free, as are the next ones, for servers.

    It is below the ports that the system gives to outgoing connections.

    Args:
        more: How many of the next ports have to be free as well.
    """
    while True:
        port = random.randrange(10000, 30000)
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for number in range(port, port + more + 1):
                sock = stack.enter_context(socket.socket())
                sock.bind(('127.0.0.1', number))
            return port


class LogReader:
    """Reads the standard output and standard error of a process."""

    def __init__(self):
        self._fds = []
        self.is_stalled = False
        self.sizes = [0, 0]

    def new_pipes(self, stack) -> tuple:
        """Returns the ends to write to."""
        writers = []
        for number in range(2):
            reader, writer = os.pipe()
            os.set_blocking(reader, False)
            self._fds.append((number, reader))
            writers.append(stack.enter_context(os.fdopen(writer, 'wb')))
        return tuple(writers)

    async def run(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            for number, fd in self._fds:
                if self.is_stalled:
                    break
                with contextlib.suppress(BlockingIOError):
                    while data := os.read(fd, 65536):
                        self.sizes[number] += len(data)


class Node:
    """A node process, started with the command of the deploy file."""

    def __init__(self, world, name: str):
        self._world = world
        self.name = name
        self.caller, self.directory, self.ready = (
            f'127.0.0.1:{free_port()}' for _ in range(3)
        )
        self.peer = f'127.0.0.1:{free_port(1)}'
        self.metrics = f'127.0.0.1:{free_port()}'
        self._path = world.folder / f'{name}.json'
        self.proc = None
        self.reader = None
        self.log = world.folder / f'{name}.log'

    def settings(self) -> dict:
        """Returns what ``deploy/settings.json.template`` is filled to."""
        return {
            'node': self.name,
            'zone': 'a',
            'region': 'r',
            'store': self._world.store_address or self._world.store.address,
            'listen': {
                'caller': self.caller,
                'directory': self.directory,
                'readiness': self.ready,
                'peer': self.peer,
                'metrics': self.metrics,
            },
            'bounds': {
                'stop_s': STOP_S,
                'retry_ratio': 0.2,
                'retry_slack': 283,
                'retry_window_s': 10,
                'memory_mb': 222,
                'max_fds': 1535,
            },
            'capacity': 0.731,
        }

    async def start(self) -> None:
        self._path.write_text(json.dumps(self.settings()))
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PLANTAINWAY_SETTINGS'] = str(self._path)
        with contextlib.ExitStack() as stack:
            log = stack.enter_context(open(self.log, 'ab'))
            ends = (log, log)
            if self.reader is not None:
                ends = self.reader.new_pipes(stack)
            self.proc = await asyncio.create_subprocess_exec(
                'python3',
                '-m',
                'plantainway.start_edge',
                cwd=ROOT,
                env=env,
                stdout=ends[0],
                stderr=ends[1],
            )
        self._world.record.add(f'node {self.name} started')

    def signal(self, number) -> None:
        if self.proc is not None and self.proc.returncode is None:
            self._world.record.add(
                f'node {self.name} gets {signal.Signals(number).name}'
            )
            self.proc.send_signal(number)

    async def kill(self) -> None:
        if self.proc is not None:
            if self.proc.returncode is None:
                self.signal(signal.SIGKILL)
            await self.proc.wait()

    def logged(self, event: str) -> list[str]:
        """Returns the lines with an event."""
        if not self.log.exists():
            return []
        return [
            line
            for line in self.log.read_text(errors='replace').splitlines()
            if f'event={event} ' in line
        ]

    def listens(self) -> bool:
        """Returns whether the address for the platform's checks is open."""
        host, _, port = self.ready.rpartition(':')
        with socket.socket() as sock:
            return sock.connect_ex((host, int(port))) == 0

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1):
                got = await request(self.ready, 'GET', '/plantainway/readyz')
        except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return got.status == 200


class Answer:
    """What a client got; ``is_whole`` tells whether it was complete."""

    def __init__(self, status, fields, body, is_whole):
        self.status, self.fields = status, fields
        self.body, self.is_whole = body, is_whole


async def request(address, method, target, fields=(), body=b'') -> Answer:
    """Sends one request on a new connection and reads the answer."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f'{method} {target} HTTP/1.1', f'Host: {HOST}']
        lines += [f'{name}: {value}' for name, value in fields]
        if body:
            lines.append(f'Content-Length: {len(body)}')
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
        return await read_answer(reader)
    finally:
        writer.transport.abort()


async def read_answer(reader) -> Answer:
    text = await reader.readuntil(b'\r\n\r\n')
    status = int(text.split(b' ', 2)[1])
    fields = {}
    for line in text.decode('latin1').rstrip().split('\r\n')[1:]:
        name, _, value = line.partition(':')
        fields[name.strip().lower()] = value.strip()
    parts, is_whole = [], False
    try:
        if fields.get('transfer-encoding') == 'chunked':
            while size := int((await reader.readline()) or b'x', 16):
                parts.append((await reader.readexactly(size + 2))[:-2])
            is_whole = True
        else:
            length = int(fields.get('content-length', 0))
            parts.append(await reader.readexactly(length))
            is_whole = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    return Answer(status, fields, b''.join(parts), is_whole)


MODELS = {
    'm0': {'size': 4, 'share': 0.67, 'pace': 1.0, 'loadS': 16.0, 'warmS': 1.6},
    'm1': {'size': 2, 'share': 0.33, 'pace': 0.6, 'loadS': 12.0, 'warmS': 1.1},
}


def route(name, prefix, service, kind, **more) -> dict:
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'routeType': kind,
        'timeoutMs': 6000,
        'sloMs': 500,
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'anonymous': False,
    } | more


def configuration(version: int = 3) -> dict:
    stream = {'resumable': True, 'gapTargetMs': 300, 'sticky': True}
    plain = {'timeoutMs': 1200, 'sloMs': 150, 'priority': 2}
    return {
        'version': version,
        'routes': [
            route('r-s', '/stream/', 'llm', 'stream', **stream),
            route('r-u', '/unsafe/', 'ledger', 'unsafe', **plain | {'maxAttempts': 1}),
            route('r-l', '/safe/', 'ledger', 'safe', **plain),
        ],
        'services': [
            {
                'name': 'llm',
                'healthPath': '/healthz',
                'maxConns': 651,
                'engine': {
                    'slots': 13,
                    'kvCapacity': 700000,
                    'stride': 5,
                    'models': [{'name': n} | m for n, m in MODELS.items()],
                    'step_ms': 6.07,
                    'per_seq_ms': 0.482,
                    'context_per_k': 0.00976,
                    'read_per_s': 46000.0,
                    'chunk': 2048,
                    'loadsPerS': 4.0,
                    'loads_at_once': 6,
                    'usual': {'prompt': 1076, 'answer': 116},
                    'keepCount': 1,
                    'formMs': FORM_S * 1000,
                },
            },
            {'name': 'ledger', 'healthPath': '/healthz', 'maxConns': 214},
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': TENANT, 'apiKeys': [KEY]}],
    }


class World:
    """Store, runners and nodes of one script."""

    def __init__(self, record, nodes=3, domains=2, engines=8, plain=3):
        self.record = Record(record)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store(self.record)
        self.store_address = ''
        self.has_traffic = False
        self.broken = []
        self.runners = {}
        for number in range(plain):
            self.add_runner(f's-{number}', 'ledger')
        for domain in range(domains):
            for number in range(engines):
                self.add_runner(f'e-{domain}{number}', 'llm', f'd{domain}')
        self._count = nodes
        self.nodes = []

    def add_runner(self, name, service, domain='') -> Runner:
        models = MODELS if service == 'llm' else None
        runner = self.runners[name] = Runner(self, name, service, domain, models)
        return runner

    def engines(self) -> list[Runner]:
        return [item for item in self.runners.values() if item.service == 'llm']

    def check_join(self, runner, order) -> None:
        """Records a join that takes a runner out of a group that serves."""
        if not runner.group or not runner.members:
            return
        head = self.runners.get(runner.members[0])
        own = (head.group or {}) if head else {}
        if own.get('epoch') == runner.group['epoch'] and own.get('state') in (
            'open',
            'closing',
        ):
            self.breaks(
                f'TWO: {runner.name} takes a join of {order["group"]} while '
                f'{head.name}, the head of its group {own["name"]}, is '
                f'{own["state"]}'
            )

    def breaks(self, text: str) -> None:
        self.record.add('BROKEN ' + text)
        self.broken.append(text)

    async def __aenter__(self) -> 'World':
        await self.store.start()
        self.store.put('op', 'config', configuration())
        self._expiry = asyncio.ensure_future(self.store.run_expiry())
        for runner in self.runners.values():
            await runner.start()
        self.nodes = [Node(self, f'edge-{n + 1}') for n in range(self._count)]
        return self

    async def __aexit__(self, *_exc) -> None:
        for node in self.nodes:
            await node.kill()
        for runner in self.runners.values():
            runner.stop()
        self._expiry.cancel()
        self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    def leader(self) -> Node | None:
        """Returns the node that the lease row names."""
        row = self.store.rows.get(('plantainway', 'leader'))
        if row is None:
            return None
        name = json.loads(row[0])['value']['node'].partition('/')[0]
        return next((item for item in self.nodes if item.name == name), None)

    def open_heads(self) -> list[Runner]:
        return [
            item
            for item in self.engines()
            if item.group and item.group['state'] == 'open'
        ]


async def until(check, what: str, limit_s: float = 30.0) -> None:
    """Waits until a condition holds.

    Raises:
        CannotRun: If it takes too long.
    """
    end = time.monotonic() + limit_s
    while not check():
        if time.monotonic() > end:
            raise CannotRun(f'no {what} within {limit_s} s')
        await asyncio.sleep(0.02)


async def stream_clients(world, stop) -> None:
    """Sends a stream request every 0.2 s and records the answers."""
    number = 0

    async def one(number: int) -> None:
        node = world.nodes[number % len(world.nodes)]
        fields = [
            ('Request-Id', f'r{number}'),
            ('Credential', KEY),
            ('Model', f'm{number % 2}'),
            ('Token-Count', '674,130'),
            ('Prefix-Hash', f'{number:x}:674'),
            ('Deadline-Ms', '6000'),
        ]
        try:
            async with asyncio.timeout(6):
                got = await request(
                    node.caller, 'POST', '/stream/x', fields, b'{}'
                )
            text = f'{got.status} whole={got.is_whole}'
        except (OSError, EOFError, TimeoutError) as exc:
            text = repr(exc)[:60]
        world.record.add(f'answer r{number}: {text}')

    tasks = set()
    while not stop.is_set():
        number += 1
        task = asyncio.ensure_future(one(number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.2)
    await asyncio.gather(*tasks)


class CannotRun(Exception):
    """The case could not run."""


def main(case, has_trouble: bool) -> None:
    """Runs a case and exits: 0 if the rule held, 1 if not, 2 if it can't."""
    try:
        broken = asyncio.run(asyncio.wait_for(case(has_trouble), 115))
    except Exception as exc:
        print(f'could not run: {exc!r}')
        sys.exit(2)
    for text in broken[:5]:
        print(text)
    print('rule broken' if broken else 'rule held', f'({len(broken)} times)')
    sys.exit(1 if broken else 0)

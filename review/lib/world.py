"""Stand-ins and node processes of a small deployment on loopback addresses.

The store, the runners and the clients follow the users' pages; the nodes are
started with the command of the deploy file and the settings that its template
gives.
"""

import asyncio
import base64
import contextlib
import gc
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

import http11

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'shop.example'
KEY = 'key-of-tenant-one'
HEARTBEAT_S = 1.2
JOIN_S = 0.2
FORM_S = 0.1
SETTLE_S = 2.0  # until all nodes know all open groups
BOUNDS = {
    'graceS': 8,
    'retryBudgetRatio': 0.2,
    'retryBudgetSlack': 283,
    'budgetWindowS': 10,
}


class Record:
    """Writes what was sent, answered and run to a file, with times."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._began = time.monotonic()

    def __call__(self, text: str) -> None:
        at = time.monotonic() - self._began
        self._file.write(f'{at:8.3f} {text}\n')
        self._file.flush()


class Store:
    """The platform's store: rows, transactions and feeds."""

    def __init__(self):
        self.rows: dict[tuple, tuple[bytes, int]] = {}
        self.version = 0
        self._history: list = []
        self._changed = asyncio.Event()

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=1 << 22
        )
        self.address = '%s:%d' % self._server.sockets[0].getsockname()[:2]

    def put(self, table: str, key: str, value) -> None:
        """Writes a row as JSON, ``None`` removes it."""
        data = None if value is None else json.dumps(value).encode()
        if data is None and (table, '', key) not in self.rows:
            return
        self.version += 1
        self._write(table, '', key, data)

    def _write(self, table, part, key, data) -> None:
        if data is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[table, part, key] = (data, self.version)
        self._history.append((table, part, key, data, self.version))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, OSError
        ):
            while True:
                req = await http11.read_request(reader)
                status, body = await self._answer(req)
                body |= {
                    'ver': body.get('ver', self.version),
                    'nowMs': int(time.monotonic() * 1000),
                }
                await asyncio.sleep(0.004)
                http11.send(
                    writer,
                    status,
                    [('Content-Type', 'application/json')],
                    json.dumps(body).encode(),
                )
                await writer.drain()
        writer.close()

    async def _answer(self, req):
        path, _, query = req.target.partition('?')
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == '/plantainway/rows-get':
            return 200, self._get(args)
        if path == '/plantainway/rows-feed':
            return await self._feed(args)
        if path == '/plantainway/rows-tx':
            return self._transact(json.loads(req.body))
        if path == '/plantainway/rows-parts':
            return 200, {'parts': [''], 'morePages': False}
        return 404, {}

    def _get(self, args) -> dict:
        found = sorted(
            (key, value, version)
            for (table, part, key), (value, version) in self.rows.items()
            if table == args['table']
            and part == args.get('part', '')
            and key >= args.get('from', '')
            and ('to' not in args or key < args['to'])
        )
        page = found[: min(int(args.get('limit', 500)), 500)]
        return {
            'rows': [
                _row(args['table'], args.get('part', ''), *item)
                for item in page
            ],
            'morePages': len(found) > len(page),
        }

    async def _feed(self, args):
        after = int(args['after'])
        ends_at = time.monotonic() + int(args['waitMs']) / 1000
        while True:
            rows = [
                _row(table, part, key, value, version)
                for table, part, key, value, version in self._history
                if table == args['table'] and version > after
            ]
            left = ends_at - time.monotonic()
            if rows or left <= 0:
                return 200, {'rows': rows}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()

    def _transact(self, body):
        for check in body.get('expectedRev', ()):
            address = (check['table'], check.get('part', ''), check['key'])
            if self.rows.get(address, (b'', 0))[1] != check['ver']:
                return 412, {'rows': []}
        self.version += 1
        for put in body.get('puts', ()):
            self._write(
                put['table'],
                put.get('part', ''),
                put['key'],
                base64.b64decode(put['value']),
            )
        for drop in body.get('remove', ()):
            self._write(drop['table'], drop.get('part', ''), drop['key'], None)
        return 200, {}


def _row(table, part, key, value, version) -> dict:
    row = {'table': table, 'part': part, 'key': key, 'ver': version}
    if value is None:
        return row | {'tombstone': True}
    return row | {'value': base64.b64encode(value).decode()}


class Runner:
    """A runner; a model runner if it has a domain.

    ``runs`` holds (request id, time, fate) of what it has begun to work on.
    """

    def __init__(self, world, name: str, service: str, domain: str = ''):
        self.world = world
        self.name = name
        self.service = service
        self.domain = domain
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.group: dict | None = None
        self.model = ''
        self.staged: list[str] = []
        self.newest_epoch = 0
        self.seq = 0
        self.events = 10
        self.event_s = 0.05
        self.first_event_s = 0.05
        self.work_s = 0.03
        self.registers = True
        self.is_ended = False
        self.answer = None  # replaces the answer to plain requests
        self.extra_headers: list = []
        self.runs: list[list] = []
        self.writers: set = set()
        self._tasks: set = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = '%s:%d' % self._server.sockets[0].getsockname()[:2]
        self.write_entry()
        self._spawn(self._beat())

    def _spawn(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.write_entry()

    def stop(self) -> None:
        """Ends the runner, as a crash does."""
        self.is_ended = True
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        self.registers = False
        for writer in list(self.writers):
            http11.reset(writer)

    async def crash(self, down_s: float) -> None:
        """Ends the runner; another one starts on its host after a time.

        Its entry goes away three heartbeat intervals after the last one.
        """
        self.world.record(f'runner {self.name} crashes')
        self.stop()
        ended_at = time.monotonic()
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.world.store.put('servers', self.name, None)
        await asyncio.sleep(max(ended_at + down_s - time.monotonic(), 0.0))
        name, _, count = self.name.partition('.')
        new = Runner(
            self.world,
            f'{name}.{int(count or 0) + 1}',
            self.service,
            self.domain,
        )
        new.events, new.event_s = self.events, self.event_s
        new.first_event_s, new.work_s = self.first_event_s, self.work_s
        new.staged = self.staged[:1]
        del self.world.runners[self.name]
        self.world.ended_runners.append(self)
        self.world.runners[new.name] = new
        await new.start()

    def write_entry(self) -> None:
        """Writes its entry to the store."""
        if not self.registers:
            return
        self.seq += 1
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': 'zone-a',
            'version': '1',
            'slots': 13,
            'state': self.state,
            'coldLeftMs': 0,
            'born': self.born,
            'seq': self.seq,
        } | self._said()
        self.world.store.put('servers', self.name, entry)

    def _said(self) -> dict:
        if not self.domain:
            return {}
        said = {
            'phase': 'both',
            'domain': self.domain,
            'staged': self.staged,
            'models': [],
        }
        if self.model:
            said['models'] = [
                {'name': self.model, 'version': 1, 'adapters': []}
            ]
        if self.group is not None:
            said['group'] = self.group
        return said

    @property
    def is_open_head(self) -> bool:
        return bool(self.group) and (
            self.group['rank'] == 0 and self.group['state'] == 'open'
        )

    async def _serve(self, reader, writer) -> None:
        if self.world.is_cut_off(writer):
            http11.reset(writer)
            return
        self.writers.add(writer)
        try:
            while True:
                req = await http11.read_request(reader)
                if not await self._handle(req, reader, writer):
                    break
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            OSError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, req, reader, writer) -> bool:
        expected = req.headers.get('expect-instance', self.name)
        own = [('Request-Id', req.headers.get('request-id', ''))]
        if expected != self.name:
            http11.send(writer, 421, [*own, ('At-Server', self.name)])
            return True
        if req.target == '/plantainway/report':
            report = {
                'busy': False,
                'seq': self.seq,
                'queued': 0,
                'active': 0,
                'kvInUse': 0,
                'kvTotal': 700000,
                'kvHandles': 0,
                'pace': 1.0,
                'born': self.born,
            } | self._said()
            self._send_json(writer, 200, report)
            return True
        if req.target == '/plantainway/order':
            self._send_json(writer, self._order(json.loads(req.body)), {})
            return True
        if req.target == '/healthz':
            http11.send(writer, 200, [('Instance-Id', self.name)])
            return True
        if self.domain:
            return await self._stream(req, own, writer)
        return await self._plain(req, own, writer, reader)

    def _send_json(self, writer, status, body) -> None:
        http11.send(
            writer,
            status,
            [('Content-Type', 'application/json')],
            json.dumps(body).encode(),
        )

    def _order(self, order) -> int:
        kind, epoch, name = order['op'], order['epoch'], order['group']
        if kind == 'join':
            if epoch < self.newest_epoch:
                return 412
            self.newest_epoch = epoch
            self.model = order['model']
            self.group = {
                'name': name,
                'epoch': epoch,
                'rank': order['members'].index(self.name),
                'state': 'joining',
            }
            self._spawn(self._change_later(JOIN_S, self.group, 'ready'))
        else:
            if self.group is None or (
                (self.group['name'], self.group['epoch']) != (name, epoch)
            ):
                return 409
            if kind == 'open':
                if self.group['rank'] or self.group['state'] != 'ready':
                    return 409
                self._spawn(self._change_later(FORM_S, self.group, 'open'))
            elif kind == 'close':
                self.group['state'] = 'ready'
            elif kind == 'leave':
                self.group = None
            else:
                return 400
        self.write_entry()
        return 202

    async def _change_later(self, delay_s, group, state) -> None:
        await asyncio.sleep(delay_s)
        if self.group is group:
            group['state'] = state
            self.staged = [self.model]
            self.write_entry()

    def begin_run(self, req) -> list:
        """Records that work on a request begins."""
        run = [req.headers.get('request-id', ''), time.monotonic(), 'begun']
        self.runs.append(run)
        self.world.record(f'runner {self.name} runs {run[0]}')
        return run

    def end_run(self, run, fate: str) -> None:
        """Records how the work on a request ended."""
        run[2] = fate
        self.world.record(f'runner {self.name} ends {run[0]}: {fate}')

    async def _stream(self, req, own, writer) -> bool:
        if not self.is_open_head:
            http11.send(writer, 421, [*own, ('At-Server', self.name)])
            return True
        run = self.begin_run(req)
        ends_at = time.monotonic() + int(req.headers['deadline-ms']) / 1000
        headers = [
            *own,
            ('Server-Stamp', f'stamp-{self.name}'),
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
            *self.extra_headers,
        ]
        first = int(req.headers.get('last-event-id', 0)) + 1
        is_started = False
        for number in range(first, self.events + 1):
            pause_s = self.event_s if is_started else self.first_event_s
            await asyncio.sleep(
                max(min(pause_s, ends_at - time.monotonic()), 0.0)
            )
            if writer.is_closing():
                self.end_run(run, 'its caller has left')
                return False
            if time.monotonic() >= ends_at:
                self.end_run(run, 'its deadline passed')
                if is_started:
                    http11.reset(writer)
                    return False
                http11.send(writer, 504, headers[:2])
                return True
            if not is_started:
                writer.write(http11.encode('HTTP/1.1 200 X', headers))
                is_started = True
            data = b'id: %d\ndata: %s %d\n\n' % (
                number,
                run[0].encode(),
                number,
            )
            writer.write(http11.chunk(data))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        self.end_run(run, 'complete')
        return True

    async def _plain(self, req, own, writer, reader) -> bool:
        if self.answer is not None:
            return await self.answer(self, req, own, writer)
        run = self.begin_run(req)
        await asyncio.sleep(self.work_s)
        if self.is_ended:
            self.end_run(run, 'cut off, the runner has ended')
            return False
        self.end_run(run, 'complete')
        headers = [
            *own,
            ('Server-Stamp', f'stamp-{self.name}'),
            *self.extra_headers,
        ]
        http11.send(writer, 200, headers, self.body_for(run[0]))
        return True

    def body_for(self, request_id: str) -> bytes:
        """Returns its complete answer to a plain request."""
        return f'answer of {self.name} to {request_id}'.encode()


class Node:
    """A node process of the project, started as the deploy file says."""

    def __init__(self, world, number: int):
        self.world = world
        self.name = f'edge-zone-a-{number}'
        # An address of its own: the internal ports of all nodes are equal.
        pid = os.getpid()
        self.ip = f'127.{1 + pid % 250}.{pid // 250 % 250}.{10 + number}'
        ports = [_free_port(self.ip) for _ in range(4)]
        self.settings = {
            'nodeName': self.name,
            'role': 'node',
            'ip': self.ip,
            'zone': 'zone-a',
            'region': 'region-a',
            'internalPorts': _free_range(self.ip),
            'listen': {
                'front': f'{self.ip}:{ports[0]}',
                'readyAddr': f'{self.ip}:{ports[1]}',
                'control': f'{self.ip}:{ports[2]}',
                'directory': f'{self.ip}:{ports[3]}',
            },
            'limits': {'cpuShare': 0.731},
            'bounds': BOUNDS,
            'platform': {'address': world.store.address},
        }
        self.front = self.settings['listen']['front']
        self.proc = None

    async def start(self) -> None:
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['node']
        path = self.world.folder / f'{self.name}.json'
        template = (ROOT / role['template']).read_text()
        path.write_text(_render(template, self.settings))
        log = open(self.world.folder / f'{self.name}.log', 'ab')
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PLANTAINWAY_SETTINGS'] = str(path)
        self.proc = await asyncio.create_subprocess_exec(
            *role['run'].split(), stdout=log, stderr=log, cwd=ROOT, env=env
        )
        log.close()

    def signal(self, number) -> None:
        """Sends a signal to the process, if it runs."""
        if self.proc is not None and self.proc.returncode is None:
            self.proc.send_signal(number)

    async def get(self, path: str):
        """Returns status and body of its status server."""
        resp = await exchange(
            self.settings['listen']['readyAddr'],
            http11.encode(
                f'GET {path} HTTP/1.1',
                [('Host', 'status'), ('Connection', 'close')],
            ),
        )
        return resp.status, resp.body

    async def dump(self) -> dict:
        """Returns its state, for the set-up of a case only."""
        return json.loads((await self.get('/dump'))[1])

    def log_lines(self) -> list[str]:
        """Returns the lines of its log."""
        path = self.world.folder / f'{self.name}.log'
        return path.read_text(errors='replace').splitlines()


async def exchange(address: str, data: bytes):
    """Sends bytes on a new connection and returns the response."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        return await http11.read_response(reader)
    finally:
        writer.close()


def _render(template: str, fields: dict) -> str:
    def value(match):
        path, _, as_json = match[1].partition('|')
        found = fields
        for key in path.split('.'):
            found = found[int(key)] if key.isdigit() else found[key]
        return json.dumps(found) if as_json == 'json' else str(found)

    return re.sub(r'\{\{([^{}]+)\}\}', value, template)


def _free_port(ip: str) -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def _free_range(ip: str) -> list[int]:
    for base in range(7340, 30000, 16):
        with contextlib.ExitStack() as stack:
            try:
                for port in (base, base + 1, base + 15):
                    sock = stack.enter_context(socket.socket())
                    sock.bind((ip, port))
            except OSError:
                continue
            return [base, base + 15]
    raise OSError('no free ports')


def local_ports(pid: int) -> set[int]:
    """Returns the local TCP ports of a process that this case started."""
    inodes = set()
    with contextlib.suppress(OSError):
        for entry in os.scandir(f'/proc/{pid}/fd'):
            with contextlib.suppress(OSError):
                inodes.add(os.readlink(entry.path))
    ports = set()
    for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
        fields = line.split()
        if f'socket:[{fields[9]}]' in inodes:
            ports.add(int(fields[1].rpartition(':')[2], 16))
    return ports


class World:
    """Store, runners and nodes of one case."""

    def __init__(self, folder: str, nodes: int):
        self.case = pathlib.Path(folder)
        self.record = Record(self.case / 'record.txt')
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='case-'))
        self.store = Store()
        self.runners: dict[str, Runner] = {}
        self.nodes: list[Node] = []
        self.ended_runners: list[Runner] = []
        self._node_count = nodes
        self._cut: set[int] = set()
        self.version = 3
        self.routes: list[dict] = []
        self.trouble = os.environ.get('TROUBLE', '1') != '0'

    def route(self, prefix, service, kind, timeout_ms, slo_ms, **more):
        """Adds a route to the configuration."""
        self.routes.append(
            {
                'name': prefix.strip('/'),
                'host': HOST,
                'prefix': prefix,
                'routeType': kind,
                'timeoutMs': timeout_ms,
                'sloMs': slo_ms,
                'priority': 1,
                'service': service,
                'maxAttempts': 2,
            }
            | more
        )

    def publish(self) -> None:
        """Writes the next version of the configuration."""
        self.version += 1
        engine = {
            'slots': 13,
            'models': [
                {
                    'name': 'm0',
                    'size': 2,
                    'share': 1.0,
                    'pace': 1.0,
                    'loadS': 0.2,
                    'warmS': 0.2,
                }
            ],
            'step_ms': 6.07,
            'per_seq_ms': 0.241,
            'context_per_k': 0.005,
            'read_per_s': 46000.0,
            'pairs_per_m': 0.7,
            'chunk': 2048,
            'stride': 5,
            'usual': {'prompt': 1400, 'answer': 130},
            'kvCapacity': 700000,
            'formMs': FORM_S * 1000,
            'loadsPerS': 4.0,
            'loads_at_once': 6,
            'report_lag_ms': 200,
        }
        names = dict.fromkeys(item['service'] for item in self.routes)
        services = [
            {'name': name, 'healthPath': '/healthz', 'maxConns': 651}
            for name in names
        ]
        for service in services:
            if any(
                item['service'] == service['name']
                and item['routeType'] == 'stream'
                for item in self.routes
            ):
                service['engine'] = engine
        self.store.put(
            'op',
            'config',
            {
                'version': self.version,
                'routes': self.routes,
                'services': services,
                'limits': {
                    'maxHeaderBytes': 16384,
                    'maxBodyBytes': 262144,
                    'headerTimeoutMs': 3000,
                    'idleTimeoutMs': 15000,
                },
                'tenants': [{'name': 'tenant-one', 'apiKeys': [KEY]}],
            },
        )

    async def start(self, plain: int = 0, engines_per_domain: int = 0):
        """Starts everything and waits until all nodes serve."""
        await self.store.start()
        self.publish()
        for number in range(plain):
            self._add(Runner(self, f'i-plain-{number}', 'ledger'))
        for domain in ('d0', 'd1'):
            for number in range(engines_per_domain):
                self._add(
                    Runner(
                        self, f'i-engine-{domain}-{number}', 'models', domain
                    )
                )
        for runner in self.runners.values():
            await runner.start()
        for number in range(self._node_count):
            node = Node(self, number + 1)
            self.nodes.append(node)
            await node.start()
        await self.until(self._is_set_up, 40.0, 'the set-up')
        await asyncio.sleep(SETTLE_S)
        self.record('all is set up')

    def _add(self, runner) -> None:
        self.runners[runner.name] = runner

    def heads(self) -> list[Runner]:
        """Returns the heads of open groups that have not ended."""
        return [
            item
            for item in self.runners.values()
            if item.is_open_head and not item.is_ended
        ]

    async def _is_set_up(self) -> bool:
        for node in self.nodes:
            status, _body = await node.get('/plantainway/readyz')
            if status != 200:
                return False
            dump = await node.dump()
            if len(dump['nodes']) != len(self.nodes):
                return False
        engines = [item for item in self.runners.values() if item.domain]
        return not engines or len(self.heads()) >= 2

    async def until(self, check, limit_s: float, what: str) -> None:
        """Waits until a coroutine function returns true.

        Raises:
            TimeoutError: If it does not in time.
        """
        ends_at = time.monotonic() + limit_s
        while True:
            with contextlib.suppress(
                OSError, asyncio.IncompleteReadError, ValueError
            ):
                if await check():
                    return
            if time.monotonic() > ends_at:
                raise TimeoutError(f'no {what} in {limit_s} s')
            await asyncio.sleep(0.05)

    def cut_off(self, node) -> None:
        """Cuts a node off from all runners: connections are reset."""
        self.record(f'{node.name} is cut off from all runners')
        self._cut.add(node.proc.pid)
        for runner in self.runners.values():
            for writer in list(runner.writers):
                if self.is_cut_off(writer):
                    http11.reset(writer)

    def heal(self) -> None:
        """Ends all cuts."""
        self.record('all cuts end')
        self._cut.clear()

    def is_cut_off(self, writer) -> bool:
        """Returns whether a connection comes from a node that is cut off."""
        if not self._cut:
            return False
        port = (writer.get_extra_info('peername') or ('', 0))[1]
        return any(port in local_ports(pid) for pid in self._cut)

    async def ask(self, node, method, target, request_id, **more):
        """Sends one request as a client does; records its outcome.

        Returns:
            The response, ``None`` if there was none.
        """
        deadline_ms = more.pop('deadline_ms', 8000)
        # Clients abandon a stream after the longest of three times.
        route = next(
            item for item in self.routes if target.startswith(item['prefix'])
        )
        pause_s = deadline_ms / 1000
        if route['routeType'] == 'stream':
            pause_s = max(
                2.0,
                4 * route['sloMs'] / 1000,
                8 * route['gapTargetMs'] / 1000,
            )
        body = more.pop('body', b'')
        headers = [
            ('Host', HOST),
            ('Request-Id', request_id),
            ('Deadline-Ms', str(deadline_ms)),
            ('Credential', KEY),
            *((k.replace('_', '-'), v) for k, v in more.items()),
        ]
        if method == 'POST':
            headers.append(('Content-Length', str(len(body))))
        host, _, port = node.front.rpartition(':')
        self.record(f'client sends {request_id} {method} {target} {node.name}')
        began = time.monotonic()
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    http11.encode(f'{method} {target} HTTP/1.1', headers, body)
                )
                resp = await http11.read_response(
                    http11.PatientReader(reader, pause_s)
                )
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as exc:
            self.record(f'client has no answer to {request_id}: {exc!r}')
            return None
        finally:
            if writer is not None:
                writer.close()
        took = time.monotonic() - began
        self.record(
            f'client gets {resp.status} to {request_id} after {took:.3f} s, '
            f'{len(resp.body)} bytes, whole={resp.is_whole} '
            f'stamp={resp.headers.get("server-stamp", "")!r} {resp.fault}'
        )
        return resp

    def all_runners(self) -> list[Runner]:
        """Returns all runners, those that have ended included."""
        return [*self.runners.values(), *self.ended_runners]

    def runs_of(self, request_id: str) -> list:
        """Returns the runs of a request at all runners."""
        return [
            run
            for runner in self.all_runners()
            for run in runner.runs
            if run[0] == request_id
        ]

    async def stop(self) -> None:
        """Ends all processes that this case started."""
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
            if node.proc is not None:
                await node.proc.wait()
        for runner in self.runners.values():
            runner.stop()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        gc.collect()  # streams close their sockets
        await asyncio.sleep(0.05)
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for node in self.nodes:
                shutil.copy(self.folder / f'{node.name}.log', keep)
        shutil.rmtree(self.folder, ignore_errors=True)


def run(case, folder: str, nodes: int) -> None:
    """Runs a case and exits with its result.

    Args:
        case: Coroutine function of a world; returns the breaches it saw.
        folder: Folder of the case.
        nodes: Number of node processes.
    """

    async def main() -> int:
        world = World(folder, nodes)
        try:
            async with asyncio.timeout(105):
                breaches = await case(world)
        except Exception as exc:
            world.record(f'the case could not run: {exc!r}')
            print(f'the case could not run: {exc!r}')
            return 2
        finally:
            await world.stop()
        for text in breaches:
            world.record(f'BREACH {text}')
            print(f'BREACH {text}')
        if not breaches:
            world.record('the rule held')
            print('the rule held')
        return 1 if breaches else 0

    # Streams that are dropped with the event loop are of no interest.
    sys.unraisablehook = lambda _unraisable: None
    sys.exit(asyncio.run(main()))

"""Stand-ins of model runners: orders, groups, reports and streams."""

import asyncio
import json
import time
import zlib

import standins

MODEL = 'm1'
MODEL_SIZE = 2
JOIN_S = 0.2  # with staged weights and that model before
WARM_S = 1.1
LOAD_S = 1.2  # before the first request; a tenth of that under traffic
FORM_S = 0.2
EVENTS = 27


def service(name) -> dict:
    """Returns the service as the configuration describes it."""
    return standins.plain_service(name) | {
        'engine': {
            'slots': 13,
            'models': [
                {
                    'name': MODEL,
                    'size': MODEL_SIZE,
                    'share': 1.0,
                    'pace': 1.0,
                    'loadS': 12.0,
                    'warmS': WARM_S,
                }
            ],
            'step_ms': 6.07,
            'per_seq_ms': 0.1,
            'context_per_k': 0.1,
            'read_per_s': 46000,
            'chunk': 2048,
            'stride': 5,
            'usual': {'prompt': 700, 'answer': 135},
            'kvCapacity': 700000,
            'formMs': int(FORM_S * 1000),
            'loadsPerS': 4,
            'loads_at_once': 6,
        }
    }


def stream_fields(name, deadline_ms=6000):
    return standins.request_fields(name, deadline_ms) + [
        ('Model', MODEL),
        ('Token-Count', '700,135'),
        ('Prefix-Hash', f'5c1e07a2:40,{zlib.crc32(name.encode()):x}:660'),
    ]


class Engine(standins.Runner):
    """A model runner; ``event_s`` is the time between events of a stream.

    With ``beats_at``, a time in seconds, its entry is written every
    ``heartbeat_s`` at times that this one is among, and whenever it changes;
    while the store is away no writing succeeds. ``fleet`` are all runners by
    name; ``breaches`` gets a text for each join that rule TWO forbids.
    """

    heartbeat_s = 1.2

    def __init__(self, name, service_name, store, record, event_s=0.03):
        super().__init__(name, service_name, store, record)
        self.event_s = event_s
        self.group = None
        self.members = []
        self.staged = []
        self.last_model = ''
        self.seq = 0
        self.newest_epoch = 0
        self.fleet = {}
        self.breaches = []
        self.beats_at = None
        self.writes_from = 0.0  # it reaches the store from then on
        self.is_down = False
        self._tasks = set()

    async def beat(self) -> None:
        """Writes the entry at each heartbeat until cancelled."""
        while True:
            now = time.monotonic()
            periods = (now - self.beats_at) // self.heartbeat_s + 1
            until = self.beats_at + periods * self.heartbeat_s
            if now < self.writes_from:
                until = min(until, self.writes_from)
            await asyncio.sleep(until - now)
            self.write_entry()

    def crash(self) -> None:
        """Ends all connections and forgets everything but staged weights."""
        self.is_down = True
        self.stop()
        for task in list(self._tasks):
            task.cancel()
        self.group, self.members, self.seq = None, [], 0
        self.newest_epoch, self.last_model = 0, ''

    async def restart(self) -> None:
        """Starts again at its address, as another incarnation."""
        self.born = max(int(time.time() * 1000), self.born + 1)
        await standins.Server.start(self, int(self.address.split(':')[1]))
        self.is_down = False
        self.write_entry()

    def entry(self, state='ready') -> dict:
        found = super().entry(state) | {
            'slots': 13,
            'seq': self.seq,
            'domain': 'd0',
            'staged': self.staged,
        }
        return found | self._membership()

    def _membership(self) -> dict:
        if self.group is None:
            return {'models': []}
        shows = self.group['state'] != 'joining'
        models = [{'name': MODEL, 'version': 1, 'adapters': []}]
        return {'group': self.group, 'models': models if shows else []}

    def write_entry(self) -> None:
        is_cut = time.monotonic() < self.writes_from
        if not self.store.mode and not is_cut and not self.is_down:
            self.store.put('servers', self.name, self.entry())

    def _check_join(self, order) -> None:
        """Records a join of another group while its group is served."""
        own = self.group
        if own is None or own['name'] == order['group']:
            return
        head = self.fleet.get(self.members[0])
        if head is None or head.is_down or head.group is None:
            return
        if head.group['name'] == own['name'] and head.group['state'] in (
            'open',
            'closing',
        ):
            text = (
                f'TWO: {self.name} takes a join of {order["group"]} while '
                f'{own["name"]}, which it has not left, is '
                f'{head.group["state"]} at its head {head.name}'
            )
            self.record.line(text)
            self.breaches.append(text)

    async def handle(self, method, target, fields, body, reader, writer):
        is_own = fields.get('expect-instance', self.name) == self.name
        kind = [('Content-Type', 'application/json')]
        if target == '/plantainway/report' and is_own:
            report = {
                'phase': 'both',
                'busy': False,
                'seq': self.seq,
                'queued': 0,
                'active': 0,
                'kvInUse': 0,
                'kvTotal': 700000,
                'kvHandles': 0,
                'pace': 1.0,
                'born': self.born,
                'staged': self.staged,
            } | self._membership()
            data = json.dumps(report).encode()
            writer.write(standins.message('HTTP/1.1 200 OK', kind, data))
        elif target == '/plantainway/order' and is_own:
            status = self.order(json.loads(body))
            writer.write(standins.message(f'HTTP/1.1 {status} X', kind, b'{}'))
        else:
            await super().handle(
                method, target, fields, body, reader, writer
            )

    def order(self, order) -> int:
        """Begins an order and returns the status."""
        status = self._begin(order)
        self.record.line(
            f'engine {self.name} gets {order["op"]} {order.get("group")} '
            f'epoch {order.get("epoch")}: {status}'
        )
        return status

    def _begin(self, order) -> int:
        op, epoch, name = order['op'], order['epoch'], order['group']
        if op == 'join':
            if epoch < self.newest_epoch:
                return 412
            self._check_join(order)
            self.newest_epoch = epoch
            self.members = order['members']
            self.group = {
                'name': name,
                'epoch': epoch,
                'rank': self.members.index(self.name),
                'state': 'joining',
            }
            model = order['model']
            join_s = LOAD_S
            if model == self.last_model:
                join_s = JOIN_S
            elif model in self.staged:
                join_s = WARM_S
            self.last_model = model
            self._later(join_s, epoch, 'joining', 'ready', model)
        else:
            own = self.group or {}
            if (own.get('name'), own.get('epoch')) != (name, epoch):
                return 200 if op == 'leave' else 409
            if op == 'open':
                if own['rank'] != 0 or own['state'] != 'ready':
                    return 200 if own['state'] == 'open' else 409
                self._later(FORM_S, epoch, 'ready', 'open')
            elif op == 'close':
                own['state'] = 'ready'
            elif op == 'leave':
                self.group = None
            else:
                return 400
        self.seq += 1
        self.write_entry()
        return 202

    def _later(self, delay_s, epoch, before, after, model=None) -> None:
        async def change():
            await asyncio.sleep(delay_s)
            own = self.group or {}
            if (own.get('epoch'), own.get('state')) != (epoch, before):
                return
            own['state'] = after
            if model is not None:
                self.staged = [model]
            self.record.line(f'engine {self.name} is {after} in {own["name"]}')
            self.write_entry()

        task = asyncio.ensure_future(change())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run(self, method, target, fields, body, reader, writer, names):
        if self.group is None or self.group['state'] != 'open':
            names = names + [('Not-Executed', '1'), ('At-Server', self.name)]
            writer.write(standins.message('HTTP/1.1 421 X', names))
            return
        name = fields.get('request-id', '')
        after = int(fields.get('last-event-id', 0))
        self.runs.append((name, time.monotonic()))
        self.record.line(f'engine {self.name} runs {name} after event {after}')
        names = names + [
            ('Server-Stamp', f'{self.name}.{name}'),
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        ]
        writer.write(standins.message('HTTP/1.1 200 OK', names, length=False))
        await self.stream(name, after, writer)

    async def stream(self, name, after, writer) -> None:
        for number in range(after + 1, EVENTS + 1):
            await asyncio.sleep(self.event_s)
            event = b'id: %d\ndata: %s %d\n\n' % (
                number,
                name.encode(),
                number,
            )
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')


async def until_open(engines, timeout_s=20.0) -> None:
    """Waits until a group serves."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        if any(e.group and e.group['state'] == 'open' for e in engines):
            return
        await asyncio.sleep(0.05)
    raise standins.CannotRun('no group has opened')

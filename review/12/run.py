"""The leader is killed near the end of an outage of the store."""

import asyncio
import base64
import contextlib
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-3'))

import engines  # noqa: E402
import standins  # noqa: E402

NODES = 8
ENGINES = 8
ROUNDS = 6
CALM_S = 6.0  # before each outage
CRASH_AFTER_S = 1.5  # of the outage
OUTAGE_MAX_S = 4.5
KILL_TO_RETURN_S = 0.25
# The runners reach the store again this long after its return. The pages have
# lapsed entries back within about two seconds of it.
RUNNERS_BACK_S = 1.5
NODE_RESTART_S = 1.0
ENGINE_RESTART_S = 4.5


class World:
    """The nodes, engines and clients of the case."""

    def __init__(self, record, temporary):
        self.record = record
        self.temporary = temporary
        self.store = standins.Store()
        self.store.hold_tx = self._note_writer
        self.writer = ''  # node that last wrote to the store on a condition
        self.breaches = []
        self.engines = [
            engines.Engine(f'e-{n}', 'models', self.store, record)
            for n in range(ENGINES)
        ]
        self.nodes = []
        self.tasks = []

    def _note_writer(self, call):
        for node in self.nodes:
            for put in call.get('puts', ()):
                value = base64.b64decode(put['value']).decode()
                if f'"{node.name}/' in value and call.get('expectedRev'):
                    self.writer = node.name
        return None

    async def start(self):
        await self.store.start()
        fleet = {one.name: one for one in self.engines}
        began_at = time.monotonic()
        for number, engine in enumerate(self.engines):
            engine.fleet, engine.breaches = fleet, self.breaches
            engine.beats_at = began_at + number * 0.15
            await engine.start()
            self.tasks.append(asyncio.ensure_future(engine.beat()))
        route = standins.route(
            'answer',
            '/answer/',
            'models',
            'stream',
            resumable=True,
            sticky=True,
            timeoutMs=6000,
            sloMs=300,
            gapTargetMs=200,
            priority=1,
        )
        self.store.put(
            'op',
            'config',
            standins.configuration(5, [route], [engines.service('models')]),
        )
        for number in range(NODES):
            node = standins.Node(
                f'edge-{number}',
                self.store.address,
                self.temporary,
                self.record,
                self.temporary,
            )
            self.nodes.append(node)
            await node.start()
        for node in self.nodes:
            await node.until_ready()
        await engines.until_open(self.engines)
        self.tasks.append(asyncio.ensure_future(self._send_streams()))

    async def _send_streams(self):
        rng = random.Random(1)
        number = 0
        pending = set()
        while True:
            number += 1
            task = asyncio.ensure_future(
                self._stream(f'stream-{number}', rng.choice(self.nodes))
            )
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(0.25)

    async def _stream(self, name, node):
        if node.proc.returncode is not None:
            return
        try:
            async with asyncio.timeout(6):
                conn = await standins.Connection.open(node.caller)
                status, _fields, body = await conn.ask(
                    'POST', '/answer/stock', engines.stream_fields(name), b'{}'
                )
                conn.close()
            end = f'status {status}, {body.count(b"id:")} events'
        except (OSError, ValueError, asyncio.IncompleteReadError) as exc:
            end = type(exc).__name__
        self.record.line(f'client got for {name} at {node.name}: {end}')

    def _open_groups(self):
        return [
            one
            for one in self.engines
            if one.group and one.group['state'] == 'open'
        ]

    async def _until(self, condition, timeout_s):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            found = condition()
            if found:
                return found
            await asyncio.sleep(0.01)
        return None

    async def outage(self, number):
        """Plays one outage and, unless it ends late, a kill of the leader."""
        heads = {one.group['name']: one for one in self._open_groups()}
        store, record = self.store, self.record
        store.mode = 'busy'
        began_at = time.monotonic()
        record.line(f'outage {number} of the store begins')
        await asyncio.sleep(CRASH_AFTER_S)
        head = max(heads.values(), key=lambda one: one.group['epoch'])
        victim = head.fleet[head.members[1]]
        record.line(f'runner {victim.name} of {head.group["name"]} crashes')
        victim.crash()
        left_s = began_at + OUTAGE_MAX_S - 0.5 - time.monotonic()
        opened = await self._until(
            lambda: [
                one
                for one in self._open_groups()
                if one.group['name'] not in heads
            ],
            left_s,
        )
        node = next(one for one in self.nodes if one.name == self.writer)
        is_killed = bool(opened)
        if is_killed:
            node.signal(signal.SIGKILL)
        await asyncio.sleep(KILL_TO_RETURN_S)
        store.mode = ''
        ended_at = time.monotonic()
        for one in self.engines:
            one.writes_from = ended_at + RUNNERS_BACK_S
        record.line(f'outage {number} ends after {ended_at - began_at:.2f} s')
        await asyncio.sleep(NODE_RESTART_S - KILL_TO_RETURN_S)
        if is_killed:
            await node.proc.wait()
            await node.start()
        await asyncio.sleep(ENGINE_RESTART_S)
        await victim.restart()

    async def end(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            await node.end()
        self.store.stop()
        for engine in self.engines:
            engine.crash()


async def case(record, temporary, has_trouble):
    world = World(record, temporary)
    try:
        await world.start()
        for number in range(ROUNDS):
            await asyncio.sleep(CALM_S)
            if has_trouble:
                await world.outage(number)
                if world.breaches:
                    break
    finally:
        with contextlib.suppress(RuntimeError):
            await world.end()
    return world.breaches


standins.main(case, FOLDER / 'record.txt')

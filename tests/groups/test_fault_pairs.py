"""Every pair of faults, through the real rows, plans and orders."""

import asyncio
import dataclasses
import itertools
import random

import pytest

from plantainway import clock
from plantainway import errors
from plantainway import groups
from plantainway import standins
from plantainway import stores
from plantainway.stores import _table
from plantainway import wire

STEP_S = 0.5
SETTLE_STEPS = 160
SPEC = groups.GroupSpec(
    'g', 'v', 'w', (), 2, 2, 1.0, 1.0, 1.0, 2.0, 0, 1.0, 1.0
)


@pytest.fixture(autouse=True)
def no_real_pause(monkeypatch):
    """Settling a lost reply takes no real time."""
    monkeypatch.setattr(_table, 'SETTLE_PAUSE_S', 0.0)


@dataclasses.dataclass
class Engine:
    """An engine as far as control sees it."""

    boot: int = 1
    up: bool = True
    copy_id: str = ''
    token: int = 0
    role: str = 'idle'
    floor: int = 0
    ready_at: float = 0.0
    checks_fencing: bool = True

    def take(self, order, now):
        """Carries out an order, or refuses one with an old token."""
        if not self.up:
            return
        if order.name == 'load':
            old = order.token <= self.floor or order.token < self.token
            if (old and self.checks_fencing) or (self.copy_id, self.token) == (
                order.copy_id,
                order.token,
            ):
                return
            self.copy_id, self.token = order.copy_id, order.token
            self.role, self.ready_at = 'loading', now + 2.0
        elif order.name == 'unload' and (
            order.token >= self.token or not self.checks_fencing
        ):
            self.floor = max(self.floor, order.token, self.token)
            self.copy_id, self.token, self.role = '', 0, 'idle'
        elif order.name == 'drain' and order.token == self.token:
            self.role = 'drained'

    def restart(self):
        """Comes back with a new boot and no role."""
        self.__init__(self.boot + 1, checks_fencing=self.checks_fencing)


class CutTable(standins.MemoryTable):
    """One controller's way to the shared table, which may be cut."""

    def __init__(self, shared):
        self.shared = shared
        self.cut = False

    async def read(self, key):
        """Reads a row unless cut."""
        if self.cut:
            raise errors.StoreUnavailableError('cut', 'read')
        return await self.shared.read(key)

    async def scan(self, prefix, limit=0):
        """Lists rows unless cut."""
        if self.cut:
            raise errors.StoreUnavailableError('cut', 'scan')
        return await self.shared.scan(prefix, limit)

    async def commit(self, txn):
        """Commits unless cut."""
        if self.cut:
            return stores.CommitResult(
                stores.Outcome.NOT_COMMITTED, 'unavailable'
            )
        return await self.shared.commit(txn)


class World:
    """A fabric domain of six VMs, and two candidates for its lease."""

    def __init__(self, seed, fencing):
        self.fencing = fencing
        self.clear_at = {}
        self.rng = random.Random(seed)
        self.clock = clock.ManualClock()
        self.table = standins.MemoryTable()
        self.engines = {
            f'vm-{n}': Engine(checks_fencing=fencing) for n in range(6)
        }
        self.unlisted = set()
        self.lost_since = {}
        self.spec = SPEC
        self.tables = [CutTable(self.table) for _ in range(2)]
        self.stores = [
            groups.ShardStore('f', f'n{n}', 1, table, self.clock)
            for n, table in enumerate(self.tables)
        ]
        self.paused = set()
        self.later = []
        self.mail = []
        self.lose_orders = self.delay_orders = self.double_orders = 0
        self.returns = groups.AbsenceModel()

    def at(self, after_s, call):
        """Calls something later."""
        self.later.append((self.clock.now() + after_s, call))

    async def step(self):
        """Moves on by half a second and checks what must hold."""
        self.clock.advance(STEP_S)
        now = self.clock.now()
        for item in [x for x in self.later if x[0] <= now]:
            self.later.remove(item)
            item[1]()
        for item in [x for x in self.mail if x[0] <= now]:
            self.mail.remove(item)
            self.engines[item[1].vm].take(item[1], now)
        for vm, engine in self.engines.items():
            if engine.role == 'loading' and now >= engine.ready_at:
                engine.role = 'ready'
            if engine.up:
                self.lost_since.pop(vm, None)
            else:
                self.lost_since.setdefault(vm, now)
        for number, store in enumerate(self.stores):
            if number not in self.paused:
                try:
                    await self.control(store)
                except errors.PlantainwayError:
                    pass
        self.check()

    async def control(self, store):
        """One step of a controller, as the control task makes it."""
        if store.lease is None:
            await store.observe()
            if store.observer.is_expired(self.clock.now()):
                await store.take()
                self.wait_out_orders(store)
            return
        await store.renew()
        for vm in sorted(set(self.engines) - set(store.holds)):
            await store.add_vm(vm)
        policy = groups.PlannerPolicy(self.returns)
        for action in groups.plan(self.view(store), policy).actions:
            await store.apply(action)
            self.wait_out_orders(store)
        for order in groups.orders_due(self.view(store)):
            if store.held:
                self.send(order)

    def wait_out_orders(self, store):
        """Notes until when old orders may be on their way, as control does."""
        for vm, hold in store.holds.items():
            if not hold.releasing:
                self.clear_at.pop(vm, None)
            elif vm not in self.clear_at:
                self.clear_at[vm] = self.clock.now() + 10.0

    def send(self, order):
        """Sends an order, which may be lost, late or executed twice."""
        if self.lose_orders:
            self.lose_orders -= 1
            return
        delay_s = 0.0
        if self.delay_orders:
            self.delay_orders -= 1
            delay_s = 6.0
        self.mail.append((self.clock.now() + delay_s, order))
        if self.double_orders:
            self.double_orders -= 1
            self.mail.append((self.clock.now() + 7.0, order))

    def observation(self, vm):
        """Returns what a watcher sees."""
        engine = self.engines[vm]
        seen = wire.SeenVm(
            engine.up,
            str(engine.boot) if engine.up else '',
            engine.copy_id,
            engine.token,
            engine.role,
            False,
            4,
        )
        return groups.Observation(seen, self.clock.now(), 'w')

    def view(self, store):
        """Returns what a controller plans with."""
        facts = {
            vm: groups.VmFacts(
                vm,
                '',
                vm not in self.unlisted,
                False,
                self.fencing,
                self.observation(vm),
                self.lost_since.get(vm),
                self.clear_at.get(vm, 0.0),
            )
            for vm in self.engines
        }
        specs = {'g': self.spec} if self.spec else {}
        return groups.ShardView(
            'f',
            dict(store.copies),
            dict(store.holds),
            specs,
            facts,
            self.clock.now(),
        )

    def allowed(self):
        """Returns the members of every copy that nodes would send to."""
        found = []
        for key, row in self.table.rows().items():
            if not key.startswith('copy/'):
                continue
            value = row.value
            view = wire.CopyView(
                value['copy_id'],
                value['group'],
                value['version'],
                value['token'],
                value['state'],
                value['members'],
                row.version,
            )
            if groups.may_send(view, self.observation).allowed:
                found.append([vm for vm, _boot in value['members']])
        return found

    def check(self):
        """Checks the promises on groups and VMs from the true state."""
        serving = self.allowed()
        for members in serving:
            assert all(self.engines[vm].up for vm in members)
        used = list(itertools.chain.from_iterable(serving))
        assert len(used) == len(set(used))
        rows = self.table.rows()
        held = [
            vm
            for key, row in rows.items()
            if key.startswith('copy/')
            for vm, _boot in row.value['members']
        ]
        assert len(held) == len(set(held))
        for vm in held:
            assert rows[f'vm/{vm}'].value['copy_id']


def a_member(world):
    """Returns a member of a copy, or any VM."""
    members = list(itertools.chain.from_iterable(world.allowed()))
    return world.rng.choice(members or sorted(world.engines))


def death(world):
    """A member dies, and a new VM takes its name much later."""
    vm = a_member(world)
    world.engines[vm].up = False
    world.unlisted.add(vm)
    world.at(40.0, lambda: world.unlisted.discard(vm))
    world.at(40.0, world.engines[vm].restart)


def death_list_lags(world):
    """A member dies and the list goes on showing it."""
    vm = a_member(world)
    world.engines[vm].up = False
    world.at(40.0, world.engines[vm].restart)


def listed_late(world):
    """A VM that is well is missing from the list."""
    vm = a_member(world)
    world.unlisted.add(vm)
    world.at(10.0, lambda: world.unlisted.discard(vm))


def _back(engine):
    engine.up = True


def pause(world):
    """A member is away for a moment and returns with its boot."""
    engine = world.engines[a_member(world)]
    engine.up = False
    world.at(2.0, lambda: _back(engine))


def late_return(world):
    """A member returns with its boot after it was replaced."""
    engine = world.engines[a_member(world)]
    engine.up = False
    world.at(30.0, lambda: _back(engine))


def new_boot(world):
    """A member returns with a new boot."""
    engine = world.engines[a_member(world)]
    engine.up = False
    world.at(3.0, engine.restart)


def _holder(world):
    for number, store in enumerate(world.stores):
        if store.lease is not None:
            return number
    return 0


def controller_paused(world):
    """The holder is paused past its lease, then goes on."""
    number = _holder(world)
    world.paused.add(number)
    world.at(15.0, lambda: world.paused.discard(number))


def controller_cut(world):
    """The holder can't reach the table for a while."""
    table = world.tables[_holder(world)]
    table.cut = True
    world.at(15.0, lambda: setattr(table, 'cut', False))


def store_down(world):
    """The table is down for a while."""
    faults = world.table.faults
    faults.outage = True
    world.at(12.0, lambda: setattr(faults, 'outage', False))


def replies_lost(world):
    """Replies to the next commits are lost."""
    world.table.faults.lost_replies = 4


def operators_race(world):
    """The declared number of copies changes twice."""
    world.spec = dataclasses.replace(SPEC, copies=1)
    world.at(1.5, lambda: setattr(world, 'spec', None))
    world.at(3.0, lambda: setattr(world, 'spec', SPEC))


def orders_lost(world):
    """The next orders are lost."""
    world.lose_orders = 6


def orders_late(world):
    """The next orders arrive late."""
    world.delay_orders = 6


def orders_doubled(world):
    """The next orders are executed again, seconds later."""
    world.double_orders = 6


FAULTS = [
    death,
    death_list_lags,
    listed_late,
    pause,
    late_return,
    new_boot,
    controller_paused,
    controller_cut,
    store_down,
    replies_lost,
    operators_race,
    orders_lost,
    orders_late,
    orders_doubled,
]
PAIRS = list(itertools.combinations_with_replacement(FAULTS, 2))


@pytest.mark.parametrize('fencing', [True, False])
@pytest.mark.parametrize('one, other', PAIRS, ids=lambda fault: fault.__name__)
def test_pair(one, other, fencing):
    """Two faults break no promise, and the group serves again."""

    async def run():
        world = World(f'{one.__name__}/{other.__name__}', fencing)
        for _step in range(40):
            await world.step()
        assert len(world.allowed()) == 2
        one(world)
        for _step in range(world.rng.randrange(0, 8)):
            await world.step()
        other(world)
        for _step in range(SETTLE_STEPS):
            await world.step()
        assert len(world.allowed()) == 2

    asyncio.run(run())

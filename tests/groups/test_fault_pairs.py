"""Tests of every pair of faults with the real rows, plans and orders."""

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
    """Removes the pause before an unknown commit is read back."""
    monkeypatch.setattr(_table, 'READ_BACK_INTERVAL_S', 0.0)


@dataclasses.dataclass
class Engine:
    """Fake engine with the state that controllers use."""

    boot: int = 1
    up: bool = True
    copy_id: str = ''
    token: int = 0
    role: str = 'idle'
    floor: int = 0
    ready_at: float = 0.0
    checks_fencing: bool = True

    def execute(self, order, now):
        """Executes an order, or ignores one with an old token."""
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
        """Restarts with a new boot and no role."""
        self.__init__(self.boot + 1, checks_fencing=self.checks_fencing)


class PartitionedTable(standins.MemoryTable):
    """One controller's connection to the table, which may be cut off."""

    def __init__(self, shared):
        self.shared = shared
        self.is_partitioned = False

    async def read(self, key):
        """Reads a row unless partitioned."""
        if self.is_partitioned:
            raise errors.StoreUnavailableError('partitioned', 'read')
        return await self.shared.read(key)

    async def scan(self, prefix, limit=0):
        """Lists rows unless partitioned."""
        if self.is_partitioned:
            raise errors.StoreUnavailableError('partitioned', 'scan')
        return await self.shared.scan(prefix, limit)

    async def commit(self, txn):
        """Commits unless partitioned."""
        if self.is_partitioned:
            return stores.CommitResult(
                stores.Outcome.NOT_COMMITTED, 'unavailable'
            )
        return await self.shared.commit(txn)


class Simulation:
    """A fabric domain of six VMs and two candidates for its lease."""

    def __init__(self, seed, fencing):
        self.fencing = fencing
        self.old_orders_expire_at = {}
        self.rng = random.Random(seed)
        self.clock = clock.ManualClock()
        self.table = standins.MemoryTable()
        self.engines = {
            f'vm-{n}': Engine(checks_fencing=fencing) for n in range(6)
        }
        self.unlisted = set()
        self.lost_since = {}
        self.spec = SPEC
        self.tables = [PartitionedTable(self.table) for _ in range(2)]
        self.stores = [
            groups.ShardStore('f', f'n{n}', 1, table, self.clock)
            for n, table in enumerate(self.tables)
        ]
        self.paused = set()
        self.scheduled = []
        self.in_flight = []
        self.orders_to_lose = self.orders_to_delay = (
            self.orders_to_duplicate
        ) = 0
        self.returns = groups.AbsenceModel()

    def schedule(self, after_s, call):
        """Schedules a call after some simulated seconds."""
        self.scheduled.append((self.clock.now() + after_s, call))

    async def step(self):
        """Advances time by ``STEP_S`` and checks the invariants."""
        self.clock.advance(STEP_S)
        now = self.clock.now()
        for item in [x for x in self.scheduled if x[0] <= now]:
            self.scheduled.remove(item)
            item[1]()
        for item in [x for x in self.in_flight if x[0] <= now]:
            self.in_flight.remove(item)
            self.engines[item[1].vm].execute(item[1], now)
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
        """Runs one step of a controller, as the shard controllers do."""
        if store.lease is None:
            await store.observe()
            if store.observer.is_expired(self.clock.now()):
                await store.acquire()
                self.track_order_expiry(store)
            return
        await store.renew()
        for vm in sorted(set(self.engines) - set(store.holds)):
            await store.add_vm(vm)
        policy = groups.PlannerPolicy(self.returns)
        for action in groups.plan(self.view(store), policy).actions:
            await store.apply(action)
            self.track_order_expiry(store)
        for order in groups.orders_due(self.view(store)):
            if store.is_held:
                self.send(order)

    def track_order_expiry(self, store):
        """Records when old orders expire, as the domain controller does."""
        for vm, hold in store.holds.items():
            if not hold.releasing:
                self.old_orders_expire_at.pop(vm, None)
            elif vm not in self.old_orders_expire_at:
                self.old_orders_expire_at[vm] = self.clock.now() + 10.0

    def send(self, order):
        """Sends an order, which may be lost, delayed or duplicated."""
        if self.orders_to_lose:
            self.orders_to_lose -= 1
            return
        delay_s = 0.0
        if self.orders_to_delay:
            self.orders_to_delay -= 1
            delay_s = 6.0
        self.in_flight.append((self.clock.now() + delay_s, order))
        if self.orders_to_duplicate:
            self.orders_to_duplicate -= 1
            self.in_flight.append((self.clock.now() + 7.0, order))

    def observation(self, vm):
        """Returns the current observation of a VM by a watcher."""
        engine = self.engines[vm]
        seen = wire.VmState(
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
        """Returns the planner input of a controller."""
        facts = {
            vm: groups.VmFacts(
                vm,
                '',
                vm not in self.unlisted,
                False,
                self.fencing,
                self.observation(vm),
                self.lost_since.get(vm),
                self.old_orders_expire_at.get(vm, 0.0),
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

    def routable_members(self):
        """Returns the members of every copy that may get requests."""
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
        """Checks the invariants of copies and VMs on the actual state.

        No request goes to a copy with a dead member, and no VM is in two
        copies.
        """
        serving = self.routable_members()
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


def pick_member(sim):
    """Returns a random member of a serving copy, or else any VM."""
    members = list(itertools.chain.from_iterable(sim.routable_members()))
    return sim.rng.choice(members or sorted(sim.engines))


def death(sim):
    """A member dies; a new VM gets its name 40 s later."""
    vm = pick_member(sim)
    sim.engines[vm].up = False
    sim.unlisted.add(vm)
    sim.schedule(40.0, lambda: sim.unlisted.discard(vm))
    sim.schedule(40.0, sim.engines[vm].restart)


def death_list_lags(sim):
    """A member dies and stays in the VM list."""
    vm = pick_member(sim)
    sim.engines[vm].up = False
    sim.schedule(40.0, sim.engines[vm].restart)


def listed_late(sim):
    """A healthy VM is missing from the VM list for 10 s."""
    vm = pick_member(sim)
    sim.unlisted.add(vm)
    sim.schedule(10.0, lambda: sim.unlisted.discard(vm))


def _resume(engine):
    engine.up = True


def pause(sim):
    """A member is unreachable for 2 s and returns with the same boot."""
    engine = sim.engines[pick_member(sim)]
    engine.up = False
    sim.schedule(2.0, lambda: _resume(engine))


def late_return(sim):
    """A member returns with the same boot after it was replaced."""
    engine = sim.engines[pick_member(sim)]
    engine.up = False
    sim.schedule(30.0, lambda: _resume(engine))


def new_boot(sim):
    """A member returns with a new boot."""
    engine = sim.engines[pick_member(sim)]
    engine.up = False
    sim.schedule(3.0, engine.restart)


def _holder_index(sim):
    for number, store in enumerate(sim.stores):
        if store.lease is not None:
            return number
    return 0


def controller_paused(sim):
    """The lease holder is paused past its deadline, then resumes."""
    number = _holder_index(sim)
    sim.paused.add(number)
    sim.schedule(15.0, lambda: sim.paused.discard(number))


def controller_cut(sim):
    """The lease holder can't reach the table for 15 s."""
    table = sim.tables[_holder_index(sim)]
    table.is_partitioned = True
    sim.schedule(15.0, lambda: setattr(table, 'is_partitioned', False))


def store_down(sim):
    """The table is down for 12 s."""
    faults = sim.table.faults
    faults.outage = True
    sim.schedule(12.0, lambda: setattr(faults, 'outage', False))


def replies_lost(sim):
    """Replies to the next four commits are lost."""
    sim.table.faults.lost_replies = 4


def operators_race(sim):
    """The declared number of copies changes twice."""
    sim.spec = dataclasses.replace(SPEC, copies=1)
    sim.schedule(1.5, lambda: setattr(sim, 'spec', None))
    sim.schedule(3.0, lambda: setattr(sim, 'spec', SPEC))


def orders_lost(sim):
    """The next six orders are lost."""
    sim.orders_to_lose = 6


def orders_late(sim):
    """The next six orders are delayed."""
    sim.orders_to_delay = 6


def orders_doubled(sim):
    """The next six orders are executed again 7 s later."""
    sim.orders_to_duplicate = 6


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
def test_fault_pair(one, other, fencing):
    """No pair of faults breaks an invariant, and both copies serve again."""

    async def run():
        sim = Simulation(f'{one.__name__}/{other.__name__}', fencing)
        for _step in range(40):
            await sim.step()
        assert len(sim.routable_members()) == 2
        one(sim)
        for _step in range(sim.rng.randrange(0, 8)):
            await sim.step()
        other(sim)
        for _step in range(SETTLE_STEPS):
            await sim.step()
        assert len(sim.routable_members()) == 2

    asyncio.run(run())

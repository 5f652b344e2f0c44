"""Replays a seeded list of events through the planning functions.

Usage: ``python -m benchmarks.groups --seed=N --scale={today,letter}
--policy={static,replace,wait,planner,oracle} [--weights={obalnik,lodz}]``;
prints one JSON object. ``--table`` runs all policies over many seeds.
"""

import collections
import concurrent.futures
import dataclasses
import heapq
import json
import statistics
import time

import fire

from benchmarks import _events
from benchmarks import _trace
from plantainway import groups
from plantainway import wire

WEIGHTS = {'obalnik': (200.0, 1.0), 'lodz': (2.0, 1.0)}
POLICIES = ('static', 'replace', 'wait', 'planner', 'oracle')
DETECT_S = 1.0  # from a loss or return until the controller sees it
LOAD_S = 80.0  # to fetch one member's weights at full speed
JOIN_S = 30.0
DRAIN_S = 45.0
COMMIT_S = 0.02
INFINITY = float('inf')


@dataclasses.dataclass
class Vm:
    """True state of a VM and its engine."""

    name: str
    up: bool = True
    boot: int = 1
    seen_up: bool = True
    seen_boot: int = 1
    lost_since: float | None = None
    listed: bool = True
    leaving: bool = False
    was_leaving: bool = False
    back_at: float = 0.0
    same_boot: bool = True
    copy_id: str = ''
    token: int = 0
    role: str = 'idle'
    warm: str = ''
    fetching: str = ''


class WeightStore:
    """Transfers that share a rate, each with a cap.

    Args:
        vms: How many transfers run at full speed.
    """

    def __init__(self, vms: int):
        self._vms = vms
        self._left: dict[str, float] = {}
        self._at = 0.0

    def _speed(self) -> float:
        return min(1.0, self._vms / max(len(self._left), 1))

    def advance(self, now: float) -> list[str]:
        """Moves to a time and returns the VMs that are done."""
        moved = (now - self._at) * self._speed()
        self._at = now
        for vm in self._left:
            self._left[vm] -= moved
        done = [vm for vm, left in self._left.items() if left <= 1e-6]
        for vm in done:
            del self._left[vm]
        return done

    def start(self, vm: str) -> None:
        """Starts a transfer of one member's weights."""
        self._left[vm] = LOAD_S

    def cancel(self, vm: str) -> None:
        """Ends a transfer."""
        self._left.pop(vm, None)

    def next_at(self) -> float:
        """Returns when the next transfer is done if nothing changes."""
        if not self._left:
            return INFINITY
        return self._at + min(self._left.values()) / self._speed()


class Domain:
    """One fabric domain: its rows, its engines, its plan.

    Args:
        world: The replay.
        number: Number of the domain.
    """

    def __init__(self, world, number: int):
        self.name = f'd{number:02d}'
        self.world = world
        self.copies: dict[str, groups.Copy] = {}
        self.vms = {}
        for index in range(world.scale.domains[number]):
            name = _events.vm_name(number, index)
            self.vms[name] = Vm(name)
        self.holds = {vm: groups.Hold(vm, self.name) for vm in self.vms}
        self.next_number = 1
        self.wake_at = 0.0
        weights = WEIGHTS[world.weights]
        self.specs = {
            size.name: groups.GroupSpec(
                size.name,
                'v',
                size.name,
                (),
                size.per_domain[number],
                size.vms_per_copy,
                weights[0],
                weights[1],
                size.value,
                LOAD_S,
                size.extra,
                JOIN_S,
                DRAIN_S,
                world.scale.store_vms,
            )
            for size in world.scale.groups
            if size.per_domain[number] or size.extra
        }
        self.serving: set[str] = set()

    def facts(self, vm: Vm, now: float) -> groups.VmFacts:
        """Returns what the controller knows of a VM."""
        seen = None
        if vm.seen_up:
            seen = groups.Observation(
                wire.VmState(
                    True,
                    str(vm.seen_boot),
                    vm.copy_id,
                    vm.token,
                    vm.role,
                    False,
                    8,
                    vm.warm,
                ),
                now,
                'watcher',
            )
        return groups.VmFacts(
            vm.name,
            '',
            vm.listed,
            vm.leaving,
            True,
            seen,
            vm.lost_since,
            0.0,
        )

    def plan(self, now: float) -> None:
        """Plans and carries the plan out until nothing is left to do."""
        if now < self.world.table_back_at:
            self.wake_at = self.world.table_back_at
            return
        for _round in range(8):
            view = groups.ShardView(
                self.name,
                self.copies,
                self.holds,
                self.specs,
                {name: self.facts(vm, now) for name, vm in self.vms.items()},
                now,
            )
            started = time.perf_counter()
            found = groups.plan(view, self.world.policy)
            self.world.decision_us.append(
                (time.perf_counter() - started) * 1e6
            )
            self.wake_at = found.replan_at
            for action in found.actions:
                self._apply(action, now)
            for item in found.prefetches:
                self._prefetch(item)
            self._carry_out(now)
            if not found.actions:
                break
        self.check_serving(now)

    def _apply(self, action, now: float) -> None:
        changes = groups.apply_action(
            self.name, self.copies, self.holds, action, self.next_number
        )
        if any(c.token == self.next_number for c in changes.copies):
            self.next_number += 1
        self.world.table_writes += 1
        for copy in changes.copies:
            if copy.members:
                self.copies[copy.copy_id] = copy
            else:
                del self.copies[copy.copy_id]
        for hold in changes.holds:
            self.holds[hold.vm] = hold
            self.world.trace.hold(now, hold.vm, hold.copy_id)

    def _prefetch(self, item) -> None:
        vm = self.vms[item.vm]
        label = item.spec.warm_label(item.rank)
        if vm.up and vm.role == 'idle' and not vm.fetching:
            if vm.warm != label:
                self._fetch(vm, label)

    def _fetch(self, vm: Vm, label: str) -> None:
        if not self.world.started:
            vm.warm = label  # the fleet stands when the replay begins
            return
        vm.fetching = label
        vm.warm = ''
        self.world.store.start(vm.name)
        self.world.loads += 1

    def _carry_out(self, now: float) -> None:
        """Engines take the orders that are due."""
        for copy in self.copies.values():
            for rank, member in enumerate(copy.members):
                vm = self.vms[member.vm]
                if not vm.up:
                    continue
                ours = (vm.copy_id, vm.token) == (copy.copy_id, copy.token)
                if copy.state is groups.CopyState.LOADING and not ours:
                    vm.copy_id, vm.token = copy.copy_id, copy.token
                    vm.role = 'loading'
                    label = self.specs[copy.group].warm_label(rank)
                    if vm.warm != label and vm.fetching != label:
                        self.world.store.cancel(vm.name)
                        self._fetch(vm, label)
                elif copy.state is groups.CopyState.DRAINING and ours:
                    if rank == 0 and vm.role == 'ready':
                        vm.role = 'draining'
                        self.world.at(
                            now + DRAIN_S, self._drained, vm, vm.token
                        )
            if copy.state is groups.CopyState.LOADING:
                self._check_loaded(copy, now)
        for hold in self.holds.values():
            vm = self.vms[hold.vm]
            if hold.releasing and vm.up and vm.role != 'idle':
                vm.copy_id, vm.token, vm.role = '', 0, 'idle'

    def _drained(self, vm: Vm, token: int, now: float) -> None:
        if vm.role == 'draining' and vm.token == token:
            vm.role = 'drained'

    def _check_loaded(self, copy, now: float) -> None:
        """All members have their weights: they join, then are ready."""
        spec = self.specs[copy.group]
        vms = [self.vms[member.vm] for member in copy.members]
        if all(
            vm.up and vm.role == 'loading' and vm.warm == spec.warm_label(rank)
            for rank, vm in enumerate(vms)
        ):
            for vm in vms:
                vm.role = 'joining'
            self.world.at(now + JOIN_S, self._joined, vms, copy.token)

    def _joined(self, vms, token: int, now: float) -> None:
        if all(vm.role == 'joining' and vm.token == token for vm in vms):
            for vm in vms:
                vm.role = 'ready'
        else:
            for vm in vms:
                if vm.role == 'joining' and vm.token == token:
                    vm.role = 'loading'

    def check_serving(self, now: float) -> None:
        """Notes which copies get new work, by the rule of the nodes."""
        observations = {
            name: self.facts(vm, now).observation
            for name, vm in self.vms.items()
        }
        for copy_id, copy in self.copies.items():
            view = wire.CopyView(
                copy.copy_id,
                copy.group,
                copy.version,
                copy.token,
                str(copy.state),
                [[m.vm, m.boot] for m in copy.members],
                1,
            )
            leaving = any(self.vms[m.vm].leaving for m in copy.members)
            verdict = groups.may_send(view, observations.get)
            allowed = verdict.allowed and not leaving
            if allowed and copy_id not in self.serving:
                self.serving.add(copy_id)
                self.world.trace.serve(now, copy_id, copy.group, copy.vms)
            elif not allowed and copy_id in self.serving:
                self.serving.discard(copy_id)
                self.world.trace.stop(now, copy_id)
        for copy_id in self.serving - set(self.copies):
            self.serving.discard(copy_id)
            self.world.trace.stop(now, copy_id)


class Replay:
    """One run.

    Args:
        scale: Name of the fleet.
        seed: Seed of the events.
        policy: Name of the policy.
        weights: Whose weights to plan with.
    """

    def __init__(self, scale: str, seed: int, policy: str, weights: str):
        self.scale = _events.SCALES[scale]
        self.weights = weights
        self.returns = groups.AbsenceModel()
        self.policy = self._make_policy(policy)
        self.store = WeightStore(self.scale.store_vms)
        self.trace = _trace.Trace()
        self.table_back_at = 0.0
        self.decision_us: list[float] = []
        self.table_writes = 0
        self.loads = 0
        self.started = False
        self._watched_until = 0.0
        self._queue: list = []
        self._order = 0
        self._dirty: set[str] = set()
        self.domains = {}
        self._domain_of = {}
        for number in range(len(self.scale.domains)):
            domain = Domain(self, number)
            self.domains[domain.name] = domain
            for name in domain.vms:
                self._domain_of[name] = domain
        self.now = 0.0
        self._absences = collections.defaultdict(list)
        for event in _events.make_events(self.scale, seed):
            self.at(event.at, self._happen, event)
            if event.kind == 'away':
                self._absences[event.vm].append(
                    (event.at, event.back_at, event.same_boot)
                )

    def _make_policy(self, name: str):
        if name == 'oracle':
            return groups.OraclePolicy(self.returns, self._return_of)
        return {
            'static': groups.StaticPolicy,
            'replace': groups.ReplacePolicy,
            'wait': groups.WaitPolicy,
            'planner': lambda: groups.PlannerPolicy(self.returns),
        }[name]()

    def _return_of(self, name: str) -> tuple[float, bool]:
        vm = self._domain_of[name].vms[name]
        if not vm.up:
            return vm.back_at, vm.same_boot
        coming = [item for item in self._absences[name] if item[0] > self.now]
        return coming[0][1:] if coming else (INFINITY, False)

    def at(self, when: float, call, *arguments) -> None:
        """Calls something at a time."""
        self._order += 1
        heapq.heappush(self._queue, (when, self._order, call, arguments))

    def run(self) -> dict:
        """Replays all events and returns the measures."""
        horizon = _events.START_S + self.scale.days * _events.DAY_S
        now = 0.0
        self._dirty = set(self.domains)
        while True:
            for name in sorted(self._dirty):
                self.domains[name].plan(now)
            self._dirty.clear()
            wakes = min(d.wake_at for d in self.domains.values())
            queued = self._queue[0][0] if self._queue else INFINITY
            now = max(now, min(queued, wakes, self.store.next_at()))
            if now >= horizon:
                break
            self.started = now >= _events.START_S
            self._advance(now)
        self.trace.end(horizon)
        return self._measures(horizon)

    def _advance(self, now: float) -> None:
        self.returns.add_exposure(
            len(self._domain_of) * (now - self._watched_until)
        )
        self._watched_until = self.now = now
        for name in self.store.advance(now):
            vm = self._domain_of[name].vms[name]
            vm.warm, vm.fetching = vm.fetching, ''
            self._dirty.add(self._domain_of[name].name)
        while self._queue and self._queue[0][0] <= now:
            _at, _order, call, arguments = heapq.heappop(self._queue)
            call(*arguments, now)
            owner = getattr(call, '__self__', None)
            if isinstance(owner, Domain):
                self._dirty.add(owner.name)
        for domain in self.domains.values():
            if domain.wake_at <= now:
                self._dirty.add(domain.name)

    def _happen(self, event, now: float) -> None:
        if event.kind == 'outage':
            self.table_back_at = event.back_at
            self.at(event.back_at, self._touch_all)
            return
        domain = self._domain_of[event.vm]
        vm = domain.vms[event.vm]
        if event.kind == 'notice':
            vm.leaving = True
            self.at(now + DETECT_S, self._touch, domain)
        elif event.kind == 'unlisted':
            vm.listed = False
            self.at(now, self._touch, domain)
        else:
            self._go_away(domain, vm, event, now)

    def _go_away(self, domain, vm, event, now: float) -> None:
        vm.up = False
        vm.was_leaving = vm.leaving
        vm.back_at, vm.same_boot = event.back_at, event.same_boot
        self.trace.down(now, vm.name)
        self.store.cancel(vm.name)
        self.at(now + DETECT_S, self._see, domain, vm)
        self.at(event.back_at, self._come_back, domain, vm)

    def _come_back(self, domain, vm, now: float) -> None:
        vm.up, vm.listed, vm.leaving = True, True, False
        if vm.same_boot:
            if vm.fetching:
                self.store.start(vm.name)
        else:
            vm.boot += 1
            vm.copy_id, vm.token, vm.role = '', 0, 'idle'
            vm.warm = vm.fetching = ''
        self.trace.up(now, vm.name, vm.same_boot)
        self.at(now + DETECT_S, self._see, domain, vm)

    def _see(self, domain, vm, now: float) -> None:
        if vm.up == vm.seen_up and vm.boot == vm.seen_boot:
            return
        if vm.up and vm.lost_since is not None:
            away_s = now - vm.lost_since
            same = vm.boot == vm.seen_boot
            if not vm.was_leaving:
                self.returns.add_absence(away_s if same else INFINITY)
        vm.seen_up, vm.seen_boot = vm.up, vm.boot
        vm.lost_since = None if vm.up else now
        self._dirty.add(domain.name)
        # Nodes stop or resume sending whether or not the table is up.
        domain.check_serving(now)

    def _touch(self, domain, now: float) -> None:
        self._dirty.add(domain.name)
        domain.check_serving(now)

    def _touch_all(self, now: float) -> None:
        self._dirty |= set(self.domains)

    def _measures(self, horizon: float) -> dict:
        declared = {}
        for size in self.scale.groups:
            declared[size.name] = sum(size.per_domain)
        vms = list(self._domain_of)
        downtime, stranded = self.trace.measures(
            declared, vms, _events.START_S, horizon
        )
        ordered = sorted(self.decision_us)
        return {
            'group_downtime_s': round(downtime, 1),
            'stranded_accelerator_s': round(stranded, 1),
            'weighted_cost': {
                name: round(down * downtime + idle * stranded)
                for name, (down, idle) in WEIGHTS.items()
            },
            'violations': len(self.trace.violations()),
            'decision_us': {
                'p50': round(ordered[len(ordered) // 2], 1),
                'p99': round(ordered[len(ordered) * 99 // 100], 1),
            },
            'table_writes': self.table_writes,
            'loads': self.loads,
        }


def run_one(scale: str, seed: int, policy: str, weights: str) -> dict:
    """Runs one replay.

    Args:
        scale: Name of the fleet.
        seed: Seed of the events.
        policy: Name of the policy.
        weights: Whose weights to plan with.
    """
    found = Replay(scale, seed, policy, weights).run()
    return found | {
        'scale': scale,
        'seed': seed,
        'policy': policy,
        'weights': weights,
    }


def _table(scale: str, seeds: int, workers: int) -> None:
    jobs = [
        (scale, seed, policy, weights)
        for weights in WEIGHTS
        for policy in POLICIES
        for seed in range(1, seeds + 1)
    ]
    results = []
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        for found in pool.map(run_one, *zip(*jobs, strict=True)):
            results.append(found)
    for weights in WEIGHTS:
        print(f'\n{scale}, planned with the weights of {weights}:')
        print(
            'policy   median cost  downtime s  stranded s  violations  '
            'p50 us  p99 us  loads'
        )
        for policy in POLICIES:
            rows = [
                row
                for row in results
                if (row['policy'], row['weights']) == (policy, weights)
            ]

            def median(pick, rows=rows):
                return statistics.median(pick(row) for row in rows)

            print(
                f'{policy:<8}'
                f'{median(lambda r: r["weighted_cost"][weights]):>12.0f}'
                f'{median(lambda r: r["group_downtime_s"]):>12.0f}'
                f'{median(lambda r: r["stranded_accelerator_s"]):>12.0f}'
                f'{sum(row["violations"] for row in rows):>12}'
                f'{median(lambda r: r["decision_us"]["p50"]):>8.0f}'
                f'{median(lambda r: r["decision_us"]["p99"]):>8.0f}'
                f'{median(lambda r: r["loads"]):>7.0f}'
            )


def main(
    seed: int = 1,
    scale: str = 'today',
    policy: str = 'planner',
    weights: str = 'obalnik',
    table: bool = False,
    seeds: int = 20,
    workers: int = 6,
) -> None:
    """Runs one replay, or the table of all policies.

    Args:
        seed: Seed of the events.
        scale: ``today`` or ``letter``.
        policy: Name of the policy.
        weights: ``obalnik`` or ``lodz``.
        table: Run all policies over many seeds.
        seeds: How many.
        workers: Processes to use.
    """
    if table:
        _table(scale, seeds, workers)
    else:
        print(json.dumps(run_one(scale, seed, policy, weights)))


if __name__ == '__main__':
    fire.Fire(main)

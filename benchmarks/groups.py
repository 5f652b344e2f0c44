"""Simulates a fleet under seeded failures with the real group planner.

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
DETECTION_DELAY_S = 1.0  # until a loss or return is observed
WEIGHTS_TRANSFER_S = 80.0  # to fetch one member's weights at the full rate
JOIN_S = 30.0
DRAIN_S = 45.0
COMMIT_S = 0.02
INFINITY = float('inf')


@dataclasses.dataclass
class Vm:
    """True state of a VM and its engine, and the state last observed."""

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
    """Weight transfers that share a total rate, each with a rate cap.

    Args:
        vms: Number of concurrent transfers that get the full rate.
    """

    def __init__(self, vms: int):
        self._vms = vms
        self._remaining_s: dict[str, float] = {}
        self._updated_at = 0.0

    def _transfer_rate(self) -> float:
        return min(1.0, self._vms / max(len(self._remaining_s), 1))

    def advance(self, now: float) -> list[str]:
        """Advances transfers to a time; returns VMs whose transfer is done."""
        progress_s = (now - self._updated_at) * self._transfer_rate()
        self._updated_at = now
        for vm in self._remaining_s:
            self._remaining_s[vm] -= progress_s
        done = [vm for vm, left in self._remaining_s.items() if left <= 1e-6]
        for vm in done:
            del self._remaining_s[vm]
        return done

    def start(self, vm: str) -> None:
        """Starts the transfer of one member's weights to a VM."""
        self._remaining_s[vm] = WEIGHTS_TRANSFER_S

    def cancel(self, vm: str) -> None:
        """Cancels the transfer to a VM, if there is one."""
        self._remaining_s.pop(vm, None)

    def next_completion_at(self) -> float:
        """Returns when the next transfer ends if no other starts or stops."""
        if not self._remaining_s:
            return INFINITY
        return (
            self._updated_at
            + min(self._remaining_s.values()) / self._transfer_rate()
        )


class Domain:
    """One fabric domain: its table rows, its engines and its planner.

    Args:
        replay: Replay to which the domain belongs.
        number: Number of the domain.
    """

    def __init__(self, replay, number: int):
        self.name = f'd{number:02d}'
        self.replay = replay
        self.copies: dict[str, groups.Copy] = {}
        self.vms = {}
        for index in range(replay.scale.domains[number]):
            name = _events.vm_name(number, index)
            self.vms[name] = Vm(name)
        self.holds = {vm: groups.Hold(vm, self.name) for vm in self.vms}
        self.next_number = 1
        self.replan_due_at = 0.0
        weights = WEIGHTS[replay.weights]
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
                WEIGHTS_TRANSFER_S,
                size.extra,
                JOIN_S,
                DRAIN_S,
                replay.scale.store_vms,
            )
            for size in replay.scale.groups
            if size.per_domain[number] or size.extra
        }
        self.serving: set[str] = set()

    def vm_facts(self, vm: Vm, now: float) -> groups.VmFacts:
        """Returns the controller's view of a VM as last observed."""
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
        """Plans and applies actions until the planner returns none.

        While the table is unavailable, defers planning until it returns.
        """
        if now < self.replay.table_back_at:
            self.replan_due_at = self.replay.table_back_at
            return
        for _round in range(8):
            view = groups.ShardView(
                self.name,
                self.copies,
                self.holds,
                self.specs,
                {
                    name: self.vm_facts(vm, now)
                    for name, vm in self.vms.items()
                },
                now,
            )
            started = time.perf_counter()
            found = groups.plan(view, self.replay.policy)
            self.replay.decision_us.append(
                (time.perf_counter() - started) * 1e6
            )
            self.replan_due_at = found.replan_at
            for action in found.actions:
                self._apply(action, now)
            for item in found.prefetches:
                self._prefetch(item)
            self._execute_orders(now)
            if not found.actions:
                break
        self.update_serving(now)

    def _apply(self, action, now: float) -> None:
        changes = groups.apply_action(
            self.name, self.copies, self.holds, action, self.next_number
        )
        if any(c.token == self.next_number for c in changes.copies):
            self.next_number += 1
        self.replay.table_writes += 1
        for copy in changes.copies:
            if copy.members:
                self.copies[copy.copy_id] = copy
            else:
                del self.copies[copy.copy_id]
        for hold in changes.holds:
            self.holds[hold.vm] = hold
            self.replay.trace.record_claim(now, hold.vm, hold.copy_id)

    def _prefetch(self, item) -> None:
        vm = self.vms[item.vm]
        label = item.spec.warm_label(item.rank)
        if vm.up and vm.role == 'idle' and not vm.fetching:
            if vm.warm != label:
                self._fetch(vm, label)

    def _fetch(self, vm: Vm, label: str) -> None:
        if not self.replay.started:
            vm.warm = label  # formation is not simulated
            return
        vm.fetching = label
        vm.warm = ''
        self.replay.store.start(vm.name)
        self.replay.loads += 1

    def _execute_orders(self, now: float) -> None:
        """Lets engines execute the load, drain and release orders."""
        for copy in self.copies.values():
            for rank, member in enumerate(copy.members):
                vm = self.vms[member.vm]
                if not vm.up:
                    continue
                has_order = (vm.copy_id, vm.token) == (
                    copy.copy_id,
                    copy.token,
                )
                if copy.state is groups.CopyState.LOADING and not has_order:
                    vm.copy_id, vm.token = copy.copy_id, copy.token
                    vm.role = 'loading'
                    label = self.specs[copy.group].warm_label(rank)
                    if vm.warm != label and vm.fetching != label:
                        self.replay.store.cancel(vm.name)
                        self._fetch(vm, label)
                elif copy.state is groups.CopyState.DRAINING and has_order:
                    if rank == 0 and vm.role == 'ready':
                        vm.role = 'draining'
                        self.replay.schedule(
                            now + DRAIN_S, self._finish_drain, vm, vm.token
                        )
            if copy.state is groups.CopyState.LOADING:
                self._join_if_loaded(copy, now)
        for hold in self.holds.values():
            vm = self.vms[hold.vm]
            if hold.releasing and vm.up and vm.role != 'idle':
                vm.copy_id, vm.token, vm.role = '', 0, 'idle'

    def _finish_drain(self, vm: Vm, token: int, now: float) -> None:
        if vm.role == 'draining' and vm.token == token:
            vm.role = 'drained'

    def _join_if_loaded(self, copy, now: float) -> None:
        """Starts the join of a copy whose members all have their weights."""
        spec = self.specs[copy.group]
        vms = [self.vms[member.vm] for member in copy.members]
        if all(
            vm.up and vm.role == 'loading' and vm.warm == spec.warm_label(rank)
            for rank, vm in enumerate(vms)
        ):
            for vm in vms:
                vm.role = 'joining'
            self.replay.schedule(
                now + JOIN_S, self._finish_join, vms, copy.token
            )

    def _finish_join(self, vms, token: int, now: float) -> None:
        if all(vm.role == 'joining' and vm.token == token for vm in vms):
            for vm in vms:
                vm.role = 'ready'
        else:
            for vm in vms:
                if vm.role == 'joining' and vm.token == token:
                    vm.role = 'loading'

    def update_serving(self, now: float) -> None:
        """Records which copies receive new requests by the nodes' own rule."""
        observations = {
            name: self.vm_facts(vm, now).observation
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
                self.replay.trace.record_serving(
                    now, copy_id, copy.group, copy.vms
                )
            elif not allowed and copy_id in self.serving:
                self.serving.discard(copy_id)
                self.replay.trace.record_stopped(now, copy_id)
        for copy_id in self.serving - set(self.copies):
            self.serving.discard(copy_id)
            self.replay.trace.record_stopped(now, copy_id)


class Replay:
    """Discrete-event simulation of one fleet under one policy.

    Args:
        scale: Name of the fleet.
        seed: Seed of the events.
        policy: Name of the planning policy.
        weights: Name of the cost weights to plan with.
    """

    def __init__(self, scale: str, seed: int, policy: str, weights: str):
        self.scale = _events.SCALES[scale]
        self.weights = weights
        self.absence_model = groups.AbsenceModel()
        self.policy = self._make_policy(policy)
        self.store = WeightStore(self.scale.store_vms)
        self.trace = _trace.Trace()
        self.table_back_at = 0.0
        self.decision_us: list[float] = []
        self.table_writes = 0
        self.loads = 0
        self.started = False
        self._exposed_until = 0.0
        self._queue: list = []
        self._sequence = 0
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
            self.schedule(event.at, self._handle_event, event)
            if event.kind == 'away':
                self._absences[event.vm].append(
                    (event.at, event.back_at, event.same_boot)
                )

    def _make_policy(self, name: str):
        if name == 'oracle':
            return groups.OraclePolicy(self.absence_model, self._next_return)
        return {
            'static': groups.StaticPolicy,
            'replace': groups.ReplacePolicy,
            'wait': groups.WaitPolicy,
            'planner': lambda: groups.PlannerPolicy(self.absence_model),
        }[name]()

    def _next_return(self, name: str) -> tuple[float, bool]:
        vm = self._domain_of[name].vms[name]
        if not vm.up:
            return vm.back_at, vm.same_boot
        upcoming = [
            item for item in self._absences[name] if item[0] > self.now
        ]
        return upcoming[0][1:] if upcoming else (INFINITY, False)

    def schedule(self, when: float, call, *arguments) -> None:
        """Queues a call for a time; the call gets that time as last argument.

        Calls of the same time run in the order in which they were queued.
        """
        self._sequence += 1
        heapq.heappush(self._queue, (when, self._sequence, call, arguments))

    def run(self) -> dict:
        """Replays all events and returns costs, violations and timings."""
        horizon = _events.FORMATION_S + self.scale.days * _events.DAY_S
        now = 0.0
        self._dirty = set(self.domains)
        while True:
            for name in sorted(self._dirty):
                self.domains[name].plan(now)
            self._dirty.clear()
            next_replan_at = min(
                d.replan_due_at for d in self.domains.values()
            )
            queued = self._queue[0][0] if self._queue else INFINITY
            now = max(
                now,
                min(queued, next_replan_at, self.store.next_completion_at()),
            )
            if now >= horizon:
                break
            self.started = now >= _events.FORMATION_S
            self._advance(now)
        self.trace.finish(horizon)
        return self._compute_results(horizon)

    def _advance(self, now: float) -> None:
        self.absence_model.add_exposure(
            len(self._domain_of) * (now - self._exposed_until)
        )
        self._exposed_until = self.now = now
        for name in self.store.advance(now):
            vm = self._domain_of[name].vms[name]
            vm.warm, vm.fetching = vm.fetching, ''
            self._dirty.add(self._domain_of[name].name)
        while self._queue and self._queue[0][0] <= now:
            _at, _sequence, call, arguments = heapq.heappop(self._queue)
            call(*arguments, now)
            receiver = getattr(call, '__self__', None)
            if isinstance(receiver, Domain):
                self._dirty.add(receiver.name)
        for domain in self.domains.values():
            if domain.replan_due_at <= now:
                self._dirty.add(domain.name)

    def _handle_event(self, event, now: float) -> None:
        if event.kind == 'outage':
            self.table_back_at = event.back_at
            self.schedule(event.back_at, self._mark_all_dirty)
            return
        domain = self._domain_of[event.vm]
        vm = domain.vms[event.vm]
        if event.kind == 'notice':
            vm.leaving = True
            self.schedule(now + DETECTION_DELAY_S, self._mark_dirty, domain)
        elif event.kind == 'unlisted':
            vm.listed = False
            self.schedule(now, self._mark_dirty, domain)
        else:
            self._take_vm_down(domain, vm, event, now)

    def _take_vm_down(self, domain, vm, event, now: float) -> None:
        vm.up = False
        vm.was_leaving = vm.leaving
        vm.back_at, vm.same_boot = event.back_at, event.same_boot
        self.trace.record_vm_down(now, vm.name)
        self.store.cancel(vm.name)
        self.schedule(now + DETECTION_DELAY_S, self._observe_vm, domain, vm)
        self.schedule(event.back_at, self._bring_vm_up, domain, vm)

    def _bring_vm_up(self, domain, vm, now: float) -> None:
        vm.up, vm.listed, vm.leaving = True, True, False
        if vm.same_boot:
            if vm.fetching:
                self.store.start(vm.name)
        else:
            vm.boot += 1
            vm.copy_id, vm.token, vm.role = '', 0, 'idle'
            vm.warm = vm.fetching = ''
        self.trace.record_vm_up(now, vm.name, vm.same_boot)
        self.schedule(now + DETECTION_DELAY_S, self._observe_vm, domain, vm)

    def _observe_vm(self, domain, vm, now: float) -> None:
        if vm.up == vm.seen_up and vm.boot == vm.seen_boot:
            return
        if vm.up and vm.lost_since is not None:
            away_s = now - vm.lost_since
            same = vm.boot == vm.seen_boot
            if not vm.was_leaving:
                self.absence_model.add_absence(away_s if same else INFINITY)
        vm.seen_up, vm.seen_boot = vm.up, vm.boot
        vm.lost_since = None if vm.up else now
        self._dirty.add(domain.name)
        # Nodes stop or resume sending even while the table is unavailable.
        domain.update_serving(now)

    def _mark_dirty(self, domain, now: float) -> None:
        self._dirty.add(domain.name)
        domain.update_serving(now)

    def _mark_all_dirty(self, now: float) -> None:
        self._dirty |= set(self.domains)

    def _compute_results(self, horizon: float) -> dict:
        declared = {}
        for size in self.scale.groups:
            declared[size.name] = sum(size.per_domain)
        vms = list(self._domain_of)
        downtime, stranded = self.trace.compute_costs(
            declared, vms, _events.FORMATION_S, horizon
        )
        ordered = sorted(self.decision_us)
        return {
            'group_downtime_s': round(downtime, 1),
            'stranded_accelerator_s': round(stranded, 1),
            'weighted_cost': {
                name: round(down * downtime + idle * stranded)
                for name, (down, idle) in WEIGHTS.items()
            },
            'violations': len(self.trace.find_violations()),
            'decision_us': {
                'p50': round(ordered[len(ordered) // 2], 1),
                'p99': round(ordered[len(ordered) * 99 // 100], 1),
            },
            'table_writes': self.table_writes,
            'loads': self.loads,
        }


def run_one(scale: str, seed: int, policy: str, weights: str) -> dict:
    """Runs one replay and returns its measurements and arguments.

    Args:
        scale: Name of the fleet.
        seed: Seed of the events.
        policy: Name of the planning policy.
        weights: Name of the cost weights to plan with.
    """
    found = Replay(scale, seed, policy, weights).run()
    return found | {
        'scale': scale,
        'seed': seed,
        'policy': policy,
        'weights': weights,
    }


def _print_table(scale: str, seeds: int, workers: int) -> None:
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
    """Runs one replay, or prints a table that compares all policies.

    Args:
        seed: Seed of the events.
        scale: ``today`` or ``letter``.
        policy: Name of the planning policy.
        weights: ``obalnik`` or ``lodz``.
        table: Run all policies over many seeds.
        seeds: Number of seeds for the table.
        workers: Number of worker processes for the table.
    """
    if table:
        _print_table(scale, seeds, workers)
    else:
        print(json.dumps(run_one(scale, seed, policy, weights)))


if __name__ == '__main__':
    fire.Fire(main)

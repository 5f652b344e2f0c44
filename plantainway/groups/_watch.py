"""Probes of the VMs that are assigned to this node."""

import asyncio

from plantainway import bus
from plantainway import errors
from plantainway import logs
from plantainway import peers
from plantainway import wire

PROBE_PERIOD_S = 0.5
WATCHERS_PER_VM = 2
UNREACHABLE = wire.VmState(False, '', '', 0, '', False)


def assigned_vms(node: str, runners, reports: dict) -> list[str]:
    """Returns the VMs that a node has to probe.

    Every VM is assigned to ``WATCHERS_PER_VM`` nodes of its own place, or of
    all places if its own has too few. Nodes that are leaving get none.

    Args:
        node: Name of the node.
        runners: Declared engine upstreams.
        reports: Reports of the live nodes, by node name.

    Returns:
        Names of the VMs.
    """
    by_place = {}
    for name, report in reports.items():
        if not report.leaving:
            by_place.setdefault(report.place, []).append(name)
    all_nodes = [name for names in by_place.values() for name in names]
    assigned = []
    for runner in runners:
        local_nodes = by_place.get(runner.place, [])
        candidates = (
            local_nodes if len(local_nodes) >= WATCHERS_PER_VM else all_nodes
        )
        if node in peers.top_nodes(candidates, runner.name, WATCHERS_PER_VM):
            assigned.append(runner.name)
    return assigned


class WatchTask:
    """Probes the assigned VMs and publishes changes and loads.

    Args:
        node: Name of the own node.
        book: Member book.
        observations: Observations to update.
        engines: Function from VM name and address to an engine client.
        node_bus: Bus of the node.
        clock: Source of monotonic time.
    """

    def __init__(self, node, book, observations, engines, node_bus, clock):
        self._node = node
        self._book = book
        self._observations = observations
        self._engines = engines
        self._bus = node_bus
        self._clock = clock
        self._inbox = node_bus.subscribe(bus.RevisionInForce)
        self._runners = {}
        self._loads: dict[str, list[int]] = {}
        self._assigned: list[str] = []
        self._assigned_for = None

    async def run(self) -> None:
        """Probes every ``PROBE_PERIOD_S`` until cancelled."""
        while True:
            started_at = self._clock.now()
            while not self._inbox.empty():
                revision = self._inbox.get_nowait().revision
                self._runners = {
                    name: item
                    for name, item in revision.objects.of_kind(
                        'upstream'
                    ).items()
                    if item.type == 'runner'
                }
                self._assigned_for = None
            await self._probe_assigned()
            next_at = started_at + PROBE_PERIOD_S
            await asyncio.sleep(max(next_at - self._clock.now(), 0.01))

    async def _probe_assigned(self) -> None:
        live = self._book.live_reports()
        signature = frozenset(
            (name, report.leaving) for name, report in live.items()
        )
        changed = False
        if signature != self._assigned_for:
            self._assigned_for = signature
            assigned = assigned_vms(self._node, self._runners.values(), live)
            for vm in set(self._assigned) - set(assigned):
                self._observations.drop_own(vm)
                self._loads.pop(vm, None)
                changed = True
            self._assigned = assigned
        results = await asyncio.gather(
            *(self._probe(vm) for vm in self._assigned)
        )
        if changed or any(results):
            self._bus.publish(
                bus.VmObservationsChanged(self._observations.own_seen())
            )
        self._bus.publish(bus.LocalLoadsMeasured(dict(self._loads)))

    async def _probe(self, vm: str) -> bool:
        engine = self._engines(vm, self._runners[vm].address)
        sent_at = self._clock.now()
        try:
            state = await engine.get_state()
        except errors.UpstreamError as exc:
            self._loads.pop(vm, None)
            changed = self._observations.set_own(vm, UNREACHABLE, sent_at)
            if changed:
                logs.event('vm_lost', vm=vm, reason=exc.message)
            return changed
        if state.vm != vm:
            return self._observations.set_own(vm, UNREACHABLE, sent_at)
        seen = wire.VmState(
            True,
            state.boot,
            state.copy_id,
            state.token,
            str(state.role),
            state.leaving,
            state.slots,
            state.warm,
        )
        self._loads[vm] = [state.running, state.waiting]
        changed = self._observations.set_own(vm, seen, sent_at)
        if changed:
            logs.event(
                'vm_seen',
                'DEBUG',
                vm=vm,
                boot=state.boot,
                copy=state.copy_id,
                token=state.token,
                role=state.role,
            )
        return changed

    def dump(self) -> dict:
        """Returns the assigned VMs and their loads for the state dump."""
        return {'watching': sorted(self._assigned), 'loads': self._loads}

"""Probes of the VMs that this node watches."""

import asyncio

from plantainway import bus
from plantainway import errors
from plantainway import logs
from plantainway import peers
from plantainway import wire

PROBE_PERIOD_S = 0.5
WATCHERS = 2
UNSEEN = wire.SeenVm(False, '', '', 0, '', False)


def watched_by(node: str, runners, reports: dict) -> list[str]:
    """Chooses the VMs that a node watches.

    Every VM gets ``WATCHERS`` nodes of its own place, or of all places if
    its own has too few.

    Args:
        node: Name of the node.
        runners: Declared engine upstreams.
        reports: Reports of the live nodes by name.

    Returns:
        Names of the VMs.
    """
    by_place = {}
    for name, report in reports.items():
        if not report.leaving:
            by_place.setdefault(report.place, []).append(name)
    everyone = [name for names in by_place.values() for name in names]
    mine = []
    for runner in runners:
        near = by_place.get(runner.place, [])
        nodes = near if len(near) >= WATCHERS else everyone
        if node in peers.top(nodes, runner.name, WATCHERS):
            mine.append(runner.name)
    return mine


class WatchTask:
    """Probes VMs and publishes what changed.

    Args:
        node: Name of the own node.
        book: Member book.
        board: Sighting board to fill.
        engines: Function from VM name and address to an engine client.
        node_bus: Bus of the node.
        clock: Source of monotonic time.
    """

    def __init__(self, node, book, board, engines, node_bus, clock):
        self._node = node
        self._book = book
        self._board = board
        self._engines = engines
        self._bus = node_bus
        self._clock = clock
        self._inbox = node_bus.subscribe(bus.RevisionInForce)
        self._runners = {}
        self._loads: dict[str, list[int]] = {}
        self._mine: list[str] = []
        self._mine_for = None

    async def run(self) -> None:
        """Probes until cancelled."""
        while True:
            started_at = self._clock.now()
            while not self._inbox.empty():
                revision = self._inbox.get_nowait().revision
                self._runners = {
                    name: item
                    for name, item in revision.objects.of('upstream').items()
                    if item.type == 'runner'
                }
                self._mine_for = None
            await self._round()
            next_at = started_at + PROBE_PERIOD_S
            await asyncio.sleep(max(next_at - self._clock.now(), 0.01))

    async def _round(self) -> None:
        live = self._book.live()
        signature = frozenset(
            (name, report.leaving) for name, report in live.items()
        )
        changed = False
        if signature != self._mine_for:
            self._mine_for = signature
            mine = watched_by(self._node, self._runners.values(), live)
            for vm in set(self._mine) - set(mine):
                self._board.drop_own(vm)
                self._loads.pop(vm, None)
                changed = True
            self._mine = mine
        results = await asyncio.gather(*(self._probe(vm) for vm in self._mine))
        if changed or any(results):
            self._bus.publish(bus.VmObservationsChanged(self._board.own()))
        self._bus.publish(bus.LocalLoadsMeasured(dict(self._loads)))

    async def _probe(self, vm: str) -> bool:
        engine = self._engines(vm, self._runners[vm].address)
        sent_at = self._clock.now()
        try:
            state = await engine.state()
        except errors.UpstreamError as exc:
            self._loads.pop(vm, None)
            changed = self._board.set_own(vm, UNSEEN, sent_at)
            if changed:
                logs.event('vm_lost', vm=vm, reason=exc.message)
            return changed
        if state.vm != vm:
            return self._board.set_own(vm, UNSEEN, sent_at)
        seen = wire.SeenVm(
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
        changed = self._board.set_own(vm, seen, sent_at)
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
        """Returns the state for the state dump."""
        return {'watching': sorted(self._mine), 'loads': self._loads}

"""A seeded schedule of faults injected from outside the processes."""

import asyncio
import contextlib
import dataclasses
import signal

from tests.soak import ledger
from tests.soak import proxy

SPACING_RANGE_S = (0.2, 1.2)
DURATION_RANGE_S = (0.3, 2.5)
LIMIT_PER_S = 3.0
CUT_SPACING_RANGE_S = (1.0, 5.0)
CUT_DURATION_RANGE_S = (1.0, 5.0)
# Of the kinds that are drawn apart: their spacing and their duration.
RANGES_S = {
    'limit': ((0.5, 3.0), (4.0, 9.0)),
    'pause': ((0.4, 2.0), (0.05, 1.0)),
    'paused_roll': ((2.0, 8.0), (0.05, 1.0)),
    'evacuate': ((0.5, 6.0), (6.0, 9.0)),  # longer than the bound on them
    'cold': ((0.5, 3.0), (0.0, 0.0)),  # the runner ends it
}
ROLL_PAUSE_DELAY_S = 0.1  # from SIGTERM of a process to its pause
# One of so many limits is named by all runners of a service, and one of so
# many cold times is that of a whole domain.
ALL_RUNNERS_EVERY = 3
LINK_MODES = (
    proxy.Mode.DELAY,
    proxy.Mode.RESET,
    proxy.Mode.SILENT,
    proxy.Mode.CUT_TO,
    proxy.Mode.CUT_FROM,
)
KINDS = (
    'kill',
    'pause',
    'term',
    'hup',
    'roll',
    'store_down',
    'store_lost',
    'store_late',
    'store_link',
    'runner_link',
    'runner_crash',
    'publish',
)


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault: start, kind, target and duration.

    ``target`` selects a process or runner modulo their number.
    """

    at_s: float
    kind: str
    target: int
    duration_s: float
    mode: proxy.Mode = proxy.Mode.PASS


def draw_faults(rng, seconds: float) -> list[Fault]:
    """Returns the faults of a run in order of start; they may overlap.

    Args:
        rng: Random generator.
        seconds: Length of the run.
    """
    faults = []
    at_s = rng.uniform(*SPACING_RANGE_S)
    while at_s < seconds:
        faults.append(
            Fault(
                at_s,
                rng.choice(KINDS),
                rng.randrange(1000),
                rng.uniform(*DURATION_RANGE_S),
                rng.choice(LINK_MODES),
            )
        )
        at_s += rng.uniform(*SPACING_RANGE_S)
    return faults


def draw_kind(rng, seconds: float, kind: str) -> list[Fault]:
    """Returns the faults of one kind in a run, in order of start.

    They are drawn apart from the other faults, which a seed keeps.

    Args:
        rng: Random generator.
        seconds: Length of the run.
        kind: ``limit`` (runners name one), ``evacuate`` (failure domains),
            ``cold`` (running runners turn cold), ``pause`` or ``paused_roll``.
    """
    spacing_range_s, duration_range_s = RANGES_S[kind]
    found = []
    at_s = rng.uniform(*spacing_range_s)
    while at_s < seconds:
        duration_s = rng.uniform(*duration_range_s)
        found.append(Fault(at_s, kind, rng.randrange(1000), duration_s))
        at_s += rng.uniform(*spacing_range_s)
    return found


def draw_cuts(rng, seconds: float) -> list[Fault]:
    """Returns when node processes are cut off from all runners.

    They are drawn apart from the other faults, which a seed keeps.

    Args:
        rng: Random generator.
        seconds: Length of the run.
    """
    found = []
    at_s = rng.uniform(*CUT_SPACING_RANGE_S)
    while at_s < seconds:
        found.append(
            Fault(
                at_s,
                'cut_off',
                rng.randrange(1000),
                rng.uniform(*CUT_DURATION_RANGE_S),
            )
        )
        at_s += rng.uniform(*CUT_SPACING_RANGE_S)
    return found


def draw_pauses(rng, seconds: float) -> list[Fault]:
    """Returns short pauses of node processes, alone and while they stop.

    They are drawn apart from the other faults, which a seed keeps.

    Args:
        rng: Random generator.
        seconds: Length of the run.
    """
    return [
        fault
        for kind in ('pause', 'paused_roll')
        for fault in draw_kind(rng, seconds, kind)
    ]


def regular_pauses(
    processes: int, seconds: float, every_s: float, duration_s: float
) -> list[Fault]:
    """Returns pauses of every node process, one process after the other.

    Args:
        processes: Number of node processes.
        seconds: Length of the run.
        every_s: Seconds from one pause of a process to its next one.
        duration_s: Seconds of a pause.
    """
    spacing_s = every_s / processes
    return [
        Fault(number * spacing_s, 'pause', number, duration_s)
        for number in range(int(seconds / spacing_s))
    ]


class FaultInjector:
    """Injects faults into a soak.

    Args:
        world: Processes, store and runners.
    """

    def __init__(self, world):
        self._soak = world

    async def run(self, faults) -> None:
        """Injects faults at their times and waits until all have ended.

        Args:
            faults: Faults to inject.
        """
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                group.create_task(self._inject(fault))

    async def _inject(self, fault) -> None:
        await asyncio.sleep(fault.at_s)
        await getattr(self, f'_{fault.kind}')(fault)

    def _process(self, fault):
        return self._soak.processes[fault.target % len(self._soak.processes)]

    async def _kill(self, fault) -> None:
        process = self._process(fault)
        await self._soak.stop_process(process, signal.SIGKILL)
        await asyncio.sleep(fault.duration_s)
        await self._soak.restart_process(process)

    async def _term(self, fault) -> None:
        process = self._process(fault)
        await self._soak.stop_process(process, signal.SIGTERM)
        await self._soak.restart_process(process)

    async def _roll(self, fault) -> None:
        for step in range(2):
            await self._term(
                dataclasses.replace(fault, target=fault.target + step)
            )

    async def _pause(self, fault) -> None:
        process = self._process(fault)
        if process.signal(signal.SIGSTOP):
            with self._recorded_outage(process) as outage:
                await asyncio.sleep(fault.duration_s)
                process.signal(signal.SIGCONT)
            self._soak.checker.arrivals.pauses += outage
            self._soak.record_node_start()

    async def _paused_roll(self, fault) -> None:
        for step in range(2):
            one = dataclasses.replace(fault, target=fault.target + step)
            other = dataclasses.replace(one, target=one.target + 1)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._term(one))
                group.create_task(self._pause(other))
                await asyncio.sleep(ROLL_PAUSE_DELAY_S)
                group.create_task(self._pause(one))

    async def _hup(self, fault) -> None:
        self._process(fault).signal(signal.SIGHUP)

    async def _store_down(self, fault) -> None:
        with self._recorded_outage():
            self._soak.store.faults.down = True
            await asyncio.sleep(fault.duration_s)
            self._soak.store.faults.down = False

    async def _store_lost(self, fault) -> None:
        self._soak.store.faults.lost_answers += 2

    async def _store_late(self, fault) -> None:
        self._soak.store.faults.late_s = fault.duration_s
        self._soak.store.faults.late_writes += 2

    async def _store_link(self, fault) -> None:
        process = self._process(fault)
        if fault.mode is proxy.Mode.DELAY:
            await self._degrade_link(process.store_link, fault)
            return
        with self._recorded_outage(process):
            await self._degrade_link(process.store_link, fault)

    @contextlib.contextmanager
    def _recorded_outage(self, process=None):
        """Records that a node process, or each, is out of touch.

        Yields:
            List that holds the recorded window in the end.
        """
        node = process.addresses['caller'] if process else ''
        now = asyncio.get_running_loop().time
        began_at, found = now(), []
        yield found
        found.append(ledger.Window(node, began_at, now()))
        self._soak.checker.arrivals.outages += found

    async def _runner_link(self, fault) -> None:
        runners = list(self._soak.runners.values())
        runner = runners[fault.target % len(runners)]
        now = asyncio.get_running_loop().time
        began_at = now()
        await self._degrade_link(runner.link, fault)
        if fault.mode is not proxy.Mode.DELAY:
            self._soak.checker.cut_answers.record_disturbance(
                runner.name, began_at, now()
            )
            self._soak.checker.arrivals.outages.append(
                ledger.Window(runner.name, began_at, now())
            )

    async def _degrade_link(self, link, fault) -> None:
        link.set_mode(fault.mode)
        await asyncio.sleep(fault.duration_s)
        link.set_mode(proxy.Mode.PASS)

    async def _runner_crash(self, fault) -> None:
        runners = list(self._soak.runners.values())
        await self._soak.crash_runner(
            runners[fault.target % len(runners)], fault.duration_s
        )

    async def _publish(self, fault) -> None:
        self._soak.publish_configuration()

    async def _cut_off(self, fault) -> None:
        await self._soak.cut_off(self._process(fault), fault.duration_s)

    async def _evacuate(self, fault) -> None:
        zones = sorted({one.zone for one in self._soak.runners.values()})
        await self._soak.evacuate(
            zones[fault.target % len(zones)], fault.duration_s
        )

    async def _cold(self, fault) -> None:
        runners = list(self._soak.runners.values())
        first = runners[fault.target % len(runners)]
        is_domain = fault.target % ALL_RUNNERS_EVERY == 0
        for runner in runners:
            is_meant = runner is first or (
                is_domain and runner.domain == first.domain
            )
            if is_meant and not runner.is_down:
                runner.turn_cold()
        await asyncio.sleep(ledger.COLD_UNKNOWN_S)
        kind = 'safe' if first.service == 'plain' else 'stream'
        await self._soak.send_surge(kind)

    async def _limit(self, fault) -> None:
        runners = list(self._soak.runners.values())
        first = runners[fault.target % len(runners)]
        limited = [first]
        if fault.target % ALL_RUNNERS_EVERY == 0:
            limited = [one for one in runners if one.service == first.service]
        async with asyncio.TaskGroup() as group:
            for runner in limited:
                group.create_task(self._limit_one(runner, fault.duration_s))

    async def _limit_one(self, runner, duration_s: float) -> None:
        if runner.faults.rate_limit:
            return
        now = asyncio.get_running_loop().time
        incarnation, began_at = runner.started_ms, now()
        runner.faults.rate_limit = str(LIMIT_PER_S)
        await asyncio.sleep(duration_s)
        runner.faults.rate_limit = ''
        if runner.started_ms == incarnation:
            self._soak.checker.check_rate(
                runner.name, LIMIT_PER_S, began_at, now()
            )

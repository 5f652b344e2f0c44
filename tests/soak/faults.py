"""A seeded schedule of faults from outside the processes."""

import asyncio
import dataclasses
import signal

from tests.soak import proxy

SPACING_S = (0.2, 1.2)
LENGTH_S = (0.3, 2.5)
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
    """One fault: when it begins, what it hits, how long it lasts."""

    at_s: float
    kind: str
    target: int
    for_s: float
    mode: proxy.Mode = proxy.Mode.PASS


def plan(rng, seconds: float) -> list[Fault]:
    """Draws the faults of a run; they overlap.

    Args:
        rng: Source of randomness.
        seconds: Length of the run.
    """
    faults = []
    at_s = rng.uniform(*SPACING_S)
    while at_s < seconds:
        faults.append(
            Fault(
                at_s,
                rng.choice(KINDS),
                rng.randrange(1000),
                rng.uniform(*LENGTH_S),
                rng.choice(LINK_MODES),
            )
        )
        at_s += rng.uniform(*SPACING_S)
    return faults


class Injector:
    """Carries faults out.

    Args:
        world: Processes, store and runners.
    """

    def __init__(self, world):
        self._world = world

    async def run(self, faults) -> None:
        """Carries a plan out and waits for the last fault's end.

        Args:
            faults: The plan.
        """
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                group.create_task(self._run(fault))

    async def _run(self, fault) -> None:
        await asyncio.sleep(fault.at_s)
        await getattr(self, f'_{fault.kind}')(fault)

    def _process(self, fault):
        return self._world.processes[fault.target % len(self._world.processes)]

    async def _kill(self, fault) -> None:
        process = self._process(fault)
        await self._world.end(process, signal.SIGKILL)
        await asyncio.sleep(fault.for_s)
        await self._world.restart(process)

    async def _term(self, fault) -> None:
        process = self._process(fault)
        await self._world.end(process, signal.SIGTERM)
        await self._world.restart(process)

    async def _roll(self, fault) -> None:
        for step in range(2):
            await self._term(
                dataclasses.replace(fault, target=fault.target + step)
            )

    async def _pause(self, fault) -> None:
        process = self._process(fault)
        if process.signal(signal.SIGSTOP):
            await asyncio.sleep(fault.for_s)
            process.signal(signal.SIGCONT)

    async def _hup(self, fault) -> None:
        self._process(fault).signal(signal.SIGHUP)

    async def _store_down(self, fault) -> None:
        self._world.store.faults.down = True
        await asyncio.sleep(fault.for_s)
        self._world.store.faults.down = False

    async def _store_lost(self, fault) -> None:
        self._world.store.faults.lost_answers += 2

    async def _store_late(self, fault) -> None:
        self._world.store.faults.late_s = fault.for_s
        self._world.store.faults.late_writes += 2

    async def _store_link(self, fault) -> None:
        await self._bend(self._process(fault).store_link, fault)

    async def _runner_link(self, fault) -> None:
        runners = list(self._world.runners.values())
        await self._bend(runners[fault.target % len(runners)].link, fault)

    async def _bend(self, link, fault) -> None:
        link.set_mode(fault.mode)
        await asyncio.sleep(fault.for_s)
        link.set_mode(proxy.Mode.PASS)

    async def _runner_crash(self, fault) -> None:
        runners = list(self._world.runners.values())
        await self._world.crash(
            runners[fault.target % len(runners)], fault.for_s
        )

    async def _publish(self, fault) -> None:
        self._world.publish()

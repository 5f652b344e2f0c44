"""Runs node processes, a store, runners and callers in one soak."""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import signal
import time

import aiohttp

from tests.platform import conftest
from tests.platform import processes
from tests.platform import store_standin
from tests.soak import callers
from tests.soak import faults
from tests.soak import ledger
from tests.soak import proxy
from tests.soak import runners

STOP_LIMIT_S = 4.0
STOP_MARGIN_S = 1.0  # for signal delivery and process exit
CLOSE_MARGIN_S = 0.3  # of a node, for closing its sockets
ENTRY_LAPSE_S = 0.6  # until the entry of a crashed runner is removed
RECOVERY_S = 15.0
UNTIMED_RECOVERY_S = 120.0  # without bounds on time
DRAIN_WAIT_S = 1.0
DOMAINS = 2
ENGINES_PER_DOMAIN = 5
PLAIN_RUNNERS = 2
SURGE_REQUESTS = 40
FIRST_SURGE = 1000  # number of its caller
ZONES = ('a', 'b')  # failure domains; each has runners of both services
EVACUATION_VALUE = b'\xff'  # any bytes are allowed
COLD_MARGIN = {
    'cold_overshoot': ledger.COLD_RATIO,
    'cold_tolerance': ledger.COLD_SLACK,
}


@dataclasses.dataclass(frozen=True)
class Load:
    """What the runners and callers of a run do, and which faults are drawn.

    ``places`` is the number of streams that an engine holds, 0 for no limit;
    ``arrivals_per_s`` streams are sent whatever the callers wait for. With
    ``pause_s``, each node process is paused that long every ``pause_every_s``
    seconds, and none at drawn times. ``has_evacuations`` and ``has_cold`` are
    parts of ``has_faults``.
    """

    has_silence: bool = True
    places: int = 6
    has_pauses: bool = True
    has_faults: bool = True
    arrivals_per_s: float = 0.0
    pause_s: float = 0.0
    pause_every_s: float = 1.2
    has_evacuations: bool = True
    has_cold: bool = True


class NodeProcess(processes.Process):
    """A node process that can be restarted.

    ``restart_lock`` serialises stops and starts of overlapping faults.
    """

    def __init__(self, name, store_link, store_address, directory, **bounds):
        bounds['stop_s'] = STOP_LIMIT_S
        cfg = conftest.settings(name, store_address, **bounds)
        super().__init__(cfg, directory / f'{name}.json')
        self.name = name
        self.store_link = store_link
        self.restart_lock = asyncio.Lock()
        self.proc = None

    def signal(self, number) -> bool:
        """Sends a signal to the process if it runs.

        Args:
            number: Signal number.

        Returns:
            Whether the signal was sent.
        """
        if self.proc is None or self.proc.returncode is not None:
            return False
        with contextlib.suppress(ProcessLookupError):
            self.proc.send_signal(number)
            return True
        return False


class World:
    """Processes, stand-ins and callers of one run.

    Args:
        seed: Seed of requests and faults.
        nodes: Number of node processes.
        directory: Directory for settings and logs of the nodes.
        is_timed: Whether stop and recovery times are checked.
        load: Load and kinds of faults.
    """

    def __init__(
        self,
        seed: int,
        nodes: int,
        directory: pathlib.Path,
        is_timed: bool = True,
        load: Load = Load(),
    ):
        self._seed = seed
        self._rng = random.Random(seed)
        self._directory = directory
        self._node_count = nodes
        self._is_timed = is_timed
        if not load.has_faults:
            load = dataclasses.replace(
                load, has_evacuations=False, has_cold=False
            )
        self._load = load
        self._by_address: dict[str, NodeProcess] = {}
        self._recovery_s = RECOVERY_S if is_timed else UNTIMED_RECOVERY_S
        self.checker = ledger.PromiseChecker()
        self.version = 3
        self.store = store_standin.StoreStandIn()
        self.runners: dict[str, runners.Runner] = {}
        self.processes: list[NodeProcess] = []
        self.cut_pids: set[int] = set()
        self._stopping = False
        self._probe_callers = 0
        self._surges = 0

    async def run(
        self, seconds: float, callers_count: int, drawn=None
    ) -> list:
        """Runs one soak.

        Args:
            seconds: How long faults are injected.
            callers_count: Number of callers.
            drawn: Faults to inject, by default those of the seed.

        Returns:
            The breaches found.
        """
        async with contextlib.AsyncExitStack() as stack:
            await self._start(stack)
            await self._wait_until_all_kinds_served()
            caller_tasks = [
                asyncio.ensure_future(self._send_requests(number))
                for number in range(callers_count)
            ]
            if self._load.arrivals_per_s:
                caller_tasks.append(
                    asyncio.ensure_future(self._send_arrivals(callers_count))
                )
            if drawn is None:
                drawn = self._draw(seconds)
            async with asyncio.TaskGroup() as group:
                group.create_task(asyncio.sleep(seconds))
                group.create_task(faults.FaultInjector(self).run(drawn))
            self._stopping = True
            await asyncio.gather(*caller_tasks)
            await self._check_recovery()
            await asyncio.sleep(DRAIN_WAIT_S)
        logs = {
            address: ledger.read_log(process.lines)
            for address, process in self._by_address.items()
        }
        return self.checker.finish(logs)

    def _draw(self, seconds: float) -> list:
        """Returns the faults of the seed."""
        found = []
        if self._load.has_faults:
            found += faults.draw_faults(self._rng, seconds)
            found += faults.draw_kind(
                random.Random(self._seed), seconds, 'limit'
            )
            found += faults.draw_cuts(random.Random(self._seed), seconds)
            for kind, is_drawn in (
                ('evacuate', self._load.has_evacuations),
                ('cold', self._load.has_cold),
            ):
                if is_drawn:
                    rng = random.Random(f'{kind} {self._seed}')
                    found += faults.draw_kind(rng, seconds, kind)
        if self._load.pause_s:
            found += faults.regular_pauses(
                self._node_count,
                seconds,
                self._load.pause_every_s,
                self._load.pause_s,
            )
        elif self._load.has_pauses:
            found += faults.draw_pauses(random.Random(self._seed), seconds)
        return found

    async def _start(self, stack) -> None:
        await self.store.start()
        stack.push_async_callback(self.store.stop)
        self.publish_configuration()
        names = [(f'p-{n}', 'plain', '', n) for n in range(PLAIN_RUNNERS)]
        names += [
            (f'e-{domain}-{n}', 'llm', f'd{domain}', domain)
            for domain in range(DOMAINS)
            for n in range(ENGINES_PER_DOMAIN)
        ]
        for name, service, domain, zone in names:
            runner = runners.Runner(
                name,
                service,
                self.store,
                self.checker,
                self.runners,
                self.cut_pids,
                self._load.places,
                self._load.has_silence,
                self._load.has_cold,
            )
            runner.domain = domain
            if self._load.has_evacuations:
                runner.zone = ZONES[zone % len(ZONES)]
            self.runners[name] = runner
            await runner.start()
            stack.push_async_callback(runner.stop)
        for number in range(self._node_count):
            link = proxy.Proxy(self.store.address)
            address = await link.start()
            stack.push_async_callback(link.stop)
            process = NodeProcess(
                f'n{number}',
                link,
                address,
                self._directory,
                **(COLD_MARGIN if self._load.has_cold else {}),
            )
            self.processes.append(process)
            stack.push_async_callback(self._shut_down, process)
            await process.start()
            self._by_address[process.addresses['caller']] = process

    async def _shut_down(self, process) -> None:
        async with process.restart_lock:
            process.signal(signal.SIGCONT)
            await process.stop(signal.SIGKILL)
        log = self._directory / f'{process.name}.log'
        log.write_text(''.join(process.lines))

    def publish_configuration(self) -> None:
        """Writes the next version of the configuration to the store."""
        self.version += 1
        cfg = conftest.configuration(self.version)
        cfg['routes'].append(
            conftest.route('version', f'/v{self.version}/', 'plain', 'safe')
        )
        if self._load.has_cold:
            for service in cfg['services']:
                service['coldS'] = runners.COLD_S
                service['coldPerS'] = ledger.COLD_PER_S
        self.store.put('op', 'config', cfg)

    async def stop_process(self, process, number) -> None:
        """Stops a node process; for SIGTERM checks how long it takes.

        Args:
            process: Node process.
            number: Signal to send.
        """
        async with process.restart_lock:
            if process.proc.returncode is not None:
                return
            sent_at = time.monotonic()
            process.signal(signal.SIGCONT)
            self._record_stop(process, number)
            await process.stop(number)
            if number == signal.SIGTERM and self._is_timed:
                self.checker.check_stop(
                    process.name,
                    time.monotonic() - sent_at,
                    STOP_LIMIT_S + STOP_MARGIN_S,
                )

    def _record_stop(self, process, number) -> None:
        """Tells the checker from when on a process may cut its answers."""
        node, now = process.addresses['caller'], _loop_time()
        if number == signal.SIGTERM:
            self.checker.cut_answers.record_node_end(
                node, now + STOP_LIMIT_S - CLOSE_MARGIN_S
            )
        else:
            self.checker.cut_answers.record_node_kill(node, now)

    async def restart_process(self, process) -> None:
        """Starts a node process if it is not running.

        Args:
            process: Node process.
        """
        async with process.restart_lock:
            if process.proc.returncode is not None:
                await process.start()
                self._by_address[process.addresses['caller']] = process
                self.record_node_start()

    async def cut_off(self, process, duration_s: float) -> None:
        """Resets the connections of a process to all runners for some time.

        Args:
            process: Node process; a later one of it is not cut off.
            duration_s: Seconds.
        """
        pid, node = process.proc.pid, process.addresses['caller']
        began_at = _loop_time()
        self.cut_pids.add(pid)
        ports = await asyncio.to_thread(proxy.local_ports, pid)
        for runner in self.runners.values():
            if not runner.is_down:
                runner.link.reset_ports(ports)
        await asyncio.sleep(duration_s)
        self.cut_pids.discard(pid)
        self.checker.cut_answers.record_node_end(node, began_at, _loop_time())

    async def evacuate(self, zone: str, duration_s: float) -> None:
        """Asks that nothing be sent to a failure domain for some time.

        Args:
            zone: Name of the failure domain.
            duration_s: Seconds from the storing to the removal of the row.
        """
        key = f'evacuate/{zone}'
        if ('op', '', key) in self.store.rows:
            return
        self.store.put('op', key, EVACUATION_VALUE)
        began_at = _loop_time()
        await asyncio.sleep(duration_s)
        self.checker.arrivals.evacuations.extend(
            ledger.Window(one.name, began_at, _loop_time())
            for one in self.runners.values()
            if one.zone == zone
        )
        self.store.put('op', key, None)

    def record_node_start(self) -> None:
        """Tells the checker that a node has started or goes on."""
        self.checker.record_node_start(asyncio.get_running_loop().time())

    async def crash_runner(self, runner, duration_s: float) -> None:
        """Crashes a runner and restarts it with empty state.

        Args:
            runner: Runner to crash.
            duration_s: Seconds from removal of its entry to its restart.
        """
        if runner.is_down:
            return
        runner.is_down = True
        began_at = _loop_time()
        await runner.stop()
        await asyncio.sleep(ENTRY_LAPSE_S)
        self.store.put('servers', runner.name, None)
        await asyncio.sleep(duration_s)
        runner.reset()
        await runner.start()
        runner.is_down = False
        self.checker.cut_answers.record_disturbance(
            runner.name, began_at, _loop_time()
        )

    async def _send_requests(self, number: int) -> None:
        caller = callers.Caller(
            number, self, random.Random(self._rng.random())
        )
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            while not self._stopping:
                await caller.ask(session, caller.draw_kind())
                await asyncio.sleep(callers.REQUEST_INTERVAL_S)

    async def _send_arrivals(self, number: int) -> None:
        """Sends streams at a fixed rate."""
        caller = callers.Caller(
            number, self, random.Random(self._rng.random())
        )
        tasks = []
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector, auto_decompress=False
        ) as session:
            while not self._stopping:
                tasks.append(
                    asyncio.ensure_future(caller.ask(session, 'stream'))
                )
                await asyncio.sleep(1.0 / self._load.arrivals_per_s)
            await asyncio.gather(*tasks)

    async def send_surge(self, kind: str) -> None:
        """Sends many requests at once, more than cold runners tolerate.

        Args:
            kind: Kind of the requests.
        """
        self._surges += 1
        caller = callers.Caller(
            FIRST_SURGE + self._surges, self, random.Random(self._surges)
        )
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
        ) as session:
            await caller.ask(session, kind)
            await asyncio.gather(
                *(caller.ask(session, kind) for _ in range(SURGE_REQUESTS))
            )

    async def _wait_until_all_kinds_served(self) -> dict[str, bool]:
        """Probes until each kind of request is served or time runs out.

        Returns:
            Whether each kind was served, by kind.
        """
        served = dict.fromkeys(callers.KINDS, False)
        self._probe_callers += 1
        caller = callers.Caller(
            -self._probe_callers, self, random.Random(self._rng.random())
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._recovery_s):
                async with aiohttp.ClientSession() as session:
                    while not all(served.values()):
                        for kind, is_served in served.items():
                            if not is_served:
                                served[kind] = await caller.ask(session, kind)
                        await asyncio.sleep(callers.REQUEST_INTERVAL_S)
        return served

    async def _check_recovery(self) -> None:
        for kind, served in (
            await self._wait_until_all_kinds_served()
        ).items():
            self.checker.check_recovery(kind, served)


def _loop_time() -> float:
    return asyncio.get_running_loop().time()

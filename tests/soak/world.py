"""Runs node processes, a store, runners and callers in one soak."""

import asyncio
import contextlib
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
ENTRY_LAPSE_S = 0.6  # until the entry of a crashed runner is removed
RECOVERY_S = 15.0
UNTIMED_RECOVERY_S = 120.0  # without bounds on time
DRAIN_WAIT_S = 1.0
DOMAINS = 2
ENGINES_PER_DOMAIN = 5
PLAIN_RUNNERS = 2


class NodeProcess(processes.Process):
    """A node process that can be restarted.

    ``restart_lock`` serialises stops and starts of overlapping faults.
    """

    def __init__(self, name, store_link, store_address, directory):
        cfg = conftest.settings(name, store_address, stop_s=STOP_LIMIT_S)
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
    """

    def __init__(
        self,
        seed: int,
        nodes: int,
        directory: pathlib.Path,
        is_timed: bool = True,
    ):
        self._seed = seed
        self._rng = random.Random(seed)
        self._directory = directory
        self._node_count = nodes
        self._is_timed = is_timed
        self._recovery_s = RECOVERY_S if is_timed else UNTIMED_RECOVERY_S
        self.checker = ledger.PromiseChecker()
        self.version = 3
        self.store = store_standin.StoreStandIn()
        self.runners: dict[str, runners.Runner] = {}
        self.processes: list[NodeProcess] = []
        self.cut_pids: set[int] = set()
        self._stopping = False
        self._probe_callers = 0

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
            if drawn is None:
                drawn = (
                    faults.draw_faults(self._rng, seconds)
                    + faults.draw_limits(random.Random(self._seed), seconds)
                    + faults.draw_cuts(random.Random(self._seed), seconds)
                )
            await faults.FaultInjector(self).run(drawn)
            self._stopping = True
            await asyncio.gather(*caller_tasks)
            await self._check_recovery()
            await asyncio.sleep(DRAIN_WAIT_S)
        return self.checker.finish()

    async def _start(self, stack) -> None:
        await self.store.start()
        stack.push_async_callback(self.store.stop)
        self.publish_configuration()
        names = [(f'p-{n}', 'plain', '') for n in range(PLAIN_RUNNERS)]
        names += [
            (f'e-{domain}-{n}', 'llm', f'd{domain}')
            for domain in range(DOMAINS)
            for n in range(ENGINES_PER_DOMAIN)
        ]
        for name, service, domain in names:
            runner = runners.Runner(
                name,
                service,
                self.store,
                self.checker,
                self.runners,
                self.cut_pids,
            )
            runner.domain = domain
            self.runners[name] = runner
            await runner.start()
            stack.push_async_callback(runner.stop)
        for number in range(self._node_count):
            link = proxy.Proxy(self.store.address)
            address = await link.start()
            stack.push_async_callback(link.stop)
            process = NodeProcess(f'n{number}', link, address, self._directory)
            self.processes.append(process)
            stack.push_async_callback(self._shut_down, process)
            await process.start()

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
            await process.stop(number)
            if number == signal.SIGTERM and self._is_timed:
                self.checker.check_stop(
                    process.name,
                    time.monotonic() - sent_at,
                    STOP_LIMIT_S + STOP_MARGIN_S,
                )

    async def restart_process(self, process) -> None:
        """Starts a node process if it is not running.

        Args:
            process: Node process.
        """
        async with process.restart_lock:
            if process.proc.returncode is not None:
                await process.start()
                self.record_node_start()

    async def cut_off(self, process, duration_s: float) -> None:
        """Resets the connections of a process to all runners for some time.

        Args:
            process: Node process; a later one of it is not cut off.
            duration_s: Seconds.
        """
        pid = process.proc.pid
        self.cut_pids.add(pid)
        ports = await asyncio.to_thread(proxy.local_ports, pid)
        for runner in self.runners.values():
            if not runner.is_down:
                runner.link.reset_ports(ports)
        await asyncio.sleep(duration_s)
        self.cut_pids.discard(pid)

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
        await runner.stop()
        await asyncio.sleep(ENTRY_LAPSE_S)
        self.store.put('servers', runner.name, None)
        await asyncio.sleep(duration_s)
        runner.reset()
        await runner.start()
        runner.is_down = False

    async def _send_requests(self, number: int) -> None:
        caller = callers.Caller(
            number, self, random.Random(self._rng.random())
        )
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            while not self._stopping:
                await caller.ask(session, caller.draw_kind())
                await asyncio.sleep(callers.REQUEST_INTERVAL_S)

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

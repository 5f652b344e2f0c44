"""Node processes, a store, runners and callers of one soak."""

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

STOP_S = 4.0
STOP_MARGIN_S = 1.0  # for the signal and the end of the process
LAPSE_S = 0.6  # entries of dead runners
RECOVERY_S = 15.0
UNTIMED_S = 120.0  # where only the outcome counts, not how soon it comes
SETTLE_S = 1.0
DOMAINS = 2
ENGINES_PER_DOMAIN = 5
PLAIN = 2


class NodeProcess(processes.Process):
    """A node process that comes back; ``life`` guards its restarts."""

    def __init__(self, name, store_link, store_address, directory):
        cfg = conftest.settings(name, store_address, stop_s=STOP_S)
        super().__init__(cfg, directory / f'{name}.json')
        self.name = name
        self.store_link = store_link
        self.lock = asyncio.Lock()
        self.proc = None

    def signal(self, number) -> bool:
        """Sends a signal to the process if it runs.

        Args:
            number: The signal.
        """
        if self.proc is None or self.proc.returncode is not None:
            return False
        with contextlib.suppress(ProcessLookupError):
            self.proc.send_signal(number)
            return True
        return False


class World:
    """All that takes part in one run.

    Args:
        seed: Seed of everything that is drawn.
        nodes: Number of node processes.
        directory: Where settings and logs are written.
        is_timed: Whether bounds in seconds are checked.
    """

    def __init__(
        self,
        seed: int,
        nodes: int,
        directory: pathlib.Path,
        is_timed: bool = True,
    ):
        self._rng = random.Random(seed)
        self._directory = directory
        self._count = nodes
        self._is_timed = is_timed
        self._recovery_s = RECOVERY_S if is_timed else UNTIMED_S
        self.ledger = ledger.Ledger()
        self.version = 3
        self.store = store_standin.StoreStandIn()
        self.runners: dict[str, runners.Runner] = {}
        self.processes: list[NodeProcess] = []
        self._stopping = False
        self._probes = 0

    async def run(self, seconds: float, callers_count: int) -> list:
        """Plays one soak.

        Args:
            seconds: Length of the time with faults.
            callers_count: Number of callers.

        Returns:
            The breaches found.
        """
        async with contextlib.AsyncExitStack() as stack:
            await self._start(stack)
            await self._serves_all()
            asking = [
                asyncio.ensure_future(self._ask(number))
                for number in range(callers_count)
            ]
            await faults.Injector(self).run(faults.plan(self._rng, seconds))
            self._stopping = True
            await asyncio.gather(*asking)
            await self._check_recovery()
            await asyncio.sleep(SETTLE_S)
        return self.ledger.finish()

    async def _start(self, stack) -> None:
        await self.store.start()
        stack.push_async_callback(self.store.stop)
        self.publish()
        names = [(f'p-{n}', 'plain', '') for n in range(PLAIN)]
        names += [
            (f'e-{domain}-{n}', 'llm', f'd{domain}')
            for domain in range(DOMAINS)
            for n in range(ENGINES_PER_DOMAIN)
        ]
        for name, service, domain in names:
            runner = runners.Runner(
                name, service, self.store, self.ledger, self.runners
            )
            runner.domain = domain
            self.runners[name] = runner
            await runner.start()
            stack.push_async_callback(runner.stop)
        for number in range(self._count):
            link = proxy.Proxy(self.store.address)
            address = await link.start()
            stack.push_async_callback(link.stop)
            process = NodeProcess(f'n{number}', link, address, self._directory)
            self.processes.append(process)
            stack.push_async_callback(self._finish, process)
            await process.start()

    async def _finish(self, process) -> None:
        async with process.lock:
            process.signal(signal.SIGCONT)
            await process.stop(signal.SIGKILL)
        log = self._directory / f'{process.name}.log'
        log.write_text(''.join(process.lines))

    def publish(self) -> None:
        """Puts a new configuration into the store."""
        self.version += 1
        cfg = conftest.configuration(self.version)
        cfg['routes'].append(
            conftest.route('version', f'/v{self.version}/', 'plain', 'safe')
        )
        self.store.put('op', 'config', cfg)

    async def end(self, process, number) -> None:
        """Ends a node process and checks how long it takes to leave.

        Args:
            process: The process.
            number: Signal to send.
        """
        async with process.lock:
            if process.proc.returncode is not None:
                return
            sent_at = time.monotonic()
            process.signal(signal.SIGCONT)
            await process.stop(number)
            if number == signal.SIGTERM and self._is_timed:
                self.ledger.note_stop(
                    process.name,
                    time.monotonic() - sent_at,
                    STOP_S + STOP_MARGIN_S,
                )

    async def restart(self, process) -> None:
        """Starts a process again if it does not run.

        Args:
            process: The process.
        """
        async with process.lock:
            if process.proc.returncode is not None:
                await process.start()

    async def crash(self, runner, for_s: float) -> None:
        """Ends a runner; it comes back with nothing but its name.

        Args:
            runner: The runner.
            for_s: Seconds until it is back.
        """
        if runner.is_down:
            return
        runner.is_down = True
        await runner.stop()
        await asyncio.sleep(LAPSE_S)
        self.store.put('servers', runner.name, None)
        await asyncio.sleep(for_s)
        runner.reset()
        await runner.start()
        runner.is_down = False

    async def _ask(self, number: int) -> None:
        caller = callers.Caller(
            number, self, random.Random(self._rng.random())
        )
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            while not self._stopping:
                await caller.ask(session, caller.draw_kind())
                await asyncio.sleep(callers.PAUSE_S)

    async def _serves_all(self) -> dict[str, bool]:
        """Waits until each kind of request has been served once."""
        served = dict.fromkeys(callers.KINDS, False)
        self._probes += 1
        caller = callers.Caller(
            -self._probes, self, random.Random(self._rng.random())
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._recovery_s):
                async with aiohttp.ClientSession() as session:
                    while not all(served.values()):
                        for kind, done in served.items():
                            if not done:
                                served[kind] = await caller.ask(session, kind)
                        await asyncio.sleep(callers.PAUSE_S)
        return served

    async def _check_recovery(self) -> None:
        for kind, served in (await self._serves_all()).items():
            self.ledger.note_recovery(kind, served)

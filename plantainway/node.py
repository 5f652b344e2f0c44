"""A node: creates its tasks, starts them and stops them gracefully."""

import asyncio
import dataclasses
import functools
import json
import random
import signal

import aiohttp
from aiohttp import web
import aiomisc

from plantainway import api
from plantainway import bus
from plantainway import clock as clocks
from plantainway import errors
from plantainway import evidence
from plantainway import groups
from plantainway import logs
from plantainway import metrics
from plantainway import objects
from plantainway import peers
from plantainway import requests
from plantainway import sessions
from plantainway import settings
from plantainway import stores
from plantainway import upstreams

VM_LIST_POLL_INTERVAL_S = 1.0
RETRY_DELAY_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.05
EVIDENCE_FLUSH_TIMEOUT_S = 10.0
SHUTDOWN_TIMEOUT_S = 7200.0  # twice the longest request deadline


@dataclasses.dataclass
class NodeParts:
    """Objects shared by the tasks of a node; each has one owning task."""

    clock: clocks.BaseClock
    bus: bus.Bus
    table: stores.BaseTable
    object_store: stores.BaseObjectStore
    vm_list: stores.BaseVmList
    weight_store: stores.BaseWeightStore
    registry: peers.Registry
    book: peers.MembershipView
    vm_observations: groups.VmObservations
    copies: groups.CopyDirectory
    engines: object
    services: object
    spawn: object
    evidence: 'evidence.Recorder | None' = None
    peers: 'peers.PeersTask | None' = None


class Node:
    """A node that serves callers, operators and other nodes.

    Args:
        cfg: Settings.
        clock: Monotonic clock.
        rng: Random number generator.
    """

    def __init__(self, cfg: settings.Settings, clock=None, rng=None):
        self.cfg = cfg
        self._clock = clock or clocks.MonotonicClock()
        self._rng = rng or random.Random()
        self._tasks: set[asyncio.Task] = set()
        self._runners: list[web.AppRunner] = []
        self._session: aiohttp.ClientSession | None = None
        self._registration: peers.Registration | None = None
        self._draining = False
        self._counted = False
        self.caller_address = ''
        self.operator_address = ''
        self.peer_address = ''

    async def start(self) -> None:
        """Registers the node, loads the objects and opens the sockets.

        Retries for as long as the table service is unreachable.
        """
        self._session = sessions.new_session()
        parts = self._parts = self._make_parts()
        registration = await self._register(parts)
        parts.evidence = evidence.Recorder(
            self.cfg.node, registration.incarnation, self._clock
        )
        self._make_tasks(registration)
        await self._retry(self._objects.start)
        await self._peers.listen()
        await self._open_sockets()
        self._peers.advertise(self.caller_address, self.peer_address)
        for task in (
            self._peers,
            self._objects,
            self._view,
            self._watch,
            self._control,
            self._recorder,
            self._limits_task,
            self._key_sweep,
        ):
            self._spawn(task.run())
        self._spawn(self._poll_vm_list())
        logs.event(
            'node_started',
            node=self.cfg.node,
            incarnation=registration.incarnation,
            caller=self.caller_address,
            operator=self.operator_address,
            peer=self.peer_address,
        )

    def _make_parts(self) -> NodeParts:
        cfg, session = self.cfg, self._session
        table = stores.HttpTable(cfg.platform.table, session)
        book = peers.MembershipView(cfg.node, self._clock)

        @functools.cache
        def engines(vm, address):
            return upstreams.HttpEngine(vm, address, session)

        @functools.cache
        def services(name, address):
            return upstreams.HttpService(name, address, session)

        return NodeParts(
            clock=self._clock,
            bus=bus.Bus(),
            table=table,
            object_store=stores.HttpObjectStore(
                cfg.platform.object_store, session
            ),
            vm_list=stores.HttpVmList(cfg.platform.vm_list, session),
            weight_store=stores.HttpWeightStore(
                cfg.platform.weight_store, session
            ),
            registry=peers.Registry(table, self._clock),
            book=book,
            vm_observations=groups.VmObservations(cfg.node, book, self._clock),
            copies=groups.CopyDirectory(),
            engines=engines,
            services=services,
            spawn=self._spawn,
        )

    async def _register(self, parts) -> peers.Registration:
        cfg = self.cfg
        advertised = cfg.advertise or cfg.listen
        wanted = peers.Registration(
            cfg.node,
            0,
            cfg.region,
            cfg.place,
            cfg.failure_domain,
            advertised.caller,
            advertised.operator,
            advertised.peer,
            False,
        )
        self._registration, self._counted = await self._retry(
            functools.partial(parts.registry.register, wanted)
        )
        return self._registration

    async def _retry(self, call):
        while True:
            try:
                return await call()
            except errors.PlantainwayError as exc:
                logs.event(
                    'start_waits',
                    'WARNING',
                    node=self.cfg.node,
                    code=exc.code,
                    step=exc.step,
                    reason=exc.message,
                )
                await asyncio.sleep(RETRY_DELAY_S)

    def _make_tasks(self, registration) -> None:
        parts, cfg = self._parts, self.cfg
        self._peers = parts.peers = peers.PeersTask(cfg, registration, parts)
        store = objects.RevisionStore(parts.table, self._clock)
        self._objects = objects.ObjectsTask(store, parts, self._rng)
        self._view = requests.RouteView(cfg, parts, self._rng)
        self._limits = requests.AccountLimits(
            cfg.node, self._clock, self._counted
        )
        self._limits_task = requests.LimitSharingTask(
            self._limits, registration.incarnation, parts
        )
        self._accounts = requests.AdmissionController(
            self._clock, self._limits
        )
        self._view.on_revision.append(self._accounts.set_objects)
        budget = requests.RetryBudget()
        key_store = requests.IdempotencyKeyStore(
            parts.table, self._clock, cfg.node
        )
        self._key_sweep = requests.IdempotencyKeySweepTask(cfg.node, parts)
        self._services = requests.ServiceRunner(
            self._view, parts, key_store, budget
        )
        self._dispatcher = requests.Dispatcher(self._view, self._clock)
        self._chats = requests.ChatRunner(
            self._view, parts, budget, self._dispatcher
        )
        self._watch = groups.WatchTask(
            cfg.node,
            parts.book,
            parts.vm_observations,
            parts.engines,
            parts.bus,
            self._clock,
        )
        self._control = groups.ControlTask(
            cfg.node, registration.incarnation, parts
        )
        self._recorder = evidence.RecorderTask(
            parts.evidence, parts.object_store
        )
        self._caller_api = api.CallerApi(
            cfg,
            parts,
            self._accounts,
            self._view,
            self._chats,
            self._services,
        )
        self._operator_api = api.OperatorApi(
            cfg,
            parts,
            self._objects,
            store,
            self.dump,
            metrics.NodeCollector(
                self.dump,
                self._chats.outcomes,
                self._chats.first_piece_latency,
            ),
        )

    async def _open_sockets(self) -> None:
        cfg = self.cfg
        self.peer_address = _advertised_address(
            cfg.listen.peer, self._peers.port, cfg.advertise, 'peer'
        )
        for name, app in (
            ('caller', self._caller_api.app()),
            ('operator', self._operator_api.app()),
        ):
            address = getattr(cfg.listen, name)
            host, _, port = address.rpartition(':')
            runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
            await runner.setup()
            site = web.TCPSite(runner, host.strip('[]'), int(port))
            await site.start()
            self._runners.append(runner)
            bound = runner.addresses[0][1]
            advertised = _advertised_address(
                address, bound, cfg.advertise, name
            )
            setattr(self, f'{name}_address', advertised)

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.event(
                'task_failed',
                'ERROR',
                node=self.cfg.node,
                task=task.get_coro().__qualname__,
                reason=repr(task.exception()),
            )

    async def _poll_vm_list(self) -> None:
        while True:
            try:
                entries = await self._parts.vm_list.read()
                self._parts.bus.publish(
                    bus.VmListRead({item.name: item for item in entries})
                )
            except errors.StoreUnavailableError as exc:
                logs.event('vm_list_failed', 'DEBUG', reason=exc.message)
            await asyncio.sleep(VM_LIST_POLL_INTERVAL_S)

    async def drain(self) -> None:
        """Leaves the directory and waits until no request is in progress.

        New requests are still accepted until every directory answer that
        lists this node has expired.
        """
        if self._draining:
            return
        self._draining = True
        caller_api = self._caller_api
        logs.event(
            'drain_begun',
            node=self.cfg.node,
            in_progress=caller_api.in_progress,
        )
        self._parts.evidence.record(
            'drain_begin', in_progress=caller_api.in_progress
        )
        self._peers.announce_leaving()
        # A node that learns late of the departure lists this node until it
        # considers it dead; callers cache that list for its TTL.
        listed_until = (
            self._clock.now()
            + peers.LIVENESS_TIMEOUT_S
            + api.CACHED_LIST_TTL_S
        )
        await self._control.stop()
        while caller_api.in_progress or self._clock.now() < listed_until:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        await self._services.wait_for_pending_writes()
        self._parts.evidence.record('drain_end')
        logs.event('drain_done', node=self.cfg.node)

    async def stop(self) -> None:
        """Drains, stores the remaining evidence and closes the node."""
        await self.drain()
        for runner in self._runners:
            await runner.cleanup()
        deadline = self._clock.now() + EVIDENCE_FLUSH_TIMEOUT_S
        stored = await self._recorder.flush(last=True)
        while not stored and self._clock.now() < deadline:
            await asyncio.sleep(RETRY_DELAY_S)
            stored = await self._parts.evidence.write(self._parts.object_store)
        try:
            await self._parts.registry.mark_left(self._registration)
        except errors.PlantainwayError as exc:
            logs.event('unregister_failed', 'WARNING', reason=exc.message)
        await self.kill()

    def set_chooser(self, chooser: requests.BaseChooser) -> None:
        """Sets the strategy that chooses a copy for each request.

        Args:
            chooser: The new strategy.
        """
        self._view.chooser = chooser

    @property
    def recorder(self) -> 'evidence.Recorder':
        """Returns the evidence recorder."""
        return self._parts.evidence

    async def flush_evidence(self) -> bool:
        """Stores the evidence collected so far.

        Returns:
            Whether all of it is stored.
        """
        return await self._recorder.flush()

    async def kill(self) -> None:
        """Stops immediately without draining, as in a crash."""
        for runner in self._runners:
            for handler in runner.server.connections if runner.server else ():
                if handler.transport is not None:
                    handler.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for runner in self._runners:
            await runner.cleanup()
        await self._session.close()

    def dump(self) -> dict:
        """Returns the state of all tasks."""
        return {
            'node': self.cfg.node,
            'incarnation': self._registration.incarnation,
            'settings': settings.dump(self.cfg),
            'draining': self._draining,
            'in_progress': self._caller_api.in_progress,
            'limits': self._limits.dump(),
            'queues': self._dispatcher.dump(),
            'objects': self._objects.dump(),
            'peers': self._peers.dump(),
            'watch': self._watch.dump(),
            'control': self._control.dump(),
            'routes': self._view.dump(),
            'services': self._services.dump(),
        }

    def log_dump(self) -> None:
        """Writes the state of all tasks to the log."""
        logs.event('state', state=json.dumps(self.dump()))


def _advertised_address(listen: str, port: int, advertise, name: str) -> str:
    if advertise is not None:
        return getattr(advertise, name)
    return f'{listen.rpartition(":")[0]}:{port}'


class NodeService(aiomisc.Service):
    """Runs a node under an aiomisc entrypoint.

    Args:
        cfg: Settings.
    """

    def __init__(self, cfg: settings.Settings, **kwargs):
        super().__init__(**kwargs)
        self._cfg = cfg
        self.node: Node | None = None

    async def start(self) -> None:
        """Starts the node."""
        self.node = Node(self._cfg)
        await self.node.start()
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGUSR1, self.node.log_dump
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Drains and stops the node."""
        await self.node.stop()


def run(cfg: settings.Settings) -> None:
    """Runs a node until SIGTERM or SIGINT, then drains it.

    Args:
        cfg: Settings.
    """
    with aiomisc.entrypoint(
        NodeService(cfg),
        log_config=False,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    ) as loop:
        loop.run_forever()

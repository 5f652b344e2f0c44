"""Injects faults into engines, stores, services and nodes under load."""

import asyncio
import random
import time


class FaultInjector:
    """Starts faults at equal intervals, in a seeded order.

    Args:
        run: The load run into whose world faults are injected.
    """

    def __init__(self, run):
        self._run = run
        self._world = run.world
        self._rng = random.Random(run.rng.random())

    async def run(self) -> None:
        """Injects every kind of fault once and waits until all have ended."""
        kinds = [
            self._engine_crashes,
            self._engine_pauses,
            self._engine_partitioned,
            self._table_unavailable,
            self._table_replies_lost,
            self._table_slow,
            self._service_replies_lost,
            self._service_requests_lost,
            self._service_restarts,
            self._event_streams_corrupted,
            self._node_killed,
            self._upstream_leaves,
        ]
        self._rng.shuffle(kinds)
        pause_s = self._run.seconds / (len(kinds) + 1)
        open_faults = []
        for kind in kinds:
            await asyncio.sleep(pause_s)
            open_faults.append(asyncio.ensure_future(kind()))
        await asyncio.gather(*open_faults)

    def _engine(self, serving=True):
        engines = [
            engine
            for engine in self._world.fleet.engines.values()
            if engine.is_up and (engine.role == 'ready') == serving
        ]
        return self._rng.choice(engines) if engines else None

    async def _engine_crashes(self) -> None:
        engine = self._engine()
        if engine is not None:
            await engine.die()
            await asyncio.sleep(3.0)
            await engine.reboot()

    async def _engine_pauses(self) -> None:
        engine = self._engine()
        if engine is not None:
            engine.pause()
            await asyncio.sleep(2.0)
            engine.unpause()

    async def _engine_partitioned(self) -> None:
        engine = self._engine()
        if engine is not None:
            await engine.disconnect()
            await asyncio.sleep(1.5)
            await engine.reconnect()

    async def _table_unavailable(self) -> None:
        self._world.platform.table.faults.outage = True
        await asyncio.sleep(2.0)
        self._world.platform.table.faults.outage = False

    async def _table_replies_lost(self) -> None:
        self._world.platform.table.faults.lost_replies = 10

    async def _table_slow(self) -> None:
        self._world.platform.table.faults.slow_s = 0.3
        await asyncio.sleep(1.5)
        self._world.platform.table.faults.slow_s = 0.0

    async def _service_replies_lost(self) -> None:
        for ledger in self._world.ledgers.values():
            ledger.faults.lost_replies = 2

    async def _service_requests_lost(self) -> None:
        for ledger in self._world.ledgers.values():
            ledger.faults.lost_requests = 2

    async def _service_restarts(self) -> None:
        ledger = self._rng.choice(list(self._world.ledgers.values()))
        await ledger.stop()
        await asyncio.sleep(1.5)
        await ledger.start()

    async def _event_streams_corrupted(self) -> None:
        engines = list(self._world.fleet.engines.values())
        for engine in engines:
            engine.duplicate_fraction = engine.foreign_fraction = 0.2
            engine.missing_end_fraction = 0.05
        await asyncio.sleep(2.0)
        for engine in engines:
            engine.duplicate_fraction = engine.foreign_fraction = (
                engine.missing_end_fraction
            ) = 0.0

    async def _node_killed(self) -> None:
        name = self._rng.choice(list(self._world.nodes)[1:])
        node = self._world.nodes.pop(name)
        await node.kill()
        self._run.set_node_chooser(await self._world.start_node(name), 0)

    async def _upstream_leaves(self) -> None:
        engine = self._engine()
        if engine is None:
            return
        copy_id, token = engine.copy_id, engine.token
        self._run.leaving_at[copy_id] = (time.monotonic(), token)
        domain = engine.vm.rpartition('-')[0]
        self._world.list_vm(engine.vm, domain, leaving=True)
        await asyncio.sleep(6.0)
        self._world.list_vm(engine.vm, domain, leaving=False)

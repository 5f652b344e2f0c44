"""One node on the users' platform: its parts, its start and its stop."""

import asyncio
import functools
import random
import time
import uuid

from plantainway import clock as clocks
from plantainway import cluster
from plantainway.edge import _election
from plantainway.edge import _feeds
from plantainway.edge import _fleet
from plantainway.edge import _gossip
from plantainway.edge import _metrics
from plantainway.edge import _view
from plantainway import logs
from plantainway import platform
from plantainway import traffic

STILL_ASKED_S = 0.5  # on top of the longest time that clients keep an answer
KEPT_TIMES = 3.0  # some clients keep an answer of the directory so long
STOP_MARGIN_S = 0.3  # to close everything before SIGKILL


class EdgeNode:
    """A node that serves clients under the operator's configuration.

    Args:
        cfg: Settings.
        clock: Source of monotonic time.
        rng: Source of randomness.
    """

    def __init__(self, cfg, clock=None, rng=None):
        self.cfg = cfg
        self._clock = clock or clocks.MonotonicClock()
        self._rng = rng or random.Random()
        self._tasks: set[asyncio.Task] = set()
        self._leaving = False
        self.addresses: dict[str, str] = {}

    async def start(self) -> None:
        """Opens the sockets and starts to follow the store."""
        self._make_parts()
        listen = self.cfg.listen
        self.addresses['peer'] = await self._hub.listen(listen.peer)
        self.addresses['caller'] = await self._ingress.listen(listen.caller)
        self.addresses['directory'] = await self._directory.listen(
            listen.directory
        )
        self.addresses['readiness'] = await self._readiness.listen(
            listen.readiness
        )
        if listen.metrics:
            await self._readiness.listen(listen.metrics)
        for task in self._feeds:
            self._spawn(task.run())
        self._election.address = self.addresses['peer']
        self._spawn(self._election.run())
        logs.event(
            'node_started',
            node=self.cfg.node,
            zone=self.cfg.zone,
            **self.addresses,
        )

    def _make_parts(self) -> None:
        cfg, clock = self.cfg, self._clock
        self._kept = platform.new_session()
        self._fresh = platform.new_session(connection_per_request=True)
        self._store = platform.PlatformStore(cfg.store, self._kept)
        self._client = platform.RunnerClient(self._kept, self._fresh, clock)
        self._view = _view.PlatformView(clock)
        self._parts = self._traffic_parts()
        self._gossip = _gossip.Gossip(
            self._view,
            self._parts,
            self._info,
            clock,
            cfg.bounds.retry_window_s,
        )
        self._parts.on_stream_request = self._gossip.note_asked
        self._gateway = traffic.Gateway(self._parts, self._rng)
        self._make_cluster()
        self._fleet = _fleet.Fleet(
            self._view, self._client, self._leadership, clock, self._spawn
        )
        self._connect()
        self._ingress = platform.Ingress(self._gateway, clock)
        self._directory = platform.DirectoryServer(
            self._addresses_for, cfg.bounds.directory_ttl_s
        )
        self._readiness = platform.StatusServer(
            self.is_ready,
            functools.partial(_metrics.exposition, self),
            self.dump,
        )

    def _traffic_parts(self) -> traffic.Dependencies:
        bounds, clock, book = self.cfg.bounds, self._clock, self._view.book
        health = traffic.HealthTracker(clock)
        stalls = traffic.StallDetector(clock)
        loads = traffic.LoadTracker()
        return traffic.Dependencies(
            clock=clock,
            upstreams=book,
            client=self._client,
            health=health,
            loads=loads,
            stalls=stalls,
            heads=traffic.HeadPool(
                book, health, stalls, loads, clock, self._rng
            ),
            budget=traffic.RetryBudget(
                clock,
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window_s,
            ),
            outcomes=traffic.OutcomeRecorder(clock),
            on_failure=self._note_failure,
        )

    def _make_cluster(self) -> None:
        cfg, clock, view = self.cfg, self._clock, self._view
        self._leadership = cluster.Leadership(
            cfg.node, uuid.uuid4().hex[:8], self._store, clock
        )
        self._hub = cluster.Hub(
            cfg.node,
            self._leadership,
            view.followers,
            self._gossip.beat,
            clock,
        )
        self._link = cluster.HubClient(
            view.followers, self._gossip.beat, clock
        )
        self._election = _election.ElectionTask(
            self._leadership,
            self._hub,
            self._link,
            clock,
            self._rng,
            self.cfg.capacity,
            self._spawn,
        )
        self._feeds = [
            _feeds.FeedTask(
                item, self._store, self._leadership.is_leader, clock
            )
            for item in view.followers
        ]

    def _connect(self) -> None:
        """Lets the parts hear of one another's changes."""
        parts, view = self._parts, self._view
        view.on_configuration.append(self._gateway.configure)
        view.on_upstreams.append(parts.heads.dispatch_waiting)
        view.on_regrouped.append(parts.stalls.forget)
        view.on_gone.append(parts.forget)
        self._fleet.on_heads_changed.append(self._tell_heads_changed)
        self._hub.closed = self._fleet.given_up
        self._hub.opened = self._opened_heads
        self._hub.on_beat.append(self._take_beat)
        self._link.on_digest.append(self._take_digest)
        self._election.on_renewed.append(
            lambda: self._gossip.set_nodes(len(self._hub.nodes()))
        )

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._reap)
        return task

    def _reap(self, task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.event(
                'task_failed',
                'ERROR',
                task=task.get_coro().__qualname__,
                reason=repr(task.exception()),
            )

    def is_ready(self) -> bool:
        """Tells whether the node takes requests."""
        return not self._leaving and self._view.is_complete

    def open_head_count(self, service: str, model: str) -> int:
        """Returns how many groups are known to serve a model.

        Args:
            service: Name of the service.
            model: Name of the model.
        """
        return len(self._view.book.find_open_heads(service, model))

    def table_version(self, table: str) -> int:
        """Returns the version up to which a table of the store is known.

        Args:
            table: Name of the table.
        """
        return next(
            item.version
            for item in self._view.followers
            if item.table == table
        )

    def _info(self) -> cluster.NodeInfo:
        return cluster.NodeInfo(
            self.cfg.node,
            self.addresses.get('caller', ''),
            self.cfg.zone,
            self.cfg.capacity,
            self.is_ready(),
        )

    def _nodes(self):
        """Returns the nodes known, this one as it is now."""
        if self._leadership.is_leader():
            return self._hub.nodes()
        own = self._info()
        others = (item for item in self._link.nodes if item.node != own.node)
        return [own, *others]

    def _addresses_for(self, _region: str, zone: str) -> list[str]:
        return cluster.choose_addresses(self._nodes(), zone)

    def _note_failure(self, upstream, reason: str, ejected: bool) -> None:
        logs.event(
            'upstream_failed',
            upstream=upstream.name,
            reason=reason,
            ejected=ejected,
        )
        if not upstream.membership:
            return
        self._gossip.suspect(upstream.name)
        if self._leadership.is_leader():
            self._fleet.suspect([upstream.name])
        else:
            self._link.poke()

    def _take_beat(self, beat) -> None:
        self._election.go_on()
        self._fleet.note_work(self._hub.work())
        self._fleet.suspect(beat.suspects)
        self._gossip.take_loads(
            self._hub.loads(), self._parts.loads.local_counts
        )

    def _take_digest(self, digest) -> None:
        self._leadership.note_renewal(digest.lease_version)
        self._gossip.take_digest(
            digest, len(self._link.nodes), self._link.sent_loads
        )

    def _tell_heads_changed(self) -> None:
        self._gossip.close_heads(self._fleet.given_up())
        self._gossip.open_heads(self._fleet.unseen_heads())
        self._hub.poke()

    def _opened_heads(self) -> list[cluster.OpenHead]:
        return [
            cluster.OpenHead(name, member.group, member.epoch, member.model)
            for name, member in self._fleet.unseen_heads().items()
        ]

    async def stop(self) -> None:
        """Leaves: no new clients, all requests in progress ended."""
        if self._leaving:
            return
        self._leaving = True
        stop_at = self._clock.now() + self.cfg.bounds.stop_s - STOP_MARGIN_S
        logs.event(
            'node_leaving',
            node=self.cfg.node,
            in_progress=self._gateway.in_progress,
        )
        self._ingress.is_closing = True
        self._link.poke()
        self._hub.poke()
        await self._election.leave()
        # Clients that still hold an answer of the directory come until then.
        kept_s = self.cfg.bounds.directory_ttl_s * KEPT_TIMES
        asked_until = self._clock.now() + kept_s + STILL_ASKED_S
        while self._clock.now() < asked_until:
            await asyncio.sleep(0.05)
        await self._ingress.stop_accepting()
        while self._gateway.in_progress and self._clock.now() < stop_at:
            await asyncio.sleep(0.02)
        logs.event(
            'node_stopped',
            node=self.cfg.node,
            in_progress=self._gateway.in_progress,
        )
        await self.close()

    async def close(self) -> None:
        """Closes everything at once."""
        for task in list(self._tasks):
            task.cancel()
        for part in (
            self._ingress,
            self._directory,
            self._readiness,
            self._hub,
        ):
            await part.close()
        await self._kept.close()
        await self._fresh.close()

    def dump(self) -> dict:
        """Returns the state of all tasks."""
        cfg = self._view.configuration
        return {
            'node': self.cfg.node,
            'wall': time.time(),
            'leaving': self._leaving,
            'leads': self._leadership.is_leader(),
            'term': self._leadership.term,
            'configuration': cfg.version if cfg else 0,
            'upstreams': len(self._view.book.by_name),
            'ages_s': {
                item.table: round(item.age_s(), 3)
                for item in self._view.followers
                if item.is_loaded
            },
            'in_progress': self._gateway.in_progress,
            'loads': dict(self._parts.loads.local_counts),
            'queues': self._parts.heads.dump(),
            'nodes': [item.node for item in self._nodes()],
            'store_calls': self._store.call_count,
            'groups': self._fleet.dump(),
        }

    @property
    def outcomes(self) -> traffic.OutcomeRecorder:
        """Returns the counters of how requests ended."""
        return self._parts.outcomes

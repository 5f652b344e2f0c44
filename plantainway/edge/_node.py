"""One node on the users' platform: its parts, its start and its stop."""

import asyncio
import contextlib
import functools
import random
import signal
import time
import uuid

import aiomisc

from plantainway import clock as clocks
from plantainway import cluster
from plantainway import deployment
from plantainway.edge import _election
from plantainway.edge import _feeds
from plantainway.edge import _metrics
from plantainway import errors
from plantainway import logs
from plantainway import platform
from plantainway import supply
from plantainway import traffic

SUSPECT_S = 1.0  # how long a suspicion is told to the leader
STILL_ASKED_S = 0.5  # on top of the longest time that clients keep an answer
KEPT_TIMES = 3.0  # some clients keep an answer of the directory so long
STOP_MARGIN_S = 0.3


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
        self._fewer_nodes_at = 0.0
        self._suspects: dict[str, float] = {}
        self._work: dict[str, float] = {}
        self._controllers: dict[str, supply.GroupController] = {}
        self._configuration: deployment.Configuration | None = None
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
        self._fresh = platform.new_session(fresh=True)
        self._store = platform.PlatformStore(cfg.store, self._kept)
        self._client = platform.RunnerClient(self._kept, self._fresh, clock)
        self._book = deployment.UpstreamBook()
        self._config_rows = cluster.Follower(platform.CONFIG_TABLE, clock)
        self._upstream_rows = cluster.Follower(
            platform.UPSTREAM_TABLE, clock, keeps_lapsed=True
        )
        followers = [self._config_rows, self._upstream_rows]
        self._config_rows.on_change.append(self._take_configuration)
        self._upstream_rows.on_change.append(self._take_upstreams)
        self._leadership = cluster.Leadership(
            cfg.node, uuid.uuid4().hex[:8], self._store, clock
        )
        self._hub = cluster.Hub(
            cfg.node, self._leadership, followers, self._beat, clock
        )
        self._hub.closed = self._given_up
        self._hub.on_beat.append(self._take_beat)
        self._link = cluster.HubClient(followers, self._beat, clock)
        self._link.on_digest.append(self._take_digest)
        self._election = _election.ElectionTask(
            self._leadership,
            self._hub,
            self._link,
            clock,
            self._rng,
            self._spawn,
        )
        self._election.on_renewed.append(
            lambda: self._set_nodes(len(self._hub.nodes()))
        )
        self._feeds = [
            _feeds.FeedTask(item, self._store, self._leadership.leads, clock)
            for item in followers
        ]
        health = traffic.HealthBook(clock)
        stalls = traffic.StallBook(clock)
        loads = traffic.LoadBook()
        self._parts = traffic.Parts(
            clock=clock,
            upstreams=self._book,
            client=self._client,
            health=health,
            loads=loads,
            stalls=stalls,
            heads=traffic.HeadPool(
                self._book, health, stalls, loads, clock, self._rng
            ),
            budget=traffic.RetryBudget(
                clock,
                cfg.bounds.retry_ratio,
                cfg.bounds.retry_slack,
                cfg.bounds.retry_window_s,
            ),
            outcomes=traffic.OutcomeBook(clock),
            on_failure=self._note_failure,
            on_asked=self._note_asked,
        )
        self._gateway = traffic.Gateway(self._parts, self._rng)
        self._ingress = platform.Ingress(self._gateway, clock)
        self._directory = platform.Directory(
            self._addresses_for, cfg.bounds.directory_ttl_s
        )
        self._readiness = platform.Readiness(
            self.is_ready,
            functools.partial(_metrics.exposition, self),
            self.dump,
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
        return (
            not self._leaving
            and self._configuration is not None
            and self._upstream_rows.is_loaded
        )

    def open_heads(self, service: str, model: str) -> int:
        """Returns how many groups are known to serve a model.

        Args:
            service: Name of the service.
            model: Name of the model.
        """
        return len(self._book.open_heads(service, model))

    def table_version(self, table: str) -> int:
        """Returns the version up to which a table of the store is known.

        Args:
            table: Name of the table.
        """
        return next(
            item.version
            for item in (self._config_rows, self._upstream_rows)
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

    def _beat(self) -> cluster.Beat:
        now = self._clock.now()
        self._suspects = {
            name: until
            for name, until in self._suspects.items()
            if until > now
        }
        return cluster.Beat(
            self._info(),
            dict(self._parts.loads.own),
            list(self._suspects),
            dict(self._work),
        )

    def _nodes(self):
        """Returns the nodes known, this one as it is now."""
        if self._leadership.leads():
            return self._hub.nodes()
        digest = self._link.digest
        own = self._info()
        others = digest.nodes if digest is not None else ()
        return [own, *(item for item in others if item.node != own.node)]

    def _addresses_for(self, _region: str, zone: str) -> list[str]:
        return cluster.choose_addresses(self._nodes(), zone)

    def _take_configuration(self, _changed, _removed) -> None:
        row = self._config_rows.rows.get(platform.CONFIG_KEY)
        if row is None:
            return
        try:
            cfg = platform.decode_configuration(row.value)
        except errors.WireError as exc:
            logs.event(
                'configuration_invalid',
                'ERROR',
                row_version=row.version,
                reason=exc.message,
            )
            return
        known = self._configuration
        if known is not None and cfg.version <= known.version:
            return
        self._configuration = cfg
        self._gateway.configure(cfg)
        self._parts.heads.pump()
        for name, profile in cfg.engines.items():
            controller = self._controllers.get(name)
            if controller is None:
                controller = supply.GroupController(
                    name,
                    self._book,
                    self._client,
                    self._leadership,
                    self._clock,
                    self._spawn,
                    lambda: self._upstream_rows.current_as_of,
                )
                controller.on_given_up.append(self._tell_given_up)
                self._controllers[name] = controller
                self._spawn(controller.run())
            controller.profile = profile
        logs.event(
            'configuration_in_force',
            version=cfg.version,
            row_version=row.version,
            services=len(cfg.services),
        )

    def _take_upstreams(self, changed, removed) -> None:
        for key in removed:
            upstream = self._book.by_name.get(key)
            if upstream is None:
                continue
            logs.event('upstream_gone', upstream=key, service=upstream.service)
            for book in (
                self._parts.heads,
                self._parts.health,
                self._parts.stalls,
            ):
                book.forget(key)
            for controller in self._controllers.values():
                controller.note_removed(upstream)
        decoded = []
        unreadable = []
        for row in changed:
            upstream = platform.decode_upstream(row.key, row.value)
            if upstream is None:
                unreadable.append(row.key)
                continue
            decoded.append(upstream)
            known = self._book.by_name.get(upstream.name)
            if known is None or known.membership != upstream.membership:
                self._parts.stalls.forget(upstream.name)
            self._log_upstream(upstream, row.version)
        self._book.apply(
            decoded, [*removed, *unreadable], self._upstream_rows.version
        )
        self._parts.heads.pump()

    def _log_upstream(self, upstream, version: int) -> None:
        known = self._book.by_name.get(upstream.name)
        if known == upstream:
            return
        member = upstream.membership
        logs.event(
            'upstream_seen',
            'DEBUG' if known is not None else 'INFO',
            upstream=upstream.name,
            version=version,
            draining=upstream.draining,
            domain=upstream.domain,
            staged=','.join(upstream.staged),
            group=member.group if member else '',
            rank=member.rank if member else '',
            state=member.state.value if member else '',
        )

    def _note_failure(self, upstream, reason: str, ejected: bool) -> None:
        logs.event(
            'upstream_failed',
            upstream=upstream.name,
            reason=reason,
            ejected=ejected,
        )
        if not upstream.membership:
            return
        self._suspects[upstream.name] = self._clock.now() + SUSPECT_S
        if self._leadership.leads():
            self._suspect_at_controllers([upstream.name])
        else:
            self._link.poke()

    def _note_asked(self, service: str, req, engine) -> None:
        """Adds a stream to the work that was asked of a model so far."""
        answer = req.length_hint or engine.usual_answer
        work_s = engine.work_s(req.model, req.prompt_tokens, answer)
        key = f'{service}/{req.model}'
        self._work[key] = self._work.get(key, 0.0) + work_s

    def _take_work(self, work: dict[str, float]) -> None:
        for name, controller in self._controllers.items():
            controller.note_work(
                {
                    key.rpartition('/')[2]: total
                    for key, total in work.items()
                    if key.rpartition('/')[0] == name
                }
            )

    def _suspect_at_controllers(self, names) -> None:
        for controller in self._controllers.values():
            for name in names:
                controller.suspect(name)

    def _take_beat(self, beat) -> None:
        self._take_work(self._hub.work())
        self._suspect_at_controllers(beat.suspects)
        self._take_loads(self._hub.loads(), self._parts.loads.own)

    def _take_digest(self, digest) -> None:
        self._leadership.note_renewal(digest.lease_version)
        self._set_nodes(len(digest.nodes))
        self._take_loads(digest.loads, self._link.sent_loads)
        self._close_heads(digest.closed)
        for name in digest.suspects:
            self._parts.stalls.suspect(name)

    def _given_up(self) -> dict[str, int]:
        """Returns the epochs of groups that this leader has given up."""
        closed: dict[str, int] = {}
        for controller in self._controllers.values():
            closed |= controller.given_up()
        return closed

    def _tell_given_up(self) -> None:
        self._close_heads(self._given_up())
        self._hub.poke()

    def _close_heads(self, closed: dict[str, int]) -> None:
        """Sends no new work to heads of groups that are given up."""
        for name, epoch in closed.items():
            head = self._book.by_name.get(name)
            if head is not None and (
                head.membership is not None and head.membership.epoch == epoch
            ):
                self._parts.heads.note_closed(head)

    def _set_nodes(self, count: int) -> None:
        """Deals the retry budget out among the nodes.

        Nodes that are missed now have spent their part of the window, so
        the number falls only slowly.
        """
        budget = self._parts.budget
        now = self._clock.now()
        if count >= budget.nodes or now >= self._fewer_nodes_at:
            budget.nodes = max(count, 1)
            self._fewer_nodes_at = now + self.cfg.bounds.retry_window_s

    def _take_loads(self, totals, own) -> None:
        """Takes in what other nodes have in progress."""
        self._parts.loads.set_others(
            {
                name: max(count - own.get(name, 0), 0)
                for name, count in totals.items()
            }
        )
        self._parts.heads.pump()

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
        self._ingress.closing = True
        self._election.is_leaving = True
        self._link.poke()
        self._hub.poke()
        with contextlib.suppress(errors.PlantainwayError):
            await self._leadership.hand_back()
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
        cfg = self._configuration
        return {
            'node': self.cfg.node,
            'wall': time.time(),
            'leaving': self._leaving,
            'leads': self._leadership.leads(),
            'term': self._leadership.term,
            'configuration': cfg.version if cfg else 0,
            'upstreams': len(self._book.by_name),
            'ages_s': {
                item.table: round(item.age_s(), 3)
                for item in (self._config_rows, self._upstream_rows)
                if item.is_loaded
            },
            'in_progress': self._gateway.in_progress,
            'loads': dict(self._parts.loads.own),
            'queues': self._parts.heads.dump(),
            'nodes': [item.node for item in self._nodes()],
            'store_calls': self._store.calls,
            'groups': {
                name: item.dump() for name, item in self._controllers.items()
            },
        }

    @property
    def outcomes(self) -> traffic.OutcomeBook:
        """Returns the counters of how requests ended."""
        return self._parts.outcomes


class EdgeService(aiomisc.Service):
    """Runs a node under an aiomisc entrypoint.

    Args:
        cfg: Settings.
    """

    def __init__(self, cfg, **kwargs):
        super().__init__(**kwargs)
        self._cfg = cfg
        self.node: EdgeNode | None = None

    async def start(self) -> None:
        """Starts the node."""
        self.node = EdgeNode(self._cfg)
        await self.node.start()
        loop = asyncio.get_running_loop()
        # Settings that changed take effect at the next start.
        loop.add_signal_handler(
            signal.SIGHUP, logs.event, 'settings_changed', 'INFO'
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Stops the node as planned."""
        await self.node.stop()


def run(cfg) -> None:
    """Runs a node until SIGTERM or SIGINT, then lets it leave.

    Args:
        cfg: Settings.
    """
    with aiomisc.entrypoint(
        EdgeService(cfg),
        log_config=False,
        shutdown_timeout=cfg.bounds.stop_s,
    ) as loop:
        loop.run_forever()

"""A node on the platform: its components, its start and its shutdown."""

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
from plantainway.edge import _lateness
from plantainway.edge import _links
from plantainway.edge import _metrics
from plantainway.edge import _permits
from plantainway.edge import _quarantine
from plantainway.edge import _view
from plantainway.edge import _witness
from plantainway import errors
from plantainway import logs
from plantainway import metrics
from plantainway import platform
from plantainway import quarantine
from plantainway import ratelimits
from plantainway import traffic

# Added to the longest time that clients may cache a directory answer.
LATE_CLIENT_WAIT_S = 0.5
# Some clients cache a directory answer for this many times its TTL.
DIRECTORY_TTL_FACTOR_MAX = 3.0
TASK_RESTART_PAUSE_S = 0.5
STOP_MARGIN_S = 0.3  # for closing all sockets before SIGKILL
ANSWER_MARGIN_S = 0.2  # for sending the last answers before that


class EdgeNode:
    """A node that serves clients under the operator's configuration.

    Args:
        cfg: Settings.
        clock: Source of monotonic time; the system clock if ``None``.
        rng: Source of randomness; a new one if ``None``.

    Attributes:
        cfg: Settings.
        addresses: Bound ``IP:PORT`` of each listener but the one for
            metrics, by name, after ``start``.
    """

    def __init__(self, cfg, clock=None, rng=None):
        self.cfg = cfg
        self._clock = clock or clocks.MonotonicClock()
        self._rng = rng or random.Random()
        self._tasks: set[asyncio.Task] = set()
        self._is_leaving = False
        self.addresses: dict[str, str] = {}

    async def start(self) -> None:
        """Opens all listeners and starts the polling and election tasks."""
        self._create_components()
        listen = self.cfg.listen
        self.addresses['peer'] = await self._hub.listen(listen.peer)
        self.addresses['caller'] = await self._ingress.listen(listen.caller)
        self.addresses['relay'] = await self._relay_ingress.listen(
            listen.relay_address()
        )
        self.addresses['directory'] = await self._directory.listen(
            listen.directory
        )
        self.addresses['readiness'] = await self._readiness.listen(
            listen.readiness
        )
        if listen.metrics:
            await self._readiness.listen(listen.metrics)
        for task in self._feeds:
            self._spawn(self._run_until_cancelled(task.run))
        self._election.address = self.addresses['peer']
        for task in (
            self._election,
            self._loop_monitor,
            self._limit_task,
            self._link_task,
            self._connections,
        ):
            self._spawn(self._run_until_cancelled(task.run))
        logs.event(
            'node_started',
            node=self.cfg.node,
            zone=self.cfg.zone,
            **self.addresses,
        )

    def _create_components(self) -> None:
        cfg, clock = self.cfg, self._clock
        self._pooled_session = platform.new_session()
        self._unpooled_session = platform.new_session(
            connection_per_request=True
        )
        self._store = platform.PlatformStore(cfg.store, self._pooled_session)
        self._client = platform.RunnerClient(
            self._pooled_session, self._unpooled_session, clock
        )
        self._view = _view.PlatformView(clock)
        self._limits = ratelimits.LimitBook(clocks.SuspendAwareClock())
        self._limits.cold.upstreams = self._view.book
        self._limits.cold.overshoot = cfg.bounds.cold_overshoot
        self._limits.cold.tolerance = cfg.bounds.cold_tolerance
        self._shares = ratelimits.KeptShares(cfg.node, self._limits, clock)
        self._links = traffic.LinkMonitor(clock)
        self._link_task = _links.LinkTask(
            self._links, self._view, self._client, self._rng
        )
        self._create_cluster_components()
        self._dependencies = self._create_dependencies()
        self._leader_sync = _gossip.LeaderSync(
            self._view,
            self._dependencies,
            self._node_info,
            self._shares.shares,
            self._witness_task.answers,
            clock,
            cfg.bounds.retry_window_s,
        )
        self._dependencies.on_stream_request = (
            self._leader_sync.record_requested_work
        )
        self._gateway = traffic.Gateway(self._dependencies, self._rng)
        self._controllers = _fleet.ControllerSet(
            self._view,
            self._client,
            self._leadership,
            clock,
            self._spawn,
            self._witness,
        )
        self._quarantine = _quarantine.QuarantineTask(
            self._dependencies.quarantine,
            self._dependencies.evidence,
            self._leadership,
            self._store,
            self._controllers.is_gone,
            clock,
        )
        self._register_listeners()
        book = self._connections = platform.ConnectionBook(
            clock,
            platform.IntakeBounds.derive(
                cfg.bounds.memory_mb, cfg.bounds.max_fds
            ),
        )
        self._ingress = platform.Ingress(self._gateway, clock, book=book)
        self._relay_ingress = platform.Ingress(
            self._gateway, clock, is_relay=True, book=book
        )
        self._directory = platform.DirectoryServer(
            self._addresses_for, cfg.bounds.directory_ttl_s, clock, book
        )
        self._readiness = platform.StatusServer(
            self.is_ready,
            functools.partial(_metrics.exposition, self),
            self.dump,
            clock,
            book,
        )

    def _create_dependencies(self) -> traffic.Dependencies:
        bounds, clock, book = self.cfg.bounds, self._clock, self._view.book
        health = traffic.HealthTracker(clock)
        stalls = traffic.StallDetector(clock)
        loads = traffic.LoadTracker()
        permits = _permits.PermitSource(
            self.cfg.node,
            self._limits,
            self._issuer,
            self._shares,
            self._leadership,
            self._leader_link,
            clock,
        )
        rates = traffic.RateGate(permits, loads, clock)
        outcomes = traffic.OutcomeRecorder(clock)
        relay = traffic.Relay(
            platform.RelayClient(self._pooled_session, clock),
            self._relay_nodes,
            self._links,
            outcomes,
            clock,
            self._rng,
        )
        return traffic.Dependencies(
            clock=clock,
            upstreams=book,
            client=self._client,
            health=health,
            loads=loads,
            stalls=stalls,
            heads=traffic.HeadPool(
                book, health, stalls, loads, rates, clock, self._rng
            ),
            budget=traffic.RetryBudget(
                clock,
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window_s,
            ),
            outcomes=outcomes,
            quarantine=quarantine.Quarantine(clock),
            evidence=quarantine.EvidenceRecorder(clock),
            rates=rates,
            links=self._links,
            relay=relay,
            pauses=traffic.PauseBook(clock),
            on_failure=self._handle_upstream_failure,
        )

    def _create_cluster_components(self) -> None:
        cfg, clock, view = self.cfg, self._clock, self._view
        # The lease also runs out while this VM is suspended.
        self._leadership = cluster.Leadership(
            cfg.node,
            uuid.uuid4().hex[:8],
            self._store,
            clocks.SuspendAwareClock(),
        )
        self._leadership.newest_used_term = view.newest_used_term
        self._loop_monitor = _lateness.LoopMonitor(
            self._leadership.is_leader, clock
        )
        self._hub = cluster.Hub(
            cfg.node,
            self._leadership,
            view.tables,
            self._heartbeat,
            clock,
        )
        self._leader_link = cluster.HubClient(
            view.tables, self._heartbeat, clock
        )
        self._witness = _witness.LossWitness(
            self._relay_nodes, self._link_task, self._links
        )
        self._witness_task = _witness.WitnessTask(
            cfg.node,
            view,
            self._link_task,
            clock,
            self._spawn,
            self._leader_link.send_soon,
        )
        self._issuer = ratelimits.PermitIssuer(cfg.node, self._limits, clock)
        self._limit_task = _permits.LimitTask(
            cfg.node,
            self._limits,
            self._issuer,
            self._shares,
            self._leadership,
            self._leader_link,
            self._ask_upstream,
            self._spawn,
            clock,
        )
        self._election = _election.ElectionTask(
            self._leadership,
            self._hub,
            self._leader_link,
            clock,
            self._rng,
            self.cfg.capacity,
            self._spawn,
        )
        self._feeds = [
            _feeds.TablePoller(
                item, self._store, self._leadership.is_leader, clock
            )
            for item in view.tables
        ]

    def _register_listeners(self) -> None:
        """Registers the components' listeners with one another."""
        dependencies, view = self._dependencies, self._view
        view.on_configuration.append(self._gateway.configure)
        view.on_configuration.append(self._limits.cold.configure)
        view.on_configuration.append(dependencies.heads.warmup.configure)
        view.on_opened.append(dependencies.heads.warmup.handle_opened)
        dependencies.heads.warmup.on_raised.append(
            dependencies.heads.dispatch_waiting
        )
        view.on_entry.append(self._limits.cold.observe_entry)
        self._client.on_cold.append(self._limits.cold.observe_answer)
        self._limits.cold.on_answered.append(self._leader_link.send_soon)
        self._limits.cold.on_warm.append(dependencies.heads.dispatch_waiting)
        view.on_upstreams_changed.append(dependencies.heads.dispatch_waiting)
        view.on_group_changed.append(dependencies.stalls.forget)
        view.on_removed.append(dependencies.forget)
        self._controllers.on_heads_changed.append(self._handle_heads_changed)
        self._hub.disbanded_epochs = self._controllers.disbanded_epochs
        self._hub.opened_heads = self._opened_heads
        self._hub.watched_parts = self._quarantine.watched_parts
        self._hub.quarantined_ms = dependencies.quarantine.remaining_ms
        self._hub.limits = self._leader_link.limits = self._limits
        self._hub.absent_nodes = self._issuer.absent_nodes
        self._hub.unreached = self._witness.questions
        self._witness.on_asked.append(self._hub.send_soon)
        self._election.is_blind = self._is_blind
        self._hub.issue_permit = self._issuer.issue
        self._hub.on_link_ended.append(self._issuer.record_lost)
        self._hub.on_heartbeat.append(self._limit_task.handle_heartbeat)
        self._hub.on_heartbeat.append(self._handle_heartbeat)
        self._client.on_answer.append(self._limits.observe)
        self._client.on_answer.append(
            lambda _upstream, _rate: self._links.record_contact()
        )
        self._client.on_leaving.append(self._view.mark_leaving)
        self._client.on_unreached.append(self._links.record_unreached)
        self._links.on_change.append(self._handle_links_changed)
        self._limits.on_named.append(self._leader_link.send_soon)
        self._election.on_acquired.append(self._limit_task.handle_acquired)
        self._leader_link.on_update.append(self._limit_task.handle_update)
        self._quarantine.on_change.append(self._hub.send_soon)
        self._leadership.on_rows_read.append(self._quarantine.handle_rows)
        self._leader_link.on_update.append(self._handle_leader_update)
        self._election.on_renewal_attempt.append(self._handle_renewal)
        self._election.on_acquired.append(
            lambda: self._spawn(self._quarantine.store())
        )

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)
        return task

    async def _run_until_cancelled(self, run) -> None:
        """Runs a task of the node, again after each unexpected error.

        A node that went on without it would be ready and yet not follow the
        configuration or the leader.

        Args:
            run: Coroutine function that ends only by an error.
        """
        while True:
            try:
                await run()
            except Exception as exc:
                logs.event(
                    'task_failed',
                    'ERROR',
                    task=run.__qualname__,
                    reason=repr(exc)[:200],
                )
            await asyncio.sleep(TASK_RESTART_PAUSE_S)

    def _handle_task_end(self, task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.event(
                'task_failed',
                'ERROR',
                task=task.get_coro().__qualname__,
                reason=repr(task.exception()),
            )

    def is_ready(self) -> bool:
        """Returns whether the node takes new requests."""
        return not self._is_leaving and self._view.is_complete

    def open_head_count(self, service: str, model: str) -> int:
        """Returns the number of groups known to serve a model.

        Args:
            service: Name of the service.
            model: Name of the model.
        """
        return len(self._view.book.find_open_heads(service, model))

    def table_version(self, table: str) -> int:
        """Returns the version of a store table that this node has cached.

        Args:
            table: Name of the table.
        """
        return next(
            item.version for item in self._view.tables if item.name == table
        )

    def _heartbeat(self) -> cluster.Heartbeat:
        return self._leader_sync.heartbeat()

    async def _ask_upstream(self, name: str) -> None:
        """Asks an upstream for any answer, which may name a limit."""
        upstream = self._view.book.by_name.get(name)
        cfg = self._view.configuration
        if upstream is None or cfg is None:
            return
        service = cfg.services.get(upstream.service)
        try:
            if service is None or service.engine is not None:
                await self._client.report(upstream)
            else:
                await self._client.check_health(upstream, service.health_path)
        except (errors.UpstreamError, errors.WireError) as exc:
            logs.event('limit_unconfirmed', upstream=name, reason=exc.message)

    def _node_info(self) -> cluster.NodeInfo:
        return cluster.NodeInfo(
            self.cfg.node,
            self.addresses.get('caller', ''),
            self.cfg.zone,
            self.cfg.capacity,
            self.is_ready(),
            self.addresses.get('relay', ''),
            self._links.is_lost,
        )

    def _relay_nodes(self) -> list[cluster.NodeInfo]:
        """Returns the other nodes that can serve requests of this one."""
        return [
            item
            for item in self._known_nodes()
            if item.node != self.cfg.node
            and item.ready
            and item.relay
            and not item.links_lost
        ]

    def _is_blind(self) -> bool:
        """Returns whether others reach the upstreams but not this node."""
        return self._links.is_lost and bool(self._relay_nodes())

    def _handle_links_changed(self) -> None:
        if not self._links.is_lost:
            self._dependencies.health.reset()
        self._leader_link.send_soon()
        self._hub.send_soon()

    def _known_nodes(self):
        """Returns the live nodes, with the current state of this one."""
        if self._leadership.is_leader():
            return self._hub.live_nodes()
        own = self._node_info()
        others = (
            item for item in self._leader_link.nodes if item.node != own.node
        )
        return [own, *others]

    def _addresses_for(self, _region: str, zone: str) -> list[str]:
        return cluster.choose_addresses(self._known_nodes(), zone)

    def _handle_upstream_failure(
        self, upstream, reason: str, ejected: bool
    ) -> None:
        logs.event(
            'upstream_failed',
            upstream=upstream.name,
            reason=reason,
            ejected=ejected,
        )
        if not upstream.membership:
            return
        self._leader_sync.report_suspect(upstream.name)
        if self._leadership.is_leader():
            self._controllers.probe_suspects([upstream.name])
        else:
            self._leader_link.send_soon()

    def _handle_renewal(self) -> None:
        self._leader_sync.set_node_count(len(self._hub.live_nodes()))
        self._quarantine.decide()
        self._spawn(self._quarantine.store())

    def _handle_heartbeat(self, beat, _delay_s: float) -> None:
        self._election.extend_if_late()
        self._controllers.record_work(self._hub.total_work())
        if not beat.info.links_lost:
            self._controllers.probe_suspects(beat.suspects)
        self._quarantine.handle_heartbeat(beat)
        self._witness.handle_answers(beat.info.node, beat.reached)
        self._dependencies.heads.pressure.merge(self._hub.pressure_ms())
        self._dependencies.heads.warmup.merge(self._hub.total_ramps())
        self._leader_sync.update_other_loads(
            self._hub.total_loads(), self._dependencies.loads.local_counts
        )

    def _handle_leader_update(self, update) -> None:
        self._leadership.observe_renewal(update.lease_version)
        self._witness_task.handle_questions(
            update.leader, update.unreached, self._leader_link.nodes
        )
        is_asked = self._leader_sync.apply_update(
            update, len(self._leader_link.nodes), self._leader_link.sent_loads
        )
        if is_asked:
            self._leader_link.send_soon()

    def _handle_heads_changed(self) -> None:
        self._leader_sync.mark_heads_closed(
            self._controllers.disbanded_epochs()
        )
        self._leader_sync.mark_heads_open(self._controllers.opened_heads())
        self._hub.send_soon()

    def _opened_heads(self) -> list[cluster.OpenHead]:
        return [
            cluster.OpenHead(name, member.group, member.epoch, member.model)
            for name, member in self._controllers.opened_heads().items()
        ]

    async def stop(self) -> None:
        """Drains and closes the node; called on SIGTERM.

        Leaves the directory and releases the lease if this node leads.
        Accepts requests until no client can have a cached answer with this
        address, the last ones only if they end in time. Then waits for the
        requests in progress, until shortly before SIGKILL at the latest, and
        closes the node. Returns at once if the node is stopping already.
        """
        if self._is_leaving:
            return
        self._is_leaving = True
        stop_at = self._clock.now() + self.cfg.bounds.stop_s - STOP_MARGIN_S
        logs.event(
            'node_leaving',
            node=self.cfg.node,
            in_progress=self._gateway.in_progress,
        )
        self._ingress.is_closing = True
        self._relay_ingress.is_closing = True
        self._leader_link.send_soon()
        self._hub.send_soon()
        directory_ttl_max_s = (
            self.cfg.bounds.directory_ttl_s * DIRECTORY_TTL_FACTOR_MAX
        )
        self._gateway.end_at(
            stop_at - ANSWER_MARGIN_S, self._clock.now() + directory_ttl_max_s
        )
        await self._election.resign()
        # Until then clients may still have this address cached.
        accept_until = (
            self._clock.now() + directory_ttl_max_s + LATE_CLIENT_WAIT_S
        )
        while self._clock.now() < accept_until:
            await asyncio.sleep(0.05)
        await self._ingress.stop_accepting()
        await self._relay_ingress.stop_accepting()
        while self._gateway.in_progress and self._clock.now() < stop_at:
            await asyncio.sleep(0.02)
        logs.event(
            'node_stopped',
            node=self.cfg.node,
            in_progress=self._gateway.in_progress,
        )
        await self.close()

    async def close(self) -> None:
        """Cancels all tasks and closes all sockets without draining."""
        for task in list(self._tasks):
            task.cancel()
        for component in (
            self._ingress,
            self._relay_ingress,
            self._directory,
            self._readiness,
            self._hub,
        ):
            await component.close()
        await self._pooled_session.close()
        await self._unpooled_session.close()

    def dump(self) -> dict:
        """Returns the state of the node for /dump and the metrics."""
        cfg = self._view.configuration
        return {
            'node': self.cfg.node,
            'wall': time.time(),
            'leaving': self._is_leaving,
            'links_lost': self._links.is_lost,
            'leads': self._leadership.is_leader(),
            'term': self._leadership.term,
            'configuration': cfg.version if cfg else 0,
            'upstreams': len(self._view.book.by_name),
            'evacuated_zones': sorted(self._view.evacuated_zones),
            'ages_s': {
                item.name: round(item.age_s(), 3)
                for item in self._view.tables
                if item.is_loaded
            },
            'in_progress': self._gateway.in_progress,
            'loads': dict(self._dependencies.loads.local_counts),
            'queues': self._dependencies.heads.dump(),
            'yielded': dict(self._dependencies.heads.yielded),
            'shed': dict(self._dependencies.heads.shed),
            'nodes': [item.node for item in self._known_nodes()],
            'store_calls': self._store.call_count,
            'relayed_bytes': self._hub.sent_bytes,
            'groups': self._controllers.dump(),
            'clients': self._connections.dump(),
            'upstream_limits': self._limits.in_force(),
            'cold_upstreams': sorted(self._limits.cold.in_force()),
            'quarantined_parts': self._dependencies.quarantine.remaining_ms(),
        }

    @property
    def loop_lateness(self) -> metrics.LatencyHistogram:
        """Returns by how much the event loop ran its timers late."""
        return self._loop_monitor.lateness

    @property
    def outcomes(self) -> traffic.OutcomeRecorder:
        """Returns the counters and durations of ended requests."""
        return self._dependencies.outcomes

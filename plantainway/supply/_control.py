"""Controller of the replica groups of one service, run by the leader."""

import asyncio
import collections

from plantainway import deployment
from plantainway import logs
from plantainway.supply import _adoption
from plantainway.supply import _balance
from plantainway.supply import _contacts
from plantainway.supply import _demand
from plantainway.supply import _heads
from plantainway.supply import _orders
from plantainway.supply import _pacing
from plantainway.supply import _plan
from plantainway.supply import _releases
from plantainway.supply import _repair
from plantainway.supply import _state
from plantainway.supply import _warming
from plantainway.supply import _witness

EPOCHS_PER_TERM = 100000  # limit of one term; epochs grow across terms
PLAN_INTERVAL_S = 0.1  # short beside a repair, which takes 1.4 s or more
# Twice the age that the leader's entries reach while the store answers.
STALE_ENTRIES_S = 1.2
# Entries show an opened head within this time, and so do reports.
ENTRY_LAG_S = 0.5
# Engines that start together register at shorter intervals than this.
REGISTRATION_GAP_S = 1.0
NO_DOMAIN = ''  # for groups whose members are all gone

_Kind = _orders.OrderKind


def term_of_epoch(epoch: int) -> int:
    """Returns the term of the leader that used an epoch.

    Args:
        epoch: Epoch of a group.
    """
    return epoch // EPOCHS_PER_TERM


class GroupController:
    """Plans the groups of one service and sends orders to its engines.

    Args:
        service: Name of the service.
        upstreams: The upstream book.
        client: Client of the engines.
        leadership: The lease of the leader, without which no order is sent.
        clock: Source of monotonic time.
        spawn: Function that runs a coroutine as a task.
        current_as_of: Function that returns the monotonic time at which the
            upstream book was last known to be current.
        settles_at: Function that returns the monotonic time until which
            entries that expired in an outage may be missing.
        witness: Confirms that an engine is lost; by default this node's own
            evidence suffices.

    Attributes:
        service: Name of the service.
        head_overrides: Head states that entries do not show yet.
    """

    def __init__(
        self,
        service,
        upstreams,
        client,
        leadership,
        clock,
        spawn,
        current_as_of,
        settles_at,
        witness=None,
    ):
        self.service = service
        self._upstreams = upstreams
        self._client = client
        self._leadership = leadership
        self._clock = clock
        self._spawn = spawn
        self._current_as_of = current_as_of
        self._settles_at = settles_at
        self._pending_term_since = float('-inf')
        self._pending_term = 0
        self._engines = _contacts.EngineTracker(
            service,
            upstreams,
            client,
            clock,
            spawn,
            witness or _witness.OwnEvidence(),
        )
        self._releases = _releases.ReleaseTracker()
        self._groups: dict[str, _state.GroupRecord] = {}
        # By domain and model, of evacuated domains when that began.
        self._kept_groups: dict[str, dict[str, int]] = {}
        self._warmups = _warming.WarmupTracker()
        self.head_overrides = _heads.HeadOverrides(clock)
        self._epochs_used = 0
        self._term = 0
        self._pacer = _pacing.LoadPacer(self._engines.find)
        self._demand = _demand.DemandMeter(clock)
        self._balancer = _balance.Balancer(clock)
        self._counts: _plan.GroupCounts | None = None  # of the last tick

    @property
    def profile(self) -> deployment.EngineProfile | None:
        """Returns the engine profile in use, ``None`` before ``configure``."""
        return self._pacer.profile

    def configure(self, profile: deployment.EngineProfile) -> None:
        """Sets the engine profile; no groups are planned before that.

        Args:
            profile: The profile.
        """
        self._pacer.profile = profile

    def handle_upstream_removed(self, upstream: deployment.Upstream) -> None:
        """Keeps a removed engine as draining, since it may still be running.

        Called when the entry of an engine disappears from the store.

        Args:
            upstream: The last entry of the engine.
        """
        self._engines.handle_upstream_removed(upstream)

    def update_demand(self, totals: dict[str, float]) -> None:
        """Records a sample of the cumulative work of all requests.

        The first work above zero ends the start-up phase of this controller
        for good. During that phase other load limits apply, and groups and
        spares are placed by other rules.

        Args:
            totals: Group-seconds of work by model, counted from any fixed
                moment.
        """
        if any(totals.values()):
            self._pacer.traffic_seen = True
        self._demand.record(totals)

    def probe_group(self, head: str) -> None:
        """Probes all members of the open group of a head at once.

        Args:
            head: Name of the suspected head.
        """
        for record in self._groups.values():
            if record.opened and record.members[0] == head:
                for name in record.members:
                    self._engines.start_probe(name)

    def is_gone(self, name: str, started_ms: int) -> bool:
        """Returns whether a probe found an incarnation of an engine gone.

        Args:
            name: Name of the engine.
            started_ms: Start of the incarnation.
        """
        return self._engines.is_gone(name, started_ms)

    def _adopt(self, engines, now: float) -> None:
        """Replaces groups and warm-ups by those that the engines report.

        Also drops the releases and the newly opened heads of earlier terms.
        """
        self.head_overrides.clear_opened()
        self._releases.clear()
        self._warmups.adopt(engines, now + self._pacer.longest_load_s())
        self._groups = _adoption.adopt_groups(engines, self.profile, now)
        self._kept_groups.clear()
        self._demand.clear()
        views = self._domain_views(engines)
        self._balancer.adopt(
            views,
            self.profile,
            self._share_targets(views),
            now + _balance.move_timeout_s(self._pacer.longest_load_s()),
        )
        logs.event(
            'groups_adopted',
            service=self.service,
            term=self._term,
            open=len(self._groups),
            engines=len(engines),
            unconfirmed=sum(
                engine.reachability is not _state.Reachability.ANSWERS
                or not engine.is_confirmed
                for engine in engines.values()
            ),
            waited_ms=int((now - self._pending_term_since) * 1000),
        )

    def tick(self) -> None:
        """Plans once and starts to send the resulting orders and probes.

        At the start of a term it first adopts the existing groups, as soon
        as the engines have confirmed their state, and plans nothing before
        that. Does nothing without a profile or without the lease.
        """
        if self.profile is None or not self._leadership.is_leader():
            return
        now = self._clock.now()
        as_of = self._current_as_of()
        if not self._begin_term(now):
            return
        engines = self._engines.refresh(as_of)
        if now - as_of > STALE_ENTRIES_S:
            # Entries are too old to show the effect of orders, so the
            # engines are asked for reports.
            self._engines.poll_reports(self._engines_with_pending_change())
            self.head_overrides.extend_disbanded()
        self.head_overrides.update_opened(
            self._groups.values(), engines, as_of
        )
        self._engines.start_due_probes(
            name
            for record in self._groups.values()
            if record.opened
            for name in record.members
        )
        if self._repair_groups(engines, now):
            engines = self._engines.refresh(as_of)
        self._balance(engines, now, as_of)
        self._form_groups(engines, now)
        self._warm_spares(engines, now)

    def _engines_with_pending_change(self) -> set[str]:
        """Returns the engines with orders whose effect is still unseen."""
        names = set(self._releases.pending) | self._warmups.models.keys()
        for record in self._groups.values():
            if not record.opened:
                names.update(record.members)
            elif (
                record.closing_since is not None or record.seen_open_at is None
            ):
                names.add(record.members[0])
        return names

    def _begin_term(self, now: float) -> bool:
        """Adopts the existing groups when a new term begins.

        Entries may be older than the last leader's orders: it may have led
        through an outage of the store, which this node need not have seen.
        So each engine is asked for its state before that, late enough for
        the report to show the effect of the last order. Entries that expired
        in an outage are waited for if a group lacks a member.

        Returns:
            Whether the groups of this term have been adopted.
        """
        if self._term == self._leadership.term:
            return True
        if self._pending_term != self._leadership.term:
            self._pending_term = self._leadership.term
            self._pending_term_since = now
        since = self._pending_term_since + ENTRY_LAG_S
        if now < since or not self._engines.request_confirmations(since):
            return False
        if self._current_as_of() < since:
            return False
        engines = self._engines.refresh(self._current_as_of())
        if now < self._settles_at() and _adoption.has_incomplete_groups(
            engines, self.profile
        ):
            return False
        self._term = self._leadership.term
        self._epochs_used = 0
        self._adopt(engines, now)
        return True

    def _repair_groups(self, engines, now: float) -> bool:
        """Applies repairs, ends warm-ups and sends due orders to leave.

        A lost member may mean that its whole domain is lost. So the idle
        engines of the domain are probed before they may join a group.

        Returns:
            Whether a group was disbanded, so that engines may be probed.
        """
        has_probed = False
        views = self._domain_views(engines)
        self._record_kept_groups(views)
        for view in views:
            for action in _repair.plan_repairs(
                view, now, self._pacer.join_time_s
            ):
                self._apply(action, engines, now)
                if isinstance(action, _state.Disband):
                    has_probed = True
                    for engine in _plan.idle_engines(view):
                        self._engines.start_probe(engine.name)
        for engine in self._warmups.remove_ended(engines, now):
            self._releases.begin(engine)
        managed = self._warmups.member_keys | {
            (name, record.name, record.epoch)
            for record in self._groups.values()
            for name in record.members
        }
        for order in self._releases.collect_due_orders(engines, managed, now):
            self._start_order(order)
        return has_probed

    def _record_kept_groups(self, views) -> None:
        """Records the groups of each domain until it is evacuated."""
        is_starting = not self._pacer.traffic_seen
        for view in views:
            is_planned = is_starting or not view.is_evacuated
            if is_planned or view.domain not in self._kept_groups:
                self._kept_groups[view.domain] = view.count_groups()

    def _balance(self, engines, now: float, as_of: float) -> None:
        """Begins and continues moves of capacity between models."""
        views = self._domain_views(engines)
        for move, is_done in self._balancer.remove_ended(views, self.profile):
            logs.event(
                'rebalance_ended',
                service=self.service,
                domain=move.domain,
                receiver=move.receiver,
                done=is_done,
            )
        counts = self._counts = self._group_counts(views)
        if now - as_of <= STALE_ENTRIES_S and self._is_registration_done(now):
            demand = self._demand.summarize()
            move = self._balancer.plan(
                views,
                self.profile,
                counts,
                demand,
                self._pacer.max_concurrent_loads(),
            )
            if move is not None:
                self._begin_move(move, views, counts, demand, engines, now)
        if self._balancer.domains:
            load_budget = self._pacer.load_budget(
                engines, self._groups, len(self._warmups.models), now
            )
            for action in self._balancer.continue_moves(
                views, self.profile, counts.targets, load_budget
            ):
                self._apply(action, engines, now)

    def _begin_move(self, move, views, counts, demand, engines, now) -> None:
        max_load_s = self._pacer.max_load_s(move.receiver)
        self._balancer.begin(
            move, views, now + _balance.move_timeout_s(max_load_s)
        )
        logs.event(
            'rebalance',
            service=self.service,
            domain=move.domain,
            donor=move.donor,
            donor_peak=round(demand.peak.get(move.donor, 0.0), 2),
            donor_groups=counts.current.get(move.donor, 0),
            closing=','.join(move.closing),
            receiver=move.receiver,
            receiver_mean=round(demand.mean.get(move.receiver, 0.0), 2),
            receiver_groups=counts.current.get(move.receiver, 0),
            gained=move.gained,
        )
        for group in move.closing:
            self._apply(_state.Close(group, True, 'rebalance'), engines, now)

    def _form_groups(self, engines, now: float) -> None:
        views = self._domain_views(engines)
        load_budget = self._pacer.load_budget(
            engines, self._groups, len(self._warmups.models), now
        )
        if self._pacer.traffic_seen and not self._is_registration_done(now):
            # In a domain that comes back, engines that have yet to register
            # may already have the weights.
            load_budget = 0
        for action in _plan.form_groups(
            views,
            self.profile,
            self._group_counts(views),
            load_budget,
            not self._pacer.traffic_seen,
        ):
            self._apply(action, engines, now)

    def _warm_spares(self, engines, now: float) -> None:
        if not self._is_registration_done(now):
            return
        views = self._domain_views(engines)
        for action in _plan.warm_spares(
            views,
            self.profile,
            self._group_counts(views),
            self._pacer.spare_load_budget(
                engines, self._groups, len(self._warmups.models), now
            ),
            not self._pacer.traffic_seen,
        ):
            self._apply(action, engines, now)

    def _is_registration_done(self, now: float) -> bool:
        """Returns whether no engine has registered recently."""
        return now >= self._engines.last_registered_at + REGISTRATION_GAP_S

    def _domain_views(self, engines) -> list[_state.DomainView]:
        domains: dict[str, dict] = {}
        for name, engine in engines.items():
            domains.setdefault(engine.upstream.domain, {})[name] = engine
        groups: dict[str, dict] = {domain: {} for domain in domains}
        for record in self._groups.values():
            domain = next(
                (
                    engines[name].upstream.domain
                    for name in record.members
                    if name in engines
                ),
                NO_DOMAIN,
            )
            groups.setdefault(domain, {})[record.name] = record
        loading = self._warmups.models
        busy = self._releases.pending | loading.keys()
        ended = self._releases.ended_memberships
        return [
            _state.DomainView(
                domain,
                domains.get(domain, {}),
                groups[domain],
                busy,
                ended,
                {
                    name: model
                    for name, model in loading.items()
                    if name in domains.get(domain, {})
                },
                self._is_evacuated(domains.get(domain, {})),
                self._kept_groups.get(domain, {}),
            )
            for domain in sorted(groups)
        ]

    def _is_evacuated(self, engines) -> bool:
        """Returns whether all engines of a domain are evacuated."""
        return bool(engines) and all(
            self._upstreams.is_evacuated(engine.upstream)
            for engine in engines.values()
        )

    def _group_counts(self, views) -> _plan.GroupCounts:
        current: dict[str, int] = {}
        for record in self._groups.values():
            if record.closing_since is None:
                current[record.model] = current.get(record.model, 0) + 1
        targets = self._balancer.correct(self._share_targets(views), views)
        evacuated = collections.Counter()
        if self._pacer.traffic_seen:
            for view in views:
                if view.is_evacuated:
                    evacuated += view.count_groups()
        return _plan.GroupCounts(current, targets, evacuated)

    def _share_targets(self, views) -> dict[str, _plan.GroupTarget]:
        return _plan.group_targets(
            self.profile,
            self._engines.peak_engine_count,
            len(views),
            self._demand.busy_groups(),
        )

    def _apply(self, action, engines, now: float) -> None:
        if isinstance(action, _state.Form):
            self._form(action, engines, now)
        elif isinstance(action, _state.Open):
            record = self._groups[action.group]
            record.open_sent_at = now
            record.opened = True
            self._log_action(action, record)
            self._start_order(
                _orders.Order(
                    _Kind.OPEN,
                    record.members[0],
                    record.name,
                    record.epoch,
                )
            )
        elif isinstance(action, _state.Close):
            record = self._groups[action.group]
            record.closing_since = now
            self._log_action(action, record)
            self._start_order(
                _orders.Order(
                    _Kind.CLOSE,
                    record.members[0],
                    record.name,
                    record.epoch,
                    finish=action.finish,
                )
            )
        elif isinstance(action, _state.Disband):
            self._disband(action, engines)
        elif isinstance(action, _state.Warm):
            self._warm(action, engines, now)

    def _log_action(self, action, record) -> None:
        logs.event(
            type(action).__name__.lower(),
            group=record.name,
            epoch=record.epoch,
            model=record.model,
            members=','.join(record.members),
            reason=getattr(action, 'reason', ''),
        )

    def _next_epoch(self) -> int:
        self._epochs_used += 1
        return self._term * EPOCHS_PER_TERM + self._epochs_used

    def _warm(self, action, engines, now: float) -> None:
        self._pacer.record_load_start(now)
        logs.event('warm', upstream=action.upstream, model=action.model)
        self._start_order(
            self._warmups.begin(
                engines[action.upstream],
                action.model,
                self._next_epoch(),
                now + self._pacer.max_load_s(action.model),
            )
        )

    def _form(self, action, engines, now: float) -> None:
        epoch = self._next_epoch()
        record = _state.GroupRecord(
            f'g{epoch}',
            epoch,
            action.model,
            action.members,
            now,
            {
                name: engines[name].upstream.started_ms
                for name in action.members
            },
        )
        self._groups[record.name] = record
        for name in action.members:
            if action.model not in engines[name].upstream.staged:
                self._pacer.record_load_start(now)
        self._log_action(action, record)
        for name in action.members:
            self._start_order(
                _orders.Order(
                    _Kind.JOIN,
                    name,
                    record.name,
                    epoch,
                    action.model,
                    action.members,
                )
            )

    def _disband(self, action, engines) -> None:
        record = self._groups.pop(action.group)
        self._log_action(action, record)
        if record.opened and record.members[0]:
            self.head_overrides.add_disbanded(record.members[0], record.epoch)
        for name in record.members:
            engine = engines.get(name)
            if (
                engine is None
                or engine.reachability is not _state.Reachability.ANSWERS
            ):
                continue
            if engine.member_key == (name, record.name, record.epoch):
                self._releases.begin(engine)
            else:
                # Only its own report shows that it is not in the group.
                self._engines.require_confirmation(name)

    def _start_order(self, order) -> None:
        self._spawn(self._send_order(order))

    async def _send_order(self, order) -> None:
        """Sends an order, unless the engine is unknown or the lease is lost.

        The effect of the order shows in the entry of the engine. If the
        outcome is unknown the engine is probed.
        """
        upstream = self._engines.find(order.upstream)
        if upstream is None or not self._leadership.is_leader():
            logs.event(
                'order_dropped', upstream=order.upstream, op=order.kind.value
            )
            return
        outcome = await self._client.order(upstream, order)
        logs.event(
            'order',
            upstream=order.upstream,
            op=order.kind.value,
            group=order.group,
            epoch=order.epoch,
            outcome=outcome.status.value,
            detail=outcome.detail,
        )
        if outcome.status is _orders.OrderStatus.UNKNOWN:
            self._engines.start_probe(order.upstream)
        elif order.kind is _Kind.LEAVE and outcome.has_effect:
            if outcome.status is _orders.OrderStatus.HOLDS:
                # It may be in another group, unknown here.
                self._engines.require_confirmation(order.upstream)
            self._releases.record_left(order)

    async def run(self) -> None:
        """Plans every ``PLAN_INTERVAL_S`` until cancelled."""
        while True:
            try:
                self.tick()
            except Exception as exc:
                # A failed plan must not stop the repair of other groups.
                logs.event(
                    'planning_failed',
                    'ERROR',
                    service=self.service,
                    reason=repr(exc),
                )
            await asyncio.sleep(PLAN_INTERVAL_S)

    def dump(self) -> dict:
        """Returns the groups, releases and warm-ups for the state dump.

        On a leader, ``models`` holds the demand, the number of groups and
        the base target of each model.
        """
        return {
            'models': self._dump_models(),
            'groups': {
                name: {
                    'model': record.model,
                    'members': record.members,
                    'opened': record.opened,
                    'closing': record.closing_since is not None,
                }
                for name, record in self._groups.items()
            },
            'releasing': sorted(self._releases.pending),
            'warming': sorted(self._warmups.models),
        }

    def _dump_models(self) -> dict:
        if self._counts is None or not self._leadership.is_leader():
            return {}
        busy = self._demand.busy_groups()
        return {
            name: {
                'busy': round(busy.get(name, 0.0), 3),
                'groups': self._counts.current.get(name, 0),
                'base': target.base,
            }
            for name, target in self._counts.targets.items()
        }

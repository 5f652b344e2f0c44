"""Keeps the replica groups of one service while this node leads."""

import asyncio

from plantainway import deployment
from plantainway import logs
from plantainway.supply import _adoption
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

EPOCHS_PER_TERM = 100000  # epochs that one term may use
TICK_S = 0.1  # a repair takes 1.4 s at least
STALE_S = 1.2  # the leader's readings are half as old while the store answers
SETTLE_S = 0.5  # an open head shows in its entry within so long
REGISTERING_S = 1.0  # engines of one start register closer together
NO_DOMAIN = ''  # of groups whose members are all gone

_Kind = _orders.OrderKind


class GroupController:
    """Plans and orders the groups of one service.

    Args:
        service: Name of the service.
        upstreams: The upstream book.
        client: Client of the engines.
        leadership: The lease; every order needs it.
        clock: Source of monotonic time.
        spawn: Function that runs a coroutine as a task.
        current_as_of: Function that returns the monotonic time at which the
            upstream book was last known to be current.
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
    ):
        self.service = service
        self._client = client
        self._leadership = leadership
        self._clock = clock
        self._spawn = spawn
        self._current_as_of = current_as_of
        self._leads_since = float('-inf')
        self._next_term = 0
        self._contacts = _contacts.ContactBook(
            service, upstreams, client, clock, spawn
        )
        self._releases = _releases.ReleaseBook()
        self._groups: dict[str, _state.GroupRecord] = {}
        self._warmups = _warming.WarmupBook()
        self.head_overrides = _heads.HeadOverrides(clock)
        self._epochs = 0
        self._term = 0
        self._pacer = _pacing.LoadPacer(self._contacts.find)
        self._demand = _demand.DemandMeter(clock)

    @property
    def profile(self) -> deployment.EngineProfile | None:
        """Returns the engine profile in force."""
        return self._pacer.profile

    def configure(self, profile: deployment.EngineProfile) -> None:
        """Puts an engine profile in force.

        Args:
            profile: The profile.
        """
        self._pacer.profile = profile

    def handle_upstream_removed(self, upstream: deployment.Upstream) -> None:
        """Notes that an entry is gone; the engine may still work.

        Args:
            upstream: The engine as last seen.
        """
        self._contacts.handle_upstream_removed(upstream)

    def update_demand(self, totals: dict[str, float]) -> None:
        """Takes in the work that clients have asked for so far.

        Args:
            totals: Seconds of a group by model.
        """
        if any(totals.values()):
            self._pacer.traffic_seen = True
        self._demand.note(totals)

    def probe_group(self, head: str) -> None:
        """Probes the members of a head's group at once.

        Args:
            head: Name of the head whose streams stall.
        """
        for record in self._groups.values():
            if record.opened and record.members[0] == head:
                for name in record.members:
                    self._contacts.probe_soon(name)

    def _adopt(self, now: float) -> None:
        """Takes over the groups that stand when this term begins."""
        facts = self._contacts.facts(self._current_as_of())
        self.head_overrides.clear()
        self._releases.clear()
        self._warmups.adopt(facts, now + self._pacer.longest_load_s())
        self._groups = _adoption.adopt_groups(facts, self.profile, now)
        logs.event(
            'groups_adopted',
            service=self.service,
            term=self._term,
            open=len(self._groups),
            engines=len(facts),
        )

    def tick(self) -> None:
        """Plans once and starts the orders."""
        if self.profile is None or not self._leadership.is_leader():
            return
        now = self._clock.now()
        as_of = self._current_as_of()
        if not self._begin_term(now):
            return
        facts = self._contacts.facts(as_of)
        if now - as_of > STALE_S:
            # Entries no longer show what orders do; reports have to.
            self._contacts.watch(self._changing())
            self.head_overrides.keep()
        self.head_overrides.note_open(self._groups.values(), facts, as_of)
        self._contacts.probe_due(
            name
            for record in self._groups.values()
            if record.opened
            for name in record.members
        )
        if self._repair(facts, now):
            facts = self._contacts.facts(as_of)
        self._form_groups(facts, now)
        self._warm_spares(facts, now)

    def _changing(self) -> set[str]:
        """Returns the engines whose state orders should change."""
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
        """Adopts what stands once the last leader's orders must show.

        Returns:
            Whether groups may be planned.
        """
        if self._term == self._leadership.term:
            return True
        if self._next_term != self._leadership.term:
            self._next_term = self._leadership.term
            self._leads_since = now
        if self._current_as_of() < self._leads_since + SETTLE_S:
            return False
        self._term = self._leadership.term
        self._epochs = 0
        self._adopt(now)
        return True

    def _repair(self, facts, now: float) -> bool:
        """Looks after the standing groups.

        Where a member is lost the whole domain may be: its spares are asked
        before they are used.

        Returns:
            Whether engines were asked.
        """
        asks = False
        for view in self._views(facts):
            for action in _repair.repair(view, now, self._pacer.expected_s):
                self._apply(action, facts, now)
                if isinstance(action, _state.Disband):
                    asks = True
                    for engine in _plan.idle_engines(view):
                        self._contacts.probe_soon(engine.name)
        for fact in self._warmups.finish(facts, now):
            self._releases.begin(fact)
        known = self._warmups.member_keys | {
            (name, record.name, record.epoch)
            for record in self._groups.values()
            for name in record.members
        }
        for order in self._releases.follow(facts, known, now):
            self._send(order)
        return asks

    def _form_groups(self, facts, now: float) -> None:
        views = self._views(facts)
        loads_free = self._pacer.loads_free(
            facts, self._groups, len(self._warmups.models), now
        )
        if self._pacer.traffic_seen and not self._is_complete(now):
            # Engines of a domain that comes back may bring the weights.
            loads_free = 0
        for action in _plan.form_groups(
            views,
            self.profile,
            self._counts(views),
            loads_free,
            not self._pacer.traffic_seen,
        ):
            self._apply(action, facts, now)

    def _warm_spares(self, facts, now: float) -> None:
        if not self._is_complete(now):
            return
        views = self._views(facts)
        for action in _plan.warm_spares(
            views,
            self.profile,
            self._counts(views),
            self._pacer.spare_loads_free(
                facts, self._groups, len(self._warmups.models), now
            ),
            not self._pacer.traffic_seen,
        ):
            self._apply(action, facts, now)

    def _is_complete(self, now: float) -> bool:
        """Tells whether no engines are registering."""
        return now >= self._contacts.joined_at + REGISTERING_S

    def _views(self, facts) -> list[_state.DomainView]:
        domains: dict[str, dict] = {}
        for name, fact in facts.items():
            domains.setdefault(fact.upstream.domain, {})[name] = fact
        groups: dict[str, dict] = {domain: {} for domain in domains}
        for record in self._groups.values():
            domain = next(
                (
                    facts[name].upstream.domain
                    for name in record.members
                    if name in facts
                ),
                NO_DOMAIN,
            )
            groups.setdefault(domain, {})[record.name] = record
        loading = self._warmups.models
        busy = self._releases.pending | loading.keys()
        left = self._releases.left
        return [
            _state.DomainView(
                domain,
                domains.get(domain, {}),
                groups[domain],
                busy,
                left,
                {
                    name: model
                    for name, model in loading.items()
                    if name in domains.get(domain, {})
                },
            )
            for domain in sorted(groups)
        ]

    def _counts(self, views) -> _plan.Counts:
        have: dict[str, int] = {}
        for record in self._groups.values():
            if record.closing_since is None:
                have[record.model] = have.get(record.model, 0) + 1
        wanted = _plan.wanted_groups(
            self.profile,
            self._contacts.strength,
            len(views),
            self._demand.groups(),
        )
        return _plan.Counts(have, wanted)

    def _apply(self, action, facts, now: float) -> None:
        if isinstance(action, _state.Form):
            self._form(action, facts, now)
        elif isinstance(action, _state.Open):
            record = self._groups[action.group]
            record.open_sent_at = now
            record.opened = True
            self._log(action, record)
            self._send(
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
            self._log(action, record)
            self._send(
                _orders.Order(
                    _Kind.CLOSE,
                    record.members[0],
                    record.name,
                    record.epoch,
                    finish=action.finish,
                )
            )
        elif isinstance(action, _state.Disband):
            self._disband(action, facts)
        elif isinstance(action, _state.Warm):
            self._warm(action, facts, now)

    def _log(self, action, record) -> None:
        logs.event(
            type(action).__name__.lower(),
            group=record.name,
            epoch=record.epoch,
            model=record.model,
            members=','.join(record.members),
            reason=getattr(action, 'reason', ''),
        )

    def _next_epoch(self) -> int:
        self._epochs += 1
        return self._term * EPOCHS_PER_TERM + self._epochs

    def _warm(self, action, facts, now: float) -> None:
        self._pacer.note_start(now)
        logs.event('warm', upstream=action.upstream, model=action.model)
        self._send(
            self._warmups.begin(
                facts[action.upstream],
                action.model,
                self._next_epoch(),
                now + self._pacer.load_s(action.model),
            )
        )

    def _form(self, action, facts, now: float) -> None:
        epoch = self._next_epoch()
        record = _state.GroupRecord(
            f'g{epoch}',
            epoch,
            action.model,
            action.members,
            now,
            {name: facts[name].upstream.started_ms for name in action.members},
        )
        self._groups[record.name] = record
        for name in action.members:
            if action.model not in facts[name].upstream.staged:
                self._pacer.note_start(now)
        self._log(action, record)
        for name in action.members:
            self._send(
                _orders.Order(
                    _Kind.JOIN,
                    name,
                    record.name,
                    epoch,
                    action.model,
                    action.members,
                )
            )

    def _disband(self, action, facts) -> None:
        record = self._groups.pop(action.group)
        self._log(action, record)
        if record.opened and record.members[0]:
            self.head_overrides.give_up(record.members[0], record.epoch)
        for name in record.members:
            fact = facts.get(name)
            if fact is None or fact.contact is not _state.Contact.ANSWERS:
                continue
            if fact.member_key == (name, record.name, record.epoch):
                self._releases.begin(fact)

    def _send(self, order) -> None:
        self._spawn(self._order(order))

    async def _order(self, order) -> None:
        """Sends an order; its effect is seen in the engine's entry."""
        upstream = self._contacts.find(order.upstream)
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
            self._contacts.probe_soon(order.upstream)
        elif order.kind is _Kind.LEAVE and outcome.has_effect:
            self._releases.note_effect(order)

    async def run(self) -> None:
        """Plans again and again while the node runs."""
        while True:
            try:
                self.tick()
            except Exception as exc:
                # A fault in one plan must not end the repair of groups.
                logs.event(
                    'planning_failed',
                    'ERROR',
                    service=self.service,
                    reason=repr(exc),
                )
            await asyncio.sleep(TICK_S)

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        return {
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

"""Keeps the replica groups of one service while this node leads."""

import asyncio
import dataclasses

from plantainway import deployment
from plantainway import errors
from plantainway import logs
from plantainway.supply import _demand
from plantainway.supply import _orders
from plantainway.supply import _plan
from plantainway.supply import _repair
from plantainway.supply import _state

EPOCHS_PER_TERM = 100000  # epochs that one term may use
TICK_S = 0.1
PROBE_EVERY_S = 2.0  # the entries in the store tell of deaths within 4 s
SILENT_AFTER = 2  # probes without an answer in a row
GHOST_S = 8.0  # an engine whose entry is gone may still work for so long
STARTING_LOADS_MAX = 8  # more at once don't end sooner
LOADS_PER_S_PART = 0.8  # of the weight store's rate
LOAD_TIME_RATIO = 1.6  # loads take longer when several run at once
JOIN_S = 0.2
SETTLE_S = 0.5  # an open head shows in its entry within so long
LEAVE_AGAIN_S = 1.0
REGISTERING_S = 1.0  # engines of one start register closer together
START_LOAD_S = 12.0  # longest load before the first request
KNOWN_KINDS = _orders.OrderKind


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
        self._upstreams = upstreams
        self._client = client
        self._leadership = leadership
        self._clock = clock
        self._spawn = spawn
        self._current_as_of = current_as_of
        self._leads_since: float | None = None
        self.profile: deployment.EngineProfile | None = None
        self._groups: dict[str, _state.GroupRecord] = {}
        self._left: set[tuple[str, str, int]] = set()
        self._staging: dict[str, float] = {}
        self._releasing: dict[str, _Release] = {}
        self._contact: dict[str, _Contact] = {}
        self._ghosts: dict[str, tuple[float, deployment.Upstream]] = {}
        self._epochs = 0
        self._term = 0
        self._seen: dict[str, str] = {}
        self._joined_at = clock.now()
        self._load_starts: list[float] = []
        self._demand = _demand.DemandMeter(clock)
        self.traffic_seen = False

    def _facts(self) -> dict[str, _state.EngineFacts]:
        """Returns the engines with what is known of each."""
        now = self._clock.now()
        current = {
            item.name: item
            for item in self._upstreams.of_service(self.service)
        }
        for name, item in current.items():
            self._ghosts.pop(name, None)
            if name not in self._seen:
                self._joined_at = now
            self._seen[name] = item.domain
        for name in [
            name
            for name, (until, _item) in self._ghosts.items()
            if until <= now
        ]:
            del self._ghosts[name]
            self._contact.pop(name, None)
        for name, (_until, item) in self._ghosts.items():
            current[name] = item
        facts = {}
        for name, item in current.items():
            contact = self._contact.get(name)
            if contact is None:
                facts[name] = _state.EngineFacts(item)
            else:
                facts[name] = contact.facts(item)
        return facts

    def note_removed(self, upstream: deployment.Upstream) -> None:
        """Notes that an entry is gone; the engine may still work.

        Args:
            upstream: The engine as last seen.
        """
        if upstream.service != self.service:
            return
        self._ghosts[upstream.name] = (
            self._clock.now() + GHOST_S,
            dataclasses.replace(upstream, draining=True),
        )

    def note_work(self, totals: dict[str, float]) -> None:
        """Takes in the work that clients have asked for so far.

        Args:
            totals: Seconds of a group by model.
        """
        if any(totals.values()):
            self.traffic_seen = True
        self._demand.note(totals)

    def suspect(self, head: str) -> None:
        """Probes the members of a head's group at once.

        Args:
            head: Name of the head whose streams stall.
        """
        for record in self._groups.values():
            if record.opened and record.members[0] == head:
                for name in record.members:
                    self._probe_soon(name)

    def _probe_soon(self, name: str) -> None:
        contact = self._contact.setdefault(name, _Contact())
        if not contact.probing:
            contact.probing = True
            self._spawn(self._probe(name, contact))

    async def _probe(self, name: str, contact: '_Contact') -> None:
        try:
            for _attempt in range(SILENT_AFTER):
                upstream = self._find(name)
                if upstream is None:
                    return
                asked_at = self._clock.now()
                contact.meet(upstream.born)
                try:
                    report = await self._client.report(upstream)
                    _check_life(upstream, report)
                except (errors.UpstreamError, errors.WireError) as exc:
                    contact.failed(asked_at, exc)
                    if not contact.is_gone and not contact.is_silent:
                        continue
                    if not contact.is_lost:
                        logs.event(
                            'engine_lost',
                            upstream=name,
                            gone=contact.is_gone,
                            reason=exc.message,
                        )
                    contact.is_lost = True
                    return
                if contact.is_lost:
                    logs.event('engine_regained', upstream=name)
                contact.answered()
                return
        finally:
            contact.probing = False

    def _find(self, name: str) -> deployment.Upstream | None:
        found = self._upstreams.by_name.get(name)
        if found is None and name in self._ghosts:
            found = self._ghosts[name][1]
        return found

    def _adopt(self, facts) -> None:
        """Takes over the groups that serve when this term begins."""
        self._groups.clear()
        self._staging.clear()
        self._releasing.clear()
        self._left.clear()
        by_group: dict[tuple[str, int], list] = {}
        for fact in facts.values():
            member = fact.membership
            if member is not None:
                by_group.setdefault((member.group, member.epoch), []).append(
                    fact
                )
        now = self._clock.now()
        for (name, epoch), members in by_group.items():
            self._adopt_group(name, epoch, members, now)
        logs.event(
            'groups_adopted',
            service=self.service,
            term=self._term,
            open=len(self._groups),
            engines=len(facts),
        )

    def _release(self, fact, now: float) -> None:
        """Lets an engine leave its group before it may join another."""
        member = fact.membership
        self._releasing[fact.name] = _Release(member.group, member.epoch)
        self._send_leave(fact.name, now)

    def _send_leave(self, name: str, now: float) -> None:
        release = self._releasing[name]
        release.next_at = now + LEAVE_AGAIN_S
        self._send(
            _orders.Order(
                KNOWN_KINDS.LEAVE, name, release.group, release.epoch
            )
        )

    def _follow_releases(self, facts, now: float) -> None:
        """Sends orders to leave again until they have taken effect.

        Members of groups that nobody looks after leave as well.
        """
        for name, release in list(self._releasing.items()):
            fact = facts.get(name)
            if (
                fact is None
                or fact.contact is not _state.Contact.ANSWERS
                or fact.member_key != (name, release.group, release.epoch)
            ):
                del self._releasing[name]
            elif now >= release.next_at:
                self._send_leave(name, now)
        known = {
            (name, record.name, record.epoch)
            for record in self._groups.values()
            for name in record.members
        }
        for name, fact in facts.items():
            key = fact.member_key
            if (
                key is not None
                and key not in known
                and key not in self._left
                and name not in self._releasing
                and fact.is_usable
            ):
                logs.event('stray_member', upstream=name, group=key[1])
                self._release(fact, now)

    def _adopt_group(self, name, epoch, members, now: float) -> None:
        """Takes over one group of an earlier leader, as far as it stands."""
        ranks = {f.membership.rank: f.name for f in members}
        head = next((f for f in members if f.membership.rank == 0), None)
        if head is None:
            return
        state = head.membership.state
        opened = state in (
            deployment.GroupState.OPEN,
            deployment.GroupState.CLOSING,
        )
        model = self.profile.model(
            head.membership.model
        ) or self._model_by_size(len(ranks))
        size = model.members if model is not None else len(members)
        if not opened and not all(rank in ranks for rank in range(size)):
            return
        self._groups[name] = _state.GroupRecord(
            name,
            epoch,
            model.name if model is not None else '',
            tuple(ranks.get(rank, '') for rank in range(size)),
            now,
            {f.name: f.upstream.born for f in members},
            is_ours=False,
            opened=opened,
            closing_since=(
                now if state is deployment.GroupState.CLOSING else None
            ),
        )

    def _model_by_size(self, members: int):
        """Returns the only model whose groups have so many members.

        An engine that joins does not name the model that it loads.
        """
        found = [m for m in self.profile.models if m.members == members]
        return found[0] if len(found) == 1 else None

    def tick(self) -> None:
        """Plans once and starts the orders."""
        if self.profile is None or not self._leadership.leads():
            return
        now = self._clock.now()
        if self._term != self._leadership.term:
            if self._leads_since is None:
                self._leads_since = now
            if self._current_as_of() < self._leads_since + SETTLE_S:
                return  # the last leader's orders may not show yet
            self._term = self._leadership.term
            self._leads_since = None
            self._epochs = 0
            self._adopt(self._facts())
        facts = self._facts()
        self._follow_releases(facts, now)
        self._probe_members(now)
        views = self._views(facts)
        for view in views:
            for action in _repair.repair(view, now, self._expected_s):
                self._apply(action, facts, now)
        views = self._views(facts)
        counts = self._counts(facts, views)
        loads_free = self._loads_free(facts, now)
        for action in _plan.form_groups(
            views,
            self.profile,
            counts,
            loads_free,
            not self.traffic_seen,
        ):
            self._apply(action, facts, now)
        if not self.traffic_seen and now < self._joined_at + REGISTERING_S:
            return  # the domains are not complete yet
        views = self._views(facts)
        loads_free = self._loads_free(facts, now)
        for action in _plan.stage_spares(
            views,
            self.profile,
            counts,
            loads_free,
            not self.traffic_seen,
        ):
            self._apply(action, facts, now)

    def _probe_members(self, now: float) -> None:
        """Probes members of open groups now and then, and ghosts."""
        for record in self._groups.values():
            for name in record.members:
                contact = self._contact.get(name)
                due = contact is None or now >= contact.next_at
                if name and record.opened and due:
                    self._contact.setdefault(name, _Contact()).next_at = (
                        now + PROBE_EVERY_S
                    )
                    self._probe_soon(name)
        for name, contact in self._contact.items():
            if contact.silent_since is not None and now >= contact.next_at:
                contact.next_at = now + PROBE_EVERY_S
                self._probe_soon(name)

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
                None,
            )
            if domain is None:
                domain = next(
                    (
                        self._seen[name]
                        for name in record.members
                        if name in self._seen
                    ),
                    '',
                )
            groups.setdefault(domain, {})[record.name] = record
        busy = frozenset(self._staging.keys() | self._releasing.keys())
        left = frozenset(self._left)
        return [
            _state.DomainView(
                domain, domains.get(domain, {}), groups[domain], busy, left
            )
            for domain in sorted(groups)
        ]

    def _counts(self, facts, views) -> _plan.Counts:
        have: dict[str, int] = {}
        for record in self._groups.values():
            if record.closing_since is None:
                have[record.model] = have.get(record.model, 0) + 1
        wanted = _plan.wanted_groups(
            self.profile, len(self._seen), len(views), self._demand.groups()
        )
        return _plan.Counts(have, wanted)

    def _loads_free(self, facts, now: float) -> int:
        loading = len(self._staging)
        for record in self._groups.values():
            if not record.opened:
                loading += sum(
                    1
                    for name in record.members
                    if name in facts
                    and record.model not in facts[name].upstream.staged
                )
        free = max(STARTING_LOADS_MAX - loading, 0)
        if not self.traffic_seen:
            return free
        self._load_starts = [at for at in self._load_starts if now - at < 1.0]
        rate = int(self.profile.loads_per_s * LOADS_PER_S_PART)
        return min(free, max(rate - len(self._load_starts), 0))

    def _expected_s(self, record) -> float:
        model = self.profile.model(record.model)
        if model is None:
            return JOIN_S
        staged = all(
            (found := self._find(name)) is not None
            and record.model in found.staged
            for name in record.members
        )
        if staged:
            return model.warm_s
        if not self.traffic_seen:
            return START_LOAD_S
        return model.load_s * LOAD_TIME_RATIO

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
                    KNOWN_KINDS.OPEN,
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
                    KNOWN_KINDS.CLOSE,
                    record.members[0],
                    record.name,
                    record.epoch,
                    finish=action.finish,
                )
            )
        elif isinstance(action, _state.Disband):
            self._disband(action, facts, now)
        elif isinstance(action, _state.Stage):
            self._staging[action.upstream] = now
            self._load_starts.append(now)
            logs.event('stage', upstream=action.upstream, model=action.model)
            self._spawn(self._stage(action))

    def _log(self, action, record) -> None:
        logs.event(
            type(action).__name__.lower(),
            group=record.name,
            epoch=record.epoch,
            model=record.model,
            members=','.join(record.members),
            reason=getattr(action, 'reason', ''),
        )

    def _form(self, action, facts, now: float) -> None:
        self._epochs += 1
        epoch = self._term * EPOCHS_PER_TERM + self._epochs
        record = _state.GroupRecord(
            f'g{epoch}',
            epoch,
            action.model,
            action.members,
            now,
            {name: facts[name].upstream.born for name in action.members},
        )
        self._groups[record.name] = record
        for name in action.members:
            if action.model not in facts[name].upstream.staged:
                self._load_starts.append(now)
        self._log(action, record)
        for name in action.members:
            self._send(
                _orders.Order(
                    KNOWN_KINDS.JOIN,
                    name,
                    record.name,
                    epoch,
                    action.model,
                    action.members,
                )
            )

    def _disband(self, action, facts, now: float) -> None:
        record = self._groups.pop(action.group)
        self._log(action, record)
        for name in record.members:
            fact = facts.get(name)
            if fact is None or fact.contact is not _state.Contact.ANSWERS:
                continue
            if fact.member_key == (name, record.name, record.epoch):
                self._release(fact, now)

    def _send(self, order) -> None:
        self._spawn(self._order(order))

    async def _order(self, order) -> None:
        """Sends an order; its effect is seen in the engine's entry."""
        upstream = self._find(order.upstream)
        if upstream is None or not self._leadership.leads():
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
            outcome=outcome.verdict.value,
            detail=outcome.detail,
        )
        if outcome.verdict is _orders.Verdict.UNKNOWN:
            self._probe_soon(order.upstream)
        elif order.kind is KNOWN_KINDS.LEAVE and outcome.has_effect:
            self._left.add((order.upstream, order.group, order.epoch))
            release = self._releasing.get(order.upstream)
            if release is not None and release.epoch == order.epoch:
                del self._releasing[order.upstream]

    async def _stage(self, action) -> None:
        try:
            await self._order(
                _orders.Order(
                    KNOWN_KINDS.STAGE, action.upstream, model=action.model
                )
            )
            model = self.profile.model(action.model)
            longest = (
                model.load_s * LOAD_TIME_RATIO
                if self.traffic_seen
                else START_LOAD_S
            )
            deadline = self._clock.now() + longest
            while self._clock.now() < deadline:
                await asyncio.sleep(TICK_S)
                upstream = self._find(action.upstream)
                if upstream is None or action.model in upstream.staged:
                    return
        finally:
            self._staging.pop(action.upstream, None)

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
            'releasing': sorted(self._releasing),
            'staging': sorted(self._staging),
        }


def _check_life(upstream, report) -> None:
    """Raises an error if another life answers at an engine's address."""
    if upstream.born and report.born and upstream.born != report.born:
        raise errors.UpstreamError(
            'another life has the address',
            'report',
            upstream.name,
            refused=True,
        )


class _Release:
    """A group that an engine is to leave; ``next_at`` is monotonic."""

    def __init__(self, group: str, epoch: int):
        self.group = group
        self.epoch = epoch
        self.next_at = 0.0


class _Contact:
    """Answers of one engine to the controller's probes."""

    def __init__(self):
        self.next_at = 0.0
        self.probing = False
        self.silent_since: float | None = None
        self.is_gone = False
        self.is_lost = False
        self._failures = 0
        self._life = 0

    def meet(self, life: int) -> None:
        """Forgets what was seen of another life.

        Args:
            life: When the engine was born.
        """
        if life != self._life:
            self._life = life
            self.answered()

    @property
    def is_silent(self) -> bool:
        """Tells whether it has failed to answer often enough."""
        return self._failures >= SILENT_AFTER

    def answered(self) -> None:
        """Takes in a report."""
        self._failures = 0
        self.silent_since = None
        self.is_gone = False
        self.is_lost = False

    def failed(self, asked_at: float, exc) -> None:
        """Takes in a probe without a report."""
        self._failures += 1
        if self.silent_since is None:
            self.silent_since = asked_at
        self.is_gone = getattr(exc, 'refused', False)

    def facts(self, upstream) -> _state.EngineFacts:
        """Returns the engine with what the probes say of it."""
        self.meet(upstream.born)
        if self.is_gone:
            return _state.EngineFacts(
                upstream, _state.Contact.GONE, self.silent_since
            )
        if self.is_silent:
            return _state.EngineFacts(
                upstream, _state.Contact.SILENT, self.silent_since
            )
        return _state.EngineFacts(upstream)

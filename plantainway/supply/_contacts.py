"""What entries and reports say of engines, and which engines answer."""

import collections
import dataclasses

from plantainway import deployment
from plantainway import errors
from plantainway import logs
from plantainway.supply import _state

WATCH_EVERY_S = 0.3  # of engines that carry out orders unseen
REPORT_LAG_S = 1.0  # a report shows its engine some hundred ms ago
REPORT_KEPT_S = 5.0  # entries that lapsed in an outage are back by then
PROBE_EVERY_S = 2.0  # the entries in the store tell of deaths within 4 s
SILENT_AFTER = 2  # probes without an answer in a row
GHOST_S = 8.0  # an engine whose entry is gone may still work for so long
CENSUS_S = 40.0  # engines that come and go within so long count once
CENSUS_STEP_S = 1.0


class ContactBook:
    """The engines of one service as entries and probes show them.

    Args:
        service: Name of the service.
        upstreams: The upstream book.
        client: Client of the engines.
        clock: Source of monotonic time.
        spawn: Function that runs a coroutine as a task.
    """

    def __init__(self, service, upstreams, client, clock, spawn):
        self.service = service
        self._upstreams = upstreams
        self._client = client
        self._clock = clock
        self._spawn = spawn
        self._contact: dict[str, _Contact] = {}
        self._ghosts: dict[str, tuple[float, deployment.Upstream]] = {}
        self._known: frozenset = frozenset()
        self._census: collections.deque = collections.deque()
        self.joined_at = clock.now()

    def facts(self, as_of: float) -> dict[str, _state.EngineFacts]:
        """Returns the engines with what is known of each.

        Args:
            as_of: Monotonic seconds at which the entries were current.
        """
        now = self._clock.now()
        current = {
            item.name: item
            for item in self._upstreams.find_by_service(self.service)
        }
        if current.keys() - self._known:
            self.joined_at = now
        self._known = frozenset(current)
        self._count(len(current), now)
        for name in current:
            self._ghosts.pop(name, None)
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
                facts[name] = contact.facts(item, as_of, now)
        return facts

    def _count(self, engines: int, now: float) -> None:
        if self._census and now - self._census[-1][0] < CENSUS_STEP_S:
            at, before = self._census[-1]
            self._census[-1] = (at, max(engines, before))
        else:
            self._census.append((now, engines))
        while now - self._census[0][0] > CENSUS_S:
            self._census.popleft()

    @property
    def strength(self) -> int:
        """Returns the most engines that stood together of late."""
        return max((count for _at, count in self._census), default=0)

    def handle_upstream_removed(self, upstream: deployment.Upstream) -> None:
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

    def probe_due(self, members) -> None:
        """Probes engines whose turn has come, and silent ones.

        Args:
            members: Names of the members of open groups.
        """
        now = self._clock.now()
        for name in members:
            contact = self._contact.setdefault(name, _Contact())
            if name and now >= contact.next_at:
                contact.next_at = now + PROBE_EVERY_S
                self.probe_soon(name)
        for name, contact in self._contact.items():
            odd = contact.silent_since is not None or contact.pace > 1.0
            if odd and now >= contact.next_at:
                contact.next_at = now + PROBE_EVERY_S
                self.probe_soon(name)

    def watch(self, names) -> None:
        """Follows engines by their reports while entries don't change.

        Args:
            names: Names of the engines.
        """
        now = self._clock.now()
        for name in names:
            contact = self._contact.setdefault(name, _Contact())
            if name and now >= contact.watch_at:
                contact.watch_at = now + WATCH_EVERY_S
                self.probe_soon(name)

    def probe_soon(self, name: str) -> None:
        """Probes an engine at once.

        Args:
            name: Name of the engine.
        """
        contact = self._contact.setdefault(name, _Contact())
        if not contact.probing:
            contact.probing = True
            self._spawn(self._probe(name, contact))

    async def _probe(self, name: str, contact: '_Contact') -> None:
        try:
            for _attempt in range(SILENT_AFTER):
                upstream = self.find(name)
                if upstream is None:
                    return
                asked_at = self._clock.now()
                contact.meet(upstream.started_ms)
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
                contact.answered(report, asked_at)
                return
        finally:
            contact.probing = False

    def find(self, name: str) -> deployment.Upstream | None:
        """Returns an engine by name, ``None`` if it is not known.

        Args:
            name: Name of the engine.
        """
        found = self._upstreams.by_name.get(name)
        if found is None and name in self._ghosts:
            found = self._ghosts[name][1]
        return found


def _check_life(upstream, report) -> None:
    """Raises an error if another life answers at an engine's address."""
    if (
        upstream.started_ms
        and report.started_ms
        and upstream.started_ms != report.started_ms
    ):
        raise errors.UpstreamError(
            'another life has the address',
            'report',
            upstream.name,
            refused=True,
        )


class _Contact:
    """Answers of one engine to the controller's probes."""

    def __init__(self):
        self.next_at = 0.0
        self.watch_at = 0.0
        self.probing = False
        self.silent_since: float | None = None
        self.is_gone = False
        self.is_lost = False
        self.pace = 1.0
        self._failures = 0
        self._life = 0
        self._report: deployment.EngineReport | None = None
        self._reported_at = float('-inf')
        self._outdated: deployment.Upstream | None = None

    def meet(self, life: int) -> None:
        """Forgets what was seen of another life.

        Args:
            life: When the engine was born.
        """
        if life != self._life:
            self._life = life
            self._report = None
            self._outdated = None
            self.pace = 1.0
            self._note_answer()

    @property
    def is_silent(self) -> bool:
        """Tells whether it has failed to answer often enough."""
        return self._failures >= SILENT_AFTER

    def answered(self, report, asked_at: float) -> None:
        """Takes in a report.

        Args:
            report: The report.
            asked_at: Monotonic seconds at which it was asked for.
        """
        self.pace = report.slowdown
        self._report = report
        self._reported_at = asked_at
        self._note_answer()

    def _note_answer(self) -> None:
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

    def facts(self, upstream, as_of: float, now: float):
        """Returns the engine with what the probes say of it."""
        self.meet(upstream.started_ms)
        upstream = self._newest(upstream, as_of, now)
        if self.is_gone:
            return _state.EngineFacts(
                upstream, _state.Contact.GONE, self.silent_since
            )
        if self.is_silent:
            return _state.EngineFacts(
                upstream, _state.Contact.SILENT, self.silent_since
            )
        return _state.EngineFacts(
            upstream, pace=self.pace, is_probed=self.probing
        )

    def _newest(self, upstream, as_of: float, now: float):
        """Returns an engine by its entry, or by its report if that is newer.

        The entry may lag behind what the store says of its age: one that
        lapsed in an outage shows its old state until it is written again.
        """
        report = self._report
        if report is None or report.started_ms not in (0, upstream.started_ms):
            return upstream
        if self._reported_at - REPORT_LAG_S > as_of:
            self._outdated = upstream
        elif (
            self._outdated != upstream
            or now - self._reported_at > REPORT_KEPT_S
        ):
            return upstream
        return dataclasses.replace(
            upstream, staged=report.staged, membership=report.membership
        )

"""State of engines from their store entries, reports and probes."""

import asyncio
import collections
import dataclasses

from plantainway import deployment
from plantainway import errors
from plantainway import logs
from plantainway.supply import _state
from plantainway.supply import _witness

REPORT_POLL_INTERVAL_S = 0.3  # while entries do not show the effect of orders
REPORT_LAG_S = 1.0  # reports are some hundred ms old when they arrive
REPORT_TTL_S = 5.0  # entries that expired in an outage are back by then
PROBE_INTERVAL_S = 2.0  # entries show a dead engine after up to 4 s
SILENT_AFTER_FAILURES = 2  # consecutive requests without a usable report
REMOVED_ENGINE_TTL_S = 8.0  # an engine may outlive its entry by this long
# An engine that leaves and returns within the window stays counted once.
ENGINE_COUNT_WINDOW_S = 40.0
ENGINE_COUNT_SAMPLE_S = 1.0


class EngineTracker:
    """Tracks the state of all engines of one service.

    Merges the store entries with the reports that engines send in answer to
    probes. Keeps engines for a while after their entry was removed.

    Args:
        service: Name of the service.
        upstreams: The upstream book.
        client: Client of the engines.
        clock: Source of monotonic time.
        spawn: Function that runs a coroutine as a task.
        witness: Confirms that an engine is lost.

    Attributes:
        service: Name of the service.
        last_registered_at: Monotonic seconds at which ``refresh`` last found
            an engine that it had not found the time before.
    """

    def __init__(self, service, upstreams, client, clock, spawn, witness):
        self.service = service
        self._upstreams = upstreams
        self._client = client
        self._clock = clock
        self._spawn = spawn
        self._witness = witness
        self._probe_states: dict[str, _ProbeState] = {}
        self._removed: dict[str, tuple[float, deployment.Upstream]] = {}
        self._known_names: frozenset = frozenset()
        self._engine_counts: collections.deque = collections.deque()
        self._confirmed_from = float('-inf')
        self.last_registered_at = clock.now()

    def refresh(self, as_of: float) -> dict[str, _state.EngineStatus]:
        """Returns the status of each engine by name.

        The status comes from the engine's entry, or from a newer report.
        Also updates the time of the last registration and the engine count,
        and forgets removed engines after ``REMOVED_ENGINE_TTL_S``.

        Args:
            as_of: Monotonic seconds at which the entries were current.
        """
        now = self._clock.now()
        current = self._current_entries(now)
        registered = frozenset(current.keys() - self._removed.keys())
        if registered - self._known_names:
            self.last_registered_at = now
        self._known_names = registered
        self._record_engine_count(len(registered), now)
        statuses = {}
        for name, item in current.items():
            probe = self._probe_states.setdefault(name, _ProbeState())
            statuses[name] = probe.status(
                item, as_of, now, self._confirmed_from
            )
        return statuses

    def _current_entries(self, now: float) -> dict[str, deployment.Upstream]:
        """Returns the entries by name, with those that were just removed.

        Forgets removed engines that have registered again or are due.
        """
        current = {
            item.name: item
            for item in self._upstreams.find_by_service(self.service)
        }
        for name in current:
            self._removed.pop(name, None)
        for name in [
            name
            for name, (until, _item) in self._removed.items()
            if until <= now
        ]:
            del self._removed[name]
            self._probe_states.pop(name, None)
        for name, (_until, item) in self._removed.items():
            current[name] = item
        return current

    def request_confirmations(self, since: float) -> bool:
        """Probes the engines whose state must come from themselves.

        Their entries may be older than the orders of an earlier leader. From
        now on, only a report that was requested at ``since`` or later
        confirms the state of an engine. Where the entry shows an earlier
        state than that report, the report replaces it until it changes.

        Args:
            since: Monotonic seconds from which reports show the effect of
                those orders.

        Returns:
            Whether each engine has confirmed its state or left a probe
            unanswered. Call this again until it has.
        """
        self._confirmed_from = since
        now = self._clock.now()
        is_done = True
        for name in self._current_entries(now):
            probe = self._probe_states.setdefault(name, _ProbeState())
            if not probe.has_ended_since(since):
                is_done = False
                probe.next_probe_at = now + PROBE_INTERVAL_S
                self.start_probe(name)
        return is_done

    def require_confirmation(self, name: str) -> None:
        """Probes an engine whose entry contradicts what is known of it.

        It is unconfirmed until it has answered. The report replaces the entry
        until that changes, unless the entry shows a later state.

        Args:
            name: Name of the engine.
        """
        probe = self._probe_states.setdefault(name, _ProbeState())
        probe.confirmed_from = self._clock.now()
        self.start_probe(name)

    def _record_engine_count(self, engines: int, now: float) -> None:
        if (
            self._engine_counts
            and now - self._engine_counts[-1][0] < ENGINE_COUNT_SAMPLE_S
        ):
            at, before = self._engine_counts[-1]
            self._engine_counts[-1] = (at, max(engines, before))
        else:
            self._engine_counts.append((now, engines))
        while now - self._engine_counts[0][0] > ENGINE_COUNT_WINDOW_S:
            self._engine_counts.popleft()

    @property
    def peak_engine_count(self) -> int:
        """Returns the most engines registered at once in the window."""
        return max((count for _at, count in self._engine_counts), default=0)

    def handle_upstream_removed(self, upstream: deployment.Upstream) -> None:
        """Keeps a removed engine as draining, since it may still be running.

        Ignores engines of other services.

        Args:
            upstream: The last entry of the engine.
        """
        if upstream.service != self.service:
            return
        self._removed[upstream.name] = (
            self._clock.now() + REMOVED_ENGINE_TTL_S,
            dataclasses.replace(upstream, draining=True),
        )

    def start_due_probes(self, members) -> None:
        """Starts the periodic probes whose interval has passed.

        Every ``PROBE_INTERVAL_S`` probes members of open groups, engines
        that did not answer the last request for a report, engines that have
        not confirmed their state, and engines with a pace above 1.0.

        Args:
            members: Names of the members of open groups.
        """
        now = self._clock.now()
        for name in members:
            probe = self._probe_states.setdefault(name, _ProbeState())
            if name and now >= probe.next_probe_at:
                probe.next_probe_at = now + PROBE_INTERVAL_S
                self.start_probe(name)
        for name, probe in self._probe_states.items():
            needs_probe = (
                probe.silent_since is not None
                or probe.pace > 1.0
                or (
                    name in self._known_names
                    and not probe.is_confirmed(self._confirmed_from)
                )
            )
            if needs_probe and now >= probe.next_probe_at:
                probe.next_probe_at = now + PROBE_INTERVAL_S
                self.start_probe(name)

    def poll_reports(self, names) -> None:
        """Probes each engine every ``REPORT_POLL_INTERVAL_S``.

        Called while the store entries are too old to show the effect of
        orders.

        Args:
            names: Names of the engines.
        """
        now = self._clock.now()
        for name in names:
            probe = self._probe_states.setdefault(name, _ProbeState())
            if name and now >= probe.next_poll_at:
                probe.next_poll_at = now + REPORT_POLL_INTERVAL_S
                self.start_probe(name)

    def start_probe(self, name: str) -> None:
        """Starts a probe of an engine unless one is in progress.

        A probe requests a report up to ``SILENT_AFTER_FAILURES`` times.

        Args:
            name: Name of the engine.
        """
        probe = self._probe_states.setdefault(name, _ProbeState())
        if not probe.is_probing:
            probe.is_probing = True
            self._spawn(self._probe(name, probe))

    async def _probe(self, name: str, probe: '_ProbeState') -> None:
        opinion = None
        begun_at = self._clock.now()
        try:
            for _attempt in range(SILENT_AFTER_FAILURES):
                upstream = self.find(name)
                if upstream is None:
                    return
                sent_at = self._clock.now()
                probe.reset_if_restarted(upstream.started_ms)
                try:
                    report = await self._client.report(upstream)
                    _check_incarnation(upstream, report)
                except (errors.UpstreamError, errors.WireError) as exc:
                    probe.record_failure(sent_at, exc)
                    if opinion is None:
                        opinion = self._ask_witness(upstream, probe, exc)
                    if not probe.is_gone and not probe.is_silent:
                        continue
                    if not await opinion:
                        probe.record_link_failure()
                        return
                    if not probe.is_lost:
                        logs.event(
                            'engine_lost',
                            upstream=name,
                            gone=probe.is_gone,
                            reason=exc.message,
                        )
                    probe.is_lost = True
                    return
                if probe.is_lost:
                    logs.event('engine_regained', upstream=name)
                probe.record_report(
                    report, sent_at, upstream, self._confirmed_from
                )
                return
        finally:
            probe.is_probing = False
            probe.ended_probe_begun_at = begun_at
            if opinion is not None:
                opinion.cancel()

    def _ask_witness(self, upstream, probe, exc) -> asyncio.Future:
        """Asks whether an engine is lost, in parallel with further probes.

        An answer shows by itself that another engine has the address, and an
        engine that is known to be lost is not asked about again.
        """
        witness = self._witness
        if probe.is_lost or getattr(exc, 'answered', True):
            witness = _witness.OwnEvidence()
        return asyncio.ensure_future(witness.is_lost(upstream))

    def is_gone(self, name: str, started_ms: int) -> bool:
        """Returns whether the last probe found an incarnation to be gone.

        Args:
            name: Name of the engine.
            started_ms: Start of the incarnation.
        """
        probe = self._probe_states.get(name)
        return (
            probe is not None
            and probe.born == started_ms
            and probe.is_gone
            and probe.is_lost
        )

    def find(self, name: str) -> deployment.Upstream | None:
        """Returns the last entry of an engine, ``None`` if it is unknown.

        An engine whose entry was removed is known, as draining, until
        ``refresh`` forgets it.

        Args:
            name: Name of the engine.
        """
        found = self._upstreams.by_name.get(name)
        if found is None and name in self._removed:
            found = self._removed[name][1]
        return found


def _check_incarnation(upstream, report) -> None:
    """Raises an error if another incarnation of the engine has answered."""
    if (
        upstream.started_ms
        and report.started_ms
        and upstream.started_ms != report.started_ms
    ):
        raise errors.UpstreamError(
            'address belongs to another incarnation of the engine',
            'report',
            upstream.name,
            refused=True,
            answered=True,
        )


class _ProbeState:
    """Results of the probes of one engine and times of the next ones.

    ``is_gone`` is set if the last request showed that the engine is gone
    from its address, ``is_lost`` once the loss of the engine was confirmed
    and logged.
    """

    def __init__(self):
        self.next_probe_at = 0.0
        self.next_poll_at = 0.0
        self.is_probing = False
        self.ended_probe_begun_at = float('-inf')
        self.confirmed_from = float('-inf')
        self.silent_since: float | None = None
        self.is_gone = False
        self.is_lost = False
        self.pace = 1.0
        self._failure_count = 0
        self.born = 0
        self._report: deployment.EngineReport | None = None
        self._report_requested_at = float('-inf')
        self._superseded_entry: deployment.Upstream | None = None

    def reset_if_restarted(self, born: int) -> None:
        """Drops the results of an earlier incarnation of the engine.

        Args:
            born: The ``started_ms`` of the current incarnation.
        """
        if born != self.born:
            if self.born:
                self.next_probe_at = 0.0  # it has yet to confirm its state
            self.born = born
            self._report = None
            self._superseded_entry = None
            self.pace = 1.0
            self._reset_failures()

    def has_ended_since(self, since: float) -> bool:
        """Returns whether a probe that began at a time or later has ended.

        Args:
            since: Monotonic seconds.
        """
        return self.ended_probe_begun_at >= since

    def is_confirmed(self, since: float) -> bool:
        """Returns whether a report confirms the state of the engine.

        Args:
            since: Monotonic seconds from which reports count.
        """
        return self._report is not None and (
            self._report_requested_at >= max(since, self.confirmed_from)
        )

    @property
    def is_silent(self) -> bool:
        """Returns whether enough requests in a row have failed."""
        return self._failure_count >= SILENT_AFTER_FAILURES

    def record_report(self, report, sent_at: float, upstream, since: float):
        """Stores a report and clears earlier failures.

        If it is the first one to confirm the state of the engine, the entry
        is superseded unless it shows a later state.

        Args:
            report: The report.
            sent_at: Monotonic seconds at which the request was sent.
            upstream: The entry at that time.
            since: Monotonic seconds from which reports confirm the state.
        """
        was_confirmed = self.is_confirmed(since)
        self.pace = report.slowdown
        self._report = report
        self._report_requested_at = sent_at
        self._reset_failures()
        if (
            not was_confirmed
            and self.is_confirmed(since)
            and not _is_later(upstream.membership, report.membership)
        ):
            self._superseded_entry = upstream

    def _reset_failures(self) -> None:
        self._failure_count = 0
        self.silent_since = None
        self.is_gone = False
        self.is_lost = False

    def record_failure(self, sent_at: float, exc) -> None:
        """Counts a failed request; an error with ``refused`` means gone."""
        self._failure_count += 1
        if self.silent_since is None:
            self.silent_since = sent_at
        self.is_gone = getattr(exc, 'refused', False)

    def record_link_failure(self) -> None:
        """Drops the failures of a probe, since other nodes reach the engine.

        It is probed again, as one that did not answer.
        """
        silent_since = self.silent_since
        self._reset_failures()
        self.silent_since = silent_since

    def status(self, upstream, as_of: float, now: float, since: float):
        """Returns the status of the engine from its entry and probes.

        Args:
            upstream: The entry.
            as_of: Monotonic seconds at which the entries were current.
            now: Monotonic seconds.
            since: Monotonic seconds from which reports confirm the state.
        """
        self.reset_if_restarted(upstream.started_ms)
        upstream = self._newest_entry(upstream, as_of, now)
        if self.is_gone and self.is_lost:
            return _state.EngineStatus(
                upstream, _state.Reachability.GONE, self.silent_since
            )
        if self.is_silent and self.is_lost:
            return _state.EngineStatus(
                upstream, _state.Reachability.SILENT, self.silent_since
            )
        return _state.EngineStatus(
            upstream,
            pace=self.pace,
            is_probe_pending=self.is_probing,
            is_confirmed=self.is_confirmed(since),
        )

    def _newest_entry(self, upstream, as_of: float, now: float):
        """Returns the entry, updated from the last report if that is newer.

        The report is newer if its request was sent more than
        ``REPORT_LAG_S`` after ``as_of``; the entry is then superseded. It is
        also newer if it shows a higher epoch, since an engine joins no group
        with a lower epoch than that of its last one.

        An entry can be older than ``as_of``: after an outage it shows its old
        state until it is rewritten. So a superseded entry is updated from the
        report until the entry changes, but at most until ``REPORT_TTL_S``
        after the request.
        """
        report = self._report
        if report is None or report.started_ms not in (0, upstream.started_ms):
            return upstream
        has_older_epoch = (
            0 < _epoch(upstream.membership) < _epoch(report.membership)
        )
        if has_older_epoch or self._report_requested_at - REPORT_LAG_S > as_of:
            self._superseded_entry = upstream
        elif (
            self._superseded_entry != upstream
            or now - self._report_requested_at > REPORT_TTL_S
        ):
            return upstream
        return dataclasses.replace(
            upstream, staged=report.staged, membership=report.membership
        )


def _epoch(member) -> int:
    """Returns the epoch of a membership, 0 outside of a group."""
    return member.epoch if member is not None else 0


def _is_later(member, other) -> bool:
    """Returns whether one membership of an engine follows another one.

    The other one comes from a report, which lags behind the engine: it may
    still be joining where its entry shows that it has joined.

    Args:
        member: Membership in the entry.
        other: Membership in the report.
    """
    if _epoch(member) != _epoch(other):
        return _epoch(member) > _epoch(other) > 0
    return other is not None and (other.state is deployment.GroupState.JOINING)

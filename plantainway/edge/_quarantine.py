"""Decisions of the leader on quarantined parts of prompts."""

from plantainway import errors
from plantainway import logs
from plantainway import quarantine
from plantainway import stores

ROW_KEY = 'quarantine'
# The row holds remaining times, which lag by this much at most.
ROW_REFRESH_S = 60.0
DECISION_INTERVAL_S = 0.1


class QuarantineTask:
    """Quarantines parts of prompts while this node leads.

    What it decides reaches the other nodes with the leader's updates, and
    comes back with their heartbeats to a later leader. A row of the project's
    table keeps it for the case that all nodes restart at once.

    Args:
        parts: The quarantined parts, which request handlers check.
        evidence: Evidence of this node.
        leadership: Leader lease.
        table: The project's table.
        is_gone: Function that returns whether an incarnation of an engine,
            given by name and start, is gone.
        clock: Source of monotonic time.

    Attributes:
        on_change: Called when the other nodes should get an update soon.
    """

    def __init__(self, parts, evidence, leadership, table, is_gone, clock):
        self._parts = parts
        self._evidence = evidence
        self._leadership = leadership
        self._table = table
        self._clock = clock
        self._tally = quarantine.CrashTally(clock, is_gone)
        self._watched: list[str] = []
        self._decide_at = float('-inf')
        self._is_storing = False
        self._term_read = 0
        self._row_version = stores.ABSENT
        self._stored_parts: frozenset = frozenset()
        self._refresh_at = float('-inf')
        self.on_change = []

    def watched_parts(self) -> list[str]:
        """Returns the parts whose survivals the nodes are to report."""
        return self._watched

    def handle_rows(self, rows) -> None:
        """Adds what the row holds, for a node that has just started.

        Args:
            rows: Rows of the project's table by key.
        """
        row = rows.get(ROW_KEY)
        if self._parts.merge(_decode_parts(row)):
            logs.event('quarantine_read', parts=','.join(self._parts.ids()))

    def handle_heartbeat(self, beat) -> None:
        """Adds what another node has seen, and decides.

        Args:
            beat: Heartbeat of the node.
        """
        self._parts.merge(beat.quarantined_ms)
        self._tally.record_reports(beat.crash_reports)
        self._tally.record_survivals(beat.survival_ages_ms)
        self.decide()

    def decide(self) -> None:
        """Quarantines a part that the evidence of all nodes points to.

        Has no effect within ``DECISION_INTERVAL_S`` of the last time.
        """
        now = self._clock.now()
        if now < self._decide_at or not self._leadership.is_leader():
            return
        self._decide_at = now + DECISION_INTERVAL_S
        self._tally.record_reports(self._evidence.reports())
        self._tally.record_survivals(
            self._evidence.survival_ages_ms(self._watched)
        )
        watched = self._tally.watched_parts()
        changed = bool(set(watched) - set(self._watched))
        self._watched = watched
        part = self._tally.find_part(self._parts)
        if part is not None:
            self._parts.add(part)
            changed = True
            logs.event('part_quarantined', 'WARNING', part=part)
        if changed:
            for listener in self.on_change:
                listener()

    async def store(self) -> None:
        """Reads the row once in a term, and writes it when it is outdated.

        A failure is logged and made good with the next call.
        """
        if self._is_storing or not self._leadership.is_leader():
            return
        self._is_storing = True
        try:
            if self._term_read != self._leadership.term:
                await self._read_row()
            remaining_ms = self._parts.remaining_ms()
            if remaining_ms.keys() != self._stored_parts or (
                remaining_ms and self._clock.now() >= self._refresh_at
            ):
                await self._write_row(remaining_ms)
        except errors.StoreRestoredError:
            self._term_read = 0  # the row may be gone, or an older one
        except errors.StoreUnavailableError as exc:
            logs.event('quarantine_not_stored', reason=exc.message)
        finally:
            self._is_storing = False

    async def _read_row(self) -> None:
        term = self._leadership.term
        row = await self._table.read(ROW_KEY)
        self._row_version = row.version if row else stores.ABSENT
        stored = _decode_parts(row)
        self._stored_parts = frozenset(stored)
        self._term_read = term
        if self._parts.merge(stored):
            logs.event('quarantine_read', parts=','.join(self._parts.ids()))
            for listener in self.on_change:
                listener()

    async def _write_row(self, remaining_ms: dict[str, int]) -> None:
        result = await self._table.commit(
            stores.Transaction(
                stores.new_txn_id(),
                (stores.Check(ROW_KEY, self._row_version),),
                (stores.Write(ROW_KEY, {'remaining_ms': remaining_ms}),),
            )
        )
        if result.outcome is not stores.Outcome.COMMITTED:
            self._term_read = 0  # read again: another write may be there
            logs.event(
                'quarantine_not_stored',
                outcome=result.outcome.value,
                reason=result.reason,
            )
            return
        self._row_version = result.version
        self._stored_parts = frozenset(remaining_ms)
        self._refresh_at = self._clock.now() + ROW_REFRESH_S


def _decode_parts(row) -> dict[str, int]:
    """Returns the parts in a row, none if it is absent or unreadable."""
    value = row.value if row is not None else None
    parts = value.get('remaining_ms') if isinstance(value, dict) else None
    if not isinstance(parts, dict):
        return {}
    return {
        str(part): remaining
        for part, remaining in parts.items()
        if type(remaining) is int
    }

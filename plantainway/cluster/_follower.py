"""A table of the store, followed from one version to the next.

Readings come from the store itself or, through the leader, from another
node. Whoever they come from, only rows with a higher version than the known
one count, so no reading takes the node back.
"""

import collections

from plantainway import logs

RETURN_GRACE_S = 2.0  # entries lapsed during an outage are back by then
OUTAGE_MIN_S = 1.0  # silence of the store that counts as an outage
LOG_MAX = 512  # changes kept for nodes that are behind


class Follower:
    """Rows of one table and how fresh they are.

    Args:
        table: Name of the table.
        clock: Source of monotonic time.
        keeps_lapsed: Whether rows that vanish around an outage are kept
            until their writers had time to write them again.
    """

    def __init__(self, table: str, clock, keeps_lapsed: bool = False):
        self.table = table
        self._clock = clock
        self._keeps_lapsed = keeps_lapsed
        self.rows: dict[str, object] = {}
        self.version = -1
        self.revision = 0
        self._log: collections.deque = collections.deque(maxlen=LOG_MAX)
        self.current_as_of = float('-inf')
        self._failing_since: float | None = None
        self._grace_until = float('-inf')
        self._lapsed: dict[str, float] = {}
        self.on_change = []

    @property
    def is_loaded(self) -> bool:
        """Tells whether the table has been read at all."""
        return self.version >= 0

    def age_s(self) -> float:
        """Returns how many seconds ago the rows were known to be current."""
        return self._clock.now() - self.current_as_of

    def note_failure(self) -> None:
        """Notes that the store gave no usable answer."""
        if self._failing_since is None:
            self._failing_since = self._clock.now()

    def load(self, reading, as_of: float) -> None:
        """Takes a full reading.

        Args:
            reading: All rows of the table.
            as_of: Monotonic seconds at which it was current.
        """
        if reading.version < self.version:
            return
        self._note_contact()
        present = {row.key for row in reading.rows}
        gone = [key for key in self.rows if key not in present]
        changed = [
            row
            for row in reading.rows
            if row.key not in self.rows
            or self.rows[row.key].version < row.version
        ]
        self._take(changed, gone, reading.version, as_of)

    def apply(self, reading, as_of: float) -> None:
        """Takes changes that follow the known version.

        Args:
            reading: Changed rows.
            as_of: Monotonic seconds at which they were current.
        """
        self._note_contact()
        if not self.is_loaded:
            return
        changed = {}
        gone = {}
        for row in reading.rows:
            known = self.rows.get(row.key)
            if known is not None and known.version >= row.version:
                continue
            changed.pop(row.key, None)
            gone.pop(row.key, None)
            if row.value is None:
                gone[row.key] = row
            else:
                changed[row.key] = row
        self._take(list(changed.values()), list(gone), reading.version, as_of)

    def _note_contact(self) -> None:
        now = self._clock.now()
        since = self._failing_since
        self._failing_since = None
        if since is not None and now - since >= OUTAGE_MIN_S:
            self._grace_until = now + RETURN_GRACE_S
            logs.event(
                'store_regained',
                table=self.table,
                away_ms=int((now - since) * 1000),
            )

    def _take(self, changed, gone, version: int, as_of: float) -> None:
        now = self._clock.now()
        for row in changed:
            self.rows[row.key] = row
            self._lapsed.pop(row.key, None)
        removed = []
        for key in gone:
            if key not in self.rows:
                continue
            if self._keeps_lapsed and now < self._grace_until:
                self._lapsed.setdefault(key, self._grace_until)
                continue
            self.rows.pop(key, None)
            self._lapsed.pop(key, None)
            removed.append(key)
        self.version = max(version, self.version)
        self.current_as_of = max(as_of, self.current_as_of)
        self._tell(changed, removed)

    def expire(self) -> None:
        """Drops the lapsed rows whose time to come back is over."""
        now = self._clock.now()
        due = [key for key, until in self._lapsed.items() if now >= until]
        for key in due:
            del self._lapsed[key]
            self.rows.pop(key, None)
        if due:
            self._tell([], due)

    def _tell(self, changed, removed) -> None:
        if not changed and not removed:
            return
        self.revision += 1
        keys = [row.key for row in changed]
        self._log.append((self.revision, keys, removed))
        for listener in self.on_change:
            listener(changed, removed)

    def changes_since(self, revision: int) -> tuple[list, list] | None:
        """Returns what has changed after a revision of this follower.

        Args:
            revision: Revision that is known already.

        Returns:
            Rows that are new or changed and keys that are gone, or ``None``
            if the changes are no longer kept.
        """
        if revision == self.revision:
            return [], []
        if not self._log or self._log[0][0] > revision + 1:
            return None
        touched = {}
        for number, changed, removed in self._log:
            if number > revision:
                touched.update(dict.fromkeys(changed))
                touched.update(dict.fromkeys(removed))
        return (
            [self.rows[key] for key in touched if key in self.rows],
            [key for key in touched if key not in self.rows],
        )

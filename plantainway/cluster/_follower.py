"""Local copies of the tables of the platform's store.

Snapshots and changes come from the store or are relayed by the leader. A row
only replaces a known one if its version is higher, so data that arrives late
never reverts a row. Where values have a rank, a lower one never replaces a
known one: the store may come back from a copy with an older value.
"""

import collections

from plantainway import logs
from plantainway import stores

REMOVAL_GRACE_S = 2.0  # writers restore entries that expired in an outage
OUTAGE_MIN_S = 1.0  # shorter failures do not count as an outage
CHANGES_KEPT_MAX = 512  # nodes further behind get a full snapshot
# A store may report no change when a row that it lacks is removed. A row that
# a restored store lacks is therefore kept only for the time in which its
# writer can notice the restore and write it again.
CONFIRMATION_TIMEOUT_S = 30.0
REMOVALS_KEPT_MAX = 256  # newest removals that other nodes may have missed


class TableCache:
    """Cached rows of one table, and how recent they are.

    Args:
        name: Name of the table.
        clock: Source of monotonic time.
        defers_removals: Whether rows that are removed within
            ``REMOVAL_GRACE_S`` after an outage of the store are kept until
            that time is over, so that their writers can write them again.
        ranks: Functions by key that return the rank of the row's value, which
            grows with each change. Such rows are never removed.
        keeps_missing: Function of the key and version of a known row and of
            the version of a snapshot that lacks it. Returns whether the row
            is kept all the same, until a change removes it or for
            ``CONFIRMATION_TIMEOUT_S``. Other nodes may relay such a row after
            its removal, so versions of removals are remembered.

    Attributes:
        rows: Rows by key.
        version: Version of the table that the rows show, -1 before the
            first snapshot.
        revision: Number of changes applied here; local to this cache.
        current_as_of: Monotonic seconds at which the rows were last known
            to be current.
        on_change: Called with the changed rows and the removed keys.
    """

    def __init__(
        self,
        name: str,
        clock,
        defers_removals: bool = False,
        ranks=None,
        keeps_missing=None,
    ):
        self._ranks = ranks or {}
        self._keeps_missing = keeps_missing
        self._removed_versions: dict[str, int] = {}
        self._confirm_by: dict[str, float] = {}  # ends of rows kept, by key
        self._kept_keys: set[str] = set()
        self.name = name
        self._clock = clock
        self._defers_removals = defers_removals
        self.rows: dict[str, object] = {}
        self.version = -1
        self.revision = 0
        self._recent_changes: collections.deque = collections.deque(
            maxlen=CHANGES_KEPT_MAX
        )
        self.current_as_of = float('-inf')
        self._failing_since: float | None = None
        self._grace_until = float('-inf')
        self._loaded_at = float('-inf')
        self._removal_due_at: dict[str, float] = {}
        self.on_change = []

    @property
    def is_loaded(self) -> bool:
        """Returns whether a snapshot has been applied."""
        return self.version >= 0

    @property
    def settles_at(self) -> float:
        """Returns until when writers may still restore their rows.

        After an outage of the store rows are current as far as the store
        goes, but may show what their writers knew before, or be missing. A
        cache can't know whether the store was away before its first snapshot.
        Monotonic seconds.
        """
        return max(self._grace_until, self._loaded_at + REMOVAL_GRACE_S)

    def age_s(self) -> float:
        """Returns the seconds since the rows were last known to be current."""
        return self._clock.now() - self.current_as_of

    def record_restore(self) -> float:
        """Starts the time in which writers restore what a copy lacks.

        Returns:
            Seconds for which the rows known here are better than those of
            the store; 0 unless removals are deferred.
        """
        if not self._defers_removals:
            return 0.0
        self._grace_until = self._clock.now() + REMOVAL_GRACE_S
        return REMOVAL_GRACE_S

    def record_failure(self) -> None:
        """Records that a read from the store failed.

        This begins an outage, unless one is in progress. It ends with the
        next changes, or the next snapshot that is not older than the rows,
        that were current after this failure. Rows that the leader relays
        while the store does not answer it either are older than that.

        The outage counts from the time at which the rows were last known to
        be current, as this node may have followed the leader until then
        without reading the store. It does not count if it is shorter than
        ``OUTAGE_MIN_S``.
        """
        if self._failing_since is None:
            self._failing_since = self._clock.now()

    def apply_snapshot(self, reading, as_of: float, keys=None) -> None:
        """Replaces the rows by a snapshot unless it is older than they are.

        Rows whose version is not higher stay as they are. Removals may be
        deferred.

        Args:
            reading: Snapshot of the table.
            as_of: Monotonic seconds at which it was current.
            keys: Keys of all rows, if the snapshot leaves out rows that this
                cache holds already; ``None`` if it has all rows.
        """
        if reading.version < self.version:
            self._add_missing(reading.rows)
            return
        self._record_contact(as_of)
        if not self.is_loaded:
            self._loaded_at = self._clock.now()
        present = (
            set(keys)
            if keys is not None
            else {row.key for row in reading.rows}
        )
        removed_keys = [key for key in self.rows if key not in present]
        removed_keys = self._without_kept(removed_keys, reading.version)
        for key in removed_keys:
            self._record_removal(key, reading.version)
        changed = [row for row in reading.rows if self._replaces(row)]
        self._update_rows(changed, removed_keys, reading.version, as_of)

    def apply_changes(self, reading, as_of: float) -> None:
        """Applies changes that follow the known version.

        Has no effect on the rows before the first snapshot. Removals may be
        deferred.

        Args:
            reading: Changed rows; a row without a value is removed.
            as_of: Monotonic seconds at which they were current.
        """
        self._record_contact(as_of)
        if not self.is_loaded:
            return
        changed = {}
        removed_keys = {}
        for row in reading.rows:
            if not self._replaces(row):
                continue
            changed.pop(row.key, None)
            removed_keys.pop(row.key, None)
            if row.value is None:
                removed_keys[row.key] = row
                self._record_removal(row.key, row.version)
            else:
                changed[row.key] = row
        self._update_rows(
            list(changed.values()), list(removed_keys), reading.version, as_of
        )

    def _without_kept(self, keys, version: int) -> list:
        """Returns those of some keys that a snapshot shows to be removed."""
        return [
            key
            for key in keys
            if not self._is_kept_if_missing(self.rows[key], version)
        ]

    def _is_kept_if_missing(self, row, version: int) -> bool:
        """Returns whether a row is kept although a snapshot lacks it."""
        return self._keeps_missing is not None and self._keeps_missing(
            row.key, row.version, version
        )

    def _add_missing(self, rows) -> None:
        """Adds those rows of an older snapshot that the store has lost."""
        missing = [
            row
            for row in rows
            if row.key not in self.rows
            and self._is_kept_if_missing(row, self.version)
            and self._replaces(row)
        ]
        if missing:
            self._update_rows(missing, [], self.version, self.current_as_of)

    def _record_removal(self, key: str, version: int) -> None:
        """Remembers the removal of a row that other nodes may keep."""
        if self._keeps_missing is None:
            return
        if not self._keeps_missing(key, -1, version):
            return
        known = self._removed_versions.pop(key, -1)
        self._removed_versions[key] = max(known, version)
        if len(self._removed_versions) > REMOVALS_KEPT_MAX:
            del self._removed_versions[next(iter(self._removed_versions))]

    def _replaces(self, row) -> bool:
        """Returns whether a row is newer than the known one or its removal.

        If it is newer but has a value of a lower rank, the known value gets
        its version and is relayed again: other nodes may have got the row
        from the store.
        """
        known = self.rows.get(row.key)
        if known is None:
            return row.version > self._removed_versions.get(row.key, -1)
        rank_of = self._ranks.get(row.key)
        if rank_of is None:
            return row.version > known.version
        rank = -1 if row.value is None else rank_of(row.value)
        known_rank = rank_of(known.value)
        if rank >= known_rank:
            return rank > known_rank or row.version > known.version
        if row.version > known.version:
            logs.event(
                'older_value_ignored',
                table=self.name,
                key=row.key,
                row_version=row.version,
                rank=rank,
                known=known_rank,
            )
            self.rows[row.key] = stores.RawRow(
                row.key, known.value, row.version
            )
            self._keep(row.key)
        return False

    def _keep(self, key: str) -> None:
        """Relays a known row although the store does not have it."""
        self._kept_keys.add(key)
        self.revision += 1
        self._recent_changes.append((self.revision, [key], []))

    def _record_contact(self, as_of: float) -> None:
        """Ends an outage of the store if rows are current again.

        Args:
            as_of: Monotonic seconds at which the rows were current.
        """
        failing_since = self._failing_since
        if failing_since is None or as_of < failing_since:
            return
        self._failing_since = None
        if self.is_loaded:
            failing_since = min(failing_since, self.current_as_of)
        away_s = as_of - failing_since
        if away_s >= OUTAGE_MIN_S:
            self._grace_until = self._clock.now() + REMOVAL_GRACE_S
            logs.event(
                'store_regained',
                table=self.name,
                away_ms=int(away_s * 1000),
            )

    def _update_rows(
        self, changed, removed_keys, version: int, as_of: float
    ) -> None:
        now = self._clock.now()
        for row in changed:
            self.rows[row.key] = row
            self._kept_keys.discard(row.key)
            self._removal_due_at.pop(row.key, None)
        removed = []
        for key in removed_keys:
            if key not in self.rows:
                continue
            if key in self._ranks:
                if key not in self._kept_keys:
                    self._keep(key)
                continue
            if self._defers_removals and now < self._grace_until:
                self._removal_due_at.setdefault(key, self._grace_until)
                continue
            self.rows.pop(key, None)
            self._removal_due_at.pop(key, None)
            removed.append(key)
        self.version = max(version, self.version)
        self.current_as_of = max(as_of, self.current_as_of)
        self._update_confirmations(now)
        self._notify(changed, removed)

    def _update_confirmations(self, now: float) -> None:
        """Sets until when rows that the store has lost are kept."""
        if self._keeps_missing is None:
            return
        known = self._confirm_by
        self._confirm_by = {
            key: known.get(key, now + CONFIRMATION_TIMEOUT_S)
            for key, row in self.rows.items()
            if self._is_kept_if_missing(row, self.version)
        }
        for key in self._confirm_by.keys() - known.keys():
            logs.event('lost_row_kept', table=self.name, key=key)

    def remove_due_rows(self) -> None:
        """Removes the rows that were kept for a time that has passed.

        These are rows whose removal was deferred, and rows that a restored
        store lacks.
        """
        now = self._clock.now()
        due_keys = [
            key for key, until in self._removal_due_at.items() if now >= until
        ]
        for key, until in self._confirm_by.items():
            if now >= until:
                logs.event('lost_row_dropped', table=self.name, key=key)
                self._record_removal(key, self.version)
                due_keys.append(key)
        for key in due_keys:
            self._removal_due_at.pop(key, None)
            self._confirm_by.pop(key, None)
            self.rows.pop(key, None)
        if due_keys:
            self._notify([], due_keys)

    def _notify(self, changed, removed) -> None:
        if not changed and not removed:
            return
        self.revision += 1
        keys = [row.key for row in changed]
        self._recent_changes.append((self.revision, keys, removed))
        for listener in self.on_change:
            listener(changed, removed)

    def rows_after(self, version: int) -> list:
        """Returns the rows that changed after a version of the table.

        Rows whose known value is of a higher rank than that of the store, and
        those that the store has lost, are among them.

        Args:
            version: Version of the table that the receiver holds, -1 for
                none.
        """
        return [
            row
            for row in self.rows.values()
            if row.version > version
            or row.key in self._kept_keys
            or self._is_kept_if_missing(row, self.version)
        ]

    def changes_since(self, revision: int) -> tuple[list, list] | None:
        """Returns the changes after a revision of this cache.

        Args:
            revision: Last revision that the receiver has.

        Returns:
            Rows that are new or changed and keys that were removed, or
            ``None`` if the changes are no longer kept.
        """
        if revision == self.revision:
            return [], []
        if (
            not self._recent_changes
            or self._recent_changes[0][0] > revision + 1
        ):
            return None
        touched = {}
        for number, changed, removed in self._recent_changes:
            if number > revision:
                touched.update(dict.fromkeys(changed))
                touched.update(dict.fromkeys(removed))
        return (
            [self.rows[key] for key in touched if key in self.rows],
            [key for key in touched if key not in self.rows],
        )

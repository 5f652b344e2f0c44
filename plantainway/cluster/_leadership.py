"""Leader election by a lease in the platform's store."""

import dataclasses

from plantainway import errors
from plantainway import leases
from plantainway import logs
from plantainway import stores

LEASE_KEY = 'leader'
LEASE_TERM_S = 2.2  # a failed leader is replaced within about this time
HOLDER_MARGIN_S = 0.4  # covers the steps between a lease check and an order
RENEW_EVERY_S = 0.8  # one renewal may fail within a lease term
EXTENSION_S = 0.8  # shorter than followers take to seek another leader
EXTENSIONS_MAX_S = 20.0  # longer outages end with an election


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """Value of the lease row.

    ``node`` is the holder's name and incarnation, or empty if the lease was
    released. ``address`` is the ``IP:PORT`` of its hub. ``term`` grows with
    each change of holder and each restart of one, ``count`` with each
    renewal.
    """

    node: str
    address: str
    term: int
    count: int


def _decode_holder(value) -> Holder:
    """Returns the holder in a lease row.

    An unreadable row names no holder that could release it, so that other
    nodes wait for a whole term before they overwrite it.
    """
    try:
        holder = Holder(**value)
    except TypeError:
        return UNREADABLE_HOLDER
    if not (
        isinstance(holder.node, str)
        and isinstance(holder.address, str)
        and type(holder.term) is int
        and type(holder.count) is int
    ):
        return UNREADABLE_HOLDER
    return holder


UNREADABLE_HOLDER = Holder('?', '', 0, 0)


class Leadership:
    """Tracks the leader lease, and holds it while this node leads.

    Args:
        node: Name of this node.
        incarnation: Identifier that is unique to this run of the process.
        table: Table of the platform's store with the lease row.
        clock: Source of monotonic time.

    Attributes:
        holder: Value of the lease row as last read or written.
        version: Version of the lease row as last read or written.
        on_rows_read: Called with the rows of the project's table, by key,
            whenever the lease row is read to find the leader. They come with
            it at no further cost.
        newest_used_term: Function that returns the newest term whose traces
            are found outside the lease row, which may be older; set by the
            node.
    """

    def __init__(self, node: str, incarnation: str, table, clock):
        self._node = node
        self._id = f'{node}/{incarnation}'
        self._table = table
        self._clock = clock
        self._observer = leases.LeaseObserver(LEASE_TERM_S)
        self._deadline = float('-inf')
        self._renewed_at = float('-inf')
        self.address = ''
        self.holder: Holder | None = None
        self.version = stores.ABSENT
        self.on_rows_read = []
        self.newest_used_term = int
        self._newest_term = 0
        self._restores_seen = 0
        self._may_acquire_from = float('-inf')
        self._has_read_lease = False
        self._is_outcome_unknown = False

    def is_leader(self) -> bool:
        """Returns whether this node holds the lease now."""
        return self._clock.now() < self._deadline

    @property
    def term(self) -> int:
        """Returns the term in the lease row as last read or written.

        This is 0 if there was no row. The lease may have lapsed or been
        released since.
        """
        return self.holder.term if self.holder else 0

    async def read_lease(self) -> None:
        """Reads the lease row from the store.

        Raises:
            StoreUnavailableError: If the store does not answer.
        """
        rows = {row.key: row for row in await self._table.scan('')}
        row = rows.get(LEASE_KEY)
        now = self._clock.now()
        self._record_restore(now)
        self._has_read_lease = True
        for listener in self.on_rows_read:
            listener(rows)
        if row is None:
            self.holder, self.version = None, stores.ABSENT
            self._observer.observe(stores.ABSENT, '', now)
            return
        self._observe(_decode_holder(row.value), row.version)

    def _record_restore(self, now: float) -> None:
        """Starts a term of waiting if the store was restored from a copy.

        The row may lack a lease that its holder still counts on.
        """
        if self._table.restore_count > self._restores_seen:
            self._may_acquire_from = now + LEASE_TERM_S
        self._restores_seen = self._table.restore_count

    def _observe(self, holder: Holder, version: int) -> None:
        self.holder, self.version = holder, version
        self._newest_term = max(self._newest_term, holder.term)
        self._observer.observe(version, holder.node, self._clock.now())

    def observe_renewal(self, version: int) -> None:
        """Records a renewal that the leader reported, without a store read.

        Restarts the time after which this node may acquire the lease.

        Args:
            version: Version of the lease row that the leader wrote last.
        """
        if self.holder is not None and version > self.version:
            self._observe(self.holder, version)

    def may_acquire(self, delay_s: float) -> bool:
        """Returns whether the lease is free for this node to acquire.

        That is so once its term has passed without a renewal, once it was
        released, or if an earlier process of this node holds it. Returns
        ``False`` before the first read of the lease.

        Args:
            delay_s: Seconds to wait beyond the term, in favour of other
                candidates.
        """
        now = self._clock.now()
        if not self._has_read_lease or now < self._may_acquire_from + delay_s:
            return False
        if self._is_held_by_earlier_process():
            return (
                True  # this process has its port, so the earlier one has ended
            )
        return self._observer.is_expired(now, delay_s)

    def _is_held_by_earlier_process(self) -> bool:
        """Returns whether an earlier process of this node holds the lease."""
        if self.holder is None or self.holder.node == self._id:
            return False
        return self.holder.node.rpartition('/')[0] == self._node

    async def acquire(self, address: str) -> bool:
        """Writes this node as the holder if the lease row is unchanged.

        Args:
            address: ``IP:PORT`` at which other nodes reach this node's hub.

        Returns:
            Whether this node is the leader now. ``False`` also if the
            outcome of the write stays unknown, or if the store was restored
            from a copy since the row was read.
        """
        term = max(self._newest_term, self.newest_used_term()) + 1
        try:
            return await self._write(Holder(self._id, address, term, 0))
        except errors.StoreRestoredError as exc:
            self._deadline = float('-inf')
            logs.event('lease_void', term=term, reason=exc.message)
            return False

    async def renew(self) -> bool:
        """Renews the lease; called every ``RENEW_EVERY_S`` by the leader.

        Ends the leadership of this node at once if another write has
        changed the lease row.

        Returns:
            Whether the renewal is known to be written. ``False`` also if the
            store does not answer the renewal.

        Raises:
            StoreUnavailableError: If the outcome of an earlier write is
                unknown and the store does not answer the read of it.
        """
        if self._is_outcome_unknown:
            await self._resolve_unknown_renewal()
        holder = self.holder
        renewed = dataclasses.replace(holder, count=holder.count + 1)
        try:
            return await self._write(renewed)
        except errors.StoreRestoredError as exc:
            return await self._renew_restored(renewed, exc)

    async def _renew_restored(self, holder: Holder, exc) -> bool:
        """Renews the lease over the row of a copy, while it still holds.

        No other node may have acquired it: the row was unchanged for less
        than a term, and after a restore others wait for a whole one.

        Args:
            holder: Value to write.
            exc: Error of the write under the version from before.

        Returns:
            Whether the renewal is known to be written.
        """
        if exc.took_effect:
            # Another holder's row may have been overwritten.
            self._deadline = float('-inf')
            logs.event('lease_void', term=holder.term, reason=exc.message)
            return False
        row = await self._table.read(LEASE_KEY)
        self._record_restore(self._clock.now())
        if not self.is_leader():
            return False
        self.version = row.version if row else stores.ABSENT
        try:
            return await self._write(holder)
        except errors.StoreRestoredError as again:
            logs.event('lease_void', term=holder.term, reason=again.message)
            self._deadline = float('-inf')
            return False

    async def _resolve_unknown_renewal(self) -> None:
        """Reads whether a write with an unknown outcome took effect."""
        row = await self._table.read(LEASE_KEY)
        self._is_outcome_unknown = False
        holder = _decode_holder(row.value) if row else None
        if holder is not None and holder.node == self._id:
            self._observe(holder, row.version)

    def extend(self) -> None:
        """Keeps the leadership for ``EXTENSION_S`` without a renewal.

        Called while the store does not answer: no node can acquire the lease
        then, but members of groups still fail and need a leader to repair
        their groups. Has no effect once the lease has lapsed here, or
        ``EXTENSIONS_MAX_S`` after the last renewal. The caller makes sure
        that the other nodes still follow this one. If another node leads
        nevertheless, its orders have higher epochs, and engines refuse the
        orders of this node.
        """
        now = self._clock.now()
        if not self.is_leader() or now - self._renewed_at > EXTENSIONS_MAX_S:
            return
        self._deadline = max(self._deadline, now + EXTENSION_S)

    async def release(self) -> None:
        """Ends the leadership, so that another node may acquire it at once.

        This node stops leading before it clears the holder in the lease row.
        If that write fails, the other nodes wait until the term has passed.
        Has no effect if this node does not lead.
        """
        if not self.is_leader():
            return
        self._deadline = float('-inf')
        try:
            await self._write(dataclasses.replace(self.holder, node=''))
        except errors.StoreRestoredError as exc:
            logs.event('lease_void', term=self.term, reason=exc.message)
        self._deadline = float('-inf')

    async def _write(self, holder: Holder) -> bool:
        sent_at = self._clock.now()
        txn = stores.Transaction(
            stores.new_txn_id(),
            (stores.Check(LEASE_KEY, self.version),),
            (stores.Write(LEASE_KEY, dataclasses.asdict(holder)),),
        )
        result = await self._table.commit(txn)
        if result.outcome is stores.Outcome.UNKNOWN:
            result = await self._read_back(txn)
        self._is_outcome_unknown = result.outcome is stores.Outcome.UNKNOWN
        if result.outcome is not stores.Outcome.COMMITTED:
            if result.outcome is stores.Outcome.NOT_COMMITTED:
                self._deadline = float('-inf')
            logs.event(
                'lease_not_written',
                holder=holder.node,
                term=holder.term,
                version=self.version,
                outcome=result.outcome.value,
                reason=result.reason,
            )
            return False
        self._observe(holder, result.version)
        if holder.node:
            self._renewed_at = sent_at
            self._deadline = leases.holder_deadline(
                sent_at, LEASE_TERM_S, HOLDER_MARGIN_S
            )
        return True

    async def _read_back(self, txn) -> stores.CommitResult:
        """Reads the row once to learn the outcome of an unanswered write."""
        try:
            row = await self._table.read(LEASE_KEY)
        except errors.StoreUnavailableError as exc:
            return stores.CommitResult(stores.Outcome.UNKNOWN, exc.message)
        if row is not None and row.txn_id == txn.txn_id:
            return stores.CommitResult(
                stores.Outcome.COMMITTED,
                'found in the lease row',
                version=row.version,
            )
        version = row.version if row else stores.ABSENT
        if version != txn.checks[0].version:
            if row is not None:
                self._observe(_decode_holder(row.value), row.version)
            return stores.CommitResult(
                stores.Outcome.NOT_COMMITTED,
                'lease row was changed by another write',
            )
        return stores.CommitResult(
            stores.Outcome.UNKNOWN, 'write not visible in the lease row yet'
        )

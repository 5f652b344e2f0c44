"""Rows of one control shard in the table service.

Every transaction of a shard checks that its lease row still has the version
that the holder wrote last, and rewrites that row. A former holder can
therefore commit nothing, and after a lost reply the lease row alone shows
whether the transaction was committed. Every transaction except the release
of the lease also renews it.
"""

import dataclasses
import time

from plantainway import errors
from plantainway.groups import _allotment
from plantainway.groups import _apply
from plantainway.groups import _lease
from plantainway.groups import _state
from plantainway import leases
from plantainway import stores

LEASE_PREFIX = 'shard/'
COPY_PREFIX = 'copy/'
VM_PREFIX = 'vm/'
ALLOT_PREFIX = 'allot/'
AUDIT_PREFIX = 'audit/'
CopyState = _state.CopyState


class ShardStore:
    """Lease, copies and VM rows of one shard, cached by its holder.

    ``lease`` is the lease that this node acquired or is acquiring. It may
    still be set after ``deadline`` has passed; ``is_held`` tells whether this
    node may act for the shard.

    Args:
        shard: Name of the shard.
        node: Name of the own node.
        incarnation: Incarnation of the own node.
        table: Table service.
        clock: Source of monotonic time.
        wall: Function that returns seconds since 1970, for audit rows.
    """

    def __init__(self, shard, node, incarnation, table, clock, wall=time.time):
        self.shard = shard
        self.observer = leases.LeaseObserver(_lease.LEASE_TERM_S)
        self.lease: _lease.Lease | None = None
        self.deadline = 0.0
        self.copies: dict[str, _state.Copy] = {}
        self.holds: dict[str, _state.Hold] = {}
        self._node = node
        self._incarnation = incarnation
        self._table = table
        self._clock = clock
        self._wall = wall
        self._row: stores.Row | None = None  # lease row, as last known

    @property
    def is_held(self) -> bool:
        """Returns whether this node may act for the shard now."""
        return self.lease is not None and self._clock.now() < self.deadline

    @property
    def token(self) -> int:
        """Returns the fencing token of ``lease``, 0 if there is none.

        The deadline is not checked.
        """
        return self.lease.token if self.lease else 0

    def ensure_held(self) -> None:
        """Raises an error, and drops the lease, unless it is still held.

        Call it after every await that precedes an irreversible step.

        Raises:
            LeaseLostError: If the deadline has passed.
        """
        if not self.is_held:
            self.lease = None
            raise errors.LeaseLostError(
                'lease deadline has passed', 'lease', self.shard
            )

    async def observe(self) -> None:
        """Reads the lease row and passes it to the lease observer.

        Call it before ``acquire``, while the lease is not held.

        Raises:
            StoreUnavailableError: If the table gave no answer.
        """
        row = await self._table.read(LEASE_PREFIX + self.shard)
        self._row = row
        self.observer.observe(
            row.version if row else stores.ABSENT,
            row.value['holder'] if row else '',
            self._clock.now(),
        )

    async def acquire(self) -> bool:
        """Acquires the lease and reads the rows of the shard.

        Call it once the observer has found the lease lapsed. The new lease
        follows from the lease row that ``observe`` read last.

        Returns:
            Whether the lease is held now. It is not if its deadline passed
            while the rows were read; ``lease`` then stays set until
            ``ensure_held`` is called.

        Raises:
            LeaseLostError: If another holder changed the lease row, or the
                outcome of the commit is unknown.
            StoreUnavailableError: If the table gave no answer.
        """
        row = self._row
        lease = (
            _lease.Lease(**row.value) if row else _lease.new_lease(self.shard)
        )
        sent_at = self._clock.now()
        self.lease = lease.acquired_by(self._node, self._incarnation)
        self.deadline = _lease.holder_deadline(sent_at)
        try:
            await self._commit(self.lease, (), ())
            await self._load()
        except errors.PlantainwayError:
            self.lease = None
            raise
        return self.is_held

    async def renew(self) -> None:
        """Renews the lease and moves its deadline.

        Raises:
            LeaseLostError: If the lease is no longer held.
            StoreUnavailableError: If the table gave no answer.
        """
        await self._commit(self.lease.renewed(), (), ())

    async def release_lease(self) -> None:
        """Releases the lease, so that another node can acquire it at once.

        Tries once to write the release to the table. If that fails, the lease
        lapses at its usual time. This node drops it in any case.
        """
        lease, self.lease = self.lease, None
        if lease is None or self._row is None:
            return
        key = LEASE_PREFIX + self.shard
        await self._table.commit(
            stores.Transaction(
                stores.new_txn_id(),
                (stores.Check(key, self._row.version),),
                (stores.Write(key, dataclasses.asdict(lease.released())),),
            )
        )

    async def _load(self) -> None:
        copies = await self._table.scan(f'{COPY_PREFIX}{self.shard}/')
        holds = await self._table.scan(VM_PREFIX)
        self.copies = {}
        for row in copies:
            value = dict(row.value)
            value['state'] = CopyState(value['state'])
            value['members'] = tuple(
                _state.Member(vm, boot) for vm, boot in value['members']
            )
            copy = _state.Copy(**value, row_version=row.version)
            self.copies[copy.copy_id] = copy
        self.holds = {
            row.value['vm']: _state.Hold(**row.value, row_version=row.version)
            for row in holds
            if row.value['shard'] == self.shard
        }

    async def read_allotment(self) -> _allotment.Allotment:
        """Reads the allotment of this shard, empty if there is none.

        Raises:
            StoreUnavailableError: If the table gave no answer.
        """
        row = await self._table.read(ALLOT_PREFIX + self.shard)
        if row is None:
            return _allotment.Allotment({}, {})
        return _allotment.Allotment(**row.value)

    async def write_allotment(self, domains: dict) -> None:
        """Writes the allotments of all fabric domains and renews the lease.

        Args:
            domains: Allotment by name of the fabric domain.

        Raises:
            LeaseLostError: If the lease is no longer held.
            StoreUnavailableError: If the table gave no answer.
        """
        writes = tuple(
            stores.Write(ALLOT_PREFIX + domain, dataclasses.asdict(allotment))
            for domain, allotment in sorted(domains.items())
        )
        await self._commit(self.lease.renewed(), (), writes)

    async def add_vm(self, vm: str) -> bool:
        """Creates the row of a VM, unless another shard has created it.

        Writes an audit row and renews the lease as well.

        Args:
            vm: Name of the VM.

        Returns:
            Whether the row now belongs to this shard.

        Raises:
            LeaseLostError: If the lease is no longer held.
            StoreUnavailableError: If the table gave no answer.
        """
        hold = _state.Hold(vm, self.shard)
        try:
            await self._write([], [hold], {'kind': 'add_vm'})
        except errors.ConflictError:
            return False
        return True

    async def delete_vm(self, vm: str) -> None:
        """Deletes the row of a VM that was removed from the domain.

        Renews the lease as well, but writes no audit row. The caller has
        checked that the VM is free.

        Args:
            vm: Name of the VM.

        Raises:
            LeaseLostError: If the lease is no longer held.
            ConflictError: If the row was changed by another shard.
            StoreUnavailableError: If the table gave no answer.
        """
        hold = self.holds[vm]
        await self._commit(
            self.lease.renewed(),
            (stores.Check(VM_PREFIX + vm, hold.row_version),),
            (stores.Write(VM_PREFIX + vm, None),),
        )
        del self.holds[vm]

    async def apply(self, action) -> None:
        """Commits one planned action in one transaction with its audit row.

        Renews the lease as well.

        Args:
            action: Form, Reform, MarkServing, Drain, Dissolve or Free.

        Raises:
            LeaseLostError: If the lease is no longer held.
            ConflictError: If a VM to claim is not free, or a row was changed
                by another shard.
            StoreUnavailableError: If the table gave no answer.
        """
        changes = _apply.apply_action(
            self.shard,
            self.copies,
            self.holds,
            action,
            self.lease.next_copy,
        )
        audit = {
            'kind': type(action).__name__.lower(),
            'reason': getattr(action, 'reason', ''),
        }
        await self._write(changes.copies, changes.holds, audit)

    async def _write(self, copies, holds, audit) -> None:
        before = self.lease
        new_token = any(copy.token >= before.next_copy for copy in copies)
        lease = dataclasses.replace(
            before.renewed(),
            next_copy=before.next_copy + int(new_token),
            audits=before.audits + 1,
        )
        checks = [
            stores.Check(VM_PREFIX + hold.vm, hold.row_version)
            for hold in holds
        ]
        writes = [
            stores.Write(VM_PREFIX + hold.vm, _hold_row(hold))
            for hold in holds
        ]
        for copy in copies:
            checks.append(stores.Check(self._copy_key(copy), copy.row_version))
            value = _copy_row(copy) if copy.members else None
            writes.append(stores.Write(self._copy_key(copy), value))
        audit = audit | {
            'copies': [_copy_row(copy) for copy in copies],
            'holds': [_hold_row(hold) for hold in holds],
            'node': self._node,
            'token': lease.token,
            'wall': round(self._wall(), 3),
        }
        writes.append(
            stores.Write(
                f'{AUDIT_PREFIX}{self.shard}/{lease.audits:012d}', audit
            )
        )
        version = await self._commit(lease, tuple(checks), tuple(writes))
        for copy in copies:
            if copy.members:
                self.copies[copy.copy_id] = dataclasses.replace(
                    copy, row_version=version
                )
            else:
                del self.copies[copy.copy_id]
        for hold in holds:
            self.holds[hold.vm] = dataclasses.replace(
                hold, row_version=version
            )

    def _copy_key(self, copy) -> str:
        return f'{COPY_PREFIX}{self.shard}/{copy.copy_id}'

    async def _commit(self, lease, checks, writes) -> int:
        self.ensure_held()
        key = LEASE_PREFIX + self.shard
        sent_at = self._clock.now()
        before = self._row.version if self._row else stores.ABSENT
        txn = stores.Transaction(
            stores.new_txn_id(),
            (stores.Check(key, before), *checks),
            (stores.Write(key, dataclasses.asdict(lease)), *writes),
        )
        result = await stores.commit_and_resolve(
            self._table, txn, key, self._clock, self.deadline
        )
        if result.outcome is stores.Outcome.COMMITTED:
            self.lease = lease
            self.deadline = _lease.holder_deadline(sent_at)
            self._row = stores.Row(
                key, dataclasses.asdict(lease), result.version, txn.txn_id
            )
            return result.version
        if result.outcome is stores.Outcome.UNKNOWN:
            self.lease = None
            raise errors.LeaseLostError(result.reason, 'commit', self.shard)
        if result.reason != 'conflict':
            raise errors.StoreUnavailableError(
                result.reason, 'commit', self.shard
            )
        if key in result.conflicts:
            self.lease = None
            raise errors.LeaseLostError(
                'lease row was changed by another holder', 'commit', self.shard
            )
        raise errors.ConflictError(list(result.conflicts), 'commit')


def _copy_row(copy) -> dict:
    value = dataclasses.asdict(copy)
    del value['row_version']
    value['state'] = str(copy.state)
    value['members'] = [[item.vm, item.boot] for item in copy.members]
    return value


def _hold_row(hold) -> dict:
    value = dataclasses.asdict(hold)
    del value['row_version']
    return value

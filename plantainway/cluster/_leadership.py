"""One node at a time leads: it holds a lease in the platform's store."""

import dataclasses

from plantainway import errors
from plantainway import leases
from plantainway import logs
from plantainway import stores

LEASE_KEY = 'leader'
TERM_S = 2.2  # a leader that dies is replaced within about so long
MARGIN_S = 0.4  # covers the steps between a check and its order
RENEW_EVERY_S = 0.8  # one renewal may fail within a term
EXTENSION_S = 0.8  # shorter than followers take to seek another leader
EXTENDED_MAX_S = 20.0  # longer outages end with an election


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """Content of the lease row.

    ``term`` grows with each change of holder and with each restart of one.
    """

    node: str
    address: str
    term: int
    count: int


class Leadership:
    """This node's view of the lease and, while it leads, its hold on it.

    Args:
        node: Name of the own node.
        life: Name of this life of the process.
        table: Table of the platform's store.
        clock: Source of monotonic time.
    """

    def __init__(self, node: str, life: str, table, clock):
        self._node = node
        self._id = f'{node}/{life}'
        self._table = table
        self._clock = clock
        self._observer = leases.LeaseObserver(TERM_S)
        self._deadline = float('-inf')
        self._renewed_at = float('-inf')
        self.address = ''
        self.holder: Holder | None = None
        self.version = stores.ABSENT
        self._seen = False
        self._is_in_doubt = False

    def is_leader(self) -> bool:
        """Tells whether this node may act as the leader now."""
        return self._clock.now() < self._deadline

    @property
    def term(self) -> int:
        """Returns the number of the current term."""
        return self.holder.term if self.holder else 0

    async def look(self) -> None:
        """Reads the lease row.

        Raises:
            StoreUnavailableError: If no answer came.
        """
        row = await self._table.read(LEASE_KEY)
        now = self._clock.now()
        self._seen = True
        if row is None:
            self.holder, self.version = None, stores.ABSENT
            self._observer.observe(stores.ABSENT, '', now)
            return
        self._observe(Holder(**row.value), row.version)

    def _observe(self, holder: Holder, version: int) -> None:
        self.holder, self.version = holder, version
        self._observer.observe(version, holder.node, self._clock.now())

    def note_renewal(self, version: int) -> None:
        """Takes in the leader's word on the version it wrote last.

        Args:
            version: Version of the lease row.
        """
        if self.holder is not None and version > self.version:
            self._observe(self.holder, version)

    def may_take(self, patience_s: float) -> bool:
        """Tells whether the lease may be taken over.

        Args:
            patience_s: Seconds to leave to other candidates.
        """
        if not self._seen:
            return False
        if self._is_own_past():
            return True  # its port is this process's now, so it has ended
        return self._observer.is_expired(self._clock.now(), patience_s)

    def _is_own_past(self) -> bool:
        """Tells whether an earlier life of this node holds the lease."""
        if self.holder is None or self.holder.node == self._id:
            return False
        return self.holder.node.rpartition('/')[0] == self._node

    async def take(self, address: str) -> bool:
        """Tries to become the leader.

        Args:
            address: Where the other nodes reach this one's hub.

        Returns:
            Whether this node leads now.
        """
        term = self.term + 1
        return await self._write(Holder(self._id, address, term, 0))

    async def renew(self) -> bool:
        """Renews the lease.

        Returns:
            Whether it is renewed.
        """
        if self._is_in_doubt:
            await self._settle()
        holder = self.holder
        return await self._write(
            dataclasses.replace(holder, count=holder.count + 1)
        )

    async def _settle(self) -> None:
        """Learns whether a renewal without an answer was written."""
        row = await self._table.read(LEASE_KEY)
        self._is_in_doubt = False
        if row is not None and row.value['node'] == self._id:
            self._observe(Holder(**row.value), row.version)

    def extend(self) -> None:
        """Goes on leading for a moment although the store does not answer.

        Answers the load of an outage of the store, in which no node can take
        the lease but members of groups go on dying. Only a leader may do so
        whose time has not run out and whom the other nodes follow. Should
        another node lead after all, the epochs of its orders are higher, and
        engines refuse those of this one.
        """
        now = self._clock.now()
        if not self.is_leader() or now - self._renewed_at > EXTENDED_MAX_S:
            return
        self._deadline = max(self._deadline, now + EXTENSION_S)

    async def hand_back(self) -> None:
        """Lets another node lead at once."""
        if not self.is_leader():
            return
        self._deadline = float('-inf')
        await self._write(dataclasses.replace(self.holder, node=''))
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
        self._is_in_doubt = result.outcome is stores.Outcome.UNKNOWN
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
            self._deadline = leases.holder_deadline(sent_at, TERM_S, MARGIN_S)
        return True

    async def _read_back(self, txn) -> stores.CommitResult:
        """Settles a write without an answer by one reading."""
        try:
            row = await self._table.read(LEASE_KEY)
        except errors.StoreUnavailableError as exc:
            return stores.CommitResult(stores.Outcome.UNKNOWN, exc.message)
        if row is not None and row.txn_id == txn.txn_id:
            return stores.CommitResult(
                stores.Outcome.COMMITTED, 'read back', version=row.version
            )
        version = row.version if row else stores.ABSENT
        if version != txn.checks[0].version:
            if row is not None:
                self._observe(Holder(**row.value), row.version)
            return stores.CommitResult(
                stores.Outcome.NOT_COMMITTED, 'another write came first'
            )
        return stores.CommitResult(stores.Outcome.UNKNOWN, 'not there yet')

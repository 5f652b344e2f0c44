"""The transactional table service and how a lost reply is settled."""

import abc
import asyncio
import dataclasses
import enum
import uuid

from plantainway import errors

ABSENT = 0  # version of a row that does not exist
READ_BACK_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row: a JSON value, its version and its last transaction.

    The version is the number of the commit that wrote the row, so all rows
    written by one transaction have the same version and none comes twice.
    """

    key: str
    value: dict
    version: int
    txn_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """Condition that a row has a version; ``ABSENT`` for no row."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """New value of a row; ``None`` deletes it."""

    key: str
    value: dict | None


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Checks and writes that take effect together or not at all."""

    txn_id: str
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


class Outcome(enum.Enum):
    """What is known of a commit."""

    COMMITTED = 'committed'
    NOT_COMMITTED = 'not_committed'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class CommitResult:
    """Outcome of one commit call.

    ``version`` is the version of the rows written, ``conflicts`` names the
    failed checks.
    """

    outcome: Outcome
    reason: str = ''
    conflicts: tuple[str, ...] = ()
    version: int = ABSENT


class BaseTable(abc.ABC):
    """Transactional rows ordered by key."""

    @abc.abstractmethod
    async def read(self, key: str) -> Row | None:
        """Reads a row.

        Args:
            key: Key of the row.

        Returns:
            The row, or ``None`` if there is none.

        Raises:
            StoreUnavailableError: If no answer came.
        """

    @abc.abstractmethod
    async def scan(self, prefix: str, limit: int = 0) -> list[Row]:
        """Lists the rows whose keys start with a prefix, in key order.

        Args:
            prefix: Start of the keys.
            limit: Most rows to return, 0 for all.

        Returns:
            A consistent snapshot of the rows.

        Raises:
            StoreUnavailableError: If no answer came.
        """

    @abc.abstractmethod
    async def commit(self, txn: Transaction) -> CommitResult:
        """Applies a transaction if all its checks hold.

        Args:
            txn: Transaction to apply.

        Returns:
            One of three outcomes; no failure is raised, since a failure
            after sending leaves the outcome unknown.
        """


def new_txn_id() -> str:
    """Returns a fresh transaction id."""
    return uuid.uuid4().hex


async def commit_and_resolve(
    table: BaseTable, txn: Transaction, proof_key: str, clock, deadline: float
) -> CommitResult:
    """Commits and settles a lost reply by reading back.

    The proof row must be checked and written by the transaction, and be
    overwritten by nobody else while the caller still cares about the
    outcome. The same transaction is sent again while the proof row has the
    checked version: its checks let it take effect once only.

    Args:
        table: Table to write to.
        txn: Transaction; its id is found in the proof row once committed.
        proof_key: Key of the row that proves the outcome.
        clock: Source of monotonic time.
        deadline: Monotonic time in seconds at which settling gives up.

    Returns:
        The outcome, ``UNKNOWN`` only if the deadline passed first.
    """
    expected = next(c.version for c in txn.checks if c.key == proof_key)
    result = await table.commit(txn)
    while result.outcome is Outcome.UNKNOWN:
        if clock.now() >= deadline:
            return result
        await asyncio.sleep(READ_BACK_INTERVAL_S)
        try:
            row = await table.read(proof_key)
        except errors.StoreUnavailableError:
            continue
        if row is not None and row.txn_id == txn.txn_id:
            return CommitResult(
                Outcome.COMMITTED, 'read back', version=row.version
            )
        if (row.version if row else ABSENT) != expected:
            return CommitResult(
                Outcome.NOT_COMMITTED, 'conflict', (proof_key,)
            )
        again = await table.commit(txn)
        if again.outcome is Outcome.COMMITTED:
            return again
        # A conflict or refusal of the second sending says nothing of the
        # first, which may have taken effect in between: read once more.
    return result

"""Transactional table service, with recovery from lost commit replies."""

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
    """One row: a JSON value, its version and the transaction that wrote it.

    The version is the number of the commit that wrote the row. Rows written
    by one transaction therefore share a version, and no two commits have
    the same one.
    """

    key: str
    value: dict
    version: int
    txn_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """Condition that a row has a version, or with ``ABSENT`` no row exists."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """New value of a row; ``None`` deletes the row."""

    key: str
    value: dict | None


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Checks and writes that take effect together or not at all."""

    txn_id: str
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


class Outcome(enum.Enum):
    """Outcome of a commit as far as the client knows it."""

    COMMITTED = 'committed'
    NOT_COMMITTED = 'not_committed'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class CommitResult:
    """Result of a commit call.

    ``version`` is the version of the written rows, ``conflicts`` the keys
    of the rows whose checks failed.
    """

    outcome: Outcome
    reason: str = ''
    conflicts: tuple[str, ...] = ()
    version: int = ABSENT


class BaseTable(abc.ABC):
    """Table of rows, ordered by key, with multi-row transactions.

    Versions only grow, also where the service is restored from a copy.

    Attributes:
        restore_count: How often the service was restored from a copy since
            its first answer, as far as its answers have told.
    """

    restore_count: int = 0

    @abc.abstractmethod
    async def read(self, key: str) -> Row | None:
        """Reads a row.

        Args:
            key: Key of the row.

        Returns:
            The row, or ``None`` if there is none.

        Raises:
            StoreUnavailableError: If the service did not answer.
        """

    @abc.abstractmethod
    async def scan(self, prefix: str, limit: int = 0) -> list[Row]:
        """Lists the rows whose keys start with a prefix, in key order.

        Args:
            prefix: Prefix of the keys.
            limit: Largest number of rows to return, 0 for all.

        Returns:
            The rows, as of a single version of the table.

        Raises:
            StoreUnavailableError: If the service did not answer.
        """

    @abc.abstractmethod
    async def commit(self, txn: Transaction) -> CommitResult:
        """Applies a transaction if all of its checks hold.

        Args:
            txn: Transaction to apply.

        Returns:
            The result. Call failures are reported as an outcome instead of
            an exception, since a failure after sending leaves the outcome
            unknown.

        Raises:
            StoreRestoredError: If the service was restored from a copy since
                the checked versions were read.
        """


def new_txn_id() -> str:
    """Returns a new unique transaction id."""
    return uuid.uuid4().hex


async def commit_and_resolve(
    table: BaseTable,
    txn: Transaction,
    outcome_key: str,
    clock,
    deadline: float,
) -> CommitResult:
    """Commits a transaction and resolves an unknown outcome by reading back.

    The outcome row, at ``outcome_key``, tells whether the transaction took
    effect. The transaction must check and write this row, and no other
    writer may overwrite it while the caller needs the outcome. As long as
    the row still has the checked version, the same transaction is sent
    again; its checks ensure that it takes effect at most once.

    Args:
        table: Table to write to.
        txn: Transaction; once committed, the outcome row has its id.
        outcome_key: Key of the outcome row.
        clock: Source of monotonic time.
        deadline: Monotonic time in seconds at which to stop resolving.

    Returns:
        The result; ``UNKNOWN`` only if the deadline passed first.
    """
    expected = next(c.version for c in txn.checks if c.key == outcome_key)
    result = await table.commit(txn)
    while result.outcome is Outcome.UNKNOWN:
        if clock.now() >= deadline:
            return result
        await asyncio.sleep(READ_BACK_INTERVAL_S)
        try:
            row = await table.read(outcome_key)
        except errors.StoreUnavailableError:
            continue
        if row is not None and row.txn_id == txn.txn_id:
            return CommitResult(
                Outcome.COMMITTED, 'read back', version=row.version
            )
        if (row.version if row else ABSENT) != expected:
            return CommitResult(
                Outcome.NOT_COMMITTED, 'conflict', (outcome_key,)
            )
        retry = await table.commit(txn)
        if retry.outcome is Outcome.COMMITTED:
            return retry
        # A failed retry does not tell the outcome of the first attempt,
        # which may have taken effect in between, so read the row again.
    return result

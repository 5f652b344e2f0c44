"""Interface to read a table as a snapshot and a stream of changes."""

import abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RawRow:
    """One row of a table as bytes; ``None`` as ``value`` marks a deletion."""

    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RowBatch:
    """Rows of a snapshot, or changed rows, up to a version of the store."""

    rows: tuple[RawRow, ...]
    version: int


class BaseFeed(abc.ABC):
    """Read access to snapshots and changes of tables."""

    @abc.abstractmethod
    async def snapshot(self, table: str) -> RowBatch:
        """Reads all rows of a table.

        Args:
            table: Name of the table.

        Raises:
            StoreUnavailableError: If the store sent no valid response.
        """

    @abc.abstractmethod
    async def changes(self, table: str, after: int, wait_s: float) -> RowBatch:
        """Waits for changes after a version and returns them in order.

        Args:
            table: Name of the table.
            after: Version up to which the caller has the changes.
            wait_s: Longest wait for the first change, in seconds.

        Raises:
            HistoryLostError: If the store no longer keeps the changes after
                that version.
            StoreUnavailableError: If the store sent no valid response.
        """

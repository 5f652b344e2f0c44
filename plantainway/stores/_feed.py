"""Tables that are read whole once and followed by their changes."""

import abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RawRow:
    """One row of a table as bytes; ``value`` is ``None`` once it is gone."""

    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RowBatch:
    """Rows as of one version of the store."""

    rows: tuple[RawRow, ...]
    version: int


class BaseFeed(abc.ABC):
    """Snapshot and changes of tables that others write."""

    @abc.abstractmethod
    async def snapshot(self, table: str) -> RowBatch:
        """Reads a table whole.

        Args:
            table: Name of the table.

        Raises:
            StoreUnavailableError: If no usable answer came.
        """

    @abc.abstractmethod
    async def changes(self, table: str, after: int, wait_s: float) -> RowBatch:
        """Returns the changes after a version, in order.

        Args:
            table: Name of the table.
            after: Version up to which the changes are known.
            wait_s: Seconds to wait for a first change.

        Raises:
            HistoryLostError: If the store no longer has that version.
            StoreUnavailableError: If no usable answer came.
        """

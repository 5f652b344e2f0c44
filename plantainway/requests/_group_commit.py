"""Group commit: batches writes of single rows into transactions."""

import asyncio
import dataclasses

from plantainway import stores

BATCH_MAX = 64
SETTLE_TIMEOUT_S = 3.0  # until a commit's outcome is taken as unknown


@dataclasses.dataclass(eq=False, slots=True)
class _PendingWrite:
    row_key: str
    checks: tuple
    value: dict | None
    result: asyncio.Future


class GroupCommitter:
    """Collects writes during a commit, and commits them together next.

    A row whose check fails is removed from the batch and the others are
    retried, so that a conflict fails no other row. The first row of a batch
    shows whether a commit without a reply took effect: nobody else writes
    that row while its writer waits.

    ``batches`` and ``rows`` count commits and the rows in them.

    Args:
        table: Table service.
        clock: Source of monotonic time.
    """

    def __init__(self, table: stores.BaseTable, clock):
        self._table = table
        self._clock = clock
        self._pending: list[_PendingWrite] = []
        self._running: asyncio.Task | None = None
        self.batches = 0
        self.rows = 0

    async def put(self, row_key: str, checks, value) -> stores.CommitResult:
        """Writes one row if all its checks hold.

        Args:
            row_key: Key of the row.
            checks: Checks; one of them must be on the row itself.
            value: New value, ``None`` to delete the row.

        Returns:
            The result for this row. Its outcome is ``UNKNOWN`` if it could
            not be found out within ``SETTLE_TIMEOUT_S``; the write may then
            still take effect.
        """
        item = _PendingWrite(
            row_key,
            tuple(checks),
            value,
            asyncio.get_running_loop().create_future(),
        )
        self._pending.append(item)
        if self._running is None:
            self._running = asyncio.ensure_future(self._run())
        return await item.result

    async def _run(self) -> None:
        try:
            while self._pending:
                await self._commit(self._take_batch())
        finally:
            self._running = None

    def _take_batch(self) -> list[_PendingWrite]:
        """Removes and returns the next writes, at most one for each key."""
        keys = set()
        batch = []
        rest = []
        for item in self._pending:
            if len(batch) < BATCH_MAX and item.row_key not in keys:
                keys.add(item.row_key)
                batch.append(item)
            else:
                rest.append(item)
        self._pending = rest
        return batch

    async def _commit(self, batch: list[_PendingWrite]) -> None:
        while batch:
            self.batches += 1
            self.rows += len(batch)
            result = await stores.commit_and_resolve(
                self._table,
                stores.Transaction(
                    stores.new_txn_id(),
                    tuple(check for item in batch for check in item.checks),
                    tuple(
                        stores.Write(item.row_key, item.value)
                        for item in batch
                    ),
                ),
                batch[0].row_key,
                self._clock,
                self._clock.now() + SETTLE_TIMEOUT_S,
            )
            if result.reason != 'conflict':
                self._resolve(batch, result)
                return
            batch = self._drop_conflicts(batch, result)

    def _drop_conflicts(self, batch, result) -> list[_PendingWrite]:
        conflicts = set(result.conflicts)
        failed = [
            item
            for item in batch
            if conflicts.intersection(check.key for check in item.checks)
        ]
        self._resolve(failed or batch, result)
        return [item for item in batch if failed and item not in failed]

    @staticmethod
    def _resolve(items, result) -> None:
        for item in items:
            if not item.result.done():
                item.result.set_result(result)

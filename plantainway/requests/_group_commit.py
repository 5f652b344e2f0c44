"""Commits of single rows, several in one transaction under load."""

import asyncio
import dataclasses

from plantainway import stores

BATCH_MAX = 64
SETTLE_S = 3.0


@dataclasses.dataclass(eq=False, slots=True)
class _Pending:
    row_key: str
    checks: tuple
    value: dict | None
    done: asyncio.Future


class GroupCommitter:
    """Gathers rows while a commit is on its way, and commits them together.

    A row whose check fails is left out and the others are tried again, so
    rows do not fail for one another. The first row of a batch proves its
    outcome: nobody else writes it while its writer waits.

    Args:
        table: Table service.
        clock: Source of monotonic time.
    """

    def __init__(self, table: stores.BaseTable, clock):
        self._table = table
        self._clock = clock
        self._pending: list[_Pending] = []
        self._running: asyncio.Task | None = None
        self.batches = 0
        self.rows = 0

    async def put(self, row_key: str, checks, value) -> stores.CommitResult:
        """Writes one row if its checks hold.

        Args:
            row_key: Key of the row.
            checks: Checks, one of the row itself among them.
            value: New value.

        Returns:
            The outcome for this row.
        """
        item = _Pending(
            row_key,
            tuple(checks),
            value,
            asyncio.get_running_loop().create_future(),
        )
        self._pending.append(item)
        if self._running is None:
            self._running = asyncio.ensure_future(self._run())
        return await item.done

    async def _run(self) -> None:
        try:
            while self._pending:
                await self._commit(self._take_batch())
        finally:
            self._running = None

    def _take_batch(self) -> list[_Pending]:
        """Takes rows with different keys, in order of arrival."""
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

    async def _commit(self, batch: list[_Pending]) -> None:
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
                self._clock.now() + SETTLE_S,
            )
            if result.reason != 'conflict':
                self._settle(batch, result)
                return
            batch = self._drop_conflicts(batch, result)

    def _drop_conflicts(self, batch, result) -> list[_Pending]:
        conflicts = set(result.conflicts)
        failed = [
            item
            for item in batch
            if conflicts.intersection(check.key for check in item.checks)
        ]
        self._settle(failed or batch, result)
        return [item for item in batch if failed and item not in failed]

    @staticmethod
    def _settle(items, result) -> None:
        for item in items:
            if not item.done.done():
                item.done.set_result(result)

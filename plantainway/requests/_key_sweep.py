"""Removes expired idempotency keys at a bounded rate."""

import asyncio

from plantainway import errors
from plantainway import logs
from plantainway import peers
from plantainway.requests import _keys
from plantainway import stores

EPOCH_S = 86400.0  # keys are kept for one to two epochs
PAGE_ROWS = 100  # rows removed in one transaction
PAGE_PERIOD_S = 1.0
IDLE_PERIOD_S = 30.0


class IdempotencyKeySweepTask:
    """Advances the epoch of idempotency keys and removes expired rows.

    Only the live node that ranks first for the task runs it. Two nodes that
    run it at once do no harm: every commit checks the rows it read, and an
    epoch is ended only after a node has seen its row unchanged for
    ``EPOCH_S``.

    ``removed_rows`` counts the rows in all removals tried, including those
    whose commit failed.

    Args:
        node: Name of the own node.
        parts: Shared parts of the node.
    """

    def __init__(self, node: str, parts):
        self._node = node
        self._parts = parts
        self._epoch_version = None
        self._epoch_ends_at = 0.0
        self.removed_rows = 0

    async def run(self) -> None:
        """Sweeps periodically until cancelled."""
        while True:
            pause_s = IDLE_PERIOD_S
            live = self._parts.book.live_reports()
            try:
                if peers.top_nodes(live, 'key-sweep', 1) == [self._node]:
                    if await self.sweep_once():
                        pause_s = PAGE_PERIOD_S
            except errors.StoreUnavailableError as exc:
                logs.event('key_sweep_failed', reason=exc.message)
            await asyncio.sleep(pause_s)

    async def sweep_once(self) -> bool:
        """Ends the epoch if it is due, and tries to remove one page of rows.

        The epoch is due once this node has seen its row unchanged for
        ``EPOCH_S``.

        Returns:
            Whether more expired rows may be left.

        Raises:
            StoreUnavailableError: If the table did not answer.
        """
        table = self._parts.table
        row = await table.read(_keys.EPOCH_ROW_KEY)
        epoch = row.value['epoch'] if row else 0
        version = row.version if row else stores.ABSENT
        now = self._parts.clock.now()
        if version != self._epoch_version:
            self._epoch_version = version
            self._epoch_ends_at = now + EPOCH_S
        elif now >= self._epoch_ends_at:
            await self._advance_epoch(epoch, version)
        return await self._remove_page(epoch)

    async def _advance_epoch(self, epoch: int, version: int) -> None:
        await self._parts.table.commit(
            stores.Transaction(
                stores.new_txn_id(),
                (stores.Check(_keys.EPOCH_ROW_KEY, version),),
                (stores.Write(_keys.EPOCH_ROW_KEY, {'epoch': epoch + 1}),),
            )
        )

    async def _remove_page(self, epoch: int) -> bool:
        table = self._parts.table
        rows = await table.scan(_keys.ROW_PREFIX, PAGE_ROWS)
        oldest_kept = _keys.epoch_prefix(epoch - 1)
        old = [row for row in rows if row.key < oldest_kept]
        if not old:
            return False
        await table.commit(
            stores.Transaction(
                stores.new_txn_id(),
                tuple(stores.Check(r.key, r.version) for r in old),
                tuple(stores.Write(r.key, None) for r in old),
            )
        )
        self.removed_rows += len(old)
        return len(old) == PAGE_ROWS

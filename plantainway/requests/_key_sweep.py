"""Removes idempotency keys that are old, at a bounded rate."""

import asyncio

from plantainway import errors
from plantainway import logs
from plantainway import peers
from plantainway.requests import _keys
from plantainway import stores

EPOCH_S = 86400.0  # keys are kept for one to two epochs
PAGE = 100  # rows removed in one transaction
PAGE_EVERY_S = 1.0
IDLE_EVERY_S = 30.0


class IdempotencyKeySweepTask:
    """Moves the epoch on, and removes rows of old ones.

    The node that ranks first does it. Two doing it at once is harmless:
    every commit checks what it read, and an epoch ends only after its row
    was seen unchanged for an epoch.

    Args:
        node: Name of the own node.
        parts: Shared parts of the node.
    """

    def __init__(self, node: str, parts):
        self._node = node
        self._parts = parts
        self._version = None
        self._ends_at = 0.0
        self.removed = 0

    async def run(self) -> None:
        """Sweeps until cancelled."""
        while True:
            pause_s = IDLE_EVERY_S
            live = self._parts.book.live_reports()
            try:
                if peers.top_nodes(live, 'key-sweep', 1) == [self._node]:
                    if await self.step():
                        pause_s = PAGE_EVERY_S
            except errors.StoreUnavailableError as exc:
                logs.event('key_sweep_failed', reason=exc.message)
            await asyncio.sleep(pause_s)

    async def step(self) -> bool:
        """Does one piece of work.

        Returns:
            Whether there may be more to remove at once.

        Raises:
            StoreUnavailableError: If the table gave no answer.
        """
        table = self._parts.table
        row = await table.read(_keys.EPOCH_KEY)
        epoch = row.value['epoch'] if row else 0
        version = row.version if row else stores.ABSENT
        now = self._parts.clock.now()
        if version != self._version:
            self._version = version
            self._ends_at = now + EPOCH_S
        elif now >= self._ends_at:
            await self._end_epoch(epoch, version)
        return await self._remove_page(epoch)

    async def _end_epoch(self, epoch: int, version: int) -> None:
        await self._parts.table.commit(
            stores.Transaction(
                stores.new_txn_id(),
                (stores.Check(_keys.EPOCH_KEY, version),),
                (stores.Write(_keys.EPOCH_KEY, {'epoch': epoch + 1}),),
            )
        )

    async def _remove_page(self, epoch: int) -> bool:
        table = self._parts.table
        rows = await table.scan(_keys.PREFIX, PAGE)
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
        self.removed += len(old)
        return len(old) == PAGE

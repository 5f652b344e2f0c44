"""Polling of the store's tables."""

import asyncio
import random

from plantainway import errors
from plantainway import logs

LEADER_LONG_POLL_S = 0.5  # longest wait of the leader's polls for changes
# A new leader's polls return at once for this long after the takeover.
TAKEOVER_SHORT_POLL_S = 1.0
LEADER_POLL_PAUSE_S = 0.1  # near-simultaneous changes arrive in one reading
# Without an update from the leader for this long, a node reads the store.
FOLLOWER_STALE_S = 1.3
FOLLOWER_POLL_PAUSE_S = 0.7  # changes take effect within 2 s
RETRY_PAUSE_S = 0.3  # times the failures in a row, up to RETRY_PAUSE_MAX_S
RETRY_PAUSE_MAX_S = 1.0


class TablePoller:
    """Keeps the cache of one table current.

    The leader polls the store all the time; the other nodes get the changes
    from the leader, and poll the store if its updates stop.

    Args:
        table: Cache of the table.
        feed: Platform's store.
        is_leader: Function that returns whether this node leads.
        clock: Source of monotonic time.
    """

    def __init__(self, table, feed, is_leader, clock):
        self._table = table
        self._feed = feed
        self._is_leader = is_leader
        self._clock = clock
        self._failures = 0
        self._was_leader = False
        self._long_poll_from = float('-inf')

    async def run(self) -> None:
        """Reads the table and then its changes until cancelled."""
        while True:
            try:
                await self._step()
                self._failures = 0
            except errors.StoreRestoredError as exc:
                await self._await_writers(exc)
            except errors.HistoryLostError:
                logs.event('history_lost', table=self._table.name)
                await self._read_all(handles_failure=True)
            except errors.StoreUnavailableError as exc:
                await self._handle_failure(exc)

    async def _await_writers(self, exc) -> None:
        """Waits until a restored table has been written again, and reads it.

        Until then its rows may be older than those known here.
        """
        wait_s = self._table.record_restore()
        logs.event(
            'table_restored',
            table=self._table.name,
            wait_s=wait_s,
            reason=exc.message,
        )
        await asyncio.sleep(wait_s)
        await self._read_all(handles_failure=True)

    async def _handle_failure(self, exc) -> None:
        self._failures += 1
        self._table.record_failure()
        if self._failures == 1:
            logs.event(
                'store_lost',
                table=self._table.name,
                reason=exc.message,
                step=exc.step,
                peer=exc.peer,
            )
        pause = min(RETRY_PAUSE_S * self._failures, RETRY_PAUSE_MAX_S)
        if self._is_leader():
            pause = RETRY_PAUSE_S  # all nodes wait for its reading
        await asyncio.sleep(pause * random.uniform(0.7, 1.3))

    async def _step(self) -> None:
        table = self._table
        table.remove_due_rows()
        self._was_leader = self._was_leader and self._is_leader()
        if not table.is_loaded:
            await self._read_all()
        elif self._is_leader():
            await self._poll(
                LEADER_LONG_POLL_S if self._may_long_poll() else 0.0
            )
            await asyncio.sleep(LEADER_POLL_PAUSE_S)
        elif table.age_s() > FOLLOWER_STALE_S:
            await self._poll(0.0)
            await asyncio.sleep(
                FOLLOWER_POLL_PAUSE_S * random.uniform(0.7, 1.0)
            )
        else:
            await asyncio.sleep(0.1)

    def _may_long_poll(self) -> bool:
        """Returns whether a poll may wait for changes, and tracks takeovers.

        The first polls of a new leader return at once, because it plans no
        groups until it has read the table during its own term.
        """
        if not self._was_leader:
            self._long_poll_from = self._clock.now() + TAKEOVER_SHORT_POLL_S
        self._was_leader = True
        return self._clock.now() >= self._long_poll_from

    async def _read_all(self, handles_failure: bool = False) -> None:
        """Reads and applies a snapshot of the table.

        With ``handles_failure`` a failure is counted and followed by a pause
        instead of being raised.
        """
        asked_at = self._clock.now()
        try:
            reading = await self._feed.snapshot(self._table.name)
        except errors.StoreUnavailableError as exc:
            if not handles_failure:
                raise
            await self._handle_failure(exc)
            return
        self._table.apply_snapshot(reading, asked_at)

    async def _poll(self, wait_s: float) -> None:
        asked_at = self._clock.now()
        reading = await self._feed.changes(
            self._table.name, self._table.version, wait_s
        )
        as_of = asked_at
        if not reading.rows and self._clock.now() - asked_at >= wait_s:
            as_of += wait_s  # no change in all that time
        self._table.apply_changes(reading, as_of)

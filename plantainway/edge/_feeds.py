"""Keeps the followed tables current, from the store or the leader."""

import asyncio
import random

from plantainway import errors
from plantainway import logs

LEADER_WAIT_S = 0.5  # the leader's polls end at least so often
TAKEOVER_S = 1.0  # a new leader polls without waiting for so long
LEADER_PAUSE_S = 0.1  # changes that come together are read together
STALE_S = 1.3  # without news from the leader, ask the store after so long
MEMBER_PAUSE_S = 0.7  # keeps changes in force within 2 s
RETRY_S = 0.3  # grows up to RETRY_MAX_S while the store is away
RETRY_MAX_S = 1.0


class FeedTask:
    """Follows one table.

    Args:
        follower: Follower of the table.
        feed: The platform's store.
        leads: Function that tells whether this node leads.
        clock: Source of monotonic time.
    """

    def __init__(self, follower, feed, leads, clock):
        self._follower = follower
        self._feed = feed
        self._leads = leads
        self._clock = clock
        self._failures = 0
        self._led = False
        self._waits_from = float('-inf')

    async def run(self) -> None:
        """Reads the table and then its changes, for ever."""
        while True:
            try:
                await self._step()
                self._failures = 0
            except errors.HistoryLostError:
                logs.event('history_lost', table=self._follower.table)
                await self._load(force=True)
            except errors.StoreUnavailableError as exc:
                await self._note_failure(exc)

    async def _note_failure(self, exc) -> None:
        self._failures += 1
        self._follower.note_failure()
        if self._failures == 1:
            logs.event(
                'store_lost',
                table=self._follower.table,
                reason=exc.message,
                step=exc.step,
                peer=exc.peer,
            )
        pause = min(RETRY_S * self._failures, RETRY_MAX_S)
        if self._leads():
            pause = RETRY_S  # one node asks, and all wait for its answer
        await asyncio.sleep(pause * random.uniform(0.7, 1.3))

    async def _step(self) -> None:
        follower = self._follower
        follower.expire()
        self._led = self._led and self._leads()
        if not follower.is_loaded:
            await self._load()
        elif self._leads():
            await self._poll(LEADER_WAIT_S if self._may_wait() else 0.0)
            await asyncio.sleep(LEADER_PAUSE_S)
        elif follower.age_s() > STALE_S:
            await self._poll(0.0)
            await asyncio.sleep(MEMBER_PAUSE_S * random.uniform(0.7, 1.0))
        else:
            await asyncio.sleep(0.1)

    def _may_wait(self) -> bool:
        """Tells whether a poll may wait for changes.

        A new leader plans nothing until it has seen the table of its own
        time.
        """
        if not self._led:
            self._waits_from = self._clock.now() + TAKEOVER_S
        self._led = True
        return self._clock.now() >= self._waits_from

    async def _load(self, force: bool = False) -> None:
        asked_at = self._clock.now()
        try:
            reading = await self._feed.snapshot(self._follower.table)
        except errors.StoreUnavailableError as exc:
            if not force:
                raise
            await self._note_failure(exc)
            return
        self._follower.load(reading, asked_at)

    async def _poll(self, wait_s: float) -> None:
        asked_at = self._clock.now()
        reading = await self._feed.changes(
            self._follower.table, self._follower.version, wait_s
        )
        as_of = asked_at
        if not reading.rows and self._clock.now() - asked_at >= wait_s:
            as_of += wait_s  # the store waited so long for changes in vain
        self._follower.apply(reading, as_of)

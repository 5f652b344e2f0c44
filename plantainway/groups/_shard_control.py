"""One shard of control work: its lease, held or observed."""

import asyncio

from plantainway import errors
from plantainway.groups import _lease
from plantainway.groups import _shard
from plantainway.groups import _sightings
from plantainway import logs
from plantainway import peers

CANDIDATES = 3  # nodes that observe a shard besides its holder
RANK_PATIENCE_S = 1.0  # further wait of each lower-ranked candidate
TICK_S = 0.25


class ShardController:
    """Holds or observes the lease of one shard.

    Args:
        shard: Name of the shard.
        node: Name of the own node.
        incarnation: Incarnation of the own node.
        parts: Shared parts of the node.
        owner: The control task.
    """

    def __init__(self, shard, node, incarnation, parts, owner):
        self.store = _shard.ShardStore(
            shard, node, incarnation, parts.table, parts.clock
        )
        self._shard = shard
        self._node = node
        self._parts = parts
        self._owner = owner
        self._renew_at = 0.0
        self._ready_at = 0.0

    async def run(self) -> None:
        """Takes steps until cancelled; a failed step is tried again."""
        while True:
            try:
                await self._step()
            except errors.PlantainwayError as exc:
                logs.event(
                    'control_failed',
                    'WARNING',
                    shard=self._shard,
                    code=exc.code,
                    step=exc.step,
                    reason=exc.message,
                )
                if isinstance(exc, errors.LeaseLostError):
                    self._owner.publish()
            await asyncio.sleep(TICK_S)

    def _rank(self) -> int | None:
        live = self._parts.book.live()
        names = [name for name, item in live.items() if not item.leaving]
        best = peers.top(names, f'shard/{self._shard}', CANDIDATES)
        return best.index(self._node) if self._node in best else None

    async def _step(self) -> None:
        now = self._parts.clock.now()
        if self.store.lease is not None:
            self.store.check()
            if now >= self._renew_at:
                await self.store.renew()
                self._renew_at = now + _lease.RENEW_EVERY_S
            if now >= self._ready_at:
                await self.work()
            return
        rank = self._rank()
        if rank is None:
            await asyncio.sleep(_lease.RENEW_EVERY_S / 2)
            return
        await self.store.observe()
        patience_s = rank * RANK_PATIENCE_S
        if self.store.observer.is_expired(self._parts.clock.now(), patience_s):
            await self._take()
        else:
            await asyncio.sleep(_lease.RENEW_EVERY_S / 4)

    async def _take(self) -> None:
        if not await self.store.take():
            return
        now = self._parts.clock.now()
        self._renew_at = now + _lease.RENEW_EVERY_S
        # Until sightings had time to arrive, an unseen VM means nothing.
        self._ready_at = now + _sightings.OBSERVATION_MAX_AGE_S
        self.taken()
        logs.event('lease_taken', shard=self._shard, token=self.store.token)
        self._owner.publish()

    def taken(self) -> None:
        """Called after the lease was taken."""

    async def work(self) -> None:
        """Does one round of work under the lease."""

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        return {
            'token': self.store.token,
            'copies': {
                name: {
                    'state': str(copy.state),
                    'token': copy.token,
                    'members': list(copy.vms),
                }
                for name, copy in self.store.copies.items()
            },
            'holds': {
                vm: 'releasing' if hold.releasing else hold.copy_id
                for vm, hold in self.store.holds.items()
            },
        }

"""Base of the controllers that run under the lease of a shard."""

import asyncio

from plantainway import errors
from plantainway.groups import _lease
from plantainway.groups import _shard
from plantainway.groups import _sightings
from plantainway import logs
from plantainway import peers

CANDIDATES = 3  # nodes that may acquire the lease of a shard
RANK_DELAY_S = 1.0  # added delay per rank before acquiring
STEP_PERIOD_S = 0.25


class ShardController:
    """Renews the lease of a shard and reconciles, or observes the lease.

    Args:
        shard: Name of the shard.
        node: Name of the own node.
        incarnation: Incarnation of the own node.
        parts: Components shared by the tasks of the node.
        control_task: Control task that owns the controller.
    """

    def __init__(self, shard, node, incarnation, parts, control_task):
        self.store = _shard.ShardStore(
            shard, node, incarnation, parts.table, parts.clock
        )
        self._shard = shard
        self._node = node
        self._parts = parts
        self._control_task = control_task
        self._renew_at = 0.0
        self._reconcile_from = 0.0

    async def run(self) -> None:
        """Runs until cancelled; failed steps are logged and repeated."""
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
                    self._control_task.publish_copies()
            await asyncio.sleep(STEP_PERIOD_S)

    def _candidate_rank(self) -> int | None:
        live = self._parts.book.live_reports()
        names = [name for name, item in live.items() if not item.leaving]
        best = peers.top_nodes(names, f'shard/{self._shard}', CANDIDATES)
        return best.index(self._node) if self._node in best else None

    async def _step(self) -> None:
        now = self._parts.clock.now()
        if self.store.lease is not None:
            self.store.ensure_held()
            if now >= self._renew_at:
                await self.store.renew()
                self._renew_at = now + _lease.RENEW_PERIOD_S
            if now >= self._reconcile_from:
                await self.reconcile()
            return
        rank = self._candidate_rank()
        if rank is None:
            await asyncio.sleep(_lease.RENEW_PERIOD_S / 2)
            return
        await self.store.observe()
        delay_s = rank * RANK_DELAY_S
        if self.store.observer.is_expired(self._parts.clock.now(), delay_s):
            await self._acquire()
        else:
            await asyncio.sleep(_lease.RENEW_PERIOD_S / 4)

    async def _acquire(self) -> None:
        if not await self.store.acquire():
            return
        now = self._parts.clock.now()
        self._renew_at = now + _lease.RENEW_PERIOD_S
        # A VM counts as lost only once observations had time to arrive.
        self._reconcile_from = now + _sightings.OBSERVATION_MAX_AGE_S
        self.on_acquired()
        logs.event('lease_taken', shard=self._shard, token=self.store.token)
        self._control_task.publish_copies()

    def on_acquired(self) -> None:
        """Resets state of earlier leases; called after acquiring the lease."""

    async def reconcile(self) -> None:
        """Runs one control step; called repeatedly while holding the lease."""

    def dump(self) -> dict:
        """Returns token, copies and VM rows for the state dump."""
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

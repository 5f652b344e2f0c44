"""Control of replica groups, shard by shard, under leases."""

import asyncio

from plantainway import bus
from plantainway.groups import _allot_control
from plantainway.groups import _copies
from plantainway.groups import _domain_control
from plantainway.groups import _returns
from plantainway.groups import _shard_control

ALLOT_SHARD = 'allotment'


class ControlTask:
    """Runs one controller for each shard that this node may hold.

    Args:
        node: Name of the own node.
        incarnation: Incarnation of the own node.
        parts: Shared parts of the node.
    """

    def __init__(self, node: str, incarnation: int, parts):
        self._node = node
        self._incarnation = incarnation
        self._parts = parts
        self._inbox = parts.bus.subscribe(bus.RevisionInForce, bus.VmListRead)
        self._controllers: dict[str, _shard_control.ShardController] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self.revision = None
        self.vm_list = {}
        self.returns = _returns.AbsenceModel()
        self.stopping = False

    async def run(self) -> None:
        """Keeps the controllers going until cancelled."""
        try:
            while True:
                message = await self._inbox.get()
                if isinstance(message, bus.VmListRead):
                    self.vm_list = message.entries
                else:
                    self.revision = message.revision
                    self._start_controllers()
        finally:
            for task in self._tasks.values():
                task.cancel()

    def _start_controllers(self) -> None:
        shards = set(self.revision.objects.of_kind('fabric_domain'))
        shards.add(ALLOT_SHARD)
        for shard in shards - set(self._controllers):
            kind = (
                _allot_control.AllotmentController
                if shard == ALLOT_SHARD
                else _domain_control.DomainController
            )
            controller = kind(
                shard, self._node, self._incarnation, self._parts, self
            )
            self._controllers[shard] = controller
            self._tasks[shard] = asyncio.create_task(controller.run())

    def publish(self) -> None:
        """Tells the other nodes which copies this node controls."""
        copies = {}
        shards = {}
        for shard, controller in self._controllers.items():
            if controller.store.lease is None:
                continue
            shards[shard] = controller.store.token
            for copy in controller.store.copies.values():
                copies[copy.copy_id] = _copies.copy_view(copy)
        self._parts.bus.publish(bus.CopiesChanged(copies, shards))

    async def stop(self) -> None:
        """Hands every shard back."""
        self.stopping = True
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        await asyncio.gather(
            *(c.store.hand_back() for c in self._controllers.values())
        )

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        return {
            shard: controller.dump()
            for shard, controller in self._controllers.items()
            if controller.store.lease is not None
        }

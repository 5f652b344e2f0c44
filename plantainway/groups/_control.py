"""Control of replica groups: one controller per shard, under a lease."""

import asyncio

from plantainway import bus
from plantainway.groups import _allot_control
from plantainway.groups import _copies
from plantainway.groups import _domain_control
from plantainway.groups import _returns
from plantainway.groups import _shard_control

ALLOT_SHARD = 'allotment'


class ControlTask:
    """Runs one controller for each shard.

    A shard is a fabric domain, or the allotment of copies to domains.

    Args:
        node: Name of the own node.
        incarnation: Incarnation of the own node.
        parts: Components shared by the tasks of the node.
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
        self.absences = _returns.AbsenceModel()
        self.stopping = False

    async def run(self) -> None:
        """Starts a controller for each declared shard until cancelled.

        A controller runs until this task is cancelled or stopped, even if its
        shard is no longer declared.
        """
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
            controller_class = (
                _allot_control.AllotmentController
                if shard == ALLOT_SHARD
                else _domain_control.DomainController
            )
            controller = controller_class(
                shard, self._node, self._incarnation, self._parts, self
            )
            self._controllers[shard] = controller
            self._tasks[shard] = asyncio.create_task(controller.run())

    def publish_copies(self) -> None:
        """Publishes the copies and shards that this node controls.

        Call it after a lease or a copy has changed.
        """
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
        """Stops all controllers and releases their leases."""
        self.stopping = True
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        await asyncio.gather(
            *(c.store.release_lease() for c in self._controllers.values())
        )

    def dump(self) -> dict:
        """Returns the held shards, by name, for the state dump."""
        return {
            shard: controller.dump()
            for shard, controller in self._controllers.items()
            if controller.store.lease is not None
        }

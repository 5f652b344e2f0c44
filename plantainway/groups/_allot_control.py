"""Control of how many copies each fabric domain gets."""

import collections

from plantainway.groups import _allotment
from plantainway.groups import _shard_control
from plantainway import logs

ALLOT_EVERY_S = 1.0
MOVE_AFTER_S = 120.0  # a copy down for longer may be formed elsewhere


class AllotmentController(_shard_control.ShardController):
    """Spreads the declared copies over the fabric domains."""

    def __init__(self, shard, node, incarnation, parts, owner):
        super().__init__(shard, node, incarnation, parts, owner)
        self._next_at = 0.0
        self._written = None
        self._down_since: dict[str, float] = {}

    def taken(self) -> None:
        """Forgets what was written under an earlier lease."""
        self._written = None
        self._down_since.clear()

    async def work(self) -> None:
        """Writes the allotment when it differs from the last one."""
        now = self._parts.clock.now()
        revision = self._owner.revision
        if now < self._next_at or revision is None:
            return
        self._next_at = now + ALLOT_EVERY_S
        wanted = _allotment.allot(
            revision.objects.of('replica_group').values(),
            self._rooms(revision.objects),
            self._standing(),
        )
        if wanted != self._written:
            await self.store.write_allotment(wanted)
            self._written = wanted
            logs.event('allotted', domains=len(wanted))

    def _rooms(self, objects) -> list:
        """Counts the VMs that are up and in no copy, by domain."""
        taken = {
            vm
            for _shard, copy in self._parts.copies.iter_with_shard()
            for vm, _boot in copy.members
        }
        rooms = collections.Counter(
            {name: 0 for name in objects.of('fabric_domain')}
        )
        for name, item in objects.of('upstream').items():
            entry = self._owner.vm_list.get(name)
            if item.type != 'runner' or entry is None or entry.leaving:
                continue
            observation = self._parts.vm_observations.current(name)
            if name in taken or observation is None or not observation.seen.ok:
                continue
            if not observation.seen.leaving:
                rooms[item.fabric_domain] += 1
        return [
            _allotment.DomainRoom(domain, vms)
            for domain, vms in sorted(rooms.items())
        ]

    def _standing(self) -> list:
        """Lists the copies, and since when each has been down."""
        now = self._parts.clock.now()
        found = []
        for shard, copy in self._parts.copies.iter_with_shard():
            lost = any(
                observation is not None and not observation.seen.ok
                for observation in (
                    self._parts.vm_observations.current(vm)
                    for vm, _boot in copy.members
                )
            )
            if lost:
                self._down_since.setdefault(copy.copy_id, now)
            else:
                self._down_since.pop(copy.copy_id, None)
            since = self._down_since.get(copy.copy_id, now)
            found.append(
                _allotment.Standing(
                    shard, copy.group, now - since >= MOVE_AFTER_S
                )
            )
        return found

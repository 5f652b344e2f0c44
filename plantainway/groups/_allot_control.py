"""Controller that distributes copies over the fabric domains."""

import collections

from plantainway.groups import _allotment
from plantainway.groups import _shard_control
from plantainway import logs

ALLOT_PERIOD_S = 1.0
MOVE_COPY_AFTER_S = 120.0  # a copy down for longer may move to another domain


class AllotmentController(_shard_control.ShardController):
    """Computes and writes the number of copies of each fabric domain."""

    def __init__(self, shard, node, incarnation, parts, control_task):
        super().__init__(shard, node, incarnation, parts, control_task)
        self._next_allot_at = 0.0
        self._written_allotment = None
        self._down_since: dict[str, float] = {}

    def on_acquired(self) -> None:
        """Clears state of an earlier lease, so the allotment is rewritten."""
        self._written_allotment = None
        self._down_since.clear()

    async def reconcile(self) -> None:
        """Recomputes the allotment and writes it if it has changed.

        Runs at most once every ``ALLOT_PERIOD_S``.
        """
        now = self._parts.clock.now()
        revision = self._control_task.revision
        if now < self._next_allot_at or revision is None:
            return
        self._next_allot_at = now + ALLOT_PERIOD_S
        allotments = _allotment.allot_copies(
            revision.objects.of_kind('replica_group').values(),
            self._capacities(revision.objects),
            self._placed_copies(),
        )
        if allotments != self._written_allotment:
            await self.store.write_allotment(allotments)
            self._written_allotment = allotments
            logs.event('allotment_written', domains=len(allotments))

    def _capacities(self, objects) -> list:
        """Returns how many VMs of each domain are up and in no copy."""
        claimed = {
            vm
            for _shard, copy in self._parts.copies.iter_with_shard()
            for vm, _boot in copy.members
        }
        free_vms = collections.Counter(
            {name: 0 for name in objects.of_kind('fabric_domain')}
        )
        for name, item in objects.of_kind('upstream').items():
            entry = self._control_task.vm_list.get(name)
            if item.type != 'runner' or entry is None or entry.leaving:
                continue
            observation = self._parts.vm_observations.current(name)
            if (
                name in claimed
                or observation is None
                or not observation.seen.ok
            ):
                continue
            if not observation.seen.leaving:
                free_vms[item.fabric_domain] += 1
        return [
            _allotment.DomainCapacity(domain, vms)
            for domain, vms in sorted(free_vms.items())
        ]

    def _placed_copies(self) -> list:
        """Returns all copies with their domains.

        A copy is movable once it has been down for ``MOVE_COPY_AFTER_S``.
        """
        now = self._parts.clock.now()
        placed = []
        for shard, copy in self._parts.copies.iter_with_shard():
            is_down = any(
                observation is not None and not observation.seen.ok
                for observation in (
                    self._parts.vm_observations.current(vm)
                    for vm, _boot in copy.members
                )
            )
            if is_down:
                self._down_since.setdefault(copy.copy_id, now)
            else:
                self._down_since.pop(copy.copy_id, None)
            down_since = self._down_since.get(copy.copy_id, now)
            placed.append(
                _allotment.PlacedCopy(
                    shard, copy.group, now - down_since >= MOVE_COPY_AFTER_S
                )
            )
        return placed

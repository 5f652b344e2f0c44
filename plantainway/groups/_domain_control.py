"""Controller of the copies in one fabric domain."""

from plantainway import errors
from plantainway.groups import _allotment
from plantainway.groups import _orders
from plantainway.groups import _planner
from plantainway.groups import _policy
from plantainway.groups import _shard_control
from plantainway.groups import _state
from plantainway import logs
from plantainway import stores
from plantainway import upstreams

ALLOT_PERIOD_S = 1.0
ORDER_RESEND_S = 1.0
ORDER_MAX_IN_FLIGHT_S = 10.0  # longest time between sending and execution
DEFAULT_LOAD_S = 60.0
EXPECTED_JOIN_S = 30.0
EXPECTED_DRAIN_S = 45.0


class DomainController(_shard_control.ShardController):
    """Forms, repairs, drains and dissolves copies in one fabric domain."""

    def __init__(self, shard, node, incarnation, parts, control_task):
        super().__init__(shard, node, incarnation, parts, control_task)
        self._lost_since: dict[str, float] = {}
        self._announced_leaving: set[str] = set()
        self._exposure_counted_until = 0.0
        self._old_orders_expire_at: dict[str, float] = {}
        self._resend_at: dict[tuple, float] = {}
        self._weights: dict[str, stores.WeightInfo] = {}
        self._allotment = _allotment.Allotment({}, {})
        self._next_allotment_read_at = 0.0

    def on_acquired(self) -> None:
        """Resets the loss times and lets orders of earlier holders expire.

        An earlier holder may have sent an order just before it lost the
        lease, so releasing VMs count as safe only after
        ``ORDER_MAX_IN_FLIGHT_S``.
        """
        self._exposure_counted_until = 0.0
        self._lost_since.clear()
        expire_at = self._parts.clock.now() + ORDER_MAX_IN_FLIGHT_S
        self._old_orders_expire_at = {
            vm: expire_at
            for vm, hold in self.store.holds.items()
            if hold.releasing
        }

    async def reconcile(self) -> None:
        """Plans, commits the actions and starts sending the due orders.

        Before that, it reads the allotment if that is due, adds and deletes
        VM rows as declared, and updates the loss times of the VMs and the
        absence model.
        """
        revision = self._control_task.revision
        if revision is None:
            return
        await self._sync_rows(revision.objects)
        policy = _policy.PlannerPolicy(self._control_task.absences)
        planned = _planner.plan(self._view(revision.objects), policy)
        for action in planned.actions:
            await self._apply(action)
        if planned.actions:
            self._control_task.publish_copies()
        orders = _orders.orders_due(self._view(revision.objects))
        orders += [
            _state.Order('prefetch', item.vm, '', 0, prefetch=item)
            for item in planned.prefetches
        ]
        self._send_orders(orders)

    async def _sync_rows(self, objects) -> None:
        """Reads the allotment, and adds and deletes VM rows as declared."""
        now = self._parts.clock.now()
        if self._exposure_counted_until:
            self._control_task.absences.add_exposure(
                len(self.store.holds) * (now - self._exposure_counted_until)
            )
        self._exposure_counted_until = now
        if now >= self._next_allotment_read_at:
            self._allotment = await self.store.read_allotment()
            self._next_allotment_read_at = now + ALLOT_PERIOD_S
        declared = {
            name
            for name, item in objects.of_kind('upstream').items()
            if item.type == 'runner' and item.fabric_domain == self._shard
        }
        for vm in sorted(declared - set(self.store.holds)):
            await self.store.add_vm(vm)
        for vm in sorted(set(self.store.holds) - declared):
            if self.store.holds[vm].is_free:
                await self.store.delete_vm(vm)
        for version in objects.of_kind('model_version').values():
            if version.weights not in self._weights:
                await self._read_weight_info(version.weights)

    async def _read_weight_info(self, weights: str) -> None:
        """Reads size and rates of weights from the weight store, once.

        Copies can be formed without them: after a failure the default
        load time is used.
        """
        try:
            info = await self._parts.weight_store.describe(weights)
        except errors.PlantainwayError as exc:
            logs.event(
                'weights_describe_failed', weights=weights, reason=exc.message
            )
            info = stores.WeightInfo(weights, 0, 1, 1)
        self._weights[weights] = info

    def _view(self, objects) -> _state.ShardView:
        """Returns the state to plan with; updates the loss times."""
        vms = set(self.store.holds)
        return _state.ShardView(
            self._shard,
            dict(self.store.copies),
            dict(self.store.holds),
            self._specs(objects),
            {vm: self._facts(vm, objects) for vm in vms},
            self._parts.clock.now(),
        )

    def _specs(self, objects) -> dict:
        specs = {}
        extra = self._allotment.extra
        for name in set(self._allotment.copies) | set(extra):
            count = self._allotment.copies.get(name, 0)
            group = objects.get('replica_group', name)
            if group is None:
                continue
            version = objects.get('model_version', group.model_version)
            info = self._weights[version.weights]
            reader_rate = max(info.reader_bytes_per_second, 1)
            load_s = info.size_bytes / group.vms_per_copy / reader_rate
            specs[name] = _state.GroupSpec(
                name,
                group.model_version,
                version.weights,
                tuple(group.adapters),
                count,
                group.vms_per_copy,
                group.downtime_weight,
                group.stranded_weight,
                group.value,
                load_s or DEFAULT_LOAD_S,
                extra.get(name, 0),
                EXPECTED_JOIN_S,
                EXPECTED_DRAIN_S,
                info.rate_bytes_per_second // reader_rate,
            )
        return specs

    def _facts(self, vm: str, objects) -> _state.VmFacts:
        """Returns what is known about a VM.

        Also notes when the VM was lost, adds its absence to the absence model
        when it is back, and notes whether its leaving was announced.
        """
        now = self._parts.clock.now()
        item = objects.get('upstream', vm)
        entry = self._control_task.vm_list.get(vm)
        observation = self._parts.vm_observations.current(vm)
        if observation is not None and not observation.seen.ok:
            self._lost_since.setdefault(vm, now)
        elif observation is not None and vm in self._lost_since:
            self._record_return(
                vm, now - self._lost_since.pop(vm), observation
            )
        leaving = entry is not None and entry.leaving
        if leaving:
            self._announced_leaving.add(vm)
        elif observation is not None and observation.seen.ok:
            self._announced_leaving.discard(vm)
        return _state.VmFacts(
            vm,
            item.address if item else '',
            entry is not None and item is not None,
            leaving,
            item is not None and item.checks_fencing,
            observation,
            self._lost_since.get(vm),
            self._old_orders_expire_at.get(vm, 0.0),
        )

    def _record_return(self, vm: str, away_s: float, observation) -> None:
        """Adds the absence of a member to the absence model.

        Announced absences, and those of VMs without a recorded boot, are
        left out. A return with a new boot counts as an infinite absence.
        """
        hold = self.store.holds[vm]
        if not hold.boot or vm in self._announced_leaving:
            return
        same_boot = observation.seen.boot == hold.boot
        self._control_task.absences.add_absence(
            away_s if same_boot else float('inf')
        )

    async def _apply(self, action) -> None:
        claimed_before = {
            vm: hold.token
            for vm, hold in self.store.holds.items()
            if hold.copy_id
        }
        try:
            await self.store.apply(action)
        except errors.ConflictError as exc:
            logs.event(
                'claim_conflict',
                'WARNING',
                shard=self._shard,
                objects=','.join(exc.objects),
            )
            return
        expire_at = self._parts.clock.now() + ORDER_MAX_IN_FLIGHT_S
        for vm in claimed_before:
            if self.store.holds[vm].releasing:
                self._old_orders_expire_at[vm] = expire_at
        copy = getattr(action, 'copy', None)
        logs.event(
            'group_' + type(action).__name__.lower(),
            shard=self._shard,
            copy=copy.copy_id if copy else '',
            vm=getattr(action, 'vm', ''),
            reason=getattr(action, 'reason', ''),
            token=self.store.token,
        )

    def _send_orders(self, orders) -> None:
        now = self._parts.clock.now()
        due = []
        for order in orders:
            key = (order.name, order.vm, order.copy_id, order.token)
            if order.prefetch is not None:
                key += (order.prefetch.spec.weights, order.prefetch.rank)
            if self._resend_at.get(key, 0.0) <= now:
                self._resend_at[key] = now + ORDER_RESEND_S
                due.append(order)
        if len(self._resend_at) > 4 * len(self.store.holds) + len(due):
            self._resend_at = {
                key: at for key, at in self._resend_at.items() if at > now
            }
        for order in due:
            # Not awaited: a slow engine must not delay the lease renewal.
            self._parts.spawn(self._send(order))

    async def _send(self, order) -> None:
        revision = self._control_task.revision
        item = revision.objects.get('upstream', order.vm)
        if item is None or not self.store.is_held:
            return
        engine = self._parts.engines(order.vm, item.address)
        try:
            if order.name == 'load':
                await engine.load(self._load_order(order, revision.objects))
            elif order.name == 'prefetch':
                spec = order.prefetch.spec
                rank = order.prefetch.rank
                await engine.prefetch(
                    upstreams.PrefetchOrder(
                        spec.weights,
                        rank,
                        spec.vms_per_copy,
                        spec.warm_label(rank),
                    )
                )
            elif order.name == 'unload':
                await engine.unload(order.copy_id, order.token)
            else:
                await engine.drain(order.copy_id, order.token)
        except errors.UpstreamError as exc:
            logs.event(
                'order_failed',
                'WARNING',
                order=order.name,
                vm=order.vm,
                copy=order.copy_id,
                token=order.token,
                code=exc.code,
                reason=exc.message,
            )

    def _load_order(self, order, objects) -> upstreams.LoadOrder:
        copy = order.copy
        group = objects.get('replica_group', copy.group)
        version = objects.get('model_version', copy.version)
        members = tuple(
            (member.vm, objects.get('upstream', member.vm).address)
            for member in copy.members
        )
        return upstreams.LoadOrder(
            copy.copy_id,
            copy.token,
            copy.vms.index(order.vm),
            members,
            copy.version,
            version.weights if version else '',
            tuple(group.adapters) if group else (),
            _state.warm_label(
                version.weights if version else '',
                copy.vms.index(order.vm),
                len(copy.members),
            ),
        )

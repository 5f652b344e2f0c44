"""Control of the copies in one fabric domain."""

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

ALLOT_EVERY_S = 1.0
ORDER_REPEAT_S = 1.0
ORDER_FLIGHT_S = 10.0  # longest time an order can still be on its way
LOAD_GUESS_S = 60.0
JOIN_GUESS_S = 30.0
DRAIN_GUESS_S = 45.0


class DomainController(_shard_control.ShardController):
    """Forms, repairs, drains and dissolves copies in one fabric domain."""

    def __init__(self, shard, node, incarnation, parts, owner):
        super().__init__(shard, node, incarnation, parts, owner)
        self._lost_since: dict[str, float] = {}
        self._was_leaving: set[str] = set()
        self._watched_until = 0.0
        self._clear_at: dict[str, float] = {}
        self._order_at: dict[tuple, float] = {}
        self._weights: dict[str, stores.WeightInfo] = {}
        self._allotted = _allotment.Allotment({}, {})
        self._allot_at = 0.0

    def taken(self) -> None:
        """Waits out orders that an earlier holder may have sent."""
        self._watched_until = 0.0
        self._lost_since.clear()
        clear_at = self._parts.clock.now() + ORDER_FLIGHT_S
        self._clear_at = {
            vm: clear_at
            for vm, hold in self.store.holds.items()
            if hold.releasing
        }

    async def work(self) -> None:
        """Plans, commits the actions and sends the orders."""
        revision = self._owner.revision
        if revision is None:
            return
        await self._sync(revision.objects)
        policy = _policy.PlannerPolicy(self._owner.returns)
        found = _planner.plan(self._view(revision.objects), policy)
        for action in found.actions:
            await self._apply(action)
        if found.actions:
            self._owner.publish()
        orders = _orders.orders_due(self._view(revision.objects))
        orders += [
            _state.Order('prefetch', item.vm, '', 0, prefetch=item)
            for item in found.prefetches
        ]
        self._send_orders(orders)

    async def _sync(self, objects) -> None:
        """Brings allotment and VM rows up to date."""
        now = self._parts.clock.now()
        if self._watched_until:
            self._owner.returns.add_exposure(
                len(self.store.holds) * (now - self._watched_until)
            )
        self._watched_until = now
        if now >= self._allot_at:
            self._allotted = await self.store.allotted()
            self._allot_at = now + ALLOT_EVERY_S
        declared = {
            name
            for name, item in objects.of('upstream').items()
            if item.type == 'runner' and item.fabric_domain == self._shard
        }
        for vm in sorted(declared - set(self.store.holds)):
            await self.store.add_vm(vm)
        for vm in sorted(set(self.store.holds) - declared):
            if self.store.holds[vm].free:
                await self.store.drop_vm(vm)
        for version in objects.of('model_version').values():
            if version.weights not in self._weights:
                await self._describe(version.weights)

    async def _describe(self, weights: str) -> None:
        """Asks the weight store once; it is not needed to form copies."""
        try:
            info = await self._parts.weight_store.describe(weights)
        except errors.PlantainwayError as exc:
            logs.event('weights_unknown', weights=weights, reason=exc.message)
            info = stores.WeightInfo(weights, 0, 1, 1)
        self._weights[weights] = info

    def _view(self, objects) -> _state.ShardView:
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
        extra = self._allotted.extra
        for name in set(self._allotted.copies) | set(extra):
            count = self._allotted.copies.get(name, 0)
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
                load_s or LOAD_GUESS_S,
                extra.get(name, 0),
                JOIN_GUESS_S,
                DRAIN_GUESS_S,
                info.rate_bytes_per_second // reader_rate,
            )
        return specs

    def _facts(self, vm: str, objects) -> _state.VmFacts:
        now = self._parts.clock.now()
        item = objects.get('upstream', vm)
        entry = self._owner.vm_list.get(vm)
        observation = self._parts.vm_observations.current(vm)
        if observation is not None and not observation.seen.ok:
            self._lost_since.setdefault(vm, now)
        elif observation is not None and vm in self._lost_since:
            self._note_return(vm, now - self._lost_since.pop(vm), observation)
        leaving = entry is not None and entry.leaving
        if leaving:
            self._was_leaving.add(vm)
        elif observation is not None and observation.seen.ok:
            self._was_leaving.discard(vm)
        return _state.VmFacts(
            vm,
            item.address if item else '',
            entry is not None and item is not None,
            leaving,
            item is not None and item.checks_fencing,
            observation,
            self._lost_since.get(vm),
            self._clear_at.get(vm, 0.0),
        )

    def _note_return(self, vm: str, away_s: float, observation) -> None:
        """Learns from an absence of a member that was not planned."""
        hold = self.store.holds[vm]
        if not hold.boot or vm in self._was_leaving:
            return
        same = observation.seen.boot == hold.boot
        self._owner.returns.add_absence(away_s if same else float('inf'))

    async def _apply(self, action) -> None:
        held = {
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
        clear_at = self._parts.clock.now() + ORDER_FLIGHT_S
        for vm in held:
            if self.store.holds[vm].releasing:
                self._clear_at[vm] = clear_at
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
            ident = (order.name, order.vm, order.copy_id, order.token)
            if order.prefetch is not None:
                ident += (order.prefetch.spec.weights, order.prefetch.rank)
            if self._order_at.get(ident, 0.0) <= now:
                self._order_at[ident] = now + ORDER_REPEAT_S
                due.append(order)
        if len(self._order_at) > 4 * len(self.store.holds) + len(due):
            self._order_at = {
                ident: at for ident, at in self._order_at.items() if at > now
            }
        for order in due:
            # Not awaited: a slow engine must not hold up the lease.
            self._parts.spawn(self._send(order))

    async def _send(self, order) -> None:
        revision = self._owner.revision
        item = revision.objects.get('upstream', order.vm)
        if item is None or not self.store.held:
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

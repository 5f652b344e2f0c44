"""Control of replica groups, shard by shard, under leases."""

import asyncio
import collections
import dataclasses

from plantainway import bus
from plantainway import errors
from plantainway.groups import _allotment
from plantainway.groups import _lease
from plantainway.groups import _orders
from plantainway.groups import _planner
from plantainway.groups import _policy
from plantainway.groups import _returns
from plantainway.groups import _shard
from plantainway.groups import _sightings
from plantainway.groups import _state
from plantainway import logs
from plantainway import peers
from plantainway import platform
from plantainway import upstreams
from plantainway import wire

ALLOT_SHARD = 'allotment'
CANDIDATES = 3  # nodes that observe a shard besides its holder
RANK_PATIENCE_S = 1.0  # further wait of each lower-ranked candidate
TICK_S = 0.25
ALLOT_EVERY_S = 1.0
MOVE_AFTER_S = 120.0  # a copy down for longer may be formed elsewhere
ORDER_REPEAT_S = 1.0
ORDER_FLIGHT_S = 10.0  # longest time an order can still be on its way
LOAD_GUESS_S = 60.0
JOIN_GUESS_S = 30.0
DRAIN_GUESS_S = 45.0


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
        self._controllers: dict[str, ShardController] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self.revision = None
        self.vm_list = {}
        self.returns = _returns.ReturnModel()
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
        shards = set(self.revision.objects.of('fabric_domain'))
        shards.add(ALLOT_SHARD)
        for shard in shards - set(self._controllers):
            kind = (
                AllotmentController
                if shard == ALLOT_SHARD
                else DomainController
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
                copies[copy.copy_id] = copy_view(copy)
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


def copy_view(copy: _state.Copy) -> wire.CopyView:
    """Returns a copy as it is sent to other nodes.

    Args:
        copy: The copy.
    """
    return wire.CopyView(
        copy.copy_id,
        copy.group,
        copy.version,
        copy.token,
        str(copy.state),
        [[member.vm, member.boot] for member in copy.members],
        copy.row_version,
    )


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
        if self.store.observer.lapsed(self._parts.clock.now(), patience_s):
            await self._take()
        else:
            await asyncio.sleep(_lease.RENEW_EVERY_S / 4)

    async def _take(self) -> None:
        if not await self.store.take():
            return
        now = self._parts.clock.now()
        self._renew_at = now + _lease.RENEW_EVERY_S
        # Until sightings had time to arrive, an unseen VM means nothing.
        self._ready_at = now + _sightings.SIGHTING_TERM_S
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


class AllotmentController(ShardController):
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
            for _shard, copy in self._parts.copies.all()
            for vm, _boot in copy.members
        }
        rooms = collections.Counter(
            {name: 0 for name in objects.of('fabric_domain')}
        )
        for name, item in objects.of('upstream').items():
            entry = self._owner.vm_list.get(name)
            if item.type != 'runner' or entry is None or entry.leaving:
                continue
            sighting = self._parts.board.sighting(name)
            if name in taken or sighting is None or not sighting.seen.ok:
                continue
            if not sighting.seen.leaving:
                rooms[item.fabric_domain] += 1
        return [
            _allotment.DomainRoom(domain, vms)
            for domain, vms in sorted(rooms.items())
        ]

    def _standing(self) -> list:
        """Lists the copies, and since when each has been down."""
        now = self._parts.clock.now()
        found = []
        for shard, copy in self._parts.copies.all():
            lost = any(
                sighting is not None and not sighting.seen.ok
                for sighting in (
                    self._parts.board.sighting(vm)
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


class DomainController(ShardController):
    """Forms, repairs, drains and dissolves copies in one fabric domain."""

    def __init__(self, shard, node, incarnation, parts, owner):
        super().__init__(shard, node, incarnation, parts, owner)
        self._lost_since: dict[str, float] = {}
        self._was_leaving: set[str] = set()
        self._watched_until = 0.0
        self._clear_at: dict[str, float] = {}
        self._order_at: dict[tuple, float] = {}
        self._weights: dict[str, platform.WeightInfo] = {}
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
            self._owner.returns.watched(
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
            info = platform.WeightInfo(weights, 0, 1, 1)
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
        sighting = self._parts.board.sighting(vm)
        if sighting is not None and not sighting.seen.ok:
            self._lost_since.setdefault(vm, now)
        elif sighting is not None and vm in self._lost_since:
            self._note_return(vm, now - self._lost_since.pop(vm), sighting)
        leaving = entry is not None and entry.leaving
        if leaving:
            self._was_leaving.add(vm)
        elif sighting is not None and sighting.seen.ok:
            self._was_leaving.discard(vm)
        return _state.VmFacts(
            vm,
            item.address if item else '',
            entry is not None and item is not None,
            leaving,
            item is not None and item.checks_fencing,
            sighting,
            self._lost_since.get(vm),
            self._clear_at.get(vm, 0.0),
        )

    def _note_return(self, vm: str, away_s: float, sighting) -> None:
        """Learns from an absence of a member that was not planned."""
        hold = self.store.holds[vm]
        if not hold.boot or vm in self._was_leaving:
            return
        same = sighting.seen.boot == hold.boot
        self._owner.returns.add(away_s if same else float('inf'))

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


@dataclasses.dataclass(slots=True)
class _ShardCopies:
    token: int
    node: str
    copies: dict


class CopyDirectory:
    """Copies of all shards, each from the newest holder of its lease."""

    def __init__(self):
        self._shards: dict[str, _ShardCopies] = {}

    def add_report(self, report: wire.Report) -> None:
        """Takes in the copies that a node controls.

        Args:
            report: Its newest report.
        """
        for shard, token in report.shards.items():
            held = self._shards.get(shard)
            if held is None or token >= held.token:
                prefix = f'{shard}-c'
                self._shards[shard] = _ShardCopies(
                    token,
                    report.node,
                    {
                        name: copy
                        for name, copy in report.copies.items()
                        if name.startswith(prefix)
                        and name[len(prefix) :].isdigit()
                    },
                )

    def all(self):
        """Yields ``(shard, copy)`` pairs."""
        for shard, held in self._shards.items():
            for copy in held.copies.values():
                yield shard, copy

    def get(self, copy_id: str) -> wire.CopyView | None:
        """Returns one copy.

        Args:
            copy_id: Name of the copy.
        """
        held = self._shards.get(copy_id.rpartition('-c')[0])
        return held.copies.get(copy_id) if held else None

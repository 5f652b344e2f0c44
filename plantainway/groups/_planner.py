"""What to do with the copies of one fabric domain."""

import collections

from plantainway.groups import _policy
from plantainway.groups import _release
from plantainway.groups import _state

CopyState = _state.CopyState
NEVER = _policy.NEVER


def plan(view: _state.ShardView, policy: _policy.BasePolicy) -> _state.Plan:
    """Decides on the next actions; each assumes the ones before it.

    Args:
        view: State of the fabric domain.
        policy: When and how to repair.

    Returns:
        Actions and prefetches, costliest outages first, and the time at
        which to plan again even if nothing has changed.
    """
    return _Pass(view, policy).run()


class _Pass:
    """One pass of planning; keeps track of the VMs it has given out."""

    def __init__(self, view, policy):
        self._view = view
        self._policy = policy
        self._actions = []
        self._prefetches = []
        self._wake_at = NEVER
        self._touched = set()
        self._given_up_drains = set()
        self._by_group = collections.defaultdict(list)
        self._loading_vms = 0
        self._missing = {}
        self._leaving = {}
        for copy in view.copies.values():
            self._by_group[copy.group].append(copy)
            self._look_at_members(copy)
            if copy.state is CopyState.LOADING:
                self._loading_vms += len(copy.members)
        self._releasing = []
        free = []
        for vm, hold in view.holds.items():
            if hold.releasing:
                self._releasing.append(vm)
            elif not hold.copy_id and view.vms[vm].usable:
                free.append(vm)
        self._releasing.sort()
        self._free = dict.fromkeys(sorted(free))
        self._warm = {}
        for vm in free:
            self._warm.setdefault(view.vms[vm].observation.seen.warm, vm)

    def _look_at_members(self, copy) -> None:
        """Notes which members are missing and which are leaving."""
        missing = []
        leaving = []
        vms = self._view.vms
        serving = copy.state is CopyState.SERVING
        mine = (copy.copy_id, copy.token)
        for member in copy.members:
            facts = vms.get(member.vm)
            if facts is None or facts.lost_since is not None:
                missing.append(member.vm)
                continue
            observation = facts.observation
            if observation is None:
                if facts.leaving:
                    leaving.append(member.vm)
                continue
            seen = observation.seen
            if member.boot and seen.boot != member.boot:
                missing.append(member.vm)
            elif serving and (seen.copy_id, seen.token) != mine:
                # An engine that ignores tokens obeyed an old order.
                missing.append(member.vm)
            if facts.leaving or seen.leaving:
                leaving.append(member.vm)
        self._missing[copy.copy_id] = missing
        self._leaving[copy.copy_id] = leaving

    def run(self) -> _state.Plan:
        """Returns the plan."""
        self._free_released()
        ordered = self._by_cost()
        # Broken copies first: what they need decides over the others.
        broken = [c for c in ordered if self._missing[c.copy_id]]
        whole = [c for c in ordered if not self._missing[c.copy_id]]
        for copy in broken + whole:
            if copy.copy_id not in self._touched:
                self._tend(copy)
        self._form_missing()
        self._form_extra()
        self._warm_idle()
        return _state.Plan(
            tuple(self._actions), tuple(self._prefetches), self._wake_at
        )

    def _by_cost(self) -> list:
        def rank(copy):
            spec = self._view.specs.get(copy.group)
            if spec is None:
                return (0.0, copy.copy_id)
            rate = _policy.cost_rate(spec, spec.vms_per_copy)
            return (-rate / spec.vms_per_copy, copy.copy_id)

        return sorted(self._view.copies.values(), key=rank)

    def _free_released(self) -> None:
        for vm in self._releasing:
            facts = self._view.vms[vm]
            proof = _release.release_proof(
                self._view.holds[vm], facts, self._view.now
            )
            if proof:
                observation = facts.observation
                boot = observation.seen.boot if observation else ''
                self._actions.append(_state.Free(vm, boot, proof))
            elif facts.orders_clear_at > self._view.now:
                self._wake_by(facts.orders_clear_at)

    def _wake_by(self, at: float) -> None:
        self._wake_at = min(self._wake_at, at)

    def _tend(self, copy) -> None:
        spec = self._view.specs.get(copy.group)
        missing = self._missing[copy.copy_id]
        if copy.state is CopyState.DRAINING:
            self._after_drain(copy, spec, missing)
        elif spec is None or self._is_surplus(copy, spec):
            self._give_up(copy, 'not wanted')
        elif missing:
            self._repair(copy, spec, missing)
        elif self._leaving[copy.copy_id]:
            self._replace_leaving(copy, spec)
        elif copy.version != spec.version:
            self._roll(copy)
        elif copy.state is CopyState.LOADING:
            self._confirm(copy)

    def _is_surplus(self, copy, spec) -> bool:
        """Tells whether a copy is one too many, broken ones first."""
        if len(self._by_group[copy.group]) <= spec.copies + spec.extra:
            return False
        same = [
            item
            for item in self._by_group[copy.group]
            if item.state is not CopyState.DRAINING
            and item.copy_id not in self._touched
        ]
        extra = len(same) - spec.copies - spec.extra
        if extra <= 0:
            return False
        same.sort(
            key=lambda item: (
                not self._missing[item.copy_id],
                item.state is CopyState.SERVING,
                item.copy_id,
            )
        )
        return copy in same[:extra]

    def _give_up(self, copy, reason: str) -> None:
        """Ends a copy: drains it first if it may have work."""
        serving = copy.state is CopyState.SERVING
        if serving and not self._missing[copy.copy_id]:
            self._actions.append(_state.Drain(copy, reason))
        else:
            self._actions.append(_state.Dissolve(copy, reason))
        self._touched.add(copy.copy_id)

    def _replace_leaving(self, copy, spec) -> None:
        """Drains, and gets replacements ready meanwhile."""
        leaving = self._leaving[copy.copy_id]
        chosen = self._choose_replacements(copy, spec, leaving)
        if len(chosen) < len(leaving):
            self._take_for(copy, spec, leaving, len(chosen))
        self._give_up(copy, 'member leaving')

    def _take_for(self, copy, spec, away, replaced: int) -> None:
        outage = _policy.Outage(
            tuple(away), self._lost_since(away), True, False, False
        )
        self._take(copy, spec, outage, len(away) - replaced)

    def _roll(self, copy) -> None:
        """Drains for a new version, one copy of a group at a time."""
        unsettled = [
            item
            for item in self._by_group[copy.group]
            if item.copy_id != copy.copy_id
            and (
                item.state is not CopyState.SERVING
                or item.copy_id in self._touched
                or self._missing[item.copy_id]
            )
        ]
        if copy.state is CopyState.LOADING:
            self._give_up(copy, 'new version')
        elif not unsettled:
            self._actions.append(_state.Drain(copy, 'new version'))
            self._touched.add(copy.copy_id)

    def _confirm(self, copy) -> None:
        boots = []
        for member in copy.members:
            observation = self._view.vms[member.vm].observation
            if observation is None:
                return
            seen = observation.seen
            if seen.role != 'ready' or (seen.copy_id, seen.token) != (
                copy.copy_id,
                copy.token,
            ):
                return
            boots.append(seen.boot)
        self._actions.append(_state.MarkServing(copy, tuple(boots)))

    def _after_drain(self, copy, spec, missing) -> None:
        """Loads a drained copy anew, or gives it up."""
        head = self._view.vms[copy.members[0].vm].observation
        drained = missing or (
            head is not None and head.seen.role in ('drained', 'idle')
        )
        if not self._is_wanted(copy, spec):
            if drained:
                self._actions.append(_state.Dissolve(copy, 'drained'))
                self._touched.add(copy.copy_id)
            return
        gone = [vm for vm in copy.vms if not self._usable(vm)]
        chosen = self._choose_replacements(copy, spec, gone)
        if len(chosen) < len(gone):
            # It keeps its place: the VM may come back, or another be free.
            self._take_for(copy, spec, gone, len(chosen))
        elif drained and self._may_load(spec):
            self._reform(copy, spec, chosen, 'drained')

    def _is_wanted(self, copy, spec) -> bool:
        """Tells whether a draining copy is to be loaded anew."""
        if spec is None or copy.copy_id in self._given_up_drains:
            return False
        standing = self._standing(spec)
        if standing < spec.copies:
            return True
        return standing < spec.copies + spec.extra and not self._short()

    def _short(self) -> bool:
        """Tells whether any copy lacks a VM, or a declared one is missing."""
        return any(
            len(self._by_group[spec.name]) < spec.copies
            for spec in self._view.specs.values()
        ) or any(
            self._missing[copy.copy_id] or self._lacks_replacement(copy)
            for copy in self._view.copies.values()
        )

    def _lacks_replacement(self, copy) -> bool:
        return copy.state is CopyState.DRAINING and not all(
            map(self._usable, copy.vms)
        )

    def _standing(self, spec) -> int:
        return sum(
            1
            for item in self._by_group[spec.name]
            if item.state is not CopyState.DRAINING
        )

    def _usable(self, vm: str) -> bool:
        facts = self._view.vms.get(vm)
        return facts is not None and facts.usable

    def _repair(self, copy, spec, missing) -> None:
        back = [vm for vm in missing if self._usable(vm)]
        away = [vm for vm in missing if vm not in back]
        if not away:
            # Restarted members must load anew; their places are kept.
            if self._may_load(spec):
                self._reform(copy, spec, {}, 'member restarted')
            return
        chosen = self._choose_replacements(copy, spec, away)
        final = bool(back) or any(
            vm in self._view.vms and not self._view.vms[vm].listed
            for vm in away
        )
        outage = _policy.Outage(
            tuple(away),
            self._lost_since(away),
            final,
            len(chosen) == len(away)
            and all(
                self._is_warm(spec, vm, copy.vms.index(lost))
                for lost, vm in chosen.items()
            ),
            len(chosen) == len(away),
        )
        at = self._policy.repair_at(spec, outage, self._view.now)
        if self._view.now < at:
            self._wake_by(at)
            if not outage.replaceable:
                self._take_early(copy, spec, outage)
        elif not outage.replaceable:
            self._take(copy, spec, outage, len(away) - len(chosen))
        elif self._may_load(spec):
            self._reform(copy, spec, chosen, 'member lost')

    def _lost_since(self, away) -> float:
        since = [
            self._view.vms[vm].lost_since
            for vm in away
            if vm in self._view.vms
            and self._view.vms[vm].lost_since is not None
        ]
        return min(since, default=self._view.now)

    def _is_warm(self, spec, vm: str, rank: int) -> bool:
        observation = self._view.vms[vm].observation
        return observation is not None and (
            observation.seen.warm == spec.warm_label(rank)
        )

    def _choose_replacements(self, copy, spec, away) -> dict:
        """Sets free VMs aside for members, warm ones first.

        Returns:
            The replacement by lost VM, for as many as there are VMs.
        """
        chosen = {}
        if spec is None:
            return chosen
        for lost in away:
            if not self._free:
                break
            rank = copy.vms.index(lost)
            vm = self._take_free(spec, rank)
            chosen[lost] = vm
            if self._policy.prefetches and not self._is_warm(spec, vm, rank):
                self._prefetches.append(_state.Prefetch(vm, spec, rank))
        return chosen

    def _take_free(self, spec, rank: int) -> str:
        """Takes a free VM for a rank, one that has its weights if any."""
        vm = self._warm.get(spec.warm_label(rank))
        if vm not in self._free:
            vm = next(iter(self._free))
        del self._free[vm]
        return vm

    def _may_load(self, spec) -> bool:
        """Lets only as many VMs load at once as the weight store feeds."""
        if not self._policy.orders_loads:
            return True
        loading = self._loading_vms
        return not loading or (
            loading + spec.vms_per_copy <= spec.load_vms_max
        )

    def _reform(self, copy, spec, chosen, reason: str) -> None:
        vms = tuple(chosen.get(vm, vm) for vm in copy.vms)
        self._actions.append(_state.Reform(copy, spec, vms, reason))
        self._touched.add(copy.copy_id)
        if copy.state is not CopyState.LOADING:
            self._loading_vms += len(vms)

    def _is_extra(self, copy, spec) -> bool:
        """Tells whether a copy stands beyond the declared number."""
        serving = [
            item
            for item in self._by_group[copy.group]
            if item.state is CopyState.SERVING
            and not self._missing[item.copy_id]
            and item.copy_id not in self._touched
        ]
        return len(serving) > spec.copies

    def _take(self, copy, spec, outage, needed: int) -> None:
        """Takes VMs from a copy whose outage costs less."""
        if any(map(self._usable, self._releasing)):
            return  # VMs are about to be free
        mine = _policy.cost_rate(spec, spec.vms_per_copy)
        for donor in reversed(self._by_cost()):
            donor_spec = self._view.specs.get(donor.group)
            if (
                donor_spec is None
                or donor.copy_id == copy.copy_id
                or donor.copy_id in self._touched
                or sum(map(self._usable, donor.vms)) < needed
            ):
                continue
            if donor.state is CopyState.DRAINING:
                self._given_up_drains.add(donor.copy_id)
                return
            if self._missing[donor.copy_id]:
                if self._is_worse_off(copy, spec, outage, donor, donor_spec):
                    self._give_up(donor, f'taken for {copy.copy_id}')
                    return
                continue
            theirs = _policy.cost_rate(donor_spec, donor_spec.vms_per_copy)
            extra = self._is_extra(donor, donor_spec)
            if (extra or theirs < mine) and self._policy.take_pays(
                spec, donor_spec, extra, outage, self._view.now
            ):
                self._give_up(donor, f'taken for {copy.copy_id}')
                return

    def _take_early(self, copy, spec, outage) -> None:
        """Drains an extra copy while the missing member may still return."""
        for donor in reversed(self._by_cost()):
            donor_spec = self._view.specs.get(donor.group)
            if (
                donor_spec is not None
                and donor.copy_id not in self._touched
                and donor.state is CopyState.SERVING
                and not self._missing[donor.copy_id]
                and self._is_extra(donor, donor_spec)
                and not self._is_taking()
                and self._policy.early_take_pays(
                    spec, donor_spec, outage, self._view.now
                )
            ):
                self._give_up(donor, f'may be taken for {copy.copy_id}')
                return

    def _is_taking(self) -> bool:
        """Tells whether VMs of a copy given up are about to be free."""
        return any(
            copy.state is CopyState.DRAINING
            and all(map(self._usable, copy.vms))
            for copy in self._view.copies.values()
        ) or any(map(self._usable, self._releasing))

    def _is_worse_off(self, copy, spec, outage, donor, donor_spec) -> bool:
        """Tells whether another broken copy should give way."""
        if not self._policy.may_take:
            return False
        mine = _policy.cost_rate(spec, spec.vms_per_copy)
        theirs = _policy.cost_rate(donor_spec, donor_spec.vms_per_copy)
        return (theirs, -len(self._missing[donor.copy_id]), copy.copy_id) < (
            mine,
            -len(outage.missing),
            donor.copy_id,
        )

    def _specs_by_cost(self) -> list:
        def rank(spec):
            rate = _policy.cost_rate(spec, spec.vms_per_copy)
            return (-rate / spec.vms_per_copy, spec.name)

        return sorted(self._view.specs.values(), key=rank)

    def _form_missing(self) -> None:
        """Forms declared copies, and clears room for them if need be."""
        for spec in self._specs_by_cost():
            have = len(self._by_group[spec.name])
            for _copy in range(spec.copies - have):
                if len(self._free) < spec.vms_per_copy:
                    self._clear_extra(spec)
                    break
                if not self._may_load(spec):
                    return
                self._form(spec)

    def _clear_extra(self, spec) -> None:
        """Gives up an extra copy if that makes room for a declared one."""
        coming = sum(map(self._usable, self._releasing))
        lacking = spec.vms_per_copy - len(self._free) - coming
        if lacking <= 0:
            return
        extras = []
        for copy in self._view.copies.values():
            group = self._view.specs.get(copy.group)
            if group is None or copy.copy_id in self._touched:
                continue
            if self._is_extra(copy, group):
                extras.append(copy)
        if sum(len(copy.members) for copy in extras) < lacking:
            return
        self._give_up(min(extras, key=_members_and_name), 'not declared')

    def _form_extra(self) -> None:
        """Puts idle VMs to work where that beats keeping them as spares."""
        if self._short():
            return  # declared copies come first
        for spec in self._specs_by_cost():
            have = max(len(self._by_group[spec.name]), spec.copies)
            for _copy in range(spec.copies + spec.extra - have):
                if (
                    len(self._free) < spec.vms_per_copy
                    or not self._may_load(spec)
                    or not self._policy.extra_pays(
                        self._view.specs.values(),
                        len(self._view.holds),
                        spec,
                        len(self._free),
                    )
                ):
                    break
                self._form(spec)

    def _warm_idle(self) -> None:
        """Lets idle VMs fetch weights of members they may have to replace."""
        if not self._policy.prefetches or not self._specs_by_cost():
            return
        spec = max(
            self._view.specs.values(),
            key=lambda item: (
                item.copies * _policy.cost_rate(item, item.vms_per_copy),
                item.name,
            ),
        )
        held = {self._view.vms[vm].observation.seen.warm for vm in self._free}
        ranks = [
            rank
            for rank in range(spec.vms_per_copy)
            if spec.warm_label(rank) not in held
        ]
        labels = {spec.warm_label(rank) for rank in range(spec.vms_per_copy)}
        for vm in self._free:
            if not ranks:
                return
            if self._view.vms[vm].observation.seen.warm not in labels:
                self._prefetches.append(
                    _state.Prefetch(vm, spec, ranks.pop(0))
                )

    def _form(self, spec) -> None:
        vms = []
        for rank in range(spec.vms_per_copy):
            vm = self._take_free(spec, rank)
            vms.append(vm)
        self._actions.append(_state.Form(spec, tuple(vms)))
        self._loading_vms += len(vms)


def _members_and_name(copy) -> tuple:
    return (len(copy.members), copy.copy_id)

"""Planner of the actions on the copies of one fabric domain."""

import collections

from plantainway.groups import _policy
from plantainway.groups import _release
from plantainway.groups import _state

CopyState = _state.CopyState
NEVER = _policy.NEVER


def plan(view: _state.ShardView, policy: _policy.BasePolicy) -> _state.Plan:
    """Returns the next actions without changing any state.

    Args:
        view: State of the fabric domain.
        policy: Decides when to repair and whom to preempt.

    Returns:
        Actions and prefetches, and the time at which to plan again even if
        nothing has changed. Releases of VMs come first, then the actions on
        broken and those on intact copies, each with the costliest outage per
        VM first, then new copies and the extra copies that are retired for
        them. The actions are to be applied in order: each assumes the ones
        before it.
    """
    return _PlanningPass(view, policy).run()


class _PlanningPass:
    """One planning pass, with the VMs and copies that it has used."""

    def __init__(self, view, policy):
        self._view = view
        self._policy = policy
        self._actions = []
        self._prefetches = []
        self._replan_at = NEVER
        self._handled = set()
        self._abandoned_drains = set()  # copies not to be reloaded
        self._copies_by_group = collections.defaultdict(list)
        self._loading_vms = 0
        self._missing_vms = {}
        self._leaving_vms = {}
        for copy in view.copies.values():
            self._copies_by_group[copy.group].append(copy)
            self._classify_members(copy)
            if copy.state is CopyState.LOADING:
                self._loading_vms += len(copy.members)
        self._releasing = []
        free = []
        for vm, hold in view.holds.items():
            if hold.releasing:
                self._releasing.append(vm)
            elif not hold.copy_id and view.vms[vm].is_usable:
                free.append(vm)
        self._releasing.sort()
        self._free_vms = dict.fromkeys(sorted(free))
        self._warm_by_label = {}
        for vm in free:
            self._warm_by_label.setdefault(
                view.vms[vm].observation.seen.warm, vm
            )

    def _classify_members(self, copy) -> None:
        """Records which members of a copy are missing or leaving."""
        missing = []
        leaving = []
        vms = self._view.vms
        serving = copy.state is CopyState.SERVING
        expected = (copy.copy_id, copy.token)
        for member in copy.members:
            facts = vms.get(member.vm)
            if facts is None or facts.lost_since is not None:
                missing.append(member.vm)
                continue
            observation = facts.observation
            if observation is None:
                if facts.listed_as_leaving:
                    leaving.append(member.vm)
                continue
            seen = observation.seen
            if member.boot and seen.boot != member.boot:
                missing.append(member.vm)
            elif serving and (seen.copy_id, seen.token) != expected:
                # An engine that does not check tokens executed an old order.
                missing.append(member.vm)
            if facts.listed_as_leaving or seen.leaving:
                leaving.append(member.vm)
        self._missing_vms[copy.copy_id] = missing
        self._leaving_vms[copy.copy_id] = leaving

    def run(self) -> _state.Plan:
        """Runs the pass and returns its plan."""
        self._plan_releases()
        ordered = self._copies_by_cost()
        # Broken copies first: their repair may take VMs of other copies.
        broken = [c for c in ordered if self._missing_vms[c.copy_id]]
        intact = [c for c in ordered if not self._missing_vms[c.copy_id]]
        for copy in broken + intact:
            if copy.copy_id not in self._handled:
                self._plan_copy(copy)
        self._form_declared()
        self._form_extra()
        self._prefetch_to_idle()
        return _state.Plan(
            tuple(self._actions), tuple(self._prefetches), self._replan_at
        )

    def _copies_by_cost(self) -> list:
        def rank(copy):
            spec = self._view.specs.get(copy.group)
            if spec is None:
                return (0.0, copy.copy_id)
            rate = _policy.cost_rate(spec, spec.vms_per_copy)
            return (-rate / spec.vms_per_copy, copy.copy_id)

        return sorted(self._view.copies.values(), key=rank)

    def _plan_releases(self) -> None:
        for vm in self._releasing:
            facts = self._view.vms[vm]
            proof = _release.release_proof(
                self._view.holds[vm], facts, self._view.now
            )
            if proof:
                observation = facts.observation
                boot = observation.seen.boot if observation else ''
                self._actions.append(_state.Free(vm, boot, proof))
            elif facts.old_orders_expire_at > self._view.now:
                self._replan_by(facts.old_orders_expire_at)

    def _replan_by(self, at: float) -> None:
        self._replan_at = min(self._replan_at, at)

    def _plan_copy(self, copy) -> None:
        spec = self._view.specs.get(copy.group)
        missing = self._missing_vms[copy.copy_id]
        if copy.state is CopyState.DRAINING:
            self._plan_draining(copy, spec, missing)
        elif spec is None or self._is_surplus(copy, spec):
            self._retire(copy, 'not wanted')
        elif missing:
            self._repair(copy, spec, missing)
        elif self._leaving_vms[copy.copy_id]:
            self._replace_leaving(copy, spec)
        elif copy.version != spec.version:
            self._roll_version(copy)
        elif copy.state is CopyState.LOADING:
            self._mark_serving_if_ready(copy)

    def _is_surplus(self, copy, spec) -> bool:
        """Returns whether a copy is to be removed as one too many.

        Broken copies are removed first, then loading ones.
        """
        if (
            len(self._copies_by_group[copy.group])
            <= spec.copies + spec.extra_copies
        ):
            return False
        candidates = [
            item
            for item in self._copies_by_group[copy.group]
            if item.state is not CopyState.DRAINING
            and item.copy_id not in self._handled
        ]
        extra = len(candidates) - spec.copies - spec.extra_copies
        if extra <= 0:
            return False
        candidates.sort(
            key=lambda item: (
                not self._missing_vms[item.copy_id],
                item.state is CopyState.SERVING,
                item.copy_id,
            )
        )
        return copy in candidates[:extra]

    def _retire(self, copy, reason: str) -> None:
        """Plans the end of a copy, with a drain if it may have requests."""
        serving = copy.state is CopyState.SERVING
        if serving and not self._missing_vms[copy.copy_id]:
            self._actions.append(_state.Drain(copy, reason))
        else:
            self._actions.append(_state.Dissolve(copy, reason))
        self._handled.add(copy.copy_id)

    def _replace_leaving(self, copy, spec) -> None:
        """Drains a copy and reserves replacements for its leaving members."""
        leaving = self._leaving_vms[copy.copy_id]
        chosen = self._choose_replacements(copy, spec, leaving)
        if len(chosen) < len(leaving):
            self._preempt_for(copy, spec, leaving, len(chosen))
        self._retire(copy, 'member leaving')

    def _preempt_for(self, copy, spec, away, replaced: int) -> None:
        outage = _policy.Outage(
            tuple(away), self._earliest_loss(away), True, False, False
        )
        self._preempt(copy, spec, outage, len(away) - replaced)

    def _roll_version(self, copy) -> None:
        """Drains a copy for a new version, one copy of a group at a time."""
        unsettled = [
            item
            for item in self._copies_by_group[copy.group]
            if item.copy_id != copy.copy_id
            and (
                item.state is not CopyState.SERVING
                or item.copy_id in self._handled
                or self._missing_vms[item.copy_id]
            )
        ]
        if copy.state is CopyState.LOADING:
            self._retire(copy, 'new version')
        elif not unsettled:
            self._actions.append(_state.Drain(copy, 'new version'))
            self._handled.add(copy.copy_id)

    def _mark_serving_if_ready(self, copy) -> None:
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

    def _plan_draining(self, copy, spec, missing) -> None:
        """Reloads a drained copy, or dissolves it if it is not wanted."""
        head = self._view.vms[copy.members[0].vm].observation
        drained = missing or (
            head is not None and head.seen.role in ('drained', 'idle')
        )
        if not self._should_reload(copy, spec):
            if drained:
                self._actions.append(_state.Dissolve(copy, 'drained'))
                self._handled.add(copy.copy_id)
            return
        unusable = [vm for vm in copy.vms if not self._is_usable(vm)]
        chosen = self._choose_replacements(copy, spec, unusable)
        if len(chosen) < len(unusable):
            # The copy is kept: its VM may return, or another become free.
            self._preempt_for(copy, spec, unusable, len(chosen))
        elif drained and self._can_start_load(spec):
            self._reform(copy, spec, chosen, 'drained')

    def _should_reload(self, copy, spec) -> bool:
        """Returns whether a draining copy is to be reloaded."""
        if spec is None or copy.copy_id in self._abandoned_drains:
            return False
        active = self._count_active(spec)
        if active < spec.copies:
            return True
        return (
            active < spec.copies + spec.extra_copies
            and not self._is_short_of_vms()
        )

    def _is_short_of_vms(self) -> bool:
        """Returns whether a copy lacks a VM or a declared copy is missing."""
        return any(
            len(self._copies_by_group[spec.name]) < spec.copies
            for spec in self._view.specs.values()
        ) or any(
            self._missing_vms[copy.copy_id] or self._lacks_replacement(copy)
            for copy in self._view.copies.values()
        )

    def _lacks_replacement(self, copy) -> bool:
        return copy.state is CopyState.DRAINING and not all(
            map(self._is_usable, copy.vms)
        )

    def _count_active(self, spec) -> int:
        return sum(
            1
            for item in self._copies_by_group[spec.name]
            if item.state is not CopyState.DRAINING
        )

    def _is_usable(self, vm: str) -> bool:
        facts = self._view.vms.get(vm)
        return facts is not None and facts.is_usable

    def _repair(self, copy, spec, missing) -> None:
        returned = [vm for vm in missing if self._is_usable(vm)]
        away = [vm for vm in missing if vm not in returned]
        if not away:
            # Restarted members have to reload; they keep their ranks.
            if self._can_start_load(spec):
                self._reform(copy, spec, {}, 'member restarted')
            return
        chosen = self._choose_replacements(copy, spec, away)
        final = bool(returned) or any(
            vm in self._view.vms and not self._view.vms[vm].listed
            for vm in away
        )
        outage = _policy.Outage(
            tuple(away),
            self._earliest_loss(away),
            final,
            len(chosen) == len(away)
            and all(
                self._is_warm(spec, vm, copy.vms.index(lost))
                for lost, vm in chosen.items()
            ),
            len(chosen) == len(away),
        )
        repair_at = self._policy.repair_at(spec, outage, self._view.now)
        if self._view.now < repair_at:
            self._replan_by(repair_at)
            if not outage.is_replaceable:
                self._preempt_early(copy, spec, outage)
        elif not outage.is_replaceable:
            self._preempt(copy, spec, outage, len(away) - len(chosen))
        elif self._can_start_load(spec):
            self._reform(copy, spec, chosen, 'member lost')

    def _earliest_loss(self, away) -> float:
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
        """Reserves free VMs as replacements, preferring warm ones.

        A VM is warm if it already has the weights of the rank.

        Returns:
            Replacement by lost VM, for as many as there are free VMs.
        """
        chosen = {}
        if spec is None:
            return chosen
        for lost in away:
            if not self._free_vms:
                break
            rank = copy.vms.index(lost)
            vm = self._take_free(spec, rank)
            chosen[lost] = vm
            if self._policy.uses_prefetch and not self._is_warm(
                spec, vm, rank
            ):
                self._prefetches.append(_state.Prefetch(vm, spec, rank))
        return chosen

    def _take_free(self, spec, rank: int) -> str:
        """Removes and returns a free VM, if possible one that is warm."""
        vm = self._warm_by_label.get(spec.warm_label(rank))
        if vm not in self._free_vms:
            vm = next(iter(self._free_vms))
        del self._free_vms[vm]
        return vm

    def _can_start_load(self, spec) -> bool:
        """Returns whether the weight store can feed the load of a copy.

        While nothing else loads, a copy of any size may load.
        """
        if not self._policy.limits_loads:
            return True
        loading = self._loading_vms
        return not loading or (
            loading + spec.vms_per_copy <= spec.max_loading_vms
        )

    def _reform(self, copy, spec, chosen, reason: str) -> None:
        vms = tuple(chosen.get(vm, vm) for vm in copy.vms)
        self._actions.append(_state.Reform(copy, spec, vms, reason))
        self._handled.add(copy.copy_id)
        if copy.state is not CopyState.LOADING:
            self._loading_vms += len(vms)

    def _is_extra(self, copy, spec) -> bool:
        """Returns whether more copies of the group serve than declared."""
        serving = [
            item
            for item in self._copies_by_group[copy.group]
            if item.state is CopyState.SERVING
            and not self._missing_vms[item.copy_id]
            and item.copy_id not in self._handled
        ]
        return len(serving) > spec.copies

    def _preempt(self, copy, spec, outage, needed: int) -> None:
        """Retires a copy whose outage costs less, to free its VMs."""
        if any(map(self._is_usable, self._releasing)):
            return  # VMs will be free soon
        own_rate = _policy.cost_rate(spec, spec.vms_per_copy)
        for donor in reversed(self._copies_by_cost()):
            donor_spec = self._view.specs.get(donor.group)
            if (
                donor_spec is None
                or donor.copy_id == copy.copy_id
                or donor.copy_id in self._handled
                or sum(map(self._is_usable, donor.vms)) < needed
            ):
                continue
            if donor.state is CopyState.DRAINING:
                self._abandoned_drains.add(donor.copy_id)
                return
            if self._missing_vms[donor.copy_id]:
                if self._should_yield(copy, spec, outage, donor, donor_spec):
                    self._retire(donor, f'taken for {copy.copy_id}')
                    return
                continue
            donor_rate = _policy.cost_rate(donor_spec, donor_spec.vms_per_copy)
            extra = self._is_extra(donor, donor_spec)
            if (
                extra or donor_rate < own_rate
            ) and self._policy.should_preempt(
                spec, donor_spec, extra, outage, self._view.now
            ):
                self._retire(donor, f'taken for {copy.copy_id}')
                return

    def _preempt_early(self, copy, spec, outage) -> None:
        """Drains an extra copy while the missing member may still return.

        The drain then overlaps the wait for the member.
        """
        for donor in reversed(self._copies_by_cost()):
            donor_spec = self._view.specs.get(donor.group)
            if (
                donor_spec is not None
                and donor.copy_id not in self._handled
                and donor.state is CopyState.SERVING
                and not self._missing_vms[donor.copy_id]
                and self._is_extra(donor, donor_spec)
                and not self._is_release_pending()
                and self._policy.should_preempt_early(
                    spec, donor_spec, outage, self._view.now
                )
            ):
                self._retire(donor, f'may be taken for {copy.copy_id}')
                return

    def _is_release_pending(self) -> bool:
        """Returns whether VMs will be free soon without further action."""
        return any(
            copy.state is CopyState.DRAINING
            and all(map(self._is_usable, copy.vms))
            for copy in self._view.copies.values()
        ) or any(map(self._is_usable, self._releasing))

    def _should_yield(self, copy, spec, outage, donor, donor_spec) -> bool:
        """Returns whether a broken donor should give its VMs to a copy.

        The donor yields if its outage costs less, at equal cost if it
        lacks more members, and otherwise by copy id.
        """
        if not self._policy.allows_preemption:
            return False
        own_rate = _policy.cost_rate(spec, spec.vms_per_copy)
        donor_rate = _policy.cost_rate(donor_spec, donor_spec.vms_per_copy)
        return (
            donor_rate,
            -len(self._missing_vms[donor.copy_id]),
            copy.copy_id,
        ) < (
            own_rate,
            -len(outage.missing),
            donor.copy_id,
        )

    def _specs_by_cost(self) -> list:
        def rank(spec):
            rate = _policy.cost_rate(spec, spec.vms_per_copy)
            return (-rate / spec.vms_per_copy, spec.name)

        return sorted(self._view.specs.values(), key=rank)

    def _form_declared(self) -> None:
        """Forms declared copies, retiring extra ones if VMs are short."""
        for spec in self._specs_by_cost():
            existing = len(self._copies_by_group[spec.name])
            for _copy in range(spec.copies - existing):
                if len(self._free_vms) < spec.vms_per_copy:
                    self._retire_extra(spec)
                    break
                if not self._can_start_load(spec):
                    return
                self._form(spec)

    def _retire_extra(self, spec) -> None:
        """Retires an extra copy if that helps to form a declared one."""
        releasable = sum(map(self._is_usable, self._releasing))
        lacking = spec.vms_per_copy - len(self._free_vms) - releasable
        if lacking <= 0:
            return
        extras = []
        for copy in self._view.copies.values():
            group = self._view.specs.get(copy.group)
            if group is None or copy.copy_id in self._handled:
                continue
            if self._is_extra(copy, group):
                extras.append(copy)
        if sum(len(copy.members) for copy in extras) < lacking:
            return
        self._retire(min(extras, key=_smallest_first), 'not declared')

    def _form_extra(self) -> None:
        """Forms extra copies of idle VMs that are not needed as spares."""
        if self._is_short_of_vms():
            return  # declared copies come first
        for spec in self._specs_by_cost():
            existing = max(len(self._copies_by_group[spec.name]), spec.copies)
            for _copy in range(spec.copies + spec.extra_copies - existing):
                if (
                    len(self._free_vms) < spec.vms_per_copy
                    or not self._can_start_load(spec)
                    or not self._policy.should_form_extra(
                        self._view.specs.values(),
                        len(self._view.holds),
                        spec,
                        len(self._free_vms),
                    )
                ):
                    break
                self._form(spec)

    def _prefetch_to_idle(self) -> None:
        """Prefetches weights of the costliest group to idle VMs.

        An idle VM can then replace a member without a transfer.
        """
        if not self._policy.uses_prefetch or not self._specs_by_cost():
            return
        spec = max(
            self._view.specs.values(),
            key=lambda item: (
                item.copies * _policy.cost_rate(item, item.vms_per_copy),
                item.name,
            ),
        )
        warm_labels = {
            self._view.vms[vm].observation.seen.warm for vm in self._free_vms
        }
        ranks = [
            rank
            for rank in range(spec.vms_per_copy)
            if spec.warm_label(rank) not in warm_labels
        ]
        labels = {spec.warm_label(rank) for rank in range(spec.vms_per_copy)}
        for vm in self._free_vms:
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


def _smallest_first(copy) -> tuple:
    return (len(copy.members), copy.copy_id)

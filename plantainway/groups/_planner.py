"""What to do with the copies of one fabric domain."""

import abc
import collections

from plantainway.groups import _returns
from plantainway.groups import _state

CopyState = _state.CopyState
TAKE_GAIN = 1.5  # a taker must be worth this much more than its donor


class BasePolicy(abc.ABC):
    """Decides when a copy with missing members is repaired, and how."""

    may_take = False

    @abc.abstractmethod
    def repair_due(self, spec, away_s: float) -> bool:
        """Tells whether to stop waiting for missing members.

        Args:
            spec: The group's part in this fabric domain.
            away_s: Seconds since the first member went missing.
        """


class StaticPolicy(BasePolicy):
    """Never replaces a member."""

    def repair_due(self, spec, away_s: float) -> bool:
        """Waits for ever; see the base class."""
        return False


class ReplacePolicy(BasePolicy):
    """Replaces a missing member at once."""

    def repair_due(self, spec, away_s: float) -> bool:
        """Never waits; see the base class."""
        return True


class WaitPolicy(BasePolicy):
    """Waits for a fixed time.

    Args:
        wait_s: Seconds to wait.
    """

    def __init__(self, wait_s: float = 60.0):
        self._wait_s = wait_s

    def repair_due(self, spec, away_s: float) -> bool:
        """Waits for the fixed time; see the base class."""
        return away_s >= self._wait_s


class PlannerPolicy(BasePolicy):
    """Waits as long as the learned absences make it pay.

    Args:
        returns: Learned lengths of absences.
    """

    may_take = True

    def __init__(self, returns: _returns.ReturnModel):
        self._returns = returns

    def repair_due(self, spec, away_s: float) -> bool:
        """Weighs waiting against loading anew; see the base class."""
        until_s = _returns.best_wait_s(
            self._returns.samples(), away_s, spec.load_s
        )
        return away_s >= until_s


def plan(view: _state.ShardView, policy: BasePolicy) -> list:
    """Decides on the next actions; each assumes the ones before it.

    Args:
        view: State of the fabric domain.
        policy: When and how to repair.

    Returns:
        Actions, most valuable groups first.
    """
    return _Pass(view, policy).run()


class _Pass:
    """One pass of planning; keeps track of the VMs it has given out."""

    def __init__(self, view, policy):
        self._view = view
        self._policy = policy
        self._actions = []
        self._touched = set()
        self._free = collections.deque(
            sorted(
                vm
                for vm, hold in view.holds.items()
                if hold.free and vm in view.vms and view.vms[vm].usable
            )
        )

    def run(self) -> list:
        """Returns the actions."""
        self._free_released()
        for copy in self._by_value():
            self._tend(copy)
        self._form_missing()
        return self._actions

    def _by_value(self) -> list:
        def rank(copy):
            spec = self._view.specs.get(copy.group)
            return (-spec.value if spec else 0.0, copy.copy_id)

        return sorted(self._view.copies.values(), key=rank)

    def _free_released(self) -> None:
        for vm, hold in sorted(self._view.holds.items()):
            if not hold.releasing:
                continue
            facts = self._view.vms.get(vm)
            proof = release_proven(hold, facts, self._view.now)
            if proof:
                boot = ''
                if facts is not None and facts.sighting is not None:
                    boot = facts.sighting.seen.boot
                self._actions.append(_state.Free(vm, boot, proof))

    def _tend(self, copy) -> None:
        if copy.copy_id in self._touched:
            return
        spec = self._view.specs.get(copy.group)
        missing = self._missing(copy)
        if copy.state is CopyState.DRAINING:
            self._after_drain(copy, spec, missing)
        elif missing:
            self._repair(copy, spec, missing)
        elif spec is None or self._surplus(copy, spec):
            self._drain(copy, 'not wanted')
        elif self._leaving(copy):
            self._drain(copy, 'member leaving')
        elif copy.version != spec.version:
            self._roll(copy, spec)
        elif copy.state is CopyState.LOADING:
            self._confirm(copy)

    def _missing(self, copy) -> list[str]:
        found = []
        for member in copy.members:
            facts = self._view.vms.get(member.vm)
            if facts is None or facts.lost_since is not None:
                found.append(member.vm)
            elif member.boot and facts.sighting is not None:
                if facts.sighting.seen.boot != member.boot:
                    found.append(member.vm)
        return found

    def _leaving(self, copy) -> list[str]:
        return [vm for vm in copy.vms if self._view.vms[vm].is_leaving]

    def _surplus(self, copy, spec) -> bool:
        same = sorted(
            item.copy_id
            for item in self._view.copies.values()
            if item.group == copy.group
            and item.state is not CopyState.DRAINING
        )
        return copy.copy_id in same[spec.copies :]

    def _drain(self, copy, reason: str) -> None:
        if copy.state is CopyState.LOADING:
            self._actions.append(_state.Dissolve(copy, reason))
        else:
            self._actions.append(_state.Drain(copy, reason))
        self._touched.add(copy.copy_id)

    def _roll(self, copy, spec) -> None:
        """Drains for a new version, one copy of a group at a time."""
        unsettled = [
            item
            for item in self._view.copies.values()
            if item.group == copy.group
            and item.copy_id != copy.copy_id
            and (
                item.state is not CopyState.SERVING
                or item.copy_id in self._touched
                or self._missing(item)
            )
        ]
        if not unsettled or copy.state is CopyState.LOADING:
            self._drain(copy, 'new version')

    def _confirm(self, copy) -> None:
        boots = []
        for member in copy.members:
            sighting = self._view.vms[member.vm].sighting
            if sighting is None:
                return
            seen = sighting.seen
            if seen.role != 'ready' or (seen.copy_id, seen.token) != (
                copy.copy_id,
                copy.token,
            ):
                return
            boots.append(seen.boot)
        self._actions.append(_state.MarkServing(copy, tuple(boots)))

    def _after_drain(self, copy, spec, missing) -> None:
        if not missing:
            head = self._view.vms[copy.members[0].vm].sighting
            drained = head is not None and head.seen.role in (
                'drained',
                'idle',
            )
            if not drained:
                return
        gone = set(missing) | set(self._leaving_known(copy))
        keep = [vm for vm in copy.vms if vm not in gone]
        if (
            spec is None
            or self._count(copy.group) >= spec.copies
            or len(keep) + len(self._free) < spec.vms_per_copy
        ):
            self._dissolve(copy, 'drained')
        else:
            self._reform(copy, spec, keep, 'drained')

    def _count(self, group: str) -> int:
        return sum(
            1
            for item in self._view.copies.values()
            if item.group == group and item.state is not CopyState.DRAINING
        )

    def _leaving_known(self, copy) -> list[str]:
        return [
            vm
            for vm in copy.vms
            if vm in self._view.vms and not self._view.vms[vm].usable
        ]

    def _repair(self, copy, spec, missing) -> None:
        if spec is None:
            self._dissolve(copy, 'not wanted')
            return
        keep = [vm for vm in copy.vms if vm not in missing]
        back = [vm for vm in missing if self._usable(vm)]
        if len(back) == len(missing):
            # Restarted members must load anew; their places are kept.
            self._reform(copy, spec, list(copy.vms), 'member restarted')
            return
        if not self._policy.repair_due(spec, self._away_s(missing)):
            return
        keep += back
        if len(keep) + len(self._free) >= spec.vms_per_copy:
            self._reform(copy, spec, keep, 'member lost')
        elif self._policy.may_take:
            self._take(copy, spec, keep)

    def _usable(self, vm: str) -> bool:
        facts = self._view.vms.get(vm)
        return facts is not None and facts.usable

    def _away_s(self, missing) -> float:
        since = [
            self._view.vms[vm].lost_since
            for vm in missing
            if vm in self._view.vms
            and self._view.vms[vm].lost_since is not None
        ]
        return self._view.now - min(since) if since else 0.0

    def _take(self, copy, spec, keep) -> None:
        """Takes the missing number of VMs from a copy worth less."""
        needed = spec.vms_per_copy - len(keep) - len(self._free)
        for donor in reversed(self._by_value()):
            if donor.copy_id == copy.copy_id:
                continue
            if donor.copy_id in self._touched:
                continue
            donor_spec = self._view.specs.get(donor.group)
            broken = bool(self._missing(donor))
            worth = donor_spec.value if donor_spec else 0.0
            enough = sum(map(self._usable, donor.vms)) >= needed
            if not enough:
                continue
            if (
                broken
                and worth <= spec.value
                and (
                    len(self._missing(donor)) >= spec.vms_per_copy - len(keep)
                )
            ):
                self._dissolve(donor, f'taken for {copy.copy_id}')
                return
            if not broken and worth * TAKE_GAIN < spec.value:
                self._drain(donor, f'taken for {copy.copy_id}')
                return

    def _dissolve(self, copy, reason: str) -> None:
        self._actions.append(_state.Dissolve(copy, reason))
        self._touched.add(copy.copy_id)

    def _reform(self, copy, spec, keep, reason: str) -> None:
        vms = keep[: spec.vms_per_copy]
        while len(vms) < spec.vms_per_copy:
            vms.append(self._free.popleft())
        self._actions.append(_state.Reform(copy, spec, tuple(vms), reason))
        self._touched.add(copy.copy_id)

    def _form_missing(self) -> None:
        specs = sorted(
            self._view.specs.values(), key=lambda s: (-s.value, s.name)
        )
        for spec in specs:
            have = sum(
                1
                for copy in self._view.copies.values()
                if copy.group == spec.name
            )
            for _copy in range(spec.copies - have):
                if len(self._free) < spec.vms_per_copy:
                    break
                vms = tuple(
                    self._free.popleft() for _ in range(spec.vms_per_copy)
                )
                self._actions.append(_state.Form(spec, vms))


def release_proven(hold, facts, now: float) -> str:
    """Tells whether a releasing VM holds no role any more.

    Args:
        hold: Row of the VM.
        facts: What is known of the VM, ``None`` if it is not declared.
        now: Monotonic seconds.

    Returns:
        The proof as a word, empty if there is none.
    """
    if facts is None or (not facts.listed and facts.lost_since is not None):
        return 'gone' if facts is not None else ''
    sighting = facts.sighting
    if facts.lost_since is not None or sighting is None:
        return ''
    if not facts.checks_fencing and (
        now < facts.orders_clear_at or sighting.at < facts.orders_clear_at
    ):
        return ''
    if sighting.seen.role != 'idle' or sighting.seen.copy_id:
        return ''
    if hold.boot and sighting.seen.boot != hold.boot:
        return 'new boot'
    return 'idle'


def orders_due(view: _state.ShardView) -> list[_state.Order]:
    """Lists the orders that bring engines to the state in the table.

    Args:
        view: State of the fabric domain after its actions.

    Returns:
        Orders; repeating one that has been carried out is harmless.
    """
    due = []
    for copy in view.copies.values():
        due += _copy_orders(view, copy)
    for vm, hold in view.holds.items():
        facts = view.vms.get(vm)
        if not hold.releasing or facts is None or facts.sighting is None:
            continue
        seen = facts.sighting.seen
        if seen.ok and (seen.role != 'idle' or seen.copy_id):
            due.append(_state.Order('unload', vm, seen.copy_id, hold.token))
    return due


def _copy_orders(view, copy) -> list[_state.Order]:
    due = []
    for index, member in enumerate(copy.members):
        facts = view.vms.get(member.vm)
        if facts is None or facts.sighting is None:
            continue
        seen = facts.sighting.seen
        if not seen.ok:
            continue
        is_ours = (seen.copy_id, seen.token) == (copy.copy_id, copy.token)
        if copy.state is CopyState.LOADING and not is_ours:
            due.append(
                _state.Order('load', member.vm, copy.copy_id, copy.token, copy)
            )
        elif copy.state is CopyState.DRAINING and is_ours and index == 0:
            if seen.role == 'ready':
                due.append(
                    _state.Order('drain', member.vm, copy.copy_id, copy.token)
                )
    return due

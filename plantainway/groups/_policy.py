"""Policies: when to repair a copy, and which copies to preempt."""

import abc
import dataclasses

from plantainway.groups import _returns

NEVER = float('inf')
SPARE_IN_USE_S = 300.0  # until another VM is free
SPARE_IN_USE_MAX_SHARE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """Outage of a copy because of missing members.

    ``missing`` are the VM names and ``since`` the monotonic time of the
    first loss. ``is_final`` is set if the copy can't resume even if the
    members return, ``replacements_warm`` if all replacements have their
    weights, ``is_replaceable`` if there are enough free VMs to replace all
    missing members.
    """

    missing: tuple[str, ...]
    since: float
    is_final: bool
    replacements_warm: bool
    is_replaceable: bool


def cost_rate(spec, vms: int) -> float:
    """Returns the cost of each second that a copy is down.

    Args:
        spec: Spec of the group.
        vms: Running VMs that the copy keeps idle meanwhile.
    """
    return spec.downtime_weight * spec.value + spec.stranded_weight * vms


class BasePolicy(abc.ABC):
    """Decides when to repair; the planner decides how."""

    uses_prefetch = False  # whether replacements prefetch weights
    limits_loads = False  # whether loads wait for weight store capacity
    allows_preemption = False  # whether a broken copy may yield to another

    @abc.abstractmethod
    def repair_at(self, spec, outage: Outage, now: float) -> float:
        """Returns when to stop waiting for missing members.

        Args:
            spec: Spec of the group in this fabric domain.
            outage: Outage of the copy.
            now: Monotonic seconds.

        Returns:
            Monotonic seconds, ``NEVER`` if the outage is to be judged again
            only after a change.
        """

    def should_preempt(
        self, spec, donor, is_extra, outage, now: float
    ) -> bool:
        """Returns whether to retire a serving copy to use its VMs.

        The base policy never does.

        Args:
            spec: Spec of the group that lacks VMs.
            donor: Spec of the group that would lose a copy.
            is_extra: Whether that copy exceeds the declared number.
            outage: Outage to be repaired.
            now: Monotonic seconds.
        """
        return False

    def should_preempt_early(self, spec, donor, outage, now: float) -> bool:
        """Returns whether to drain an extra copy while still waiting.

        The base policy never does.

        Args:
            spec: Spec of the group that lacks VMs.
            donor: Spec of the group that has the extra copy.
            outage: Outage during which to wait.
            now: Monotonic seconds.
        """
        return False

    def should_form_extra(
        self, specs, vm_count: int, spec, free_vms: int
    ) -> bool:
        """Returns whether to form a copy beyond the declared number.

        The base policy never does.

        Args:
            specs: Specs of all groups in the fabric domain.
            vm_count: Number of VMs in the fabric domain.
            spec: Spec of the group that may have another copy.
            free_vms: Number of idle VMs.
        """
        return False


class StaticPolicy(BasePolicy):
    """Never replaces a missing member."""

    def repair_at(self, spec, outage: Outage, now: float) -> float:
        """Returns ``NEVER``; see the base class."""
        return NEVER


class ReplacePolicy(BasePolicy):
    """Replaces missing members at once."""

    def repair_at(self, spec, outage: Outage, now: float) -> float:
        """Returns the current time; see the base class."""
        return now


class WaitPolicy(BasePolicy):
    """Replaces missing members after a fixed time.

    Args:
        wait_s: Seconds from the loss to the repair.
    """

    def __init__(self, wait_s: float = 60.0):
        self._wait_s = wait_s

    def repair_at(self, spec, outage: Outage, now: float) -> float:
        """Returns the loss plus the fixed time; see the base class."""
        return outage.since + self._wait_s


class PlannerPolicy(BasePolicy):
    """Waits as long as that is expected to cost less than a repair.

    Replacements prefetch their weights while the copy waits, so waiting
    delays no repair until they are warm; from then on a repair takes only
    the time to join.

    Args:
        absences: Model of past absences.
    """

    uses_prefetch = True
    limits_loads = True
    allows_preemption = True

    def __init__(self, absences: _returns.AbsenceModel):
        self._absences = absences

    def repair_at(self, spec, outage: Outage, now: float) -> float:
        """Compares waiting with repairing; see the base class."""
        if outage.is_final:
            return now
        if outage.is_replaceable and not outage.replacements_warm:
            return NEVER  # planned again when a replacement is warm
        repair_s = spec.join_s + (
            0.0 if outage.replacements_warm else spec.load_s
        )
        return outage.since + _returns.best_absence_limit_s(
            self._absences.samples(), now - outage.since, repair_s
        )

    def should_preempt(
        self, spec, donor, is_extra, outage, now: float
    ) -> bool:
        """Compares the costs of both copies; see the base class.

        With preemption the copy is down for a drain and a load, and the
        donor from its drain until the missing VM is back and loaded.
        """
        remaining_s = self.remaining_s(outage, now)
        load_s = spec.load_s + spec.join_s
        repair_s = spec.drain_s + load_s
        own_rate = cost_rate(spec, spec.vms_per_copy - len(outage.missing))
        donor_rate = donor.stranded_weight * (donor.vms_per_copy - 1)
        if not is_extra:
            donor_rate += donor.downtime_weight * donor.value
        donor_s = spec.drain_s + remaining_s + donor.load_s + donor.join_s
        return (
            own_rate * (remaining_s + load_s - repair_s) > donor_rate * donor_s
        )

    def should_preempt_early(self, spec, donor, outage, now: float) -> bool:
        """Compares the drain saved later with the donor's outage.

        The drain runs while the copy waits, and is wasted if the missing
        member returns in time; see the base class.
        """
        samples = self._absences.samples()
        away_s = now - outage.since
        repair_s = donor.drain_s + spec.load_s + spec.join_s
        longer = [x for x in samples if x > away_s]
        lasting = sum(1 for x in longer if x > away_s + repair_s)
        loss_chance = lasting / max(len(longer), 1)
        own_rate = cost_rate(spec, spec.vms_per_copy - len(outage.missing))
        saved = loss_chance * own_rate * donor.drain_s
        donor_rate = donor.stranded_weight * donor.vms_per_copy
        donor_s = donor.drain_s + donor.load_s + donor.join_s
        return saved > (1.0 - loss_chance) * donor_rate * donor_s

    def should_form_extra(
        self, specs, vm_count: int, spec, free_vms: int
    ) -> bool:
        """Compares an extra copy with its VMs as spares.

        A spare saves the drain of a copy that would be preempted; each
        further spare helps only while the ones before it are in use. The
        extra copy also takes over during outages of other copies of its
        group; see the base class.
        """
        specs = list(specs)
        rate = max(cost_rate(item, item.vms_per_copy - 1) for item in specs)
        loss_rate = self._absences.losses_per_vm_s()
        in_use_share = min(
            loss_rate * vm_count * SPARE_IN_USE_S, SPARE_IN_USE_MAX_SHARE
        )
        first_spare_worth = loss_rate * vm_count * spec.drain_s * rate
        spares_worth = sum(
            first_spare_worth * in_use_share**number
            for number in range(free_vms - spec.vms_per_copy, free_vms)
        )
        outage_saved = (
            loss_rate
            * spec.copies
            * spec.vms_per_copy
            * (spec.load_s + spec.join_s)
            * spec.downtime_weight
            * spec.value
        )
        return (
            spec.stranded_weight * spec.vms_per_copy + outage_saved
            > spares_worth
        )

    def remaining_s(self, outage: Outage, now: float) -> float:
        """Returns the expected remaining seconds of an outage.

        Args:
            outage: Outage of a copy.
            now: Monotonic seconds.
        """
        return self._absences.expected_remaining_s(now - outage.since)


class OraclePolicy(PlannerPolicy):
    """Planner policy that knows in advance which members return when.

    Used only by benchmarks, as a bound for other policies.

    Args:
        absences: Model of past absences.
        next_return_of: Function from VM to ``(time, same boot)`` of its
            next return; the time is infinite if there is none.
    """

    def __init__(self, absences: _returns.AbsenceModel, next_return_of):
        super().__init__(absences)
        self._next_return_of = next_return_of

    def repair_at(self, spec, outage: Outage, now: float) -> float:
        """Waits only for members that return in time with the same boot."""
        if outage.is_final:
            return now
        returning = [self._next_return_of(vm) for vm in outage.missing]
        all_same_boot = all(is_same for _at, is_same in returning)
        latest = max(at for at, _is_same in returning)
        repair_s = spec.join_s + (
            0.0 if outage.replacements_warm else spec.load_s
        )
        if all_same_boot and latest - now < repair_s:
            return NEVER
        if outage.is_replaceable and not outage.replacements_warm:
            return NEVER
        return now

    def remaining_s(self, outage: Outage, now: float) -> float:
        """Returns the actual remaining seconds, at most ``ABSENCE_CAP_S``."""
        latest = max(self._next_return_of(vm)[0] for vm in outage.missing)
        return min(max(latest - now, 0.0), _returns.ABSENCE_CAP_S)

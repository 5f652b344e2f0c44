"""When a copy with missing members is repaired, and at whose cost."""

import abc
import dataclasses

from plantainway.groups import _returns

NEVER = float('inf')
SPARE_BUSY_S = 300.0  # how long a spare stands in until another is free
SPARE_BUSY_MAX = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """A copy that is down because members are missing.

    ``missing`` names them, ``since`` is the monotonic time of the loss,
    ``final`` tells that the copy can't resume even if they return, ``warm``
    that the replacements have their weights, and ``replaceable`` that
    there are enough free VMs to replace all.
    """

    missing: tuple[str, ...]
    since: float
    final: bool
    warm: bool
    replaceable: bool


def cost_rate(spec, vms: int) -> float:
    """Returns what a copy costs each second while it is down.

    Args:
        spec: The group's part in a fabric domain.
        vms: Powered VMs that the copy holds idle meanwhile.
    """
    return spec.downtime_weight * spec.value + spec.stranded_weight * vms


class BasePolicy(abc.ABC):
    """Decides when to repair; the way to do it is the planner's."""

    prefetches = False  # whether replacements fetch weights meanwhile
    orders_loads = False  # whether loads wait for their turn
    may_take = False  # whether a copy may be given up for another

    @abc.abstractmethod
    def repair_at(self, spec, outage: Outage, now: float) -> float:
        """Returns when to stop waiting for missing members.

        Args:
            spec: The group's part in this fabric domain.
            outage: The outage.
            now: Monotonic seconds.

        Returns:
            Monotonic seconds, infinite for never.
        """

    def take_pays(self, spec, donor, extra, outage, now: float) -> bool:
        """Tells whether to take VMs from a serving copy.

        Args:
            spec: Part of the group that lacks VMs.
            donor: Part of the group that would give up a copy.
            extra: Whether that copy is beyond the declared number.
            outage: The outage.
            now: Monotonic seconds.
        """
        return False

    def early_take_pays(self, spec, donor, outage, now: float) -> bool:
        """Tells whether to drain an extra copy while still waiting.

        Args:
            spec: Part of the group that lacks VMs.
            donor: Part of the group that has the extra copy.
            outage: The outage.
            now: Monotonic seconds.
        """
        return False

    def extra_pays(self, specs, vms: int, spec, free: int) -> bool:
        """Tells whether to form a copy beyond the declared number.

        Args:
            specs: Parts of all groups in the fabric domain.
            vms: Number of VMs in it.
            spec: Part of the group that may have another copy.
            free: Number of idle VMs.
        """
        return False


class StaticPolicy(BasePolicy):
    """Never replaces a member."""

    def repair_at(self, spec, outage: Outage, now: float) -> float:
        """Waits for ever; see the base class."""
        return NEVER


class ReplacePolicy(BasePolicy):
    """Replaces a missing member at once."""

    def repair_at(self, spec, outage: Outage, now: float) -> float:
        """Never waits; see the base class."""
        return now


class WaitPolicy(BasePolicy):
    """Waits for a fixed time.

    Args:
        wait_s: Seconds to wait.
    """

    def __init__(self, wait_s: float = 60.0):
        self._wait_s = wait_s

    def repair_at(self, spec, outage: Outage, now: float) -> float:
        """Waits for the fixed time; see the base class."""
        return outage.since + self._wait_s


class PlannerPolicy(BasePolicy):
    """Waits while waiting is expected to cost less than repairing.

    Replacements fetch their weights while the copy waits, so waiting
    costs nothing until they are warm; from then on a repair costs no more
    than the time to join.

    Args:
        returns: Learned lengths of absences.
    """

    prefetches = True
    orders_loads = True
    may_take = True

    def __init__(self, returns: _returns.AbsenceModel):
        self._returns = returns

    def repair_at(self, spec, outage: Outage, now: float) -> float:
        """Weighs waiting against repairing; see the base class."""
        if outage.final:
            return now
        if outage.replaceable and not outage.warm:
            return NEVER  # asked again when a replacement is warm
        price_s = spec.join_s + (0.0 if outage.warm else spec.load_s)
        return outage.since + _returns.best_wait_s(
            self._returns.samples(), now - outage.since, price_s
        )

    def take_pays(self, spec, donor, extra, outage, now: float) -> bool:
        """Compares both copies' costs over the expected absence.

        The taker is down for a drain and a load, and the donor from its
        drain until the VM is back and loaded.
        """
        rest_s = self.rest_s(outage, now)
        load_s = spec.load_s + spec.join_s
        repair_s = spec.drain_s + load_s
        mine = cost_rate(spec, spec.vms_per_copy - len(outage.missing))
        theirs = donor.stranded_weight * (donor.vms_per_copy - 1)
        if not extra:
            theirs += donor.downtime_weight * donor.value
        donor_s = spec.drain_s + rest_s + donor.load_s + donor.join_s
        return mine * (rest_s + load_s - repair_s) > theirs * donor_s

    def early_take_pays(self, spec, donor, outage, now: float) -> bool:
        """Weighs the donor's loss against the drain saved later.

        The drain runs while the taker waits. It is for nothing if the
        missing member returns in time.
        """
        samples = self._returns.samples()
        away_s = now - outage.since
        price_s = donor.drain_s + spec.load_s + spec.join_s
        longer = [x for x in samples if x > away_s]
        lost = sum(1 for x in longer if x > away_s + price_s)
        chance = lost / max(len(longer), 1)
        mine = cost_rate(spec, spec.vms_per_copy - len(outage.missing))
        saved = chance * mine * donor.drain_s
        theirs = donor.stranded_weight * donor.vms_per_copy
        donor_s = donor.drain_s + donor.load_s + donor.join_s
        return saved > (1.0 - chance) * theirs * donor_s

    def extra_pays(self, specs, vms: int, spec, free: int) -> bool:
        """Compares idle VMs with the repairs that spares make faster.

        A spare saves the drain of a copy that would be taken from; the
        next ones help only while the ones before are in use. The extra
        copy also stands in for copies of its own group.
        """
        specs = list(specs)
        rate = max(cost_rate(item, item.vms_per_copy - 1) for item in specs)
        losses = self._returns.losses_per_vm_s()
        busy = min(losses * vms * SPARE_BUSY_S, SPARE_BUSY_MAX)
        first = losses * vms * spec.drain_s * rate
        worth = sum(
            first * busy**number
            for number in range(free - spec.vms_per_copy, free)
        )
        covered = (
            losses
            * spec.copies
            * spec.vms_per_copy
            * (spec.load_s + spec.join_s)
            * spec.downtime_weight
            * spec.value
        )
        return spec.stranded_weight * spec.vms_per_copy + covered > worth

    def rest_s(self, outage: Outage, now: float) -> float:
        """Returns how much longer an absence is expected to last.

        Args:
            outage: The outage.
            now: Monotonic seconds.
        """
        return self._returns.expected_s(now - outage.since)


class OraclePolicy(PlannerPolicy):
    """The planner told in advance which members return, and when.

    Only for measurements, as a bound.

    Args:
        returns: Learned lengths of absences.
        return_of: Function from VM to ``(time, same boot)`` of its next
            return; the time is infinite if there is none.
    """

    def __init__(self, returns: _returns.AbsenceModel, return_of):
        super().__init__(returns)
        self._return_of = return_of

    def repair_at(self, spec, outage: Outage, now: float) -> float:
        """Waits only for members that return in time with their boot."""
        if outage.final:
            return now
        back = [self._return_of(vm) for vm in outage.missing]
        same = all(is_same for _at, is_same in back)
        latest = max(at for at, _is_same in back)
        price_s = spec.join_s + (0.0 if outage.warm else spec.load_s)
        if same and latest - now < price_s:
            return NEVER
        if outage.replaceable and not outage.warm:
            return NEVER
        return now

    def rest_s(self, outage: Outage, now: float) -> float:
        """Returns the true rest of the absence."""
        latest = max(self._return_of(vm)[0] for vm in outage.missing)
        return min(max(latest - now, 0.0), _returns.FOREVER_S)

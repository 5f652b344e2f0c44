"""Current observation of each VM, from the probes of all watchers."""

import dataclasses

from plantainway import wire

OBSERVATION_MAX_AGE_S = 3.0  # older observations are ignored


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """State of a VM as probed by ``watcher``, valid at monotonic ``at``."""

    seen: wire.VmState
    at: float
    watcher: str


class VmObservations:
    """Combines own probe results with the reports of other watchers.

    A remote observation stays current while the heartbeats of its watcher
    confirm the report that contains it: a watcher sends a changed report
    before its next heartbeat.

    Args:
        node: Name of the own node.
        book: Member book with the reports of the other nodes.
        clock: Source of monotonic time.
    """

    def __init__(self, node: str, book, clock):
        self._node = node
        self._book = book
        self._clock = clock
        self._own: dict[str, Observation] = {}
        self._watchers: dict[str, set[str]] = {}
        self._reported_vms: dict[str, set[str]] = {}
        self._suspected: dict[str, float] = {}
        self._changes = 0

    def set_own(self, vm: str, seen: wire.VmState, at: float) -> bool:
        """Stores the result of an own probe.

        Args:
            vm: VM that was probed.
            seen: State found by the probe.
            at: Monotonic seconds just before the probe was sent.

        Returns:
            Whether the state differs from that of the previous probe.
        """
        before = self._own.get(vm)
        self._own[vm] = Observation(seen, at, self._node)
        changed = before is None or before.seen != seen
        self._changes += changed
        return changed

    def drop_own(self, vm: str) -> None:
        """Removes the own probe result of a VM that is no longer assigned.

        Args:
            vm: Name of the VM.
        """
        self._changes += 1
        self._own.pop(vm, None)

    def own_seen(self) -> dict[str, wire.VmState]:
        """Returns the states found by the own probes, by VM."""
        return {vm: item.seen for vm, item in self._own.items()}

    def oldest_own_at(self) -> float | None:
        """Returns the monotonic time of the oldest own probe, or ``None``."""
        return min((item.at for item in self._own.values()), default=None)

    def index_report(self, report: wire.NodeReport) -> None:
        """Updates the index of watchers by VM from a report.

        Call it for every report added to the member book.

        Args:
            report: Newest report of a node.
        """
        self._changes += 1
        if report.node == self._node:
            return
        new = set(report.seen)
        old = self._reported_vms.get(report.node, set())
        for vm in old - new:
            self._watchers[vm].discard(report.node)
        for vm in new - old:
            self._watchers.setdefault(vm, set()).add(report.node)
        self._reported_vms[report.node] = new

    def generation(self) -> int:
        """Returns a number that changes whenever an observation may change.

        It does not change when observations expire.
        """
        return self._changes + self._book.change_count

    def mark_suspected(self, vm: str) -> None:
        """Marks a VM after a failed request to it.

        The VM has no current observation until a newer one arrives.

        Args:
            vm: Name of the VM.
        """
        self._changes += 1
        self._suspected[vm] = self._clock.now()

    def current(self, vm: str) -> Observation | None:
        """Returns the observation of a VM to act on.

        Of those not older than ``OBSERVATION_MAX_AGE_S``, one in which the
        VM did not answer takes precedence, otherwise the newest.

        Args:
            vm: Name of the VM.

        Returns:
            Observation, or ``None`` if there is no current one.
        """
        oldest = self._clock.now() - OBSERVATION_MAX_AGE_S
        best = self._own.get(vm)
        if best is not None and best.at < oldest:
            best = None
        for node in self._watchers.get(vm, ()):
            report = self._book.current_report(node)
            if report is None or vm not in report.seen:
                continue
            at = self._book.last_heartbeat_at(node)
            if at < oldest:
                continue
            found = Observation(report.seen[vm], at, node)
            if best is None or _takes_precedence(found, best):
                best = found
        suspected_at = self._suspected.get(vm)
        if suspected_at is not None and best is not None:
            if best.at <= suspected_at:
                return None
            del self._suspected[vm]
        return best


def _takes_precedence(one: Observation, other: Observation) -> bool:
    if one.seen.ok != other.seen.ok:
        return not one.seen.ok
    return one.at > other.at

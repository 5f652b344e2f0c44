"""What is known of each VM from the probes of all watchers."""

import dataclasses

from plantainway import wire

OBSERVATION_MAX_AGE_S = 3.0  # an older sighting counts as none


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """State of a VM, and the monotonic time as of which it held."""

    seen: wire.VmState
    at: float
    watcher: str


class VmObservations:
    """Joins own probes with the reports of other watchers.

    A remote sighting stays fresh while its watcher's beats vouch for the
    report it stands in; a watcher reports a change before it beats again.

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
        self._indexed: dict[str, set[str]] = {}
        self._suspected: dict[str, float] = {}
        self._changes = 0

    def set_own(self, vm: str, seen: wire.VmState, at: float) -> bool:
        """Records the result of an own probe.

        Args:
            vm: VM that was probed.
            seen: What was found.
            at: Monotonic seconds just before the probe was sent.

        Returns:
            Whether anything but the time has changed.
        """
        before = self._own.get(vm)
        self._own[vm] = Observation(seen, at, self._node)
        changed = before is None or before.seen != seen
        self._changes += changed
        return changed

    def drop_own(self, vm: str) -> None:
        """Forgets own probes of a VM that others watch now.

        Args:
            vm: Name of the VM.
        """
        self._changes += 1
        self._own.pop(vm, None)

    def own(self) -> dict[str, wire.VmState]:
        """Returns what the own probes found, by VM."""
        return {vm: item.seen for vm, item in self._own.items()}

    def oldest_own_at(self) -> float | None:
        """Returns the time of the oldest own probe, ``None`` without any."""
        return min((item.at for item in self._own.values()), default=None)

    def index_report(self, report: wire.NodeReport) -> None:
        """Notes which VMs a node watches.

        Args:
            report: Its newest report.
        """
        self._changes += 1
        if report.node == self._node:
            return
        new = set(report.seen)
        old = self._indexed.get(report.node, set())
        for vm in old - new:
            self._watchers[vm].discard(report.node)
        for vm in new - old:
            self._watchers.setdefault(vm, set()).add(report.node)
        self._indexed[report.node] = new

    def generation(self) -> int:
        """Returns a number that changes whenever a sighting may differ.

        Sightings also grow old without any change.
        """
        return self._changes + self._book.change_count

    def mark_suspected(self, vm: str) -> None:
        """Notes that a request to a VM failed.

        The VM counts as lost until a later probe finds it well.

        Args:
            vm: Name of the VM.
        """
        self._changes += 1
        self._suspected[vm] = self._clock.now()

    def current(self, vm: str) -> Observation | None:
        """Returns the sighting to act on.

        Of the fresh ones, one that found the VM lost goes before all
        others; otherwise the newest counts.

        Args:
            vm: Name of the VM.

        Returns:
            A fresh sighting or ``None``.
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
            if best is None or _goes_before(found, best):
                best = found
        suspected_at = self._suspected.get(vm)
        if suspected_at is not None and best is not None:
            if best.at <= suspected_at:
                return None
            del self._suspected[vm]
        return best


def _goes_before(one: Observation, other: Observation) -> bool:
    if one.seen.ok != other.seen.ok:
        return not one.seen.ok
    return one.at > other.at

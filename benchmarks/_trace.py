"""Trace of a replay, its costs and an independent check of invariants.

The check reads only the trace: true absences of VMs, claims, and the
times at which copies received new requests. It shares no code with the
planner.
"""

import collections
import dataclasses

WATCH_DEADLINE_S = 3.0


@dataclasses.dataclass
class Span:
    """Interval in seconds in which a copy receives new requests."""

    copy_id: str
    group: str
    vms: tuple[str, ...]
    since: float
    until: float = float('inf')


class Trace:
    """Records VM absences, claims and serving intervals of a replay."""

    def __init__(self):
        self.spans: list[Span] = []
        self.absences: dict[str, list] = collections.defaultdict(list)
        self.reboots: dict[str, list] = collections.defaultdict(list)
        self.claims: dict[str, list] = collections.defaultdict(list)
        self._open_spans: dict[str, Span] = {}

    def record_vm_down(self, now: float, vm: str) -> None:
        """Records the start of a VM's absence."""
        self.absences[vm].append([now, float('inf')])

    def record_vm_up(self, now: float, vm: str, same_boot: bool) -> None:
        """Records the end of a VM's absence, and a reboot if it had one."""
        self.absences[vm][-1][1] = now
        if not same_boot:
            self.reboots[vm].append(now)

    def record_claim(self, now: float, vm: str, copy_id: str) -> None:
        """Records the copy that claims a VM from now on, empty for none."""
        self.claims[vm].append((now, copy_id))

    def record_serving(
        self, now: float, copy_id: str, group: str, vms
    ) -> None:
        """Records that a copy receives new requests from now on."""
        span = Span(copy_id, group, tuple(vms), now)
        self.spans.append(span)
        self._open_spans[copy_id] = span

    def record_stopped(self, now: float, copy_id: str) -> None:
        """Records that a copy receives no new requests from now on."""
        self._open_spans.pop(copy_id).until = now

    def finish(self, now: float) -> None:
        """Ends all open serving intervals at the end of the replay."""
        for span in self._open_spans.values():
            span.until = now
        self._open_spans.clear()

    def find_violations(self) -> list[str]:
        """Returns one line for each broken invariant.

        A serving copy must have no member that has been absent for longer
        than the watch deadline or that another copy has claimed, and a VM
        must not serve in two copies at once.
        """
        found = []
        for span in self.spans:
            for vm in span.vms:
                found += self._serving_while_absent(span, vm)
                found += self._claimed_by_others(span, vm)
        found += self._vms_in_two_copies()
        return found

    def _serving_while_absent(self, span: Span, vm: str) -> list[str]:
        return [
            f'{span.copy_id} served at {since} s while {vm} was absent'
            for since, until in self.absences[vm]
            if max(since + WATCH_DEADLINE_S, span.since)
            < min(until, span.until)
        ]

    def _claimed_by_others(self, span: Span, vm: str) -> list[str]:
        """Finds times at which a member is claimed by another copy."""
        found = []
        changes = self.claims[vm]
        for index, (since, copy_id) in enumerate(changes):
            until = (
                changes[index + 1][0]
                if index + 1 < len(changes)
                else float('inf')
            )
            if copy_id != span.copy_id and (
                max(since, span.since) < min(until, span.until)
            ):
                found.append(
                    f'{span.copy_id} served with {vm} claimed by {copy_id!r}'
                )
        return found

    def _vms_in_two_copies(self) -> list[str]:
        """Finds VMs that serve in two copies at once."""
        by_vm = collections.defaultdict(list)
        for span in self.spans:
            for vm in span.vms:
                by_vm[vm].append(span)
        found = []
        for vm, spans in by_vm.items():
            spans.sort(key=lambda span: span.since)
            for one, other in zip(spans, spans[1:], strict=False):
                if other.since < one.until:
                    found.append(
                        f'{vm} in both {one.copy_id} and {other.copy_id}'
                    )
        return found

    def compute_costs(self, declared: dict, vms, start: float, end: float):
        """Returns group downtime and stranded accelerator time.

        Args:
            declared: Declared number of copies by group.
            vms: Names of all VMs, one accelerator each.
            start: Start of the period in seconds.
            end: End of the period in seconds.

        Returns:
            Copy-seconds below the declared number, and accelerator-seconds
            of running VMs that are in no serving copy.
        """
        downtime = 0.0
        for group, wanted in declared.items():
            steps = [(start, 0), (end, 0)]
            for span in self.spans:
                if span.group == group and span.until > start:
                    steps.append((max(span.since, start), 1))
                    steps.append((span.until, -1))
            steps.sort()
            serving = 0
            for (at, change), (after, _next) in zip(
                steps, steps[1:], strict=False
            ):
                serving += change
                downtime += max(wanted - serving, 0) * (after - at)
        served = sum(
            (span.until - max(span.since, start)) * len(span.vms)
            for span in self.spans
            if span.until > start
        )
        absent = sum(
            min(until, end) - max(since, start)
            for spans in self.absences.values()
            for since, until in spans
        )
        # An absent member counts as serving until its loss is detected.
        return downtime, (end - start) * len(vms) - absent - served

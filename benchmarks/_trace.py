"""Trace of a replay, its measures, and an independent check.

The check reads only what was traced: true absences of VMs, claims, and
which copies got new work. It shares no code with the planner.
"""

import collections
import dataclasses

WATCH_DEADLINE_S = 3.0


@dataclasses.dataclass
class Span:
    """A copy that gets new work from one time to another."""

    copy_id: str
    group: str
    vms: tuple[str, ...]
    since: float
    until: float = float('inf')


class Trace:
    """What happened in a replay."""

    def __init__(self):
        self.spans: list[Span] = []
        self.absences: dict[str, list] = collections.defaultdict(list)
        self.reboots: dict[str, list] = collections.defaultdict(list)
        self.holds: dict[str, list] = collections.defaultdict(list)
        self._open: dict[str, Span] = {}

    def down(self, now: float, vm: str) -> None:
        """Notes that a VM went away."""
        self.absences[vm].append([now, float('inf')])

    def up(self, now: float, vm: str, same_boot: bool) -> None:
        """Notes that a VM came back."""
        self.absences[vm][-1][1] = now
        if not same_boot:
            self.reboots[vm].append(now)

    def hold(self, now: float, vm: str, copy_id: str) -> None:
        """Notes which copy a VM belongs to from now on."""
        self.holds[vm].append((now, copy_id))

    def serve(self, now: float, copy_id: str, group: str, vms) -> None:
        """Notes that a copy gets new work from now on."""
        span = Span(copy_id, group, tuple(vms), now)
        self.spans.append(span)
        self._open[copy_id] = span

    def stop(self, now: float, copy_id: str) -> None:
        """Notes that a copy gets no more new work."""
        self._open.pop(copy_id).until = now

    def end(self, now: float) -> None:
        """Closes what is open at the end of the replay."""
        for span in self._open.values():
            span.until = now
        self._open.clear()

    def violations(self) -> list[str]:
        """Returns every breach of a promise on groups or VMs."""
        found = []
        for span in self.spans:
            for vm in span.vms:
                found += self._absent_while_serving(span, vm)
                found += self._held_elsewhere(span, vm)
        found += self._shared_vms()
        return found

    def _absent_while_serving(self, span: Span, vm: str) -> list[str]:
        return [
            f'{span.copy_id} served at {since} without {vm}'
            for since, until in self.absences[vm]
            if max(since + WATCH_DEADLINE_S, span.since)
            < min(until, span.until)
        ]

    def _held_elsewhere(self, span: Span, vm: str) -> list[str]:
        """Finds times at which a serving member is another copy's."""
        found = []
        changes = self.holds[vm]
        for index, (since, copy_id) in enumerate(changes):
            until = (
                changes[index + 1][0]
                if index + 1 < len(changes)
                else float('inf')
            )
            if copy_id != span.copy_id and (
                max(since, span.since) < min(until, span.until)
            ):
                found.append(f'{span.copy_id} served with {vm} of {copy_id!r}')
        return found

    def _shared_vms(self) -> list[str]:
        """Finds VMs that served in two copies at once."""
        by_vm = collections.defaultdict(list)
        for span in self.spans:
            for vm in span.vms:
                by_vm[vm].append(span)
        found = []
        for vm, spans in by_vm.items():
            spans.sort(key=lambda span: span.since)
            for one, other in zip(spans, spans[1:], strict=False):
                if other.since < one.until:
                    found.append(f'{vm} in {one.copy_id} and {other.copy_id}')
        return found

    def measures(self, declared: dict, vms, start: float, end: float):
        """Returns group downtime and stranded accelerator time.

        Args:
            declared: Declared copies by group.
            vms: Names of all VMs, one accelerator each.
            start: Start of the period in seconds.
            end: End of the period in seconds.

        Returns:
            Copy-seconds short of the declared number, and
            accelerator-seconds powered outside of serving copies.
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
        # Until a loss is seen, an absent member counts as serving.
        return downtime, (end - start) * len(vms) - absent - served

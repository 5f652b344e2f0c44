"""What a node knows of the other nodes."""

import dataclasses

from plantainway import wire

LIVENESS_TIMEOUT_S = 4.0  # a node unheard of for longer is not live
FORGET_S = 120.0
_MS = 1000


@dataclasses.dataclass(slots=True)
class _Heard:
    incarnation: int
    at: float
    report: int


class MembershipView:
    """Reports and beats of all nodes, the own one included.

    Args:
        node: Name of the own node.
        clock: Source of monotonic time.
    """

    def __init__(self, node: str, clock):
        self._node = node
        self._clock = clock
        self._heard: dict[str, _Heard] = {}
        self.reports: dict[str, wire.NodeReport] = {}
        self.change_count = 0

    def add_report(self, report: wire.NodeReport) -> bool:
        """Keeps a report if it is newer than the one held.

        Args:
            report: Report received or made.

        Returns:
            Whether it was newer.
        """
        held = self.reports.get(report.node)
        if held is not None and (held.incarnation, held.number) >= (
            report.incarnation,
            report.number,
        ):
            return False
        self.reports[report.node] = report
        self.change_count += 1
        return True

    def add_heartbeat(self, beat: wire.Heartbeat) -> bool:
        """Takes in the liveness of a node.

        Args:
            beat: Beat received.

        Returns:
            Whether the report it names is newer than the one held.
        """
        now = self._clock.now()
        at = now - beat.age_ms / _MS
        held = self._heard.get(beat.node)
        if held is None or (beat.incarnation, beat.report) > (
            held.incarnation,
            held.report,
        ):
            self.change_count += 1
        if held is None or beat.incarnation > held.incarnation:
            self._heard[beat.node] = _Heard(beat.incarnation, at, beat.report)
        elif beat.incarnation == held.incarnation:
            held.at = max(held.at, at)
            held.report = max(held.report, beat.report)
        else:
            return False
        report = self.reports.get(beat.node)
        return report is None or (report.incarnation, report.number) < (
            beat.incarnation,
            beat.report,
        )

    def beat_of(self, node: str) -> wire.Heartbeat | None:
        """Returns the beat of a node as of now.

        Args:
            node: Name of the node.
        """
        held = self._heard.get(node)
        if held is None:
            return None
        age_ms = int((self._clock.now() - held.at) * _MS)
        return wire.Heartbeat(
            node, held.incarnation, max(age_ms, 0), held.report
        )

    def last_heartbeat_at(self, node: str) -> float | None:
        """Returns when a node last beat, in local monotonic seconds.

        Args:
            node: Name of the node.
        """
        held = self._heard.get(node)
        return held.at if held else None

    def current_report(self, node: str) -> wire.NodeReport | None:
        """Returns the report that a node's last beat stands for.

        Args:
            node: Name of the node.

        Returns:
            The report, or ``None`` if the newest one has not arrived.
        """
        held = self._heard.get(node)
        report = self.reports.get(node)
        if held is None or report is None:
            return None
        if report.incarnation != held.incarnation:
            return None
        return report if report.number >= held.report else None

    def live_reports(self) -> dict[str, wire.NodeReport]:
        """Returns the reports of the live nodes, leaving ones included."""
        now = self._clock.now()
        return {
            node: report
            for node, report in self.reports.items()
            if node == self._node
            or (
                node in self._heard
                and now - self._heard[node].at < LIVENESS_TIMEOUT_S
                and self._heard[node].incarnation == report.incarnation
            )
        }

    def remove(self, node: str) -> None:
        """Forgets a node that has left.

        Args:
            node: Name of the node.
        """
        self.change_count += 1
        self._heard.pop(node, None)
        self.reports.pop(node, None)

    def expire(self) -> list[str]:
        """Forgets nodes that have been silent for long.

        Returns:
            Their names.
        """
        limit = self._clock.now() - FORGET_S
        gone = [
            node
            for node, held in self._heard.items()
            if held.at < limit and node != self._node
        ]
        for node in gone:
            self.remove(node)
        return gone

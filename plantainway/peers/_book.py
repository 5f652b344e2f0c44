"""Membership and liveness of all nodes, as known at this node."""

import dataclasses

from plantainway import wire

LIVENESS_TIMEOUT_S = 4.0  # a node without a heartbeat for so long is not live
RETENTION_S = 120.0  # a node silent for longer is removed
_MS_PER_S = 1000


@dataclasses.dataclass(slots=True)
class _Liveness:
    incarnation: int
    heartbeat_at: float
    report_number: int


class MembershipView:
    """Newest report and heartbeat of each node, this one included.

    Args:
        node: Name of this node.
        clock: Source of monotonic time.
    """

    def __init__(self, node: str, clock):
        self._node = node
        self._clock = clock
        self._liveness: dict[str, _Liveness] = {}
        self.reports: dict[str, wire.NodeReport] = {}
        self.change_count = 0

    def add_report(self, report: wire.NodeReport) -> bool:
        """Stores a report if it is newer than the stored one.

        Args:
            report: Report of any node, received or of this node.

        Returns:
            Whether the report was newer and has been stored.
        """
        known = self.reports.get(report.node)
        if known is not None and (known.incarnation, known.number) >= (
            report.incarnation,
            report.number,
        ):
            return False
        self.reports[report.node] = report
        self.change_count += 1
        return True

    def add_heartbeat(self, beat: wire.Heartbeat) -> bool:
        """Updates the liveness of a node.

        A heartbeat of an older incarnation has no effect.

        Args:
            beat: Heartbeat received, directly or relayed.

        Returns:
            Whether the heartbeat names a newer report than the stored one,
            so that the report must be requested.
        """
        now = self._clock.now()
        heartbeat_at = now - beat.age_ms / _MS_PER_S
        known = self._liveness.get(beat.node)
        if known is None or (beat.incarnation, beat.report) > (
            known.incarnation,
            known.report_number,
        ):
            self.change_count += 1
        if known is None or beat.incarnation > known.incarnation:
            self._liveness[beat.node] = _Liveness(
                beat.incarnation, heartbeat_at, beat.report
            )
        elif beat.incarnation == known.incarnation:
            known.heartbeat_at = max(known.heartbeat_at, heartbeat_at)
            known.report_number = max(known.report_number, beat.report)
        else:
            return False
        report = self.reports.get(beat.node)
        return report is None or (report.incarnation, report.number) < (
            beat.incarnation,
            beat.report,
        )

    def heartbeat_of(self, node: str) -> wire.Heartbeat | None:
        """Returns the heartbeat of a node, aged to the present.

        Args:
            node: Name of the node.

        Returns:
            The heartbeat to relay, or ``None`` if none has been received.
        """
        known = self._liveness.get(node)
        if known is None:
            return None
        age_ms = int((self._clock.now() - known.heartbeat_at) * _MS_PER_S)
        return wire.Heartbeat(
            node, known.incarnation, max(age_ms, 0), known.report_number
        )

    def last_heartbeat_at(self, node: str) -> float | None:
        """Returns the time of a node's newest heartbeat.

        Args:
            node: Name of the node.

        Returns:
            Local monotonic seconds, or ``None`` without a heartbeat.
        """
        known = self._liveness.get(node)
        return known.heartbeat_at if known else None

    def current_report(self, node: str) -> wire.NodeReport | None:
        """Returns the report that a node's newest heartbeat confirms.

        Args:
            node: Name of the node.

        Returns:
            The report, or ``None`` if the report that the heartbeat names
            has not arrived or the node is unknown.
        """
        known = self._liveness.get(node)
        report = self.reports.get(node)
        if known is None or report is None:
            return None
        if report.incarnation != known.incarnation:
            return None
        return report if report.number >= known.report_number else None

    def live_reports(self) -> dict[str, wire.NodeReport]:
        """Returns the reports of all live nodes by name.

        This node always counts as live; leaving nodes are included.
        """
        now = self._clock.now()
        return {
            node: report
            for node, report in self.reports.items()
            if node == self._node
            or (
                node in self._liveness
                and now - self._liveness[node].heartbeat_at
                < LIVENESS_TIMEOUT_S
                and self._liveness[node].incarnation == report.incarnation
            )
        }

    def remove(self, node: str) -> None:
        """Removes the report and the liveness of a node.

        Args:
            node: Name of the node.
        """
        self.change_count += 1
        self._liveness.pop(node, None)
        self.reports.pop(node, None)

    def remove_expired(self) -> list[str]:
        """Removes the nodes without a heartbeat for ``RETENTION_S``.

        Returns:
            Names of the removed nodes.
        """
        oldest_kept_at = self._clock.now() - RETENTION_S
        expired = [
            node
            for node, known in self._liveness.items()
            if known.heartbeat_at < oldest_kept_at and node != self._node
        ]
        for node in expired:
            self.remove(node)
        return expired

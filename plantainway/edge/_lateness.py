"""Measures how late the event loop of a node runs."""

import asyncio

from plantainway import logs
from plantainway import metrics

PROBE_INTERVAL_S = 0.25
LATE_MIN_S = 0.25  # lateness that is logged


class LoopMonitor:
    """Records by how much the event loop runs its timers late.

    A late loop delays everything that the node does: closes of clients are
    seen late, and so are changes of the configuration.

    Args:
        is_leader: Function that returns whether this node leads.
        clock: Source of monotonic time.

    Attributes:
        lateness: Histogram of the lateness, for the metrics.
    """

    def __init__(self, is_leader, clock):
        self._is_leader = is_leader
        self._clock = clock
        self.lateness = metrics.LatencyHistogram()

    async def run(self) -> None:
        """Probes the loop until cancelled."""
        while True:
            due_at = self._clock.now() + PROBE_INTERVAL_S
            await asyncio.sleep(PROBE_INTERVAL_S)
            self._record(self._clock.now() - due_at)

    def _record(self, late_s: float) -> None:
        self.lateness.record(max(late_s, 0.0))
        if late_s >= LATE_MIN_S:
            logs.event(
                'loop_late',
                'WARNING',
                late_ms=int(late_s * 1000),
                leads=self._is_leader(),
            )

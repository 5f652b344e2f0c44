"""Log lines and counters of how requests ended."""

import collections

from plantainway import logs
from plantainway import metrics


class OutcomeRecorder:
    """Counts how requests ended and logs each decision on them.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self.end_counts: collections.Counter = collections.Counter()
        self.first_event_latency = metrics.LatencyHistogram()
        self.request_latency = metrics.LatencyHistogram()

    def decided(self, req, step: str, **inputs) -> None:
        """Logs a decision on a request that goes on.

        Args:
            req: The request.
            step: What was decided.
            inputs: What decided it, with ages or versions.
        """
        logs.event(
            step,
            'INFO',
            request=req.request_id,
            at_ms=self._ms(req),
            **inputs,
        )

    def note_first(self, req) -> None:
        """Notes the first event of a stream.

        Args:
            req: The request.
        """
        self.first_event_latency.record(self._clock.now() - req.arrived_at)

    def note_end(self, req, route, end: str, **inputs) -> None:
        """Logs and counts the end of a request.

        Args:
            req: The request.
            route: Its route, ``None`` if it has none.
            end: How it ended.
            inputs: What decided it.
        """
        kind = route.kind.value if route is not None else 'none'
        self.end_counts[(kind, end)] += 1
        self.request_latency.record(self._clock.now() - req.arrived_at)
        logs.event(
            'request_ended',
            request=req.request_id,
            route=route.name if route is not None else '',
            end=end,
            at_ms=self._ms(req),
            **inputs,
        )

    def _ms(self, req) -> int:
        return int((self._clock.now() - req.arrived_at) * 1000)

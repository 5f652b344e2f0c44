"""Log events, counters and latencies of requests."""

import collections

from plantainway import logs
from plantainway import metrics


class OutcomeRecorder:
    """Logs decisions on requests, counts and logs how they ended.

    ``end_counts`` is keyed by route kind and end, ``attempt_counts`` by
    whether the request was sent before. ``first_event_latency`` and
    ``request_latency`` measure from the arrival of a request to the first
    event of its stream and to its end.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self.end_counts: collections.Counter = collections.Counter()
        self.attempt_counts: collections.Counter = collections.Counter()
        self.first_event_latency = metrics.LatencyHistogram()
        self.request_latency = metrics.LatencyHistogram()

    def log_decision(self, req, event: str, **inputs) -> None:
        """Logs a decision taken while a request is in progress.

        Args:
            req: The request.
            event: Name of the log event.
            inputs: Values on which the decision was based, as log keys.
        """
        logs.event(
            event,
            'INFO',
            request=req.request_id,
            at_ms=self._elapsed_ms(req),
            **inputs,
        )

    def record_attempt(self, is_repeated: bool) -> None:
        """Counts one sending of a request to an upstream.

        Args:
            is_repeated: Whether the request was sent before.
        """
        self.attempt_counts[is_repeated] += 1

    def record_first_event(self, req) -> None:
        """Records the latency of the first event of a stream.

        Args:
            req: The request.
        """
        self.first_event_latency.record(self._clock.now() - req.arrived_at)

    def record_end(self, req, route, end: str, **inputs) -> None:
        """Logs and counts the end of a request and records its latency.

        Args:
            req: The request.
            route: Its route, ``None`` if none was found.
            end: How it ended, as a metric label.
            inputs: Values that explain the end, as log keys.
        """
        kind = route.kind.value if route is not None else 'none'
        self.end_counts[(kind, end)] += 1
        self.request_latency.record(self._clock.now() - req.arrived_at)
        logs.event(
            'request_ended',
            request=req.request_id,
            route=route.name if route is not None else '',
            end=end,
            at_ms=self._elapsed_ms(req),
            **inputs,
        )

    def _elapsed_ms(self, req) -> int:
        return int((self._clock.now() - req.arrived_at) * 1000)

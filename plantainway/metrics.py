"""Metrics of a node in the Prometheus text format."""

from hdrh import histogram
import prometheus_client
from prometheus_client import core

LATENCY_MAX_US = 3600 * 1_000_000
LATENCY_SIGNIFICANT_DIGITS = 3
QUANTILES = (0.5, 0.95, 0.99)
US = 1_000_000


class LatencyHistogram:
    """Latency histogram with bounded memory."""

    def __init__(self):
        self._hist = histogram.HdrHistogram(
            1, LATENCY_MAX_US, LATENCY_SIGNIFICANT_DIGITS
        )
        self._sum_s = 0.0

    def record(self, seconds: float) -> None:
        """Adds one latency to the histogram.

        Args:
            seconds: Latency in seconds.
        """
        self._sum_s += seconds
        self._hist.record_value(max(int(seconds * US), 1))

    def to_metric(self, name: str, text: str):
        """Returns quantiles, count and sum as a summary metric.

        Args:
            name: Name of the metric.
            text: Its help text.
        """
        family = core.Metric(name, text, 'summary')
        for quantile in QUANTILES:
            value = self._hist.get_value_at_percentile(quantile * 100) / US
            family.add_sample(name, {'quantile': str(quantile)}, value)
        count = self._hist.get_total_count()
        family.add_sample(f'{name}_count', {}, count)
        family.add_sample(f'{name}_sum', {}, self._sum_s)
        return family


class NodeCollector:
    """Prometheus collector for the metrics of one node.

    Args:
        dump: Function that returns the state of all tasks.
        outcomes: Counts of finished chat requests by outcome.
        first_piece: Latency until the first piece of an answer.
    """

    def __init__(self, dump, outcomes, first_piece: LatencyHistogram):
        self._dump = dump
        self._outcomes = outcomes
        self._first_piece = first_piece

    def collect(self):
        """Yields the metric families."""
        state = self._dump()
        for name, text, value in (
            ('in_progress', 'Requests in progress', state['in_progress']),
            ('revision', 'Revision in force', state['objects']['revision']),
            ('nodes_live', 'Live nodes', len(state['peers']['live'])),
            ('links', 'Links to other nodes', len(state['peers']['links'])),
            ('vms_watched', 'VMs probed', len(state['watch']['watching'])),
        ):
            yield core.GaugeMetricFamily(f'plantainway_{name}', text, value)
        copies = core.GaugeMetricFamily(
            'plantainway_copies', 'Copies by verdict', labels=['verdict']
        )
        counts = {}
        for copy in state['routes'].values():
            verdict = copy['verdict'].partition(' ')[0]
            counts[verdict] = counts.get(verdict, 0) + 1
        for verdict, count in sorted(counts.items()):
            copies.add_metric([verdict], count)
        yield copies
        sent = core.CounterMetricFamily(
            'plantainway_inner_bytes',
            'Payload bytes between nodes',
            labels=['direction'],
        )
        for direction, count in zip(
            ('out', 'in'), state['peers']['bytes'], strict=True
        ):
            sent.add_metric([direction], count)
        yield sent
        chats = core.CounterMetricFamily(
            'plantainway_chats', 'Chat requests ended', labels=['end']
        )
        for end, count in sorted(self._outcomes.items()):
            chats.add_metric([end], count)
        yield chats
        yield self._first_piece.to_metric(
            'plantainway_first_piece_seconds', 'Time to the first piece'
        )


def render_text(collector: NodeCollector) -> bytes:
    """Returns all metrics in the Prometheus text format.

    Args:
        collector: Collector of the node.
    """
    registry = prometheus_client.CollectorRegistry(auto_describe=False)
    registry.register(collector)
    return prometheus_client.generate_latest(registry)

"""Prometheus metrics of a node on the platform."""

import prometheus_client
from prometheus_client import core


class EdgeCollector:
    """Builds the metric families from the state of a node on each scrape.

    Args:
        node: The node.
    """

    def __init__(self, node):
        self._node = node

    def collect(self):
        """Yields the metric families."""
        state = self._node.dump()
        for name, text, value in (
            ('in_progress', 'Requests in progress', state['in_progress']),
            ('configuration', 'Version in force', state['configuration']),
            ('nodes', 'Nodes known', len(state['nodes'])),
            ('upstreams', 'Upstreams known', state['upstreams']),
            (
                'evacuated_zones',
                'Failure domains to which nothing is sent',
                len(state['evacuated_zones']),
            ),
            (
                'quarantined_parts',
                'Parts of prompts that are refused or on probation',
                len(state['quarantined_parts']),
            ),
            (
                'cold_upstreams',
                'Upstreams that are cold, which limits their rate',
                len(state['cold_upstreams']),
            ),
            ('leads', 'Whether the node leads', int(state['leads'])),
            ('store_calls', 'Calls to the store', state['store_calls']),
        ):
            yield core.GaugeMetricFamily(f'plantainway_{name}', text, value)
        ages = core.GaugeMetricFamily(
            'plantainway_table_age_seconds',
            'Since when a table is known to be current',
            labels=['table'],
        )
        for table, age in state['ages_s'].items():
            ages.add_metric([table], age)
        yield ages
        waiting = core.GaugeMetricFamily(
            'plantainway_waiting', 'Requests waiting', labels=['model']
        )
        for model, count in state['queues'].items():
            waiting.add_metric([model], count)
        yield waiting
        for name, text in (
            ('yielded', 'Requests that left headroom to more urgent ones'),
            ('shed', 'Requests refused that could no longer be on time'),
        ):
            family = core.CounterMetricFamily(
                f'plantainway_{name}', text, labels=['model']
            )
            for model, count in state[name].items():
                family.add_metric([model], count)
            yield family
        ended = core.CounterMetricFamily(
            'plantainway_requests', 'Requests ended', labels=['kind', 'end']
        )
        outcomes = self._node.outcomes
        for (kind, end), count in sorted(outcomes.end_counts.items()):
            ended.add_metric([kind, end], count)
        yield ended
        attempts = core.CounterMetricFamily(
            'plantainway_attempts', 'Requests sent', labels=['repeated']
        )
        for repeated, count in sorted(outcomes.attempt_counts.items()):
            attempts.add_metric([str(repeated).lower()], count)
        yield attempts
        limits = core.GaugeMetricFamily(
            'plantainway_upstream_limit',
            'Requests a second that an upstream in need takes of all nodes',
            labels=['upstream'],
        )
        for upstream, per_second in state['upstream_limits'].items():
            limits.add_metric([upstream], per_second)
        yield limits
        yield from _model_gauges(state['groups'])
        yield from self._client_metrics(state['clients'])
        yield core.CounterMetricFamily(
            'plantainway_relayed_bytes',
            'Bytes of updates sent to other nodes as leader',
            state['relayed_bytes'],
        )
        yield self._node.loop_lateness.to_metric(
            'plantainway_loop_late_seconds', 'Lateness of the event loop'
        )
        yield outcomes.first_event_latency.to_metric(
            'plantainway_first_event_seconds', 'Time to the first event'
        )
        yield outcomes.request_latency.to_metric(
            'plantainway_request_seconds', 'Time to the end of a request'
        )

    def _client_metrics(self, clients: dict):
        held = core.GaugeMetricFamily(
            'plantainway_held_bytes',
            'Bytes held for clients',
            labels=['kind'],
        )
        held.add_metric(['upload'], clients['upload_bytes'])
        held.add_metric(['answer'], clients['answer_bytes'])
        yield held
        opened = core.GaugeMetricFamily(
            'plantainway_client_connections',
            'Open connections of clients',
            labels=['listener'],
        )
        for listener, count in clients['connections'].items():
            opened.add_metric([listener], count)
        yield opened
        limited = core.CounterMetricFamily(
            'plantainway_clients_limited',
            'Clients refused or closed',
            labels=['reason'],
        )
        for reason, count in sorted(clients['ended'].items()):
            limited.add_metric([reason], count)
        yield limited


def _model_gauges(groups):
    """Yields the demand and the groups of each model, on the leader only."""
    for key, name, text in (
        ('busy', 'busy_groups', 'Groups that the demand for a model needs'),
        ('groups', 'model_groups', 'Groups of a model, except closing ones'),
        ('base', 'model_base_groups', 'Groups of a model kept at all times'),
    ):
        gauge = core.GaugeMetricFamily(
            f'plantainway_{name}', text, labels=['service', 'model']
        )
        for service, controller in groups.items():
            for model, figures in controller['models'].items():
                gauge.add_metric([service, model], figures[key])
        yield gauge


def exposition(node) -> bytes:
    """Returns all metrics in the Prometheus text format.

    Args:
        node: The node.
    """
    registry = prometheus_client.CollectorRegistry(auto_describe=False)
    registry.register(EdgeCollector(node))
    return prometheus_client.generate_latest(registry)

"""Entry of requests: route, account, service, and the end of each."""

import collections.abc
import dataclasses
import random

from plantainway import clock as clocks
from plantainway import deployment
from plantainway.traffic import _budget
from plantainway.traffic import _heads
from plantainway.traffic import _health
from plantainway.traffic import _loads
from plantainway.traffic import _outcomes
from plantainway.traffic import _plain
from plantainway.traffic import _stalls
from plantainway.traffic import _stream
from plantainway.traffic import _types

NO_CONFIGURATION_RETRY_S = 0.3  # a node has read it within some 20 ms


@dataclasses.dataclass
class Dependencies:
    """What the runners of requests share; each member has one owner.

    ``on_failure`` is called with an upstream, a reason and whether it is
    left out now; ``on_stream_request`` with a service, a stream's request
    and the profile of the service's engines.
    """

    clock: clocks.BaseClock
    upstreams: deployment.UpstreamRegistry
    client: _types.BaseUpstreamClient
    health: _health.HealthTracker
    loads: _loads.LoadTracker
    stalls: _stalls.StallDetector
    heads: _heads.HeadPool
    budget: _budget.RetryBudget
    outcomes: _outcomes.OutcomeRecorder
    on_failure: collections.abc.Callable | None = None
    on_stream_request: collections.abc.Callable | None = None

    def forget(self, upstream: deployment.Upstream) -> None:
        """Forgets an upstream that is gone.

        Args:
            upstream: The upstream.
        """
        for book in (self.heads, self.health, self.stalls):
            book.forget(upstream.name)

    def note_failed(self, upstream, reason: str, certain=False) -> None:
        """Notes a failure of an upstream.

        Args:
            upstream: The upstream.
            reason: What went wrong.
            certain: Whether one failure is proof enough.
        """
        ejected = self.health.note_failed(upstream.name, certain)
        if self.on_failure is not None:
            self.on_failure(upstream, reason, ejected)


class Gateway:
    """Serves decoded requests under the configuration in force.

    Args:
        parts: What the runners share.
        rng: Source of randomness for weighted services.
    """

    def __init__(self, parts: Dependencies, rng: random.Random):
        self._parts = parts
        self._rng = rng
        self._plain = _plain.PlainRunner(parts)
        self._stream = _stream.StreamRunner(parts)
        self._cfg: deployment.Configuration | None = None
        self.in_progress = 0

    def configure(self, cfg: deployment.Configuration) -> None:
        """Puts a configuration in force.

        Args:
            cfg: The configuration, newer than the last.
        """
        self._cfg = cfg

    def limits(self) -> deployment.Limits:
        """Returns the limits in force."""
        return self._cfg.limits if self._cfg else deployment.Limits()

    async def handle(self, req, sink):
        """Serves a request.

        Args:
            req: The request.
            sink: Where a streamed answer goes.

        Returns:
            The answer, or ``None`` once the sink was used.
        """
        self.in_progress += 1
        route, end = None, 'cancelled'
        answer = None
        cfg = self._cfg
        try:
            if cfg is None:
                answer = _types.Response(
                    503,
                    retry_after_s=NO_CONFIGURATION_RETRY_S,
                    reason='no configuration yet',
                )
            else:
                route = cfg.routes.find(req.host.partition(':')[0], req.path)
                answer = await self._handle(req, route, cfg, sink)
            end = _end(answer)
            return answer
        finally:
            self.in_progress -= 1
            self._parts.outcomes.note_end(
                req,
                route,
                end,
                status=answer.status if answer else 0,
                reason=answer.reason if answer else '',
                configuration=cfg.version if cfg else 0,
            )

    async def _handle(self, req, route, cfg, sink):
        if route is None:
            return _types.Response(404, reason='no route')
        account = ''
        rank = route.priority
        if cfg.requires_api_key and not route.anonymous:
            holder = cfg.find_account(req.key)
            if holder is None:
                return _types.Response(401, reason='unknown key')
            account = holder.name
            if holder.priority is not None:
                rank = holder.priority
        service = _choose_service(route, self._rng)
        if service is None:
            return _types.Response(503, reason='route without a service')
        self._parts.budget.note_request(service)
        if route.kind is deployment.RouteKind.STREAM:
            engine = cfg.engines.get(service)
            if (
                self._parts.on_stream_request is not None
                and engine is not None
            ):
                self._parts.on_stream_request(service, req, engine)
            return await self._stream.serve(
                req, route, service, account, rank, sink, engine
            )
        return await self._plain.serve(req, route, service, account)


def _end(answer) -> str:
    if answer is None:
        return 'served'
    if answer.status < 400:
        return 'served'
    if answer.reason:
        return 'refused' if answer.status in (429, 503) else 'failed'
    return 'passed_on'


def _choose_service(route, rng: random.Random) -> str | None:
    """Chooses one of a route's services by weight."""
    if len(route.split) < 2:
        return route.split[0][0] if route.split else None
    names = [name for name, _weight in route.split]
    weights = [max(weight, 0.0) for _name, weight in route.split]
    if not any(weights):
        return None
    return rng.choices(names, weights)[0]

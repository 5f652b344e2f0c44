"""Entry point of requests: finds route, client account and service."""

import asyncio
import collections.abc
import dataclasses
import random

from plantainway import clock as clocks
from plantainway import deployment
from plantainway import errors
from plantainway import quarantine as quarantines
from plantainway.traffic import _budget
from plantainway.traffic import _heads
from plantainway.traffic import _health
from plantainway.traffic import _links
from plantainway.traffic import _loads
from plantainway.traffic import _outcomes
from plantainway.traffic import _pauses
from plantainway.traffic import _plain
from plantainway.traffic import _rates
from plantainway.traffic import _relay
from plantainway.traffic import _stalls
from plantainway.traffic import _stream
from plantainway.traffic import _types

NO_CONFIGURATION_RETRY_AFTER_S = 0.3  # it is read within about 20 ms
GATEWAY_TIMEOUT = 504


@dataclasses.dataclass
class Dependencies:
    """Components that the request runners share; each has a single owner.

    ``on_failure`` is called with an upstream, the reason and whether this
    failure ejected it; ``on_stream_request`` with the name of a service, the
    request for a stream and the profile of the service's engines.
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
    quarantine: quarantines.Quarantine
    evidence: quarantines.EvidenceRecorder
    rates: _rates.RateGate
    links: _links.LinkMonitor
    relay: _relay.Relay
    pauses: _pauses.PauseBook
    on_failure: collections.abc.Callable | None = None
    on_stream_request: collections.abc.Callable | None = None

    def forget(self, upstream: deployment.Upstream) -> None:
        """Drops the state of an upstream that no longer exists.

        Its health, its stalls, its limit, its pause and whether it is closed
        or full are dropped.
        Its load is kept, since each request is subtracted when it ends.

        Args:
            upstream: The upstream.
        """
        for tracker in (
            self.heads,
            self.health,
            self.stalls,
            self.rates,
            self.pauses,
        ):
            tracker.forget(upstream.name)

    async def send(self, attempt: _types.Attempt):
        """Counts an attempt and sends it.

        Args:
            attempt: The attempt.

        Returns:
            The response, whose body is still to be read.

        Raises:
            UpstreamError: If no response came.
        """
        self.outcomes.record_attempt(attempt.is_repeated)
        return await self.client.send(attempt)

    def record_failure(self, upstream, reason: str, eject_now=False) -> None:
        """Counts a failure of an upstream and calls ``on_failure``.

        While this node has lost its links, nothing is counted against the
        upstream.

        Args:
            upstream: The upstream.
            reason: What went wrong, passed to ``on_failure``.
            eject_now: Whether this failure alone ejects the upstream.
        """
        self.links.record_failure(upstream.name)
        if self.links.is_lost:
            return
        ejected = self.health.record_failure(upstream.name, eject_now)
        if ejected:
            self.heads.warmup.handle_ejected(upstream)
        if self.on_failure is not None:
            self.on_failure(upstream, reason, ejected)


class Gateway:
    """Serves decoded requests under the configuration in force.

    ``in_progress`` is the number of requests being served.

    Args:
        deps: Components that the request runners share.
        rng: Source of randomness for the choice among weighted services.
    """

    def __init__(self, deps: Dependencies, rng: random.Random):
        self._deps = deps
        self._rng = rng
        self._plain = _plain.PlainRunner(deps, rng)
        self._stream = _stream.StreamRunner(deps)
        self._cfg: deployment.Configuration | None = None
        self._scopes: set[asyncio.Timeout] = set()
        self._ends_at: float | None = None
        self._refuses_long_from = float('inf')
        self.in_progress = 0

    def configure(self, cfg: deployment.Configuration) -> None:
        """Puts a configuration in force for all requests that arrive later.

        Args:
            cfg: A newer configuration than the current one.
        """
        self._cfg = cfg
        self._deps.relay.configuration = cfg.version
        self._deps.heads.configure(cfg.engines, cfg.ranked_services)

    def end_at(self, ends_at: float, refuse_long_from: float) -> None:
        """Sets when this node has to have answered all requests.

        Requests that are still unanswered then get 504, streams that have
        begun are aborted. Streams that would last longer, as others of their
        service do, are refused from now on.

        Args:
            ends_at: Monotonic seconds.
            refuse_long_from: Monotonic seconds from which requests are refused
                that may last until after ``ends_at``. Clients that come so
                late have an old answer of the directory.
        """
        self._ends_at = ends_at
        self._refuses_long_from = refuse_long_from
        self._stream.end_at(ends_at)
        for scope in self._scopes:
            if scope.when() is None:
                scope.reschedule(self._loop_time_of(ends_at))

    def _loop_time_of(self, at: float) -> float:
        loop = asyncio.get_running_loop()
        return loop.time() + at - self._deps.clock.now()

    def _is_too_late(self, req, route) -> bool:
        if self._deps.clock.now() < self._refuses_long_from:
            return False
        lasts_until = min(
            req.deadline, req.arrived_at + route.timeout_ms / 1000
        )
        return lasts_until > self._ends_at

    def limits(self) -> deployment.Limits:
        """Returns the limits in force, defaults before any configuration."""
        return self._cfg.limits if self._cfg else deployment.Limits()

    async def handle(self, req, sink):
        """Serves a request, then logs and counts how it ended.

        A request that raises, as when its client leaves, is counted as
        ``cancelled``, a stream that had begun and was not completed as
        ``aborted``.

        Args:
            req: The request.
            sink: Receives a streamed response.

        Returns:
            The response, or ``None`` if the sink was used, even if its stream
            was aborted.
        """
        self.in_progress += 1
        route, end = None, 'cancelled'
        response = None
        cfg = self._cfg
        try:
            if cfg is None:
                response = _types.Response(
                    503,
                    retry_after_s=NO_CONFIGURATION_RETRY_AFTER_S,
                    reason='configuration not loaded yet',
                )
            elif cfg.version < req.min_configuration:
                response = _types.Response(
                    503,
                    retry_after_s=NO_CONFIGURATION_RETRY_AFTER_S,
                    reason='configuration is older than at the other node',
                )
            else:
                route = cfg.routes.find(req.host.partition(':')[0], req.path)
                response = await self._handle_in_time(req, route, cfg, sink)
            end = _end_label(response, sink)
            return response
        finally:
            self.in_progress -= 1
            self._deps.outcomes.record_end(
                req,
                route,
                end,
                status=response.status if response else 0,
                reason=_end_reason(response, sink),
                begun=sink is not None and sink.is_started,
                stopping=self._ends_at is not None,
                configuration=cfg.version if cfg else 0,
            )

    async def _handle_in_time(self, req, route, cfg, sink):
        """Handles a request until this node ends at the latest."""
        when = None
        if self._ends_at is not None:
            when = self._loop_time_of(self._ends_at)
        scope = asyncio.timeout_at(when)
        self._scopes.add(scope)
        try:
            async with scope:
                return await self._handle(req, route, cfg, sink)
        except TimeoutError:
            if not scope.expired():
                raise
            if sink is not None and sink.is_started:
                if not sink.is_finished:
                    sink.abort('node ends')
                return None
            return _types.Response(GATEWAY_TIMEOUT, reason='node ends')
        finally:
            self._scopes.discard(scope)

    async def _handle(self, req, route, cfg, sink):
        if route is None:
            return _types.Response(
                404, reason='no route matches host and path'
            )
        account_name = ''
        priority = route.priority
        if cfg.requires_api_key and not route.anonymous:
            account = cfg.find_account(req.key)
            if account is None:
                return _types.Response(401, reason='unknown client key')
            account_name = account.name
            if account.priority is not None:
                priority = account.priority
        if self._is_too_late(req, route):
            return _types.Response(
                503,
                retry_after_s=_stream.LEAVING_RETRY_AFTER_S,
                reason='node ends before the request may',
            )
        service = _choose_service(route, self._rng)
        if service is None:
            return _types.Response(503, reason='route has no weighted service')
        req.add_fingerprint(account_name)
        try:
            self._deps.quarantine.ensure_allowed(req.crash_keys)
        except errors.NotRunError as exc:
            return _types.Response(
                503, retry_after_s=exc.retry_after_s, reason=exc.message
            )
        if not req.is_relayed:  # the first node counts it
            self._deps.budget.record_request(service)
        if route.kind is deployment.RouteKind.STREAM:
            engine = cfg.engines.get(service)
            if self._deps.on_stream_request is not None and engine is not None:
                self._deps.on_stream_request(service, req, engine)
            return await self._stream.serve(
                req, route, service, account_name, priority, sink, engine
            )
        return await self._plain.serve(req, route, service, account_name)


def _end_reason(response, sink) -> str:
    if response is not None:
        return response.reason
    return sink.abort_reason if sink is not None else ''


def _end_label(response, sink) -> str:
    """Returns the ``end`` label under which a request is counted.

    Error responses of upstreams carry no reason; they are passed on.
    """
    if response is None:
        return 'aborted' if sink.abort_reason else 'served'
    if response.status < 400:
        return 'served'
    if response.reason:
        return 'refused' if response.status in (429, 503) else 'failed'
    return 'passed_on'


def _choose_service(route, rng: random.Random) -> str | None:
    """Returns one of a route's services, chosen at random by weight.

    Returns ``None`` if the route has no service or all weights are zero.
    """
    if len(route.split) < 2:
        return route.split[0][0] if route.split else None
    names = [name for name, _weight in route.split]
    weights = [max(weight, 0.0) for _name, weight in route.split]
    if not any(weights):
        return None
    return rng.choices(names, weights)[0]

"""Serves requests through another node that reaches the upstreams.

Used while this node has lost its links. A request is relayed once: the other
node tries its own upstreams only.
"""

import abc
import dataclasses

from plantainway import errors
from plantainway import logs
from plantainway.traffic import _queue
from plantainway.traffic import _types

NODES_TRIED_MAX = 2  # a second one if the first did not run the request
RELAYED_MAX = 256  # requests in progress through other nodes
FAILED_NODE_PAUSE_S = 1.0  # another node is chosen meanwhile
RETRY_AFTER_S = 0.5
REFUSALS = (408, 421, 429, 503)  # of another node: the request has not run
BAD_GATEWAY = 502


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedAttempt:
    """A request for another node.

    ``deadline`` is in monotonic seconds. ``max_runs`` is how often the
    request may still run, ``configuration`` the version that the node has to
    know at least. ``last_event_id`` is that of a stream to be resumed.
    """

    request: _types.Request
    deadline: float
    max_runs: int
    configuration: int
    last_event_id: int | None = None


class BaseRelayClient(abc.ABC):
    """Sends requests to other nodes."""

    @abc.abstractmethod
    async def relay(
        self, attempt: RelayedAttempt, node
    ) -> _types.BaseUpstreamResponse:
        """Sends a request once and waits for status and headers.

        Args:
            attempt: The request.
            node: The node, with its address for relayed requests.

        Raises:
            UpstreamError: If no response came; its ``sent`` tells whether the
                request may have reached the node.
        """


class Relay:
    """Chooses other nodes and passes their responses on.

    Args:
        client: Sends requests to other nodes.
        nodes: Function that returns the other nodes that reach upstreams.
        links: Monitor of this node's own links.
        outcomes: Log of decisions.
        clock: Source of monotonic time.
        rng: Source of randomness.
    """

    def __init__(self, client, nodes, links, outcomes, clock, rng):
        self._client = client
        self._nodes = nodes
        self._links = links
        self._outcomes = outcomes
        self._clock = clock
        self._rng = rng
        self._failed_until: dict[str, float] = {}
        self._in_progress = 0
        self.configuration = 0

    def is_needed(self, req, unreached: int = 0) -> bool:
        """Returns whether a request should go through another node.

        Args:
            req: The request.
            unreached: How many upstreams it could not be sent to.
        """
        if req.is_relayed or self._in_progress >= RELAYED_MAX:
            return False
        is_cut_off = self._links.is_lost or (
            unreached >= (1 if self._links.is_suspicious else 2)
        )
        return is_cut_off and bool(self._candidates())

    def _candidates(self) -> list:
        now = self._clock.now()
        return [
            item
            for item in self._nodes()
            if self._failed_until.get(item.node, 0.0) <= now
        ]

    def _choose_node(self, tried):
        nodes = [item for item in self._candidates() if item not in tried]
        if not nodes:
            return None
        weights = [item.weight for item in nodes]
        return self._rng.choices(nodes, weights)[0]

    async def serve(
        self, req, deadline: float, max_runs: int, sink, resumed=None
    ):
        """Serves a request through another node.

        Args:
            req: The request.
            deadline: Monotonic seconds at which the client or the route gives
                up.
            max_runs: How often the request may still run.
            sink: Receives a streamed response, ``None`` for a plain one.
            resumed: Last event id of a stream that this node has begun to
                pass on, ``None`` if it has not.

        Returns:
            The response, or ``None`` if the sink was used, even if it was
            aborted. A 503 means that no other node has run the request.
        """
        self._in_progress += 1
        try:
            return await self._serve(req, deadline, max_runs, sink, resumed)
        finally:
            self._in_progress -= 1

    async def _serve(self, req, deadline, max_runs, sink, resumed):
        last_event_id = req.last_event_id if resumed is None else resumed
        attempt = RelayedAttempt(
            req, deadline, max_runs, self.configuration, last_event_id
        )
        tried = []
        refusal = _types.Response(
            503,
            retry_after_s=RETRY_AFTER_S,
            reason='no node that reaches the upstreams took the request',
        )
        while len(tried) < NODES_TRIED_MAX:
            node = self._choose_node(tried)
            if node is None or self._clock.now() >= deadline:
                break
            tried.append(node)
            self._outcomes.log_decision(
                req, 'request_relayed', node=node.node, max_runs=max_runs
            )
            response = None
            try:
                response = await self._client.relay(attempt, node)
                if response.status in REFUSALS and not response.signed:
                    refusal = self._refusal_of(req, response)
                    continue
                found = await self._pass_on(
                    req, response, sink, resumed is not None
                )
                if found is None and sink.abort_reason:
                    self._record_failure(node)
                return found
            except errors.UpstreamError as exc:
                self._record_failure(node)
                logs.event(
                    'relay_failed',
                    request=req.request_id,
                    node=node.node,
                    sent=exc.sent,
                    reason=exc.message,
                )
                if exc.sent:
                    return _types.Response(
                        BAD_GATEWAY, reason='outcome at another node unknown'
                    )
            finally:
                if response is not None:
                    response.close()
        return refusal

    def _record_failure(self, node) -> None:
        self._failed_until[node.node] = self._clock.now() + FAILED_NODE_PAUSE_S

    def _refusal_of(self, req, response) -> _types.Response:
        return _types.Response(
            503,
            retry_after_s=_queue.retry_after_s(
                response.retry_after_s or RETRY_AFTER_S,
                req.deadline - self._clock.now(),
            ),
            reason=f'refused by another node, status {response.status}',
        )

    async def _pass_on(self, req, response, sink, is_started: bool):
        """Passes a response on; a broken stream aborts the sink.

        Raises:
            UpstreamError: If the response breaks off before anything of it
                was passed on.
        """
        if response.status != 200 or sink is None:
            body = await response.read()
            reason = '' if response.signed else 'failed at another node'
            return _types.Response(
                response.status, response.headers, body, reason=reason
            )
        try:
            while data := await response.next_chunk():
                if not is_started:
                    is_started = True
                    self._outcomes.record_first_event(req)
                    await sink.start(response.status, response.headers)
                await sink.write(data)
        except errors.UpstreamError as exc:
            if not is_started:
                raise
            sink.abort(f'relay broke off: {exc.message}')
            return None
        if not is_started:
            await sink.start(response.status, response.headers)
        await sink.finish()
        return None

"""HTTP client for requests that another node is to serve."""

import aiohttp
import multidict
import yarl

from plantainway import errors
from plantainway.platform import _names
from plantainway.platform import _upstreams
from plantainway import traffic


class RelayResponse(_upstreams.RunnerResponse):
    """Response of another node, its own or that of a runner.

    Args:
        resp: HTTP response whose headers have arrived.
        peer: Name of the node.
    """

    def __init__(self, resp: aiohttp.ClientResponse, peer: str):
        super().__init__(resp, peer)
        try:
            self.retry_after_s = float(resp.headers.get(_names.RETRY_AFTER, 0))
        except ValueError:
            self.retry_after_s = 0.0


class RelayClient(traffic.BaseRelayClient):
    """Client of the other nodes.

    Args:
        session: HTTP session that reuses connections.
        clock: Source of monotonic time.
    """

    def __init__(self, session, clock):
        self._session = session
        self._clock = clock

    async def relay(
        self, attempt: traffic.RelayedAttempt, node
    ) -> RelayResponse:
        """Sends a request once; see the base class."""
        req = attempt.request
        url = yarl.URL(f'http://{node.relay}{req.target}', encoded=True)
        try:
            resp = await self._session.request(
                req.method,
                url,
                headers=self._headers(attempt),
                data=req.body or None,
                allow_redirects=False,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            raise errors.UpstreamError(
                repr(exc)[:120], 'relay', node.node, sent=False
            )
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            raise errors.UpstreamError(repr(exc)[:120], 'relay', node.node)
        if resp.headers.get(_names.REQUEST_ID, '') != req.request_id:
            resp.close()
            raise errors.UpstreamError(
                'response has the Request-Id of another request',
                'relay',
                node.node,
            )
        return RelayResponse(resp, node.node)

    def _headers(self, attempt) -> multidict.CIMultiDict:
        req = attempt.request
        remaining_ms = (attempt.deadline - self._clock.now()) * 1000
        headers = _upstreams.end_to_end_headers(req)
        headers[_names.DEADLINE_MS] = str(
            max(int(remaining_ms) - _upstreams.DEADLINE_MARGIN_MS, 1)
        )
        headers[_names.RELAYED_RUNS] = str(attempt.max_runs)
        headers[_names.RELAYED_CONFIGURATION] = str(attempt.configuration)
        if req.key:
            headers[_names.API_KEY] = req.key
        if attempt.last_event_id is not None:
            headers[_names.LAST_EVENT_ID] = str(attempt.last_event_id)
        return headers

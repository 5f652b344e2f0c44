"""Interface and HTTP client of a plain service."""

import abc
import dataclasses
import time

import aiohttp

from plantainway import errors
from plantainway.upstreams import _connecting
from plantainway.upstreams import _deadlines

RESPONSE_MAX_BYTES = 1 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """One call; ``deadline`` is a monotonic time in seconds."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceResponse:
    """Complete response of a service."""

    status: int
    content_type: str
    body: bytes


class BaseService(abc.ABC):
    """Client of one instance of a plain service."""

    @abc.abstractmethod
    async def call(self, call: ServiceCall) -> ServiceResponse:
        """Sends a call once and waits for the response.

        Args:
            call: Call to send.

        Returns:
            The complete response.

        Raises:
            UpstreamError: If the call failed; ``sent`` is false only if no
                byte of it was sent.
        """


class HttpService(BaseService):
    """Client of a service instance over HTTP.

    Args:
        name: Name of the upstream.
        address: ``IP:PORT`` of the instance.
        session: HTTP client session.
    """

    def __init__(
        self, name: str, address: str, session: aiohttp.ClientSession
    ):
        self.name = name
        self._base = f'http://{address}'
        self._session = session

    async def call(self, call: ServiceCall) -> ServiceResponse:
        """Sends a call; see the base class."""
        remaining_s = max(call.deadline - time.monotonic(), 0.001)
        step = 'service_call'
        try:
            async with (
                _deadlines.answer_within(remaining_s),
                _connecting.send_request(
                    self._session,
                    call.method,
                    self._base + call.path,
                    call.deadline,
                    data=call.body,
                    headers=call.headers,
                    allow_redirects=False,
                ) as resp,
            ):
                body = await resp.content.read(RESPONSE_MAX_BYTES + 1)
                while not resp.content.at_eof() and (
                    len(body) <= RESPONSE_MAX_BYTES
                ):
                    body += await resp.content.read(RESPONSE_MAX_BYTES)
                if len(body) > RESPONSE_MAX_BYTES:
                    raise errors.UpstreamError(
                        f'the response exceeds {RESPONSE_MAX_BYTES} bytes',
                        step,
                        self.name,
                    )
                return ServiceResponse(resp.status, resp.content_type, body)
        except _connecting.CONNECT_ERRORS as exc:
            raise errors.UpstreamError(repr(exc), step, self.name, sent=False)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise errors.UpstreamError(repr(exc), step, self.name)

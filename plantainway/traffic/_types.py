"""Requests, answers and the interfaces to both ends of their way."""

import abc
import dataclasses

from plantainway import deployment


@dataclasses.dataclass(slots=True)
class Request:
    """A client's request, read whole.

    ``target`` is the path with its query exactly as sent, ``headers`` the
    end-to-end headers in order. Times are monotonic seconds: ``deadline``
    is when the client stops waiting. ``last_event_id`` is the last event that
    the client has of a stream it resumes, ``None`` if it starts one.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: list[tuple[str, str]]
    body: bytes
    arrived_at: float
    deadline: float
    key: str = ''
    model: str = ''
    prompt_tokens: int = 0
    answer_tokens: int = 0
    length_hint: int = 0
    last_event_id: int | None = None

    @property
    def path(self) -> str:
        """Returns the path without the query."""
        return self.target.partition('?')[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A whole answer: an upstream's, or a refusal of our own.

    ``retry_after_s`` is 0 where coming back is no use or up to the client.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    retry_after_s: float = 0.0
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a request at an upstream.

    ``deadline`` is monotonic seconds; ``priority`` is what the engine is
    told, lower goes first. ``use_new_connection`` avoids pooled connections,
    which the upstream may have closed already.
    """

    request: Request
    upstream: deployment.Upstream
    account: str
    deadline: float
    priority: int
    last_event_id: int | None = None
    use_new_connection: bool = False


class BaseUpstreamResponse(abc.ABC):
    """Head of an upstream's answer, and its body as it comes.

    Attributes:
        status: Status code.
        headers: End-to-end headers.
        not_run: Whether the upstream states that it did not run the request.
        misdirected: Whether another upstream has the address now.
        signed: Whether the answer bears the upstream's signature.
        failed_upstream: Name of the upstream that the answer says has failed,
            or empty.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    not_run: bool
    misdirected: bool
    signed: bool
    failed_upstream: str = ''

    @abc.abstractmethod
    async def read(self) -> bytes:
        """Returns the whole body.

        Raises:
            UpstreamError: If the body is not complete.
        """

    @abc.abstractmethod
    async def next_chunk(self) -> bytes:
        """Returns the next bytes of the body, none at its proper end.

        Raises:
            UpstreamError: If the body breaks off.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Gives the exchange up; cuts it if the body has not ended."""


class BaseUpstreamClient(abc.ABC):
    """Sends requests to upstreams."""

    @abc.abstractmethod
    async def send(self, attempt: Attempt) -> BaseUpstreamResponse:
        """Sends a request once and waits for the head of its answer.

        Args:
            attempt: What to send, and where.

        Raises:
            UpstreamError: If no answer came; ``sent`` tells whether the
                request may have reached the upstream.
        """


class BaseSink(abc.ABC):
    """Where the events of a streamed answer go."""

    @abc.abstractmethod
    async def start(self, status: int, headers) -> None:
        """Sends the head of the answer.

        Args:
            status: Status code.
            headers: End-to-end headers.
        """

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Sends bytes of the body.

        Args:
            data: The bytes.
        """

    @abc.abstractmethod
    async def finish(self) -> None:
        """Ends the answer as complete."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Breaks the answer off so that it can't look complete."""

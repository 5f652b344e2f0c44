"""Requests, responses, and interfaces to clients and upstreams."""

import abc
import dataclasses
import hashlib

from plantainway import deployment
from plantainway import errors
from plantainway import logs
from plantainway import loops
from plantainway import quarantine

# Reason of refusals by upstreams that limit their rate.
REASON_LIMITED = 'limited'
DISCARD_TIMEOUT_S = 0.2  # the body of a refusal follows its head at once
FINGERPRINT_BYTES = 8


@dataclasses.dataclass(slots=True)
class Request:
    """A client's request with its complete body.

    ``target`` is the path with its query exactly as sent, ``headers`` are the
    end-to-end headers in order. Times are monotonic seconds: ``deadline`` is
    when the client stops waiting. ``last_event_id`` is the last event that
    the client received of a stream it resumes, ``None`` for a new stream.
    ``shared_parts`` are the ids of the parts of the prompt that requests may
    have in common, which are all but the last, in their order.
    ``crash_keys`` are the ids under which crashes of upstreams are counted:
    the shared parts and, once the client account is known, the fingerprint.
    ``is_relayed`` tells whether another node sent the request on; it may then
    run at most ``max_runs`` times, and only under a configuration of version
    ``min_configuration`` or later.
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
    shared_parts: tuple[str, ...] = ()
    crash_keys: tuple[str, ...] = ()
    is_relayed: bool = False
    max_runs: int | None = None
    min_configuration: int = 0

    def __post_init__(self):
        self.crash_keys = self.crash_keys or self.shared_parts

    def add_fingerprint(self, account: str) -> None:
        """Adds the id that all attempts of the same request have.

        Args:
            account: Name of the client account, or empty.
        """
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        for value in (self.method, self.host, self.target, account):
            digest.update(value.encode('utf-8', 'surrogateescape') + b'\0')
        digest.update(self.body)
        fingerprint = quarantine.FINGERPRINT_PREFIX + digest.hexdigest()
        self.crash_keys = (*self.shared_parts, fingerprint)

    def run_limit(self, route) -> int:
        """Returns how often the request may run on this node.

        Args:
            route: Its route.
        """
        if self.max_runs is None:
            return route.max_attempts
        return min(self.max_runs, route.max_attempts)

    @property
    def path(self) -> str:
        """Returns the request target without the query."""
        return self.target.partition('?')[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response, either an upstream's or an error of this node.

    ``retry_after_s`` is 0 if a retry is useless or left to the client.
    ``reason`` explains an error of this node; it is logged, not sent.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    retry_after_s: float = 0.0
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to run a request at an upstream.

    ``deadline`` is in monotonic seconds; ``priority`` is sent to the engine,
    which runs lower ones first. ``use_new_connection`` avoids pooled
    connections, which the upstream may have closed already, or on which a
    late copy of its answer to an earlier attempt may arrive. ``is_repeated``
    tells whether the request was sent to an upstream before.
    """

    request: Request
    upstream: deployment.Upstream
    account: str
    deadline: float
    priority: int
    last_event_id: int | None = None
    use_new_connection: bool = False
    is_repeated: bool = False


class BaseUpstreamResponse(abc.ABC):
    """Status and headers of an upstream's response, and its body as a stream.

    Attributes:
        status: Status code.
        headers: End-to-end headers.
        not_run: Whether the upstream states that it did not run the request.
        misdirected: Whether another upstream has the address now.
        signed: Whether the response carries the upstream's signature.
        failed_upstream: Name of an upstream that the response reports as
            failed, or empty.
        retry_after_s: Seconds after which a refused request may be sent
            again, 0 if the response does not tell.
        ends_with_connection: Whether the body has neither a length nor
            chunks, so that only the end of the connection ends it.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    not_run: bool
    misdirected: bool
    signed: bool
    failed_upstream: str = ''
    retry_after_s: float = 0.0
    ends_with_connection: bool = False

    @abc.abstractmethod
    async def read(self) -> bytes:
        """Returns the complete body.

        Raises:
            UpstreamError: If the body is truncated or too long.
        """

    async def discard(self) -> None:
        """Reads a short body, so that the connection can be used again.

        For refusals, whose head says all: whether the body is truncated or
        does not end makes no difference.
        """
        try:
            async with loops.timeout(DISCARD_TIMEOUT_S):
                await self.read()
        except (TimeoutError, errors.UpstreamError) as exc:
            logs.event('refusal_body_unread', reason=repr(exc)[:100])

    @abc.abstractmethod
    async def next_chunk(self) -> bytes:
        """Returns the next bytes of the body, empty at its end.

        Raises:
            UpstreamError: If the body is truncated.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Releases the connection, closes it unless the body has ended."""


class BaseUpstreamClient(abc.ABC):
    """Sends requests to upstreams."""

    @abc.abstractmethod
    async def send(self, attempt: Attempt) -> BaseUpstreamResponse:
        """Sends a request once and waits for status and headers.

        Args:
            attempt: The request and the upstream.

        Returns:
            The response, whose body is still to be read.

        Raises:
            UpstreamError: If no response came; its ``sent`` tells whether the
                request may have reached the upstream.
        """


class BasePermitSource(abc.ABC):
    """Knows which upstreams limit their rate, and who may send to them."""

    @abc.abstractmethod
    def is_limited(self, upstream: deployment.Upstream) -> bool:
        """Returns whether requests to an upstream need a permit.

        Args:
            upstream: The upstream.
        """

    @abc.abstractmethod
    async def acquire(self, upstreams, max_wait_s: float):
        """Waits until one request may be sent to one of some upstreams.

        Args:
            upstreams: Limited upstreams, the best first.
            max_wait_s: Longest time for which the request can wait.

        Returns:
            The upstream, to which one request is to be sent at once.

        Raises:
            NotRunError: At once, if there is no permit within that time,
                with the time to the next one.
        """

    @abc.abstractmethod
    def forget(self, name: str) -> None:
        """Drops the limit of an upstream that no longer exists.

        Args:
            name: Name of the upstream.
        """


class BaseSink(abc.ABC):
    """Sends a streamed response to a client.

    Attributes:
        is_started: Whether status and headers were sent.
        is_finished: Whether its end was sent as well, or is being sent.
        abort_reason: Why the response was aborted, empty if it was not.
    """

    is_started: bool = False
    is_finished: bool = False
    abort_reason: str = ''

    @abc.abstractmethod
    async def start(self, status: int, headers) -> None:
        """Sends status and headers.

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
        """Ends the response as complete."""

    def abort(self, reason: str) -> None:
        """Aborts the response so that it can't look complete.

        Args:
            reason: Why, for the log.
        """
        self.abort_reason = self.abort_reason or reason
        self._abort()

    @abc.abstractmethod
    def _abort(self) -> None:
        """Aborts the connection of the response."""

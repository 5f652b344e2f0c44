"""Interface of a model engine."""

import abc
import dataclasses
import enum
import typing


class Role(enum.StrEnum):
    """Lifecycle state of an engine as a member of a copy."""

    IDLE = 'idle'
    LOADING = 'loading'
    READY = 'ready'
    DRAINING = 'draining'
    DRAINED = 'drained'


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """State that an engine reports.

    ``running`` and ``waiting`` are numbers of requests and may be outdated.
    ``leaving`` is set if the engine asks to be taken out of service.
    ``warm`` is the name of the weights that it holds, as given in the order
    that fetched them.
    """

    vm: str
    boot: str
    copy_id: str
    token: int
    role: Role
    version: str
    running: int
    waiting: int
    slots: int
    leaving: bool
    warm: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class LoadOrder:
    """Order to load a model version as a member of a copy.

    ``members`` lists ``(vm, address)`` pairs by rank; the head has rank 0.
    ``warm`` is the name under which the engine reports the weights.
    """

    copy_id: str
    token: int
    rank: int
    members: tuple[tuple[str, str], ...]
    version: str
    weights: str
    adapters: tuple[str, ...]
    warm: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class PrefetchOrder:
    """Order to fetch the weights of one rank without joining a copy.

    ``members`` is the number of members among which the weights are split.

    ``warm`` is the name under which the engine reports the weights.
    """

    weights: str
    rank: int
    members: int
    warm: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChatCall:
    """One attempt to answer a chat request.

    ``deadline`` is the monotonic time in seconds by which the answer must
    be complete. ``prefix`` is the part of the answer that earlier attempts
    delivered, and ``position`` the number of its pieces.
    """

    attempt: str
    caller: str
    copy_id: str
    token: int
    body: dict
    deadline: float
    priority: int = 0
    prefix: str = ''
    position: int = 0
    req_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ChatEvent:
    """One piece of a streamed answer.

    Positions start at 1. The end mark is an event with ``end`` set and the
    position of the last piece.
    """

    attempt: str
    position: int
    data: bytes
    end: bool


class BaseEngine(abc.ABC):
    """Client of the model engine on one VM."""

    @abc.abstractmethod
    async def get_state(self) -> EngineState:
        """Reads the state that the engine reports.

        Raises:
            UpstreamError: If the engine did not answer in time.
        """

    @abc.abstractmethod
    async def load(self, order: LoadOrder) -> None:
        """Orders the engine to load; returns once it accepted the order.

        Args:
            order: What to load; sending the same order again has no effect.

        Raises:
            OrderRefusedError: If the engine has seen a newer fencing token.
            UpstreamError: If it failed; the engine may have received it.
        """

    @abc.abstractmethod
    async def prefetch(self, order: PrefetchOrder) -> None:
        """Orders an engine to fetch weights; ignored unless it is idle.

        Args:
            order: What to fetch; sending the same order again has no effect.

        Raises:
            UpstreamError: If it failed; the engine may have received it.
        """

    @abc.abstractmethod
    async def unload(self, copy_id: str, token: int) -> None:
        """Orders the engine to leave a copy and to abort its requests.

        Args:
            copy_id: Copy to leave.
            token: Fencing token of the order.

        Raises:
            OrderRefusedError: If the engine has seen a newer fencing token.
            UpstreamError: If it failed; the engine may have received it.
        """

    @abc.abstractmethod
    async def drain(self, copy_id: str, token: int) -> None:
        """Orders the engine to accept no new requests and finish the others.

        Args:
            copy_id: Copy to drain.
            token: Fencing token of the order.

        Raises:
            OrderRefusedError: If the engine has seen a newer fencing token.
            UpstreamError: If it failed; the engine may have received it.
        """

    @abc.abstractmethod
    def chat(self, call: ChatCall) -> typing.AsyncIterator[ChatEvent]:
        """Starts an attempt to answer a request and yields its events.

        Args:
            call: Attempt to start.

        Raises:
            UpstreamError: If the attempt failed; ``sent`` is false if the
                engine certainly did not start it.
        """

    @abc.abstractmethod
    def resume(
        self, attempt: str, caller: str, after: int
    ) -> typing.AsyncIterator[ChatEvent]:
        """Resumes an interrupted attempt and yields its remaining events.

        Args:
            attempt: Id of the attempt.
            caller: Caller that started the attempt.
            after: Position of the last event that was received.

        Raises:
            ResumeLostError: If the engine can no longer resume the attempt.
            UpstreamError: If the engine failed.
        """

    @abc.abstractmethod
    async def cancel(self, attempt: str) -> None:
        """Aborts an attempt; unknown attempts are ignored.

        Args:
            attempt: Id of the attempt.

        Raises:
            UpstreamError: If it failed; the engine may have received it.
        """

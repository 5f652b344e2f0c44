"""Interface of a model engine."""

import abc
import dataclasses
import enum
import typing


class Role(enum.StrEnum):
    """What an engine is doing for a copy."""

    IDLE = 'idle'
    LOADING = 'loading'
    READY = 'ready'
    DRAINING = 'draining'
    DRAINED = 'drained'


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine says of itself.

    ``running`` and ``waiting`` count requests and may lag; ``leaving``
    tells that the engine asked to be taken out; ``warm`` names the
    weights it holds, as the order that fetched them did.
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
    """Order to load a model version as one member of a copy.

    ``members`` holds ``(vm, address)`` pairs in rank order, head first.
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
    """Order to fetch a member's weights without taking a role.

    ``warm`` is the name under which the engine reports them.
    """

    weights: str
    rank: int
    members: int
    warm: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChatCall:
    """One attempt to answer a chat request.

    ``deadline`` is the monotonic time in seconds by which the answer must
    be whole; ``prefix`` is the part of the answer that is already known,
    made of ``position`` pieces.
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

    Positions count from 1. The end mark has ``end`` set and repeats the
    position of the last piece.
    """

    attempt: str
    position: int
    data: bytes
    end: bool


class BaseEngine(abc.ABC):
    """A model engine on one VM."""

    @abc.abstractmethod
    async def get_state(self) -> EngineState:
        """Returns the state.

        Raises:
            UpstreamError: If no answer came in time.
        """

    @abc.abstractmethod
    async def load(self, order: LoadOrder) -> None:
        """Orders the engine to load; returns once the order is taken.

        Args:
            order: What to load; repeating it is harmless.

        Raises:
            OrderRefusedError: If the engine knows a newer token.
            UpstreamError: If it can't be told whether it arrived.
        """

    @abc.abstractmethod
    async def prefetch(self, order: PrefetchOrder) -> None:
        """Orders an idle engine to fetch weights; a busy one ignores it.

        Args:
            order: What to fetch; repeating it is harmless.

        Raises:
            UpstreamError: If it can't be told whether it arrived.
        """

    @abc.abstractmethod
    async def unload(self, copy_id: str, token: int) -> None:
        """Orders the engine to give up its role in a copy.

        Args:
            copy_id: Copy to give up.
            token: Fencing token of the order.

        Raises:
            OrderRefusedError: If the engine knows a newer token.
            UpstreamError: If it can't be told whether it arrived.
        """

    @abc.abstractmethod
    async def drain(self, copy_id: str, token: int) -> None:
        """Orders the engine to take no new requests.

        Args:
            copy_id: Copy to drain.
            token: Fencing token of the order.

        Raises:
            OrderRefusedError: If the engine knows a newer token.
            UpstreamError: If it can't be told whether it arrived.
        """

    @abc.abstractmethod
    def chat(self, call: ChatCall) -> typing.AsyncIterator[ChatEvent]:
        """Starts an attempt and yields its events.

        Args:
            call: The attempt.

        Raises:
            UpstreamError: ``sent`` tells whether the engine may have
                started.
        """

    @abc.abstractmethod
    def resume(
        self, attempt: str, caller: str, after: int
    ) -> typing.AsyncIterator[ChatEvent]:
        """Yields the events of an attempt after a position.

        Args:
            attempt: Attempt to go on with.
            caller: Caller that started it.
            after: Last position that was received.

        Raises:
            ResumeLostError: If the engine no longer keeps the attempt.
            UpstreamError: If the engine failed.
        """

    @abc.abstractmethod
    async def cancel(self, attempt: str) -> None:
        """Ends an attempt; unknown attempts are ignored.

        Args:
            attempt: Attempt to end.

        Raises:
            UpstreamError: If it can't be told whether it arrived.
        """

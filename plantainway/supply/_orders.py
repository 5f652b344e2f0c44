"""Orders to engines and their outcomes."""

import abc
import dataclasses
import enum

from plantainway import deployment


class OrderKind(enum.Enum):
    """Operation that an order asks of an engine."""

    JOIN = 'join'
    OPEN = 'open'
    CLOSE = 'close'
    LEAVE = 'leave'


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to one engine.

    ``members`` holds engine names in rank order, the head first. With
    ``finish`` a closing head completes the requests in progress first.
    """

    kind: OrderKind
    upstream: str
    group: str = ''
    epoch: int = 0
    model: str = ''
    members: tuple[str, ...] = ()
    finish: bool = False


class OrderStatus(enum.Enum):
    """How an engine has answered an order."""

    BEGUN = 'begun'
    HOLDS = 'holds'  # the engine was already in the requested state
    REFUSED = 'refused'
    UNKNOWN = 'unknown'  # it may or may not have been carried out


@dataclasses.dataclass(frozen=True, slots=True)
class OrderOutcome:
    """Status of an order, with the response or error behind it."""

    status: OrderStatus
    detail: str = ''

    @property
    def has_effect(self) -> bool:
        """Returns whether the requested state is or will be in effect."""
        return self.status in (OrderStatus.BEGUN, OrderStatus.HOLDS)


class BaseEngineClient(abc.ABC):
    """Client that sends orders to engines and reads their reports."""

    @abc.abstractmethod
    async def report(
        self, upstream: deployment.Upstream
    ) -> deployment.EngineReport:
        """Returns the current report of an engine.

        Args:
            upstream: The engine.

        Raises:
            UpstreamError: If no usable report was received. ``refused`` is
                set if the engine is known to be gone from its address.
            WireError: If the response can't be decoded as a report.
        """

    @abc.abstractmethod
    async def order(
        self, upstream: deployment.Upstream, order: Order
    ) -> OrderOutcome:
        """Sends an order to an engine.

        Args:
            upstream: The engine.
            order: The order.

        Returns:
            The outcome; its status is ``REFUSED`` if the engine has
            rejected the order. If the order may have taken effect, for
            example because no answer was received, the status is
            ``UNKNOWN``; no error is raised.
        """

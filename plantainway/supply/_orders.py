"""Orders to engines and what is known of their effect."""

import abc
import dataclasses
import enum

from plantainway import deployment


class OrderKind(enum.Enum):
    """What an engine is told to do."""

    JOIN = 'join'
    OPEN = 'open'
    CLOSE = 'close'
    LEAVE = 'leave'


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to one engine.

    ``members`` are names in rank order, the head first. ``finish`` lets a
    closing head end its work first.
    """

    kind: OrderKind
    upstream: str
    group: str = ''
    epoch: int = 0
    model: str = ''
    members: tuple[str, ...] = ()
    finish: bool = False


class OrderStatus(enum.Enum):
    """What the answer to an order says."""

    BEGUN = 'begun'
    HOLDS = 'holds'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class OrderOutcome:
    """Status of an order and the detail behind it."""

    status: OrderStatus
    detail: str = ''

    @property
    def has_effect(self) -> bool:
        """Tells whether the order has begun or what it asks for holds."""
        return self.status in (OrderStatus.BEGUN, OrderStatus.HOLDS)


class BaseEngineClient(abc.ABC):
    """Gives orders to engines and reads their reports."""

    @abc.abstractmethod
    async def report(
        self, upstream: deployment.Upstream
    ) -> deployment.EngineReport:
        """Asks an engine for its report.

        Args:
            upstream: The engine.

        Raises:
            UpstreamError: If no usable report came; ``refused`` tells
                whether the engine is known to be gone from its address.
            WireError: If the answer is no report.
        """

    @abc.abstractmethod
    async def order(
        self, upstream: deployment.Upstream, order: Order
    ) -> OrderOutcome:
        """Gives an engine an order.

        Args:
            upstream: The engine.
            order: The order.

        Returns:
            What is known; no failure is raised, since a failure after
            sending leaves the effect unknown.
        """

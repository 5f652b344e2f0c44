"""Interfaces of the object store, the VM list and the weight store."""

import abc
import dataclasses
import enum


class PutOutcome(enum.Enum):
    """What is known of a write to the object store."""

    STORED = 'stored'
    EXISTS = 'exists'
    UNKNOWN = 'unknown'
    NOT_STORED = 'not_stored'


class BaseObjectStore(abc.ABC):
    """Named immutable blobs."""

    @abc.abstractmethod
    async def put(self, name: str, body: bytes) -> PutOutcome:
        """Stores a blob under a name that must be new.

        Args:
            name: Name with ``/`` between its parts.
            body: Content.

        Returns:
            What is known of the write; repeating it is harmless.
        """

    @abc.abstractmethod
    async def get(self, name: str) -> bytes:
        """Returns the content of a blob.

        Args:
            name: Name of the blob.

        Raises:
            NotFoundError: If there is no such blob.
            StoreUnavailableError: If no answer came.
        """

    @abc.abstractmethod
    async def list_names(self, prefix: str) -> list[str]:
        """Lists names in order.

        Args:
            prefix: Start of the names.

        Raises:
            StoreUnavailableError: If no answer came.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class VmEntry:
    """One VM as the platform lists it."""

    name: str
    address: str
    place: str
    fabric_domain: str
    leaving: bool


class BaseVmList(abc.ABC):
    """The platform's list of live and leaving VMs; it lags."""

    @abc.abstractmethod
    async def read(self) -> list[VmEntry]:
        """Returns the list.

        Raises:
            StoreUnavailableError: If no answer came.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class WeightInfo:
    """Size of a set of weights, and the store's rates.

    ``rate_bytes_per_second`` is what all readers share,
    ``reader_bytes_per_second`` the most that one of them gets.
    """

    weights: str
    size_bytes: int
    rate_bytes_per_second: int
    reader_bytes_per_second: int


class BaseWeightStore(abc.ABC):
    """The rate-limited store that engines load weights from."""

    @abc.abstractmethod
    async def describe(self, weights: str) -> WeightInfo:
        """Returns size and rate of a set of weights.

        Args:
            weights: Name of the weights.

        Raises:
            NotFoundError: If there are none of this name.
            StoreUnavailableError: If no answer came.
        """

"""Interfaces of the object store, the VM list and the weight store."""

import abc
import dataclasses
import enum


class PutOutcome(enum.Enum):
    """Outcome of a write to the object store.

    ``UNKNOWN`` means that the write may or may not have taken effect.
    """

    STORED = 'stored'
    EXISTS = 'exists'
    UNKNOWN = 'unknown'
    NOT_STORED = 'not_stored'


class BaseObjectStore(abc.ABC):
    """Store of named, immutable blobs."""

    @abc.abstractmethod
    async def put(self, name: str, body: bytes) -> PutOutcome:
        """Stores a blob if its name does not exist yet.

        Args:
            name: Name of the blob, with ``/`` as separator.
            body: Content of the blob.

        Returns:
            The outcome. The call may be repeated, since an existing blob
            is never overwritten.
        """

    @abc.abstractmethod
    async def get(self, name: str) -> bytes:
        """Reads the content of a blob.

        Args:
            name: Name of the blob.

        Raises:
            NotFoundError: If no blob has this name.
            StoreUnavailableError: If the service did not answer.
        """

    @abc.abstractmethod
    async def list_names(self, prefix: str) -> list[str]:
        """Lists the blob names that start with a prefix, sorted.

        Args:
            prefix: Prefix of the names.

        Raises:
            StoreUnavailableError: If the service did not answer.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class VmEntry:
    """One VM in the platform's list."""

    name: str
    address: str
    place: str
    fabric_domain: str
    leaving: bool


class BaseVmList(abc.ABC):
    """The platform's list of live and leaving VMs; it may be outdated."""

    @abc.abstractmethod
    async def read(self) -> list[VmEntry]:
        """Reads the list.

        Raises:
            StoreUnavailableError: If the service did not answer.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class WeightInfo:
    """Size of a set of weights, and the read rates of the store.

    ``rate_bytes_per_second`` is the limit for all readers together,
    ``reader_bytes_per_second`` the limit for a single reader.
    """

    weights: str
    size_bytes: int
    rate_bytes_per_second: int
    reader_bytes_per_second: int


class BaseWeightStore(abc.ABC):
    """The rate-limited store from which engines load weights."""

    @abc.abstractmethod
    async def describe(self, weights: str) -> WeightInfo:
        """Reads the size of a set of weights and the rates of the store.

        Args:
            weights: Name of the weights.

        Raises:
            NotFoundError: If no weights have this name.
            StoreUnavailableError: If the service did not answer.
        """

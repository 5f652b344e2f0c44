"""Messages between a node and the leader, as CBOR."""

import dataclasses

import cbor2
import pydantic

from plantainway import errors

MESSAGE_BYTES_MAX = 4 << 20  # a full configuration and all entries fit


@dataclasses.dataclass(frozen=True, slots=True)
class NodeInfo:
    """A node as the directory names it."""

    node: str
    address: str
    zone: str
    weight: float
    ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Beat:
    """What a node tells the leader.

    ``loads`` are its requests in progress by upstream, ``suspects`` the
    heads whose streams stall. ``work`` is the work asked of each model since
    the process began, in seconds of a group. ``store_age_ms`` is how long
    ago the node last knew the followed tables to be current.
    """

    info: NodeInfo
    loads: dict[str, int]
    suspects: list[str]
    work: dict[str, float]
    store_age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedRow:
    """A row of the store; ``value`` is ``None`` once it is gone."""

    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class TableNews:
    """Changes of a table, or all its rows if ``whole``.

    ``age_ms`` tells how long before the sending they were known to be
    current, so no clocks are compared.
    """

    table: str
    rows: list[RelayedRow]
    version: int
    whole: bool
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class OpenHead:
    """A head that serves though its entry can't show it yet."""

    head: str
    group: str
    epoch: int
    model: str


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """What the leader tells a node.

    ``loads`` are the requests of all nodes in progress by upstream,
    ``suspects`` the heads that should get no new work, ``closed`` the epochs
    of groups that the leader has given up, by head, ``opened`` the heads
    that serve though no entry shows it. ``lease_version`` is the
    version of the lease row that the leader wrote last. ``nodes`` is
    ``None`` while they are as last told.
    """

    leader: str
    lease_version: int
    nodes: list[NodeInfo] | None
    loads: dict[str, int]
    suspects: list[str]
    closed: dict[str, int]
    opened: list[OpenHead]
    tables: list[TableNews]


_ADAPTERS = {
    'beat': pydantic.TypeAdapter(Beat),
    'digest': pydantic.TypeAdapter(Digest),
}
_TAGS = {Beat: 'beat', Digest: 'digest'}


def encode(message) -> bytes:
    """Encodes a message.

    Args:
        message: A beat or a digest.
    """
    return cbor2.dumps([_TAGS[type(message)], dataclasses.asdict(message)])


def decode(data: bytes, peer: str):
    """Decodes a message.

    Args:
        data: Bytes received.
        peer: Sender, for errors.

    Raises:
        WireError: If the bytes are no message.
    """
    try:
        tag, fields = cbor2.loads(data)
        return _ADAPTERS[tag].validate_python(fields)
    except (cbor2.CBORDecodeError, pydantic.ValidationError) as exc:
        raise errors.WireError(type(exc).__name__, 'decode', peer)
    except (TypeError, ValueError, KeyError, RecursionError) as exc:
        raise errors.WireError(repr(exc)[:200], 'decode', peer)

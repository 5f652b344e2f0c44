"""Messages between the nodes and the leader, encoded as CBOR."""

import dataclasses
import struct
import zlib

import cbor2
import pydantic

from plantainway import errors
from plantainway import quarantine
from plantainway import ratelimits

MESSAGE_BYTES_MAX = 4 << 20  # a full configuration and all entries fit
# Header of a message to a node: number of the acknowledged heartbeat,
# milliseconds since its receipt, number of the message on the link.
_ACK = struct.Struct('>QIQ')
_PLAIN, _COMPRESSED = b'\0', b'\1'  # first byte of an encoded message
COMPRESSED_BYTES_MIN = 512  # shorter updates fit one packet as they are
COMPRESSION_LEVEL = 1  # higher ones save a few percent on JSON rows


@dataclasses.dataclass(frozen=True, slots=True)
class NodeInfo:
    """Address and state of a node, for the other nodes and the directory.

    ``address`` takes client requests; ``ready`` tells whether the node
    serves them. ``weight`` is the capacity from the node's settings. ``relay``
    takes requests of other nodes; ``links_lost`` tells whether the node
    reaches no upstreams.
    """

    node: str
    address: str
    zone: str
    weight: float
    ready: bool
    relay: str = ''
    links_lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """State that a node reports to the leader.

    ``loads`` are its requests in progress by upstream, ``suspects`` the
    heads with a recent failed request or stalled stream. ``work`` is the
    work requested of each model since the process started, in seconds of a
    group's time.
    ``store_age_ms`` is the time since the oldest of the node's table caches
    was known to be current. ``number`` counts the heartbeats on a link, from
    1. ``versions`` are those of the tables that the node holds, by table.
    ``crash_reports`` are recent, ``survival_ages_ms`` answer for the parts of
    prompts that the leader watches, ``quarantined_ms`` is the time to the end
    of the quarantine of each part that the node refuses. ``limits`` are the
    limits of upstreams that the node has observed since its last heartbeat,
    all that it knows in the first one on a link. ``shares`` are what it may
    send without a leader, by limited upstream. ``message_number`` is that of
    the last message of the leader on this link, 0 before the first, and
    ``message_age_ms`` the time since its receipt, or since the link was made.
    ``reached`` answers the leader's questions whether the node reaches an
    engine, by number. ``cold`` are the upstreams whose answers to this node
    showed since its last heartbeat that they are cold, all of them in the
    first one on a link. ``pressure_ms`` is for how much longer less urgent
    requests leave headroom, by ``service/model`` and by the priority that was
    refused, queued or late on this node. ``ramps`` are the numbers of fast
    and slow first events on this node since it has begun to ramp up a head,
    by ``head/epoch``.
    """

    info: NodeInfo
    loads: dict[str, int]
    suspects: list[str]
    work: dict[str, float]
    store_age_ms: int = 0
    number: int = 0
    versions: dict[str, int] = dataclasses.field(default_factory=dict)
    crash_reports: list[quarantine.CrashReport] = dataclasses.field(
        default_factory=list
    )
    survival_ages_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    quarantined_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    limits: list[ratelimits.LimitObservation] = dataclasses.field(
        default_factory=list
    )
    shares: dict[str, int] = dataclasses.field(default_factory=dict)
    message_number: int = 0
    message_age_ms: int = 0
    reached: dict[int, bool] = dataclasses.field(default_factory=dict)
    cold: list[ratelimits.ColdObservation] = dataclasses.field(
        default_factory=list
    )
    pressure_ms: dict[str, dict[int, int]] = dataclasses.field(
        default_factory=dict
    )
    ramps: dict[str, tuple[int, int]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Last heartbeat that the leader received before it sent a message.

    ``held_ms`` is the time between its receipt and the sending of the
    message. ``message_number`` counts the messages on the link, from 1.
    """

    number: int
    held_ms: int
    message_number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """A node asks where it may send one request to a limited upstream.

    ``upstreams`` are named in the order in which the node prefers them,
    ``wait_ms`` is how long the request can wait. ``number`` is returned with
    the reply.
    """

    number: int
    upstreams: list[str]
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReply:
    """Reply to a ``PermitRequest``; see ``ratelimits.Permit``."""

    number: int
    upstream: str
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedRow:
    """A row of the store; ``value`` is ``None`` if it was removed."""

    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class TableUpdate:
    """Changes of a table since the version that the receiver holds.

    ``keys`` are those of all rows; the receiver drops others. It is ``None``
    if ``rows`` name the removed ones.
    ``age_ms`` is the time between when the rows were known to be current
    and the sending; the receiver adds the time on the way.
    """

    table: str
    rows: list[RelayedRow]
    version: int
    age_ms: int
    keys: list[str] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OpenHead:
    """A head that serves although its table entry does not show it yet."""

    head: str
    group: str
    epoch: int
    model: str


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderUpdate:
    """State that the leader sends to a node.

    ``loads`` are the requests in progress on all nodes by upstream,
    ``suspects`` the heads that should get no new requests, ``closed`` the
    epochs of groups that the leader has disbanded, by head, ``opened`` the
    heads that serve although no table entry shows it yet. ``lease_version``
    is the version of the lease row that the leader wrote last. ``nodes`` is
    ``None`` if they are unchanged since the last update to this node.
    ``watched_parts`` are those of prompts whose survivals the nodes are to
    report, ``quarantined_ms`` is as in the heartbeat. ``limits`` are the
    known limits of upstreams, ``None`` if they are unchanged since the last
    update to this node; ``absent`` names the nodes that may be using shares
    of them without being in touch. ``unreached`` names engines that the
    leader does not reach, by number of the question. ``cold`` are the
    upstreams whose answers to any node showed that they are cold, sent along
    with ``limits``; ``None`` comes from a leader of an earlier build, which
    does not limit cold upstreams. ``pressure_ms`` is as in the heartbeat, the
    longest of all nodes; ``ramps`` likewise, the sums of all nodes.
    """

    leader: str
    lease_version: int
    nodes: list[NodeInfo] | None
    loads: dict[str, int]
    suspects: list[str]
    closed: dict[str, int]
    opened: list[OpenHead]
    tables: list[TableUpdate]
    watched_parts: list[str] = dataclasses.field(default_factory=list)
    quarantined_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    limits: list[ratelimits.LimitObservation] | None = None
    absent: list[str] = dataclasses.field(default_factory=list)
    unreached: dict[int, str] = dataclasses.field(default_factory=dict)
    cold: list[ratelimits.ColdObservation] | None = None
    pressure_ms: dict[str, dict[int, int]] = dataclasses.field(
        default_factory=dict
    )
    ramps: dict[str, tuple[int, int]] = dataclasses.field(default_factory=dict)


_TAGS = {
    Heartbeat: 'beat',
    LeaderUpdate: 'digest',
    PermitRequest: 'permit_request',
    PermitReply: 'permit_reply',
}
_ADAPTERS = {tag: pydantic.TypeAdapter(kind) for kind, tag in _TAGS.items()}


def encode(message) -> bytes:
    """Encodes a message.

    Args:
        message: Any of the messages of this module.
    """
    return cbor2.dumps([_TAGS[type(message)], dataclasses.asdict(message)])


def decode(data: bytes, peer: str):
    """Decodes a message.

    Args:
        data: Bytes received.
        peer: Address of the sender, for error messages.

    Returns:
        One of the messages of this module.

    Raises:
        WireError: If the bytes are not a valid message.
    """
    try:
        tag, fields = cbor2.loads(data)
        return _ADAPTERS[tag].validate_python(fields)
    except (cbor2.CBORDecodeError, pydantic.ValidationError) as exc:
        raise errors.WireError(type(exc).__name__, 'decode', peer)
    except (TypeError, ValueError, KeyError, RecursionError) as exc:
        raise errors.WireError(repr(exc)[:200], 'decode', peer)


def encode_for_node(message) -> bytes:
    """Encodes a message to a node, compressed unless it is short.

    Args:
        message: An update of the leader or a reply.
    """
    data = encode(message)
    if len(data) < COMPRESSED_BYTES_MIN:
        return _PLAIN + data
    return _COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)


def add_ack(ack: Ack, encoded: bytes) -> bytes:
    """Adds the acknowledgement for one node to a message.

    Args:
        ack: The acknowledgement.
        encoded: Encoded message, which several nodes may share.
    """
    return _ACK.pack(ack.number, ack.held_ms, ack.message_number) + encoded


def decode_from_leader(
    data: bytes, peer: str
) -> tuple[Ack, LeaderUpdate | PermitReply]:
    """Decodes a message of the leader with its acknowledgement.

    Args:
        data: Bytes received.
        peer: Address of the leader, for error messages.

    Raises:
        WireError: If the bytes are no valid message of a leader.
    """
    if len(data) <= _ACK.size:
        raise errors.WireError('update without a header', 'decode', peer)
    body = data[_ACK.size + 1 :]
    if data[_ACK.size : _ACK.size + 1] == _COMPRESSED:
        body = _decompress(body, peer)
    message = decode(body, peer)
    if not isinstance(message, (LeaderUpdate, PermitReply)):
        raise errors.WireError('not from a leader', 'decode', peer)
    return Ack(*_ACK.unpack_from(data)), message


def _decompress(data: bytes, peer: str) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data, MESSAGE_BYTES_MAX)
    except zlib.error as exc:
        raise errors.WireError(repr(exc), 'decode', peer)
    if not decompressor.eof:
        raise errors.WireError(
            f'update cut short, or longer than {MESSAGE_BYTES_MAX} bytes',
            'decode',
            peer,
        )
    return body

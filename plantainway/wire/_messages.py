"""Messages between nodes; field names are keys on the wire."""

import dataclasses

PROTOCOL_VERSION = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message of both nodes on a link.

    ``version`` is the protocol version of the sender.
    """

    version: int
    node: str
    incarnation: int
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Liveness of one node as known to the sender.

    ``age_ms`` is the age of the heartbeat when sent, summed over the hops, so
    that no clocks are compared. ``report`` is the number of the node's newest
    report.
    """

    node: str
    incarnation: int
    age_ms: int
    report: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeats:
    """Periodic message with liveness, load and configuration revision.

    ``loads`` gives ``[running, waiting]`` requests by head VM. ``revision`` is
    the number of the revision in force at the sender.
    """

    beats: list[Heartbeat]
    loads: dict[str, list[int]]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class VmState:
    """State of one VM as last probed by the node that watches it.

    ``ok`` is false while the VM can't be reached. ``boot`` identifies the boot
    of the VM and ``token`` is the fencing token of its copy. ``warm`` names
    the weights that an idle engine has loaded.
    """

    ok: bool
    boot: str
    copy_id: str
    token: int
    role: str
    leaving: bool
    slots: int = 0
    warm: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class CopyView:
    """State of one copy as its controller has stored it in the table.

    ``members`` holds ``[vm, boot]`` pairs in rank order.
    """

    copy_id: str
    group: str
    version: str
    token: int
    state: str
    members: list[list[str]]
    row_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class NodeReport:
    """State that one node publishes to all others.

    The whole report is sent on each change, under the next ``number``.
    ``seen`` gives the watched VMs by name, ``copies`` the controlled copies by
    identifier and ``shards`` the fencing token of each shard held.
    """

    node: str
    incarnation: int
    number: int
    region: str
    place: str
    failure_domain: str
    caller: str
    peer: str
    leaving: bool
    seen: dict[str, VmState]
    copies: dict[str, CopyView]
    shards: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class ReportRequest:
    """Requests the reports of the named nodes."""

    nodes: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionDelta:
    """Changes from the previous revision to ``revision``.

    Each change is ``[kind, name, body]``; ``None`` as the body deletes the
    object.
    """

    revision: int
    changes: list[list]


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionRequest:
    """Requests the changes of all revisions after ``after``."""

    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class LimitLoans:
    """Shares of client account limits that a node requests and lends.

    Limits are keyed by ``ACCOUNT/KIND``. ``wants`` gives the units that the
    node requests. ``loans`` gives, by borrower, the ``number`` of the
    borrower's message that it answers and the units lent. ``held`` gives, by
    lender, the borrowed units still in use.
    """

    node: str
    incarnation: int
    number: int
    wants: dict[str, int]
    loans: dict[str, tuple[int, dict[str, int]]]
    held: dict[str, dict[str, int]]

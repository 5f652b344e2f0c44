"""Messages between nodes."""

import dataclasses

PROTOCOL_VERSION = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message on a link, from both sides."""

    version: int
    node: str
    incarnation: int
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Liveness of one node as the sender knows it.

    ``age_ms`` counts from the node's own beat to the sending, summed over
    the hops, so no clocks are compared.
    """

    node: str
    incarnation: int
    age_ms: int
    report: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeats:
    """Periodic message: liveness and load.

    ``loads`` gives requests running and waiting by head VM.
    """

    beats: list[Heartbeat]
    loads: dict[str, list[int]]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class VmState:
    """State of one VM as its watcher last saw it.

    ``ok`` is false while the watcher can't reach it. ``warm`` names the
    weights that an idle engine holds.
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
    """One copy as its controller has it in the table.

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
    """What one node tells all others; sent whole when it changes."""

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
    """Asks for the reports of the named nodes."""

    nodes: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionDelta:
    """Changes that make a revision: ``[kind, name, body or None]``."""

    revision: int
    changes: list[list]


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionRequest:
    """Asks for the revisions after a number."""

    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class LimitLoans:
    """What a node wants to borrow of the accounts' limits, and lends.

    Keys are ``ACCOUNT/KIND``. ``loans`` gives, by borrower, the number of
    the borrower's sheet that it answers and the units lent; ``held`` the
    borrowed units still in use, by lender.
    """

    node: str
    incarnation: int
    number: int
    wants: dict[str, int]
    loans: dict[str, tuple[int, dict[str, int]]]
    held: dict[str, dict[str, int]]

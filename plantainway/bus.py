"""Publishes typed messages between the tasks of one node."""

import asyncio
import dataclasses

from plantainway import objects
from plantainway import stores
from plantainway import wire

INBOX_MAX = 10000


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionInForce:
    """A new revision has come into force at this node."""

    revision: objects.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionAnnounced:
    """Another node reported the number of a revision that it has."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeltaReceived:
    """A peer sent the changes that lead to a revision."""

    delta: wire.RevisionDelta


@dataclasses.dataclass(frozen=True, slots=True)
class VmListRead:
    """The platform's VM list was read; ``entries`` is keyed by VM name."""

    entries: dict[str, stores.VmEntry]


@dataclasses.dataclass(frozen=True, slots=True)
class VmObservationsChanged:
    """This node's own probe results for VMs have changed."""

    seen: dict[str, wire.VmState]


@dataclasses.dataclass(frozen=True, slots=True)
class LocalLoadsMeasured:
    """Running and waiting requests by head VM, from own probes."""

    loads: dict[str, list[int]]


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteLoadsReceived:
    """Running and waiting requests by head VM, from another node."""

    loads: dict[str, list[int]]


@dataclasses.dataclass(frozen=True, slots=True)
class CopiesChanged:
    """The copies that this node controls have changed.

    ``shards`` gives the fencing token of each shard held.
    """

    copies: dict[str, wire.CopyView]
    shards: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class NodeReportUpdated:
    """A newer report of a node, possibly this one, has been stored."""

    report: wire.NodeReport


@dataclasses.dataclass(frozen=True, slots=True)
class LocalSheetUpdated:
    """This node's requests for and loans of rate limits, to be sent out."""

    sheet: wire.LimitLoans


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteSheetReceived:
    """Another node's requests for and loans of rate limits."""

    sheet: wire.LimitLoans


@dataclasses.dataclass(frozen=True, slots=True)
class RegisteredNodesRead:
    """Names of all registered nodes, as last read from the table."""

    nodes: frozenset[str]


class Bus:
    """Delivers each message to every inbox subscribed to its type."""

    def __init__(self):
        self._inboxes: list[tuple[tuple, asyncio.Queue]] = []

    def subscribe(self, *types) -> asyncio.Queue:
        """Creates and returns an inbox that receives the given message types.

        Args:
            types: Message classes to receive.
        """
        inbox = asyncio.Queue(INBOX_MAX)
        self._inboxes.append((types, inbox))
        return inbox

    def publish(self, message) -> None:
        """Delivers a message to all inboxes subscribed to its type.

        Args:
            message: Message to deliver. It supersedes earlier ones of its
                type, so a full inbox drops its oldest message.
        """
        for types, inbox in self._inboxes:
            if isinstance(message, types):
                if inbox.full():
                    inbox.get_nowait()
                inbox.put_nowait(message)

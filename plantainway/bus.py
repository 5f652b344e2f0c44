"""Typed messages between the tasks of one node."""

import asyncio
import dataclasses

from plantainway import objects
from plantainway import stores
from plantainway import wire

INBOX_MAX = 10000


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionInForce:
    """A revision is in force at this node."""

    revision: objects.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionAnnounced:
    """Some other node knows of a revision."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeltaReceived:
    """A peer sent the changes that make a revision."""

    delta: wire.Delta


@dataclasses.dataclass(frozen=True, slots=True)
class VmListRead:
    """The platform's list was read."""

    entries: dict[str, stores.VmEntry]


@dataclasses.dataclass(frozen=True, slots=True)
class VmObservationsChanged:
    """What this node saw of its VMs has changed."""

    seen: dict[str, wire.SeenVm]


@dataclasses.dataclass(frozen=True, slots=True)
class LocalLoadsMeasured:
    """Requests running and waiting by head VM, from own probes."""

    loads: dict[str, list[int]]


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteLoadsReceived:
    """Requests running and waiting by head VM, from another node."""

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
    """A newer report of some node, the own one included, is held."""

    report: wire.Report


@dataclasses.dataclass(frozen=True, slots=True)
class LocalSheetUpdated:
    """Own wants and loans of limits, to be sent to the other nodes."""

    sheet: wire.Sheet


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteSheetReceived:
    """Another node's wants and loans of limits."""

    sheet: wire.Sheet


@dataclasses.dataclass(frozen=True, slots=True)
class RegisteredNodesRead:
    """Names of all registered nodes, as last read from the table."""

    nodes: frozenset[str]


class Bus:
    """Hands each message to every inbox that asked for its type."""

    def __init__(self):
        self._inboxes: list[tuple[tuple, asyncio.Queue]] = []

    def subscribe(self, *types) -> asyncio.Queue:
        """Returns a new inbox for the given message types.

        Args:
            types: Classes of messages.
        """
        inbox = asyncio.Queue(INBOX_MAX)
        self._inboxes.append((types, inbox))
        return inbox

    def publish(self, message) -> None:
        """Puts a message into the inboxes.

        Args:
            message: Message to hand out; each replaces earlier ones of its
                type, so a full inbox may drop its oldest.
        """
        for types, inbox in self._inboxes:
            if isinstance(message, types):
                if inbox.full():
                    inbox.get_nowait()
                inbox.put_nowait(message)

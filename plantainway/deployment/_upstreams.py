"""Upstreams as their entries in the platform's store describe them."""

import dataclasses
import enum


class GroupState(enum.Enum):
    """State of one member of a replica group."""

    NONE = ''
    JOINING = 'joining'
    READY = 'ready'
    OPEN = 'open'
    CLOSING = 'closing'
    BROKEN = 'broken'


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """The group that an upstream belongs to; rank 0 is the head."""

    group: str
    epoch: int
    rank: int
    state: GroupState
    model: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One incarnation of an upstream.

    ``started_ms`` is its start in Unix milliseconds; it distinguishes
    successive processes of one name. ``staged`` names the models whose
    weights are stored on its host.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    started_ms: int = 0
    domain: str = ''
    staged: tuple[str, ...] = ()
    membership: Membership | None = None

    @property
    def is_open_head(self) -> bool:
        """Tells whether requests may be sent to it as a group's head."""
        member = self.membership
        return (
            member is not None
            and member.rank == 0
            and member.state is GroupState.OPEN
        )


class UpstreamRegistry:
    """All upstreams in the state of one version of the store.

    Readers keep no references into it over an await.
    """

    def __init__(self):
        self.by_name: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] | None = None
        self.version = 0

    def replace(self, upstreams, version: int) -> None:
        """Takes a full reading.

        Args:
            upstreams: All upstreams.
            version: Version of the store it is as of.
        """
        self.by_name = {item.name: item for item in upstreams}
        self.version = version
        self._by_service = None

    def apply(self, changed, removed, version: int) -> None:
        """Takes changes in order.

        Args:
            changed: Upstreams whose entry is new or has changed.
            removed: Names whose entry is gone.
            version: Version of the store after the changes.
        """
        for item in changed:
            self.by_name[item.name] = item
        for name in removed:
            self.by_name.pop(name, None)
        self.version = max(version, self.version)
        self._by_service = None

    def find_by_service(self, service: str) -> list[Upstream]:
        """Returns the upstreams of a service, leaving ones included.

        Args:
            service: Name of the service.
        """
        if self._by_service is None:
            self._by_service = {}
            for item in self.by_name.values():
                self._by_service.setdefault(item.service, []).append(item)
        return self._by_service.get(service, [])

    def find_open_heads(self, service: str, model: str) -> list[Upstream]:
        """Returns the heads that serve a model.

        Args:
            service: Name of the service.
            model: Name of the model.
        """
        return [
            item
            for item in self.find_by_service(service)
            if item.is_open_head
            and not item.draining
            and item.membership.model == model
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself, some hundred milliseconds old.

    ``slowdown`` over 1 means that it runs that much slower than usual.
    """

    started_ms: int
    queued: int
    active: int
    slowdown: float
    staged: tuple[str, ...]
    membership: Membership | None

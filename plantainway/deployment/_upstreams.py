"""Upstreams, their replica groups and the reports of their engines."""

import dataclasses
import enum


class GroupState(enum.Enum):
    """State of one member of a replica group.

    ``NONE`` stands for an upstream that belongs to no group.
    """

    NONE = ''
    JOINING = 'joining'
    READY = 'ready'
    OPEN = 'open'
    CLOSING = 'closing'
    BROKEN = 'broken'


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """Place of an upstream in a replica group.

    The member with rank 0 is the head, which takes the group's requests. A
    group that is formed again gets a higher ``epoch``.
    """

    group: str
    epoch: int
    rank: int
    state: GroupState
    model: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One incarnation of an upstream, as it is registered in the store.

    ``started_ms`` is its start in Unix milliseconds; it distinguishes
    successive processes of one name. ``staged`` names the models whose
    weights are stored on its host. ``cold_left_ms`` is for how much longer it
    stayed cold when its entry was written; entries that differ in nothing else
    are equal.
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
    cold_left_ms: int = dataclasses.field(default=0, compare=False)

    @property
    def is_open_head(self) -> bool:
        """Whether it is the head of a group that accepts requests."""
        member = self.membership
        return (
            member is not None
            and member.rank == 0
            and member.state is GroupState.OPEN
        )


class UpstreamRegistry:
    """All registered upstreams as of one version of the store.

    The contents change while a reader awaits, so readers keep no references
    into it across an await.

    Attributes:
        by_name: Upstreams by name.
        version: Version of the store that the contents are as of.
        evacuated_zones: Failure domains to which nothing is sent.
    """

    def __init__(self):
        self.evacuated_zones: frozenset[str] = frozenset()
        self.by_name: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] | None = None
        self._heads: dict[tuple[str, str], list[Upstream]] = {}
        self.version = 0

    def replace(self, upstreams, version: int) -> None:
        """Replaces the contents by a snapshot of the store.

        Args:
            upstreams: All upstreams.
            version: Version of the store that the snapshot is as of.
        """
        self.by_name = {item.name: item for item in upstreams}
        self.version = version
        self._by_service = None

    def apply(self, changed, removed, version: int) -> None:
        """Applies changes, which must come in the order of the store.

        Args:
            changed: Upstreams whose entry was added or changed.
            removed: Names of upstreams whose entry was removed.
            version: Version of the store after the changes.
        """
        for item in changed:
            self.by_name[item.name] = item
        for name in removed:
            self.by_name.pop(name, None)
        self.version = max(version, self.version)
        self._by_service = None

    def find_by_service(self, service: str) -> list[Upstream]:
        """Returns the upstreams of a service, including draining ones.

        Args:
            service: Name of the service.
        """
        if self._by_service is None:
            self._update_index()
        return self._by_service.get(service, [])

    def _find_heads(self, service: str, model: str) -> list[Upstream]:
        if self._by_service is None:
            self._update_index()
        return self._heads.get((service, model), [])

    def _update_index(self) -> None:
        self._by_service = {}
        self._heads = {}
        for item in self.by_name.values():
            self._by_service.setdefault(item.service, []).append(item)
            if item.is_open_head:
                key = (item.service, item.membership.model)
                self._heads.setdefault(key, []).append(item)

    def set_evacuated(self, zones) -> None:
        """Sets the failure domains to which nothing is sent.

        Args:
            zones: Names of the failure domains; unknown ones have no effect.
        """
        self.evacuated_zones = frozenset(zones)

    def is_evacuated(self, upstream: Upstream) -> bool:
        """Returns whether an upstream is in an evacuated failure domain.

        Args:
            upstream: The upstream.
        """
        return upstream.zone in self.evacuated_zones

    def find_available(self, service: str) -> list[Upstream]:
        """Returns the upstreams of a service that may get new requests.

        Draining ones and those in evacuated failure domains are left out.

        Args:
            service: Name of the service.
        """
        return [
            item
            for item in self.find_by_service(service)
            if self._is_available(item)
        ]

    def _is_available(self, upstream: Upstream) -> bool:
        return not upstream.draining and not self.is_evacuated(upstream)

    def find_open_heads(self, service: str, model: str) -> list[Upstream]:
        """Returns the heads that accept requests for a model.

        Draining heads and those in evacuated failure domains are left out.
        Each request calls this, and most engines are no heads, so the heads
        are indexed.

        Args:
            service: Name of the service.
            model: Name of the model.
        """
        return [
            item
            for item in self._find_heads(service, model)
            if self._is_available(item)
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """State that an engine reports; some hundred milliseconds old.

    ``queued`` and ``active`` count requests. A ``slowdown`` above 1 is the
    factor by which the engine is slower than usual.
    """

    started_ms: int
    queued: int
    active: int
    slowdown: float
    staged: tuple[str, ...]
    membership: Membership | None

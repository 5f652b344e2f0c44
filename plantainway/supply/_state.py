"""Input and output types of the replica group planner."""

import collections
import dataclasses
import enum

from plantainway import deployment


SLOW_PACE_RATIO = 2.0  # a group is as slow as its slowest member


class Reachability(enum.Enum):
    """Whether an engine answers the probes of the controller."""

    ANSWERS = 'answers'  # also if it was never probed
    SILENT = 'silent'
    GONE = 'gone'  # its address is closed or belongs to another engine


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStatus:
    """State of one engine, merged from its store entry and its probes.

    ``silent_since`` is the time of the first unanswered request for a
    report in monotonic seconds, ``None`` unless the engine is silent or
    gone. ``pace`` is the slowdown that the engine reports, 1.0 at its usual
    speed. ``is_probe_pending`` is set while a probe waits for its answer.
    ``is_confirmed`` is false while the state is known only from an entry that
    may be older than orders which the engine has carried out. All three keep
    their defaults for an engine that is silent or gone.
    """

    upstream: deployment.Upstream
    reachability: Reachability = Reachability.ANSWERS
    silent_since: float | None = None
    pace: float = 1.0
    is_probe_pending: bool = False
    is_confirmed: bool = True

    @property
    def name(self) -> str:
        """Returns the name of the upstream."""
        return self.upstream.name

    @property
    def membership(self) -> deployment.Membership | None:
        """Returns the group membership, ``None`` outside of a group."""
        return self.upstream.membership

    @property
    def member_key(self) -> tuple[str, str, int] | None:
        """Returns engine, group and epoch, ``None`` outside of a group."""
        member = self.upstream.membership
        if member is None:
            return None
        return (self.upstream.name, member.group, member.epoch)

    @property
    def is_slow(self) -> bool:
        """Returns whether the engine slows down its group too much."""
        return self.pace >= SLOW_PACE_RATIO

    @property
    def is_usable(self) -> bool:
        """Returns whether the engine answers and is not draining."""
        return (
            self.reachability is Reachability.ANSWERS
            and not self.upstream.draining
        )


@dataclasses.dataclass(slots=True)
class GroupRecord:
    """A group that this controller has formed or adopted.

    Times are monotonic seconds. ``born_by_member`` holds the ``started_ms`` of
    each member at the time of the join and detects restarts.
    ``is_from_this_term`` is false for groups adopted from an earlier term.
    ``opened`` is set when the head is ordered to open, or if an adopted
    group already serves or closes; it stays set while the group closes.
    ``closing_since`` is when the head was ordered to close, or when a
    closing group was adopted. ``seen_open_at`` is when the entry of the
    head or a newer report first showed it open.
    """

    name: str
    epoch: int
    model: str
    members: tuple[str, ...]
    formed_at: float
    born_by_member: dict[str, int]
    is_from_this_term: bool = True
    opened: bool = False
    open_sent_at: float = 0.0
    closing_since: float | None = None
    seen_open_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class DomainView:
    """State of one fabric domain, as input to the planner.

    ``busy`` holds the names of engines that load a model or leave a group.
    ``ended_memberships`` holds memberships that have ended although the
    store entries still show them. ``loading`` maps the names of spare
    engines to the model that they load. ``is_evacuated`` tells whether the
    engines get no requests at the operator's request; ``kept_groups`` is then
    the number of groups by model up to which lost ones are replaced.
    """

    domain: str
    engines: dict[str, EngineStatus]
    groups: dict[str, GroupRecord]
    busy: frozenset
    ended_memberships: frozenset = frozenset()
    loading: dict[str, str] = dataclasses.field(default_factory=dict)
    is_evacuated: bool = False
    kept_groups: dict[str, int] = dataclasses.field(default_factory=dict)

    def count_groups(self) -> collections.Counter:
        """Returns the number of groups by model, closing ones left out."""
        return collections.Counter(
            record.model
            for record in self.groups.values()
            if record.closing_since is None
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Form:
    """Forms a new group of engines, in rank order with the head first."""

    model: str
    members: tuple[str, ...]
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Open:
    """Orders the head of a group to serve, once all members are ready."""

    group: str


@dataclasses.dataclass(frozen=True, slots=True)
class Close:
    """Orders the head of a group to stop serving.

    With ``finish`` the head completes the requests in progress first.
    """

    group: str
    finish: bool
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Disband:
    """Removes a group and orders all members that answer to leave it."""

    group: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Warm:
    """Orders an idle engine to load a model before a group needs it."""

    upstream: str
    model: str

"""What the planning of replica groups sees, and what it decides."""

import dataclasses
import enum

from plantainway import deployment


SLOW_PACE = 2.0  # a group runs at the pace of its slowest member


class Contact(enum.Enum):
    """Whether an engine answers the controller."""

    ANSWERS = 'answers'
    SILENT = 'silent'
    GONE = 'gone'  # nobody or somebody else listens at its address


@dataclasses.dataclass(frozen=True, slots=True)
class EngineFacts:
    """An engine as last seen.

    ``silent_since`` is monotonic seconds, ``None`` while it answers;
    ``pace`` is how many times slower than usual it says it is; ``is_probed``
    while it has been asked and has not answered yet.
    """

    upstream: deployment.Upstream
    contact: Contact = Contact.ANSWERS
    silent_since: float | None = None
    pace: float = 1.0
    is_probed: bool = False

    @property
    def name(self) -> str:
        """Returns the name of the upstream."""
        return self.upstream.name

    @property
    def membership(self) -> deployment.Membership | None:
        """Returns its membership."""
        return self.upstream.membership

    @property
    def member_key(self) -> tuple[str, str, int] | None:
        """Returns what identifies its membership, ``None`` without one."""
        member = self.upstream.membership
        if member is None:
            return None
        return (self.upstream.name, member.group, member.epoch)

    @property
    def is_slow(self) -> bool:
        """Tells whether a group is better off without it."""
        return self.pace >= SLOW_PACE

    @property
    def is_usable(self) -> bool:
        """Tells whether it may be ordered into a group."""
        return self.contact is Contact.ANSWERS and not self.upstream.draining


@dataclasses.dataclass(slots=True)
class GroupRecord:
    """A group that this controller has formed or found open.

    ``formed_at`` is monotonic seconds. ``lives`` holds the ``started_ms`` of
    each member when it joined. ``closing_since`` is set once its head was
    told to close, ``seen_open_at`` once its head was seen to serve.
    """

    name: str
    epoch: int
    model: str
    members: tuple[str, ...]
    formed_at: float
    lives: dict[str, int]
    is_ours: bool = True
    opened: bool = False
    open_sent_at: float = 0.0
    closing_since: float | None = None
    seen_open_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class DomainView:
    """One fabric domain as the planner sees it.

    ``busy`` names engines that load a model or leave a group, ``left`` the
    memberships that have ended though entries still show them, ``loading``
    the models that spares load.
    """

    domain: str
    engines: dict[str, EngineFacts]
    groups: dict[str, GroupRecord]
    busy: frozenset
    left: frozenset = frozenset()
    loading: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Form:
    """Let engines join a new group, the head first."""

    model: str
    members: tuple[str, ...]
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Open:
    """Let the head of a group of ready members serve."""

    group: str


@dataclasses.dataclass(frozen=True, slots=True)
class Close:
    """Let the head of a group stop; ``finish`` lets its work end first."""

    group: str
    finish: bool
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Disband:
    """Forget a group; all members that answer leave it."""

    group: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Warm:
    """Let an idle engine load a model, to be ready for a group of it."""

    upstream: str
    model: str

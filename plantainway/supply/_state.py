"""What the planning of replica groups sees, and what it decides."""

import dataclasses
import enum

from plantainway import deployment


class Contact(enum.Enum):
    """Whether an engine answers the controller."""

    ANSWERS = 'answers'
    SILENT = 'silent'
    GONE = 'gone'  # nobody or somebody else listens at its address


@dataclasses.dataclass(frozen=True, slots=True)
class EngineFacts:
    """An engine as last seen.

    ``silent_since`` is monotonic seconds, ``None`` while it answers.
    """

    upstream: deployment.Upstream
    contact: Contact = Contact.ANSWERS
    silent_since: float | None = None

    @property
    def name(self) -> str:
        """Returns the name of the upstream."""
        return self.upstream.name

    @property
    def membership(self) -> deployment.Membership | None:
        """Returns its membership."""
        return self.upstream.membership

    @property
    def is_usable(self) -> bool:
        """Tells whether it may be ordered into a group."""
        return self.contact is Contact.ANSWERS and not self.upstream.draining


@dataclasses.dataclass(slots=True)
class GroupRecord:
    """A group that this controller has formed or found open.

    ``formed_at`` is monotonic seconds. ``lives`` holds the ``born`` of each
    member when it joined. ``closing_since`` is set once its head was told to
    close. While ``open_in_doubt``, an order to open may still take effect.
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
    open_in_doubt: bool = False
    closing_since: float | None = None
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Streams a second for each model, and their mean token counts."""

    per_s: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class DomainView:
    """One fabric domain as the planner sees it.

    ``held`` gives engines that may not join before a monotonic time, since
    the head of their last group may still stand. ``busy`` names engines
    with an order under way.
    """

    domain: str
    engines: dict[str, EngineFacts]
    groups: dict[str, GroupRecord]
    held: dict[str, float]
    busy: frozenset


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
    """Forget a group; survivors leave and are held until ``free_at``.

    ``free_at`` is monotonic seconds. Where ``head_leaves``, no member is
    free before its head was seen to have left.
    """

    group: str
    free_at: float
    reason: str
    head_leaves: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
    """Let an idle engine load a model onto its host."""

    upstream: str
    model: str

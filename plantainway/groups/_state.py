"""State of replica groups as the decisions see it."""

import dataclasses
import enum

from plantainway.groups import _sightings


class CopyState(enum.StrEnum):
    """States of one copy of a replica group."""

    LOADING = 'loading'
    SERVING = 'serving'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A VM in a copy; ``boot`` is empty until the copy first served."""

    vm: str
    boot: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """One copy of a replica group, members in rank order.

    ``row_version`` is the version of its row in the table.
    """

    copy_id: str
    group: str
    shard: str
    version: str
    token: int
    state: CopyState
    members: tuple[Member, ...]
    row_version: int = 0

    @property
    def vms(self) -> tuple[str, ...]:
        """Returns the names of the members."""
        return tuple(member.vm for member in self.members)


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Row of a VM: the one copy it belongs to, if any.

    While ``releasing``, the VM is in no copy but not yet proven free of
    its old role; ``token`` is then the newest token it was ordered with.
    """

    vm: str
    shard: str
    copy_id: str = ''
    token: int = 0
    releasing: bool = False
    boot: str = ''
    row_version: int = 0

    @property
    def free(self) -> bool:
        """Tells whether a copy may claim the VM."""
        return not self.copy_id and not self.releasing


def warm_label(weights: str, rank: int, members: int) -> str:
    """Returns the name of one member's part of a set of weights.

    Args:
        weights: Name of the weights.
        rank: Place of the member in the copy.
        members: Members of a copy.
    """
    return f'{weights}/{rank}/{members}'


@dataclasses.dataclass(frozen=True, slots=True)
class GroupSpec:
    """What the declared objects ask of one fabric domain for one group.

    ``extra`` more copies than ``copies`` may stand where VMs would be idle
    otherwise. Times are expected ones in seconds: ``load_s`` to fetch the
    weights of one member, ``join_s`` from there until the copy serves,
    ``drain_s`` until the requests in progress have ended. ``load_vms_max``
    is how many VMs the weight store feeds at full speed.
    """

    name: str
    version: str
    weights: str
    adapters: tuple[str, ...]
    copies: int
    vms_per_copy: int
    downtime_weight: float
    stranded_weight: float
    value: float
    load_s: float
    extra: int = 0
    join_s: float = 0.0
    drain_s: float = 0.0
    load_vms_max: int = 1000000

    def warm_label(self, rank: int) -> str:
        """Returns what an engine shows that has a rank's weights.

        Args:
            rank: Place of the member in the copy.
        """
        return warm_label(self.weights, rank, self.vms_per_copy)


@dataclasses.dataclass(frozen=True, slots=True)
class VmFacts:
    """What is known of a VM besides its row.

    ``lost_since`` is the monotonic time since when it has not been seen,
    ``None`` while it is seen. ``orders_clear_at`` is when no old order can
    still be in flight to an engine that does not check tokens.
    """

    vm: str
    address: str
    listed: bool
    leaving: bool
    checks_fencing: bool
    observation: _sightings.Observation | None
    lost_since: float | None
    orders_clear_at: float

    @property
    def usable(self) -> bool:
        """Tells whether the VM may join a copy now."""
        return (
            self.listed
            and not self.is_leaving
            and self.lost_since is None
            and self.observation is not None
        )

    @property
    def is_leaving(self) -> bool:
        """Tells whether the list, an operator or the engine says so."""
        return self.leaving or (
            self.observation is not None and self.observation.seen.leaving
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ShardView:
    """Everything that planning one fabric domain needs."""

    shard: str
    copies: dict[str, Copy]
    holds: dict[str, Hold]
    specs: dict[str, GroupSpec]
    vms: dict[str, VmFacts]
    now: float


@dataclasses.dataclass(frozen=True, slots=True)
class Form:
    """Claim free VMs for a new copy."""

    spec: GroupSpec
    vms: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Reform:
    """Load a copy anew, with a new token and perhaps other members."""

    copy: Copy
    spec: GroupSpec
    vms: tuple[str, ...]
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class MarkServing:
    """Every member is ready: let the copy serve."""

    copy: Copy
    boots: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Let a copy finish its work and take no more."""

    copy: Copy
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Dissolve:
    """Give up a copy and release its members."""

    copy: Copy
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Free:
    """A releasing VM is proven free."""

    vm: str
    boot: str
    proof: str


@dataclasses.dataclass(frozen=True, slots=True)
class Prefetch:
    """Let a free VM fetch the weights of a member it may replace."""

    vm: str
    spec: GroupSpec
    rank: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Outcome of planning one fabric domain.

    ``wake_at`` is the monotonic time at which to plan again even if
    nothing has changed, infinite for never.
    """

    actions: tuple
    prefetches: tuple[Prefetch, ...]
    replan_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to send to an engine.

    ``name`` is load, unload, drain or prefetch.
    """

    name: str
    vm: str
    copy_id: str
    token: int
    copy: Copy | None = None
    prefetch: Prefetch | None = None

"""State, actions and orders of replica groups."""

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
    """A VM in a copy; ``boot`` is empty until the copy serves."""

    vm: str
    boot: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """One copy of a replica group, with its members in rank order.

    ``token`` is the fencing token of the orders to its members,
    ``row_version`` the version of its row in the table.
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
        """Returns the names of the member VMs in rank order."""
        return tuple(member.vm for member in self.members)


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Row of a VM: the one copy that holds it, if any.

    While ``releasing``, the VM is in no copy but may still have its old
    role. ``token`` is the newest fencing token of an order to the VM,
    ``boot`` the newest boot recorded for it.
    """

    vm: str
    shard: str
    copy_id: str = ''
    token: int = 0
    releasing: bool = False
    boot: str = ''
    row_version: int = 0

    @property
    def is_free(self) -> bool:
        """Returns whether a copy may claim the VM."""
        return not self.copy_id and not self.releasing


def warm_label(weights: str, rank: int, members: int) -> str:
    """Returns the label of the weights that one member loads.

    Args:
        weights: Name of the weights.
        rank: Rank of the member in the copy.
        members: Number of members of a copy.
    """
    return f'{weights}/{rank}/{members}'


@dataclasses.dataclass(frozen=True, slots=True)
class GroupSpec:
    """Desired state of one group in one fabric domain.

    Up to ``extra_copies`` more than ``copies`` may be formed of VMs that
    would otherwise be idle. The times are expected ones, in seconds:
    ``load_s`` to fetch the weights of one member, ``join_s`` from there
    until the copy serves, ``drain_s`` until the requests in progress have
    ended. ``max_loading_vms`` is the number of VMs that the weight store
    serves at full speed.
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
    extra_copies: int = 0
    join_s: float = 0.0
    drain_s: float = 0.0
    max_loading_vms: int = 1000000

    def warm_label(self, rank: int) -> str:
        """Returns the label shown by an engine with the weights of a rank.

        Args:
            rank: Rank of the member in the copy.
        """
        return warm_label(self.weights, rank, self.vms_per_copy)


@dataclasses.dataclass(frozen=True, slots=True)
class VmFacts:
    """Declared, listed and observed state of a VM, besides its row.

    ``listed`` is set if the VM is declared and in the VM list, and
    ``listed_as_leaving`` if the list marks it as leaving. ``lost_since`` is
    the monotonic time since which the VM has not answered, ``None`` while
    it does. ``old_orders_expire_at`` is the monotonic time after which no
    old order can be in flight, for engines that do not check tokens.
    """

    vm: str
    address: str
    listed: bool
    listed_as_leaving: bool
    checks_fencing: bool
    observation: _sightings.Observation | None
    lost_since: float | None
    old_orders_expire_at: float

    @property
    def is_usable(self) -> bool:
        """Returns whether the VM is listed, answers and is not leaving.

        Its row tells whether it is free.
        """
        return (
            self.listed
            and not self.is_leaving
            and self.lost_since is None
            and self.observation is not None
        )

    @property
    def is_leaving(self) -> bool:
        """Returns whether the VM list or the engine marks it as leaving."""
        return self.listed_as_leaving or (
            self.observation is not None and self.observation.seen.leaving
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ShardView:
    """Input of the planner for one fabric domain at monotonic ``now``."""

    shard: str
    copies: dict[str, Copy]
    holds: dict[str, Hold]
    specs: dict[str, GroupSpec]
    vms: dict[str, VmFacts]
    now: float


@dataclasses.dataclass(frozen=True, slots=True)
class Form:
    """Claims free VMs for a new copy."""

    spec: GroupSpec
    vms: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Reform:
    """Reloads a copy with a new token and possibly other members."""

    copy: Copy
    spec: GroupSpec
    vms: tuple[str, ...]
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class MarkServing:
    """Lets a copy serve after all members are ready, with their boots."""

    copy: Copy
    boots: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Stops new requests to a copy while those in progress finish."""

    copy: Copy
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Dissolve:
    """Removes a copy and releases its members."""

    copy: Copy
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Free:
    """Makes a releasing VM free, given the proof that it has no role."""

    vm: str
    boot: str
    proof: str


@dataclasses.dataclass(frozen=True, slots=True)
class Prefetch:
    """Lets a free VM fetch the weights of a rank that it may take over."""

    vm: str
    spec: GroupSpec
    rank: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Result of planning one fabric domain.

    ``replan_at`` is the monotonic time at which to plan again even if
    nothing has changed, infinite for never.
    """

    actions: tuple
    prefetches: tuple[Prefetch, ...]
    replan_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Order to an engine; ``name`` is load, unload, drain or prefetch."""

    name: str
    vm: str
    copy_id: str
    token: int
    copy: Copy | None = None
    prefetch: Prefetch | None = None

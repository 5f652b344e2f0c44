"""Distribution of the copies of each group over fabric domains."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class DomainCapacity:
    """Number of VMs of a fabric domain that are up and in no copy."""

    domain: str
    free_vms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedCopy:
    """A copy that exists in a fabric domain.

    ``is_movable`` is set once the copy has been down for so long that it
    may be formed in another domain.
    """

    domain: str
    group: str
    is_movable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Allotment:
    """Numbers of declared and extra copies of one domain, by group."""

    copies: dict[str, int]
    extra: dict[str, int]


def allot_copies(
    groups, capacities: list[DomainCapacity], placed: list
) -> dict:
    """Distributes the declared copies over the fabric domains.

    An existing copy keeps its domain, also while a member is lost, until
    it is movable and another domain has enough free VMs. Groups of higher
    value are placed first. A new copy goes to the domain with the fewest
    free VMs that suffice (best fit), which keeps large blocks of free VMs
    together. Remaining VMs are given to the extra copies that the groups
    allow.

    Args:
        groups: Declared replica groups.
        capacities: Free VMs of every fabric domain.
        placed: Existing copies.

    Returns:
        Allotment by name of the fabric domain.
    """
    order = sorted(groups, key=lambda group: (-group.value, group.name))
    state = _Allotter(capacities)
    for group in order:
        state.keep_placed(group, placed)
    for group in order:
        state.place_missing(group)
    for group in order:
        state.place_extra(group, placed)
    return state.result


class _Allotter:
    def __init__(self, capacities):
        self._free_vms = {item.domain: item.free_vms for item in capacities}
        self.result = {domain: Allotment({}, {}) for domain in self._free_vms}
        self._missing = {}

    def keep_placed(self, group, placed) -> None:
        """Keeps existing copies; movable ones only if no other domain fits."""
        own_copies = [
            item
            for item in placed
            if item.group == group.name and item.domain in self._free_vms
        ]
        own_copies.sort(key=lambda item: (item.is_movable, item.domain))
        allowed = [i for i in own_copies if i.domain in group.fabric_domains]
        left = group.copies
        for item in allowed[:left]:
            if (
                item.is_movable
                and self._best_fit(group, item.domain) is not None
            ):
                continue
            self._add(self.result[item.domain].copies, group, 1)
            left -= 1
        self._missing[group.name] = left

    def place_missing(self, group) -> None:
        """Places the declared copies that were not kept."""
        for _copy in range(self._missing[group.name]):
            domain = self._best_fit(group)
            if domain is None:
                return
            self._add(self.result[domain].copies, group, 1)
            self._free_vms[domain] -= group.vms_per_copy

    def place_extra(self, group, placed) -> None:
        """Keeps existing extra copies and places new ones on free VMs."""
        left = group.extra_copies
        for domain, allotment in self.result.items():
            existing = sum(
                1
                for item in placed
                if (item.domain, item.group) == (domain, group.name)
            )
            beyond = existing - allotment.copies.get(group.name, 0)
            count = min(max(beyond, 0), left)
            if count:
                self._add(allotment.extra, group, count)
                left -= count
        while left > 0:
            domain = self._best_fit(group)
            if domain is None:
                return
            self._add(self.result[domain].extra, group, 1)
            self._free_vms[domain] -= group.vms_per_copy
            left -= 1

    def _best_fit(self, group, excluded: str = '') -> str | None:
        fitting = [
            domain
            for domain in group.fabric_domains
            if self._free_vms.get(domain, 0) >= group.vms_per_copy
            and domain != excluded
        ]
        return min(
            fitting,
            key=lambda domain: (self._free_vms[domain], domain),
            default=None,
        )

    @staticmethod
    def _add(counts: dict, group, count: int) -> None:
        counts[group.name] = counts.get(group.name, 0) + count

"""How many copies of each group every fabric domain gets."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class DomainCapacity:
    """VMs of a fabric domain that are up and in no copy."""

    domain: str
    free_vms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedCopy:
    """A copy that stands in a domain.

    ``stuck`` tells that it has been down for so long that it may be
    formed elsewhere.
    """

    domain: str
    group: str
    is_movable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Allotment:
    """What one fabric domain gets: copies, and extra copies, by group."""

    copies: dict[str, int]
    extra: dict[str, int]


def allot_copies(
    groups, capacities: list[DomainCapacity], placed: list
) -> dict:
    """Spreads the declared copies over fabric domains.

    A copy that stands keeps its place, also while a member is lost, until
    it is stuck and there is room elsewhere. Groups of higher value go
    first. A new copy goes where the remaining room is the smallest that
    fits, so that large gaps stay whole. What is left may hold the extra
    copies that the groups allow.

    Args:
        groups: Declared replica groups.
        rooms: Room of every fabric domain.
        standing: Copies that stand now.

    Returns:
        The allotment of each domain by its name.
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
        """Keeps what stands; stuck copies only while none fits elsewhere."""
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
        """Places copies that stand nowhere."""
        for _copy in range(self._missing[group.name]):
            domain = self._best_fit(group)
            if domain is None:
                return
            self._add(self.result[domain].copies, group, 1)
            self._free_vms[domain] -= group.vms_per_copy

    def place_extra(self, group, placed) -> None:
        """Allows extra copies where they stand or where room is left."""
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

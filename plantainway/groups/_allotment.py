"""How many copies of each group every fabric domain gets."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class DomainRoom:
    """VMs of a fabric domain that are up and in no copy."""

    domain: str
    vms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """A copy that stands in a domain.

    ``stuck`` tells that it has been down for so long that it may be
    formed elsewhere.
    """

    domain: str
    group: str
    stuck: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Allotment:
    """What one fabric domain gets: copies, and extra copies, by group."""

    copies: dict[str, int]
    extra: dict[str, int]


def allot(groups, rooms: list[DomainRoom], standing: list) -> dict:
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
    state = _State(rooms)
    for group in order:
        state.keep(group, standing)
    for group in order:
        state.place_missing(group)
    for group in order:
        state.place_extra(group, standing)
    return state.result


class _State:
    def __init__(self, rooms):
        self._room = {item.domain: item.vms for item in rooms}
        self.result = {domain: Allotment({}, {}) for domain in self._room}
        self._left = {}

    def keep(self, group, standing) -> None:
        """Keeps what stands; stuck copies only while none fits elsewhere."""
        mine = [
            item
            for item in standing
            if item.group == group.name and item.domain in self._room
        ]
        mine.sort(key=lambda item: (item.stuck, item.domain))
        allowed = [i for i in mine if i.domain in group.fabric_domains]
        left = group.copies
        for item in allowed[:left]:
            if item.stuck and self._best(group, item.domain) is not None:
                continue
            self._add(self.result[item.domain].copies, group, 1)
            left -= 1
        self._left[group.name] = left

    def place_missing(self, group) -> None:
        """Places copies that stand nowhere."""
        for _copy in range(self._left[group.name]):
            domain = self._best(group)
            if domain is None:
                return
            self._add(self.result[domain].copies, group, 1)
            self._room[domain] -= group.vms_per_copy

    def place_extra(self, group, standing) -> None:
        """Allows extra copies where they stand or where room is left."""
        left = group.extra_copies
        for domain, allotment in self.result.items():
            stand = sum(
                1
                for item in standing
                if (item.domain, item.group) == (domain, group.name)
            )
            beyond = stand - allotment.copies.get(group.name, 0)
            count = min(max(beyond, 0), left)
            if count:
                self._add(allotment.extra, group, count)
                left -= count
        while left > 0:
            domain = self._best(group)
            if domain is None:
                return
            self._add(self.result[domain].extra, group, 1)
            self._room[domain] -= group.vms_per_copy
            left -= 1

    def _best(self, group, besides: str = '') -> str | None:
        fitting = [
            domain
            for domain in group.fabric_domains
            if self._room.get(domain, 0) >= group.vms_per_copy
            and domain != besides
        ]
        return min(
            fitting,
            key=lambda domain: (self._room[domain], domain),
            default=None,
        )

    @staticmethod
    def _add(counts: dict, group, count: int) -> None:
        counts[group.name] = counts.get(group.name, 0) + count

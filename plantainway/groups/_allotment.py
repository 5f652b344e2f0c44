"""How many copies of each group every fabric domain gets."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class DomainRoom:
    """VMs of a fabric domain that are usable or in a copy now."""

    domain: str
    vms: int


def allot(groups, rooms: list[DomainRoom], held: dict) -> dict:
    """Spreads the declared copies over fabric domains.

    Groups of higher value go first. A copy that already stands in a
    domain stays there while it fits; others go where the remaining room
    is the smallest that fits, so that large gaps stay whole.

    Args:
        groups: Declared replica groups.
        rooms: Room of every fabric domain.
        held: Copies that stand now, by ``(domain, group)``.

    Returns:
        By domain, the number of copies of each group.
    """
    room = {item.domain: item.vms for item in rooms}
    result = {domain: {} for domain in room}
    order = sorted(groups, key=lambda group: (-group.value, group.name))
    missing = {}
    for group in order:
        left = group.copies
        for domain in sorted(group.fabric_domains):
            stands = min(held.get((domain, group.name), 0), left)
            fits = room.get(domain, 0) // group.vms_per_copy
            keep = min(stands, fits)
            left -= _give(result, room, domain, group, keep)
        missing[group.name] = left
    for group in order:
        for _copy in range(missing[group.name]):
            fitting = [
                domain
                for domain in group.fabric_domains
                if room.get(domain, 0) >= group.vms_per_copy
            ]
            if not fitting:
                break
            best = min(fitting, key=lambda domain: (room[domain], domain))
            _give(result, room, best, group, 1)
    return result


def _give(result, room, domain, group, count: int) -> int:
    if count > 0:
        given = result[domain].get(group.name, 0)
        result[domain][group.name] = given + count
        room[domain] -= count * group.vms_per_copy
    return count

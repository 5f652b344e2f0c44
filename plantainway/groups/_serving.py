"""Whether new work may be sent to a copy."""

import dataclasses

from plantainway import wire


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Answer with its reason.

    ``seen_at`` is the monotonic time of the oldest member sighting.
    """

    allowed: bool
    reason: str
    seen_at: float = 0.0


def may_send(copy: wire.CopyView, sighting_of) -> Verdict:
    """Decides from sightings of every member.

    Needs no store, so the rule is the same during an outage.

    Args:
        copy: The copy as its controller reported it.
        sighting_of: Function from VM to its fresh sighting or ``None``.

    Returns:
        The verdict; allowed only if every member was seen with the boot,
        copy and token of the copy, ready and not leaving.
    """
    if copy.state != 'serving':
        return Verdict(False, copy.state)
    oldest = None
    for vm, boot in copy.members:
        sighting = sighting_of(vm)
        if sighting is None or not sighting.seen.ok:
            return Verdict(False, f'missing {vm}')
        seen = sighting.seen
        if seen.boot != boot:
            return Verdict(False, f'restarted {vm}')
        if (seen.copy_id, seen.token) != (copy.copy_id, copy.token):
            return Verdict(False, f'elsewhere {vm}')
        if seen.role != 'ready':
            return Verdict(False, f'{seen.role} {vm}')
        if seen.leaving:
            return Verdict(False, f'leaving {vm}')
        if oldest is None or sighting.at < oldest:
            oldest = sighting.at
    if oldest is None:
        return Verdict(False, 'no members')
    return Verdict(True, 'serving', oldest)

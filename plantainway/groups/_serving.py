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
    oldest_seen_at: float = 0.0


def may_send(copy: wire.CopyView, observation_of) -> Verdict:
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
        observation = observation_of(vm)
        if observation is None or not observation.seen.ok:
            return Verdict(False, f'missing {vm}')
        seen = observation.seen
        if seen.boot != boot:
            return Verdict(False, f'restarted {vm}')
        if (seen.copy_id, seen.token) != (copy.copy_id, copy.token):
            return Verdict(False, f'elsewhere {vm}')
        if seen.role != 'ready':
            return Verdict(False, f'{seen.role} {vm}')
        if seen.leaving:
            return Verdict(False, f'leaving {vm}')
        if oldest is None or observation.at < oldest:
            oldest = observation.at
    if oldest is None:
        return Verdict(False, 'no members')
    return Verdict(True, 'serving', oldest)

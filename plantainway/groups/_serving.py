"""Check whether new requests may be sent to a copy."""

import dataclasses

from plantainway import wire


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a copy may get new requests, and the reason.

    ``oldest_seen_at`` is the monotonic time of the oldest observation of a
    member; it is set only if requests are allowed.
    """

    allowed: bool
    reason: str
    oldest_seen_at: float = 0.0


def may_send(copy: wire.CopyView, observation_of) -> Verdict:
    """Returns the verdict whether new requests may go to a copy.

    Uses observations of the members alone and no store, so that routing
    works in the same way during a store outage.

    Args:
        copy: Copy as reported by its controller.
        observation_of: Function from VM name to its current observation, or
            ``None`` if there is none.

    Returns:
        Verdict; allowed only if every member was observed with the boot,
        copy id and token of the copy, ready and not leaving.
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

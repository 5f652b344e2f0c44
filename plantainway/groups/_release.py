"""Proof that a releasing VM no longer has a role."""

NO_PROOF = ''
GONE = 'gone'
IDLE = 'idle'
NEW_BOOT = 'new boot'


def release_proof(hold, facts, now: float) -> str:
    """Returns the proof that a releasing VM no longer has a role.

    An engine that does not check tokens could still execute an old order,
    so the VM must have been observed after all of these have expired.

    Args:
        hold: Row of the VM.
        facts: Listing and newest observation of the VM.
        now: Monotonic seconds.

    Returns:
        ``GONE``, ``IDLE`` or ``NEW_BOOT``; ``NO_PROOF``, which is empty, if
        there is no proof yet.
    """
    if not facts.listed and facts.lost_since is not None:
        return GONE
    observation = facts.observation
    if facts.lost_since is not None or observation is None:
        return NO_PROOF
    if not facts.checks_fencing and (
        now < facts.old_orders_expire_at
        or observation.at < facts.old_orders_expire_at
    ):
        return NO_PROOF
    if observation.seen.role != 'idle' or observation.seen.copy_id:
        return NO_PROOF
    if hold.boot and observation.seen.boot != hold.boot:
        return NEW_BOOT
    return IDLE

"""Proof that a VM holds no role any more."""

NO_PROOF = ''
GONE = 'gone'
IDLE = 'idle'
NEW_BOOT = 'new boot'


def release_proven(hold, facts, now: float) -> str:
    """Tells whether a releasing VM holds no role any more.

    Args:
        hold: Row of the VM.
        facts: What is known of the VM.
        now: Monotonic seconds.

    Returns:
        The proof as a word, ``NO_PROOF`` if there is none.
    """
    if not facts.listed and facts.lost_since is not None:
        return GONE
    sighting = facts.sighting
    if facts.lost_since is not None or sighting is None:
        return NO_PROOF
    if not facts.checks_fencing and (
        now < facts.orders_clear_at or sighting.at < facts.orders_clear_at
    ):
        return NO_PROOF
    if sighting.seen.role != 'idle' or sighting.seen.copy_id:
        return NO_PROOF
    if hold.boot and sighting.seen.boot != hold.boot:
        return NEW_BOOT
    return IDLE

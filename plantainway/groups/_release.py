"""Proof that a VM holds no role any more."""

NO_PROOF = ''
GONE = 'gone'
IDLE = 'idle'
NEW_BOOT = 'new boot'


def release_proof(hold, facts, now: float) -> str:
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
    observation = facts.observation
    if facts.lost_since is not None or observation is None:
        return NO_PROOF
    if not facts.checks_fencing and (
        now < facts.orders_clear_at or observation.at < facts.orders_clear_at
    ):
        return NO_PROOF
    if observation.seen.role != 'idle' or observation.seen.copy_id:
        return NO_PROOF
    if hold.boot and observation.seen.boot != hold.boot:
        return NEW_BOOT
    return IDLE

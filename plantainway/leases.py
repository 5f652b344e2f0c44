"""When a lease lapses, told without comparing clocks.

The holder counts its deadline from just before it sent the renewal; an
observer calls the lease lapsed once the row has stood unchanged for the
whole term on its own clock.
"""


def holder_deadline(sent_at: float, term_s: float, margin_s: float) -> float:
    """Returns until when a holder may act.

    Args:
        sent_at: Monotonic seconds just before the renewal was sent.
        term_s: Term of the lease.
        margin_s: The holder stops this long before observers may act.
    """
    return sent_at + term_s - margin_s


class LeaseObserver:
    """Decides from repeated readings whether a lease has lapsed.

    Args:
        term_s: Term of the lease in seconds.
    """

    def __init__(self, term_s: float):
        self._term_s = term_s
        self._version = None
        self._lapses_at = 0.0

    def observe(self, version: int, holder: str, now: float) -> None:
        """Takes in one reading of the row.

        Args:
            version: Version of the row.
            holder: Holder that the row names, may be empty.
            now: Monotonic seconds after the reading arrived.
        """
        if version != self._version:
            self._version = version
            self._lapses_at = now + self._term_s if holder else now

    def is_expired(self, now: float, patience_s: float = 0.0) -> bool:
        """Tells whether the lease may be taken over.

        Args:
            now: Monotonic seconds.
            patience_s: Further seconds to leave to better candidates.
        """
        return (
            self._version is not None and now >= self._lapses_at + patience_s
        )

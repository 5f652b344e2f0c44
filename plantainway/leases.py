"""Lease expiry without comparing the clocks of different nodes.

The holder measures its deadline from just before it sent the renewal. An
observer considers the lease expired once the row has been unchanged for the
whole term, measured on the observer's own clock.
"""


def holder_deadline(sent_at: float, term_s: float, margin_s: float) -> float:
    """Returns the monotonic time until which a holder may act.

    Args:
        sent_at: Monotonic seconds just before the renewal was sent.
        term_s: Term of the lease.
        margin_s: Seconds by which the holder stops before observers may
            take the lease over.
    """
    return sent_at + term_s - margin_s


class LeaseObserver:
    """Decides from repeated reads of its row whether a lease has expired.

    Args:
        term_s: Term of the lease in seconds.
    """

    def __init__(self, term_s: float):
        self._term_s = term_s
        self._version = None
        self._expires_at = 0.0

    def observe(self, version: int, holder: str, now: float) -> None:
        """Records one read of the row; a new version restarts the term.

        A row without a holder expires at once.

        Args:
            version: Version of the row.
            holder: Holder named in the row, empty if the lease is free.
            now: Monotonic seconds when the row had been read.
        """
        if version != self._version:
            self._version = version
            self._expires_at = now + self._term_s if holder else now

    def is_expired(self, now: float, delay_s: float = 0.0) -> bool:
        """Returns whether the lease may be taken over.

        Args:
            now: Monotonic seconds.
            delay_s: Extra seconds to wait, so that preferred candidates can
                take the lease first.
        """
        return self._version is not None and now >= self._expires_at + delay_s

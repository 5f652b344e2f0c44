"""Leases over shards of control work."""

import dataclasses

from plantainway import leases

LEASE_TERM_S = 6.0
RENEW_PERIOD_S = 2.0
HOLDER_MARGIN_S = 0.5  # the holder stops this long before observers may act


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Row of a shard.

    ``token`` grows with each change of holder, ``counter`` with each
    renewal or control commit, ``next_copy`` numbers copies and their
    fencing tokens, ``audits`` numbers audit rows. An empty ``holder`` means
    that the lease was handed back.
    """

    shard: str
    holder: str
    incarnation: int
    token: int
    counter: int
    next_copy: int
    audits: int

    def renewed(self) -> 'Lease':
        """Returns the row as the holder's next write leaves it."""
        return dataclasses.replace(self, counter=self.counter + 1)

    def acquired_by(self, holder: str, incarnation: int) -> 'Lease':
        """Returns the row as a new holder writes it.

        Args:
            holder: Name of the new holder.
            incarnation: Its incarnation.
        """
        return dataclasses.replace(
            self,
            holder=holder,
            incarnation=incarnation,
            token=self.token + 1,
            counter=self.counter + 1,
        )

    def released(self) -> 'Lease':
        """Returns the row as a holder that gives up leaves it."""
        return dataclasses.replace(self, holder='', counter=self.counter + 1)


def new_lease(shard: str) -> Lease:
    """Returns the row of a shard that nobody has held yet.

    Args:
        shard: Name of the shard.
    """
    return Lease(shard, '', 0, 0, 0, 1, 0)


def holder_deadline(sent_at: float) -> float:
    """Returns until when the holder of a shard may act.

    Args:
        sent_at: Monotonic seconds just before the renewal was sent.
    """
    return leases.holder_deadline(sent_at, LEASE_TERM_S, HOLDER_MARGIN_S)

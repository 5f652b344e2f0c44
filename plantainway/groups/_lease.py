"""Lease rows of the control shards."""

import dataclasses

from plantainway import leases

LEASE_TERM_S = 6.0
RENEW_PERIOD_S = 2.0
HOLDER_MARGIN_S = 0.5  # the holder stops this long before observers may act


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Lease row of a shard.

    ``token`` increases with each change of holder, ``counter`` with each
    renewal or control commit. ``next_copy`` is the next number for copy ids
    and fencing tokens of copies, ``audits`` the number of the last audit
    row. An empty ``holder`` means that the lease was released.
    """

    shard: str
    holder: str
    incarnation: int
    token: int
    counter: int
    next_copy: int
    audits: int

    def renewed(self) -> 'Lease':
        """Returns the row that the holder writes with its next commit."""
        return dataclasses.replace(self, counter=self.counter + 1)

    def acquired_by(self, holder: str, incarnation: int) -> 'Lease':
        """Returns the row that a new holder writes.

        Args:
            holder: Name of the new holder.
            incarnation: Incarnation of the new holder.
        """
        return dataclasses.replace(
            self,
            holder=holder,
            incarnation=incarnation,
            token=self.token + 1,
            counter=self.counter + 1,
        )

    def released(self) -> 'Lease':
        """Returns the row that a holder writes to release the lease."""
        return dataclasses.replace(self, holder='', counter=self.counter + 1)


def new_lease(shard: str) -> Lease:
    """Returns the initial row of a shard without a holder.

    Args:
        shard: Name of the shard.
    """
    return Lease(shard, '', 0, 0, 0, 1, 0)


def holder_deadline(sent_at: float) -> float:
    """Returns the monotonic time until which the holder may act.

    Args:
        sent_at: Monotonic seconds just before the renewal was sent.
    """
    return leases.holder_deadline(sent_at, LEASE_TERM_S, HOLDER_MARGIN_S)

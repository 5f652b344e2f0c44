"""Distributed enforcement of an account's limits.

Each limit is divided into equal quotas of whole units, one for each node. A
node that does not need its whole quota lends units to nodes that need more.
The nodes together never exceed the limit, because only one node may use a
unit at a time:

- a borrower may use a loan until a deadline that is counted from just
  before it sent the request that the loan answers;
- the lender may not use the units until a deadline that is counted from
  when it last sent the loan, which is later, plus one window.

No clocks are compared between VMs and no store is needed. A partitioned node
keeps its own quota. Units of a concurrency limit may stay in use after the
loan has expired; they stay lent until the borrower has reported, after its
deadline, how many of them it still uses.
"""

import dataclasses
import math

from plantainway import ratelimits

LOAN_TERM_S = 2.0
SHEET_PERIOD_S = 0.25  # minimum time between two sheets of a node
WINDOW_S = 1.0
# Windows are lengthened until each node has this many units.
UNITS_PER_NODE_MIN = 4
DEMAND_HEADROOM = 1.25  # a node keeps its demand times this for itself
DEMAND_DECAY = 0.7  # factor on the previous demand at each sheet
CONCURRENT = 'concurrent'
REQUESTS = 'requests'


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """A limit in whole units.

    ``window_s`` is 0 for a concurrency limit. For a rate limit it is the
    length of the sliding window in which ``units`` may be used.
    """

    units: int
    window_s: float


def rate_limit(per_second: float, nodes: int) -> Limit:
    """Returns a rate limit as units in a window.

    The window is one second, or longer if each node would otherwise have
    fewer than ``UNITS_PER_NODE_MIN`` units.

    Args:
        per_second: Declared rate, in requests a second.
        nodes: Number of registered nodes.
    """
    if per_second <= 0:
        return Limit(0, WINDOW_S)
    window_s = max(
        WINDOW_S, math.ceil(UNITS_PER_NODE_MIN * nodes / per_second)
    )
    return Limit(int(per_second * window_s), window_s)


@dataclasses.dataclass(slots=True)
class _Loan:
    """A loan of units; ``deadline`` is monotonic seconds.

    ``answered_sheet`` is the number of the borrower's sheet that asked.
    """

    units: int
    deadline: float
    answered_sheet: int = 0


class LimitShare:
    """One node's share of one limit of one account.

    Args:
        node: Name of the own node.
        clock: Source of monotonic time.
    """

    def __init__(self, node: str, clock):
        self._node = node
        self._clock = clock
        self._limit = Limit(0, 0.0)
        self._quota = 0
        self._lent: dict[str, list[_Loan]] = {}
        self._in_use_by: dict[str, int] = {}
        self._borrowed: dict[str, _Loan] = {}
        self._not_returned: dict[str, int] = {}
        self._used = ratelimits.SlidingWindow(clock)
        self._running = 0
        self._refused = 0
        self._asked = 0
        self.demand = 0.0

    def set_quota(self, limit: Limit, nodes) -> None:
        """Sets the declared limit and this node's quota of it.

        Args:
            limit: The limit.
            nodes: Names of the registered nodes.
        """
        self._limit = limit
        self._quota = ratelimits.equal_quota(limit.units, self._node, nodes)

    def lent_units(self) -> int:
        """Returns the units of this node that other nodes may be using."""
        return sum(map(self._lent_to, set(self._lent) | set(self._in_use_by)))

    def _lent_to(self, node: str) -> int:
        """Returns the units of this node that another node may be using.

        Drops expired loans of a rate limit. An older, larger loan counts
        until it has expired, even after a smaller one was sent.
        """
        loans = self._lent.get(node, [])
        if self._limit.window_s:
            now = self._clock.now()
            loans = [loan for loan in loans if loan.deadline > now]
        if loans:
            self._lent[node] = loans
        else:
            self._lent.pop(node, None)
        units = max((loan.units for loan in loans), default=0)
        return max(units, self._in_use_by.get(node, 0))

    def borrowed_units(self) -> int:
        """Returns the units that other nodes lend to this node now."""
        now = self._clock.now()
        return sum(
            loan.units
            for loan in self._borrowed.values()
            if loan.deadline > now
        )

    def capacity(self) -> int:
        """Returns the units that this node may use now."""
        return max(self._quota - self.lent_units(), 0) + self.borrowed_units()

    def fraction_of_limit(self) -> float:
        """Returns the fraction of the whole limit that this node has now."""
        return self.capacity() / max(self._limit.units, 1)

    def used_units(self) -> int:
        """Returns the units in use, or used within the current window."""
        if not self._limit.window_s:
            return self._running
        return self._used.count(self._limit.window_s)

    def try_acquire(self) -> bool:
        """Uses one unit, if the share has one left.

        A refused call counts as demand at the next ``update_demand``.

        Returns:
            Whether a unit was acquired.
        """
        self._asked += 1
        if self.used_units() >= self.capacity():
            self._refused += 1
            return False
        if self._limit.window_s:
            self._used.add()
        else:
            self._running += 1
        return True

    def release(self) -> None:
        """Frees one unit of a concurrency limit; no effect on a rate."""
        if not self._limit.window_s:
            self._running -= 1

    def retry_after_s(self) -> float:
        """Returns the seconds until a unit may be free again."""
        if self._limit.window_s and self.used_units():
            return self._used.remaining_s(self._limit.window_s)
        return WINDOW_S

    def update_demand(self) -> None:
        """Updates the measured demand; call it before making each sheet."""
        used = self.used_units()
        # Refused requests are demand too and count in full.
        wanted = float(used + self._refused)
        self._refused = self._asked = 0
        self.demand = max(wanted, self.demand * DEMAND_DECAY)

    def wanted_units(self) -> int:
        """Returns the units that this node needs beyond its own quota.

        Units that it has already borrowed are included. A node without a
        quota always asks for a few units, so that its first requests need not
        wait for a loan.
        """
        need = math.ceil(self.demand * DEMAND_HEADROOM)
        if not self._quota and self._limit.units:
            need = max(need, UNITS_PER_NODE_MIN)
        return max(need - self._quota, 0)

    def lend(
        self, wants: dict[str, int], sheet_numbers: dict
    ) -> dict[str, int]:
        """Lends the units that this node does not need to other nodes.

        The units are divided in proportion to what the nodes ask for.

        Args:
            wants: Units asked for, by node.
            sheet_numbers: Numbers of the sheets that asked, by node.

        Returns:
            Total units lent to each node, including those already lent to
            it: a loan replaces the previous one. Nodes that get none are left
            out. Send the loans before awaiting anything else, since their
            deadlines are counted from now.
        """
        now = self._clock.now()
        need = math.ceil(self.demand * DEMAND_HEADROOM)
        keep = max(need, self.used_units())
        spare = max(self._quota - keep, 0)
        wanting = {node: units for node, units in wants.items() if units > 0}
        total = sum(wanting.values())
        result = {}
        for node, units in sorted(wanting.items()):
            part = min(units, spare * units // total) if total else 0
            result[node] = part
        # Units that are still lent to another node can't be lent again.
        lendable = self._quota - self.used_units() - self.lent_units()
        deadline = now + LOAN_TERM_S + self._limit.window_s
        for node in sorted(result):
            already_lent = self._lent_to(node)
            grant = min(result[node], max(already_lent + lendable, 0))
            lendable -= max(grant - already_lent, 0)
            result[node] = grant
            if grant:
                self._lent.setdefault(node, []).append(
                    _Loan(grant, deadline, sheet_numbers[node])
                )
        return {node: units for node, units in result.items() if units}

    def add_loan(self, lender: str, units: int, asked_at: float) -> None:
        """Adds a loan from another node; replaces its previous one.

        Args:
            lender: Node that lends.
            units: Units lent.
            asked_at: Monotonic seconds when the sheet was sent that the
                loan answers.
        """
        self._borrowed[lender] = _Loan(units, asked_at + LOAN_TERM_S)
        self._not_returned[lender] = max(
            self._not_returned.get(lender, 0), units
        )

    def report_borrowed_in_use(self) -> dict[str, int]:
        """Returns by lender the borrowed units that requests still use.

        Send the result to the lenders. Changes the share: units whose loan
        has expired and that are not reported here count as returned, and no
        later call reports them. Empty for a rate limit.
        """
        if self._limit.window_s:
            return {}
        beyond_quota = self._running - max(self._quota - self.lent_units(), 0)
        now = self._clock.now()
        result = {}
        for lender in sorted(self._not_returned):
            units = min(max(beyond_quota, 0), self._not_returned[lender])
            beyond_quota -= units
            if units:
                result[lender] = units
            loan = self._borrowed[lender]
            lent = loan.units if loan.deadline > now else 0
            # Units that are reported as returned can't be used again.
            self._not_returned[lender] = max(units, lent)
        self._not_returned = {k: n for k, n in self._not_returned.items() if n}
        return result

    def record_units_in_use(
        self, borrower: str, number: int, units: int
    ) -> None:
        """Records how many of its borrowed units a borrower still uses.

        Drops the loans that had expired for the borrower when it made the
        sheet. No effect on a rate limit.

        Args:
            borrower: Node that borrowed the units.
            number: Number of the sheet that reported it.
            units: Units in use.
        """
        if self._limit.window_s:
            return
        # Sheets are at least SHEET_PERIOD_S apart, so this one was made
        # after the borrower's deadline of each loan that is dropped.
        last_expired = number - math.ceil(LOAN_TERM_S / SHEET_PERIOD_S) - 1
        loans = [
            loan
            for loan in self._lent.get(borrower, ())
            if loan.answered_sheet > last_expired
        ]
        if loans:
            self._lent[borrower] = loans
        else:
            self._lent.pop(borrower, None)
        if units:
            self._in_use_by[borrower] = units
        else:
            self._in_use_by.pop(borrower, None)

    def forget_node(self, node: str) -> None:
        """Drops the loans to a node that has restarted and its units in use.

        Loans of a rate limit are kept until they expire, since the node
        may have used them within the window.

        Args:
            node: Name of the node.
        """
        self._in_use_by.pop(node, None)
        if not self._limit.window_s:
            self._lent.pop(node, None)

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        return {
            'right': self._quota,
            'capacity': self.capacity(),
            'used': self.used_units(),
            'lent': self.lent_units(),
            'borrowed': self.borrowed_units(),
        }

"""Limits of an account that hold over all nodes together.

Every node owns an equal right to each limit, in whole units. A node that
does not need all of its right lends some to nodes that do. The sum of what
all nodes use never passes the limit, because a unit is used by one node at
a time:

- a borrower uses a loan until its deadline, counted from just before it
  sent the request that the loan answers;
- the lender does without the units until a deadline counted from when it
  last sent the loan, which is later, and for one window more.

No clock is compared between VMs, no store is needed, and a node that is cut
off goes on with its own right. Units of a concurrency limit may stay in use
after the loan has run out; they stay lent until the borrower has said, after
its deadline, how many it still uses.
"""

import collections
import dataclasses
import math

LOAN_TERM_S = 2.0
SHEET_PERIOD_S = 0.25  # least time between two sheets of a node
WINDOW_S = 1.0
UNITS_MIN = 4  # units a node should have in a window, if the limit allows
HEADROOM = 1.25  # demand times this is what a node keeps for itself
DEMAND_FALL = 0.7  # share of the old demand that stays after each round
CONCURRENT = 'concurrent'
REQUESTS = 'requests'


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """A limit in whole units.

    ``window_s`` is 0 for units in use at once, otherwise the length of the
    window in which that many units may be used.
    """

    units: int
    window_s: float


def rate_limit(per_second: float, nodes: int) -> Limit:
    """Returns a rate as units in a window.

    The window is one second unless the nodes would then have less than a
    few units each.

    Args:
        per_second: Declared rate.
        nodes: Registered nodes.
    """
    if per_second <= 0:
        return Limit(0, WINDOW_S)
    window_s = max(WINDOW_S, math.ceil(UNITS_MIN * nodes / per_second))
    return Limit(int(per_second * window_s), window_s)


def right_of(units: int, node: str, nodes) -> int:
    """Returns a node's right: equal parts, the rest by name.

    Args:
        units: Units of the limit.
        node: Name of the node.
        nodes: Names of all registered nodes.
    """
    names = sorted(nodes)
    if node not in names:
        return 0
    share, rest = divmod(units, len(names))
    return share + (names.index(node) < rest)


@dataclasses.dataclass(slots=True)
class _Loan:
    """A loan; ``answers`` numbers the borrower's sheet it was made for."""

    units: int
    deadline: float
    answers: int = 0


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
        self._right = 0
        self._lent: dict[str, list[_Loan]] = {}
        self._held_by: dict[str, int] = {}
        self._borrowed: dict[str, _Loan] = {}
        self._unreturned: dict[str, int] = {}
        self._used: collections.deque = collections.deque()
        self._running = 0
        self._refused = 0
        self._asked = 0
        self.demand = 0.0

    def set_right(self, limit: Limit, nodes) -> None:
        """Takes in the declared limit and the registered nodes.

        Args:
            limit: The limit.
            nodes: Names of the registered nodes.
        """
        self._limit = limit
        self._right = right_of(limit.units, self._node, nodes)

    def lent(self) -> int:
        """Returns the units that others may be using."""
        return sum(map(self._out_to, set(self._lent) | set(self._held_by)))

    def _out_to(self, node: str) -> int:
        """Returns the units that a node may be using.

        An older, larger loan counts until it has run out, also after a
        smaller one was sent.
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
        return max(units, self._held_by.get(node, 0))

    def borrowed(self) -> int:
        """Returns the units that others lend to this node now."""
        now = self._clock.now()
        return sum(
            loan.units
            for loan in self._borrowed.values()
            if loan.deadline > now
        )

    def capacity(self) -> int:
        """Returns the units that this node may use now."""
        return max(self._right - self.lent(), 0) + self.borrowed()

    def part(self) -> float:
        """Returns the part of the whole limit that this node has now."""
        return self.capacity() / max(self._limit.units, 1)

    def used(self) -> int:
        """Returns the units in use, or used within the window."""
        if not self._limit.window_s:
            return self._running
        oldest = self._clock.now() - self._limit.window_s
        while self._used and self._used[0] <= oldest:
            self._used.popleft()
        return len(self._used)

    def enter(self) -> bool:
        """Uses one unit if the share has one left.

        Returns:
            Whether there was one.
        """
        self._asked += 1
        if self.used() >= self.capacity():
            self._refused += 1
            return False
        if self._limit.window_s:
            self._used.append(self._clock.now())
        else:
            self._running += 1
        return True

    def leave(self) -> None:
        """Returns one unit of a concurrency limit."""
        if not self._limit.window_s:
            self._running -= 1

    def retry_after_s(self) -> float:
        """Returns when a unit may be free again, in seconds from now."""
        if self._limit.window_s and self._used:
            left_s = self._used[0] + self._limit.window_s
            return max(left_s - self._clock.now(), 0.0)
        return WINDOW_S

    def update_demand(self) -> None:
        """Closes a round of measuring demand; call it before each sheet."""
        used = self.used()
        # What was refused is wanted too; in a window it counts whole.
        wanted = float(used + self._refused)
        self._refused = self._asked = 0
        self.demand = max(wanted, self.demand * DEMAND_FALL)

    def want(self) -> int:
        """Returns the units that this node would like to borrow in all.

        A node without a right of its own wants a few in any case, so that
        its first requests need not wait for a loan.
        """
        need = math.ceil(self.demand * HEADROOM)
        if not self._right and self._limit.units:
            need = max(need, UNITS_MIN)
        return max(need - self._right, 0)

    def lend(self, wants: dict[str, int], numbers: dict) -> dict[str, int]:
        """Divides what this node does not need among those who want it.

        Args:
            wants: Units wanted by node.
            numbers: Numbers of the sheets that asked, by node.

        Returns:
            Units lent by node; send them before anything else is awaited.
        """
        now = self._clock.now()
        need = math.ceil(self.demand * HEADROOM)
        keep = max(need, self.used())
        spare = max(self._right - keep, 0)
        wanting = {node: units for node, units in wants.items() if units > 0}
        total = sum(wanting.values())
        result = {}
        for node, units in sorted(wanting.items()):
            part = min(units, spare * units // total) if total else 0
            result[node] = part
        # Units still out to somebody else can't be lent again.
        room = self._right - self.used() - self.lent()
        deadline = now + LOAN_TERM_S + self._limit.window_s
        for node in sorted(result):
            out = self._out_to(node)
            grant = min(result[node], max(out + room, 0))
            room -= max(grant - out, 0)
            result[node] = grant
            if grant:
                self._lent.setdefault(node, []).append(
                    _Loan(grant, deadline, numbers[node])
                )
        return {node: units for node, units in result.items() if units}

    def borrow(self, lender: str, units: int, asked_at: float) -> None:
        """Takes in a loan.

        Args:
            lender: Node that lends.
            units: Units lent.
            asked_at: When the request that it answers was sent.
        """
        self._borrowed[lender] = _Loan(units, asked_at + LOAN_TERM_S)
        self._unreturned[lender] = max(self._unreturned.get(lender, 0), units)

    def held(self) -> dict[str, int]:
        """Returns borrowed units that requests in progress still use."""
        if self._limit.window_s:
            return {}
        over = self._running - max(self._right - self.lent(), 0)
        now = self._clock.now()
        result = {}
        for lender in sorted(self._unreturned):
            units = min(max(over, 0), self._unreturned[lender])
            over -= units
            if units:
                result[lender] = units
            loan = self._borrowed[lender]
            lent = loan.units if loan.deadline > now else 0
            # What is reported as returned can't be used again.
            self._unreturned[lender] = max(units, lent)
        self._unreturned = {k: n for k, n in self._unreturned.items() if n}
        return result

    def set_held_by(self, borrower: str, number: int, units: int) -> None:
        """Takes in how many of its borrowed units a borrower still uses.

        Args:
            borrower: The borrower.
            number: Number of its sheet.
            units: Units in use.
        """
        if self._limit.window_s:
            return
        # Sheets are made at least a period apart, so this one was made
        # after the borrower's deadline of every loan that is dropped.
        past = number - math.ceil(LOAN_TERM_S / SHEET_PERIOD_S) - 1
        loans = [
            loan
            for loan in self._lent.get(borrower, ())
            if loan.answers > past
        ]
        if loans:
            self._lent[borrower] = loans
        else:
            self._lent.pop(borrower, None)
        if units:
            self._held_by[borrower] = units
        else:
            self._held_by.pop(borrower, None)

    def forget(self, node: str) -> None:
        """Forgets a node that has left or restarted.

        Args:
            node: Name of the node.
        """
        self._held_by.pop(node, None)
        if not self._limit.window_s:
            self._lent.pop(node, None)

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        return {
            'right': self._right,
            'capacity': self.capacity(),
            'used': self.used(),
            'lent': self.lent(),
            'borrowed': self.borrowed(),
        }

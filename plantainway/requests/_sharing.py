"""Shares of all accounts' limits, kept in step with the other nodes."""

import asyncio

from plantainway import bus
from plantainway.requests import _limits
from plantainway import wire

SHEETS_KEPT = 32
QUIET_SHEETS = 12  # sent after the last word, so that lenders hear it
JOIN_WAIT_S = 12.0  # until every node has read the new registration


class AccountLimits:
    """Shares of the limits of all accounts at one node.

    Args:
        node: Name of the own node.
        clock: Source of monotonic time.
        counted: Whether the other nodes divide by this one already.
    """

    def __init__(self, node: str, clock, counted: bool = False):
        self._node = node
        self._clock = clock
        self._shares: dict[str, _limits.LimitShare] = {}
        self._limits: dict[str, _limits.Limit] = {}
        self._declared = {}
        self._nodes: frozenset = frozenset((node,))
        self._wants: dict[str, wire.Sheet] = {}
        self._heard_at: dict[str, float] = {}
        self._sent_at: dict[int, float] = {}
        self._join_at = clock.now() + JOIN_WAIT_S
        self._joined = counted
        self._number = 0
        self._sheets_due = 0

    @property
    def joining(self) -> bool:
        """Tells whether this node still lives on loans alone."""
        return not self._joined and len(self._nodes) > 1

    def set_accounts(self, accounts: dict) -> None:
        """Takes in the declared client accounts.

        Args:
            accounts: Accounts by name.
        """
        self._declared = accounts
        self._set_rights()

    def set_nodes(self, nodes) -> None:
        """Takes in the registered nodes.

        Args:
            nodes: Their names.
        """
        self._nodes = frozenset(nodes) | {self._node}
        self._set_rights()

    def _set_rights(self) -> None:
        # Until every other node divides by the new number, a joining node
        # has no right of its own and borrows.
        nodes = self._nodes
        if self.joining:
            nodes = nodes - {self._node}
        for name, account in self._declared.items():
            limits = account.limits
            for kind, limit in (
                (_limits.CONCURRENT, _limits.Limit(limits.concurrent, 0.0)),
                (
                    _limits.REQUESTS,
                    _limits.rate_limit(
                        limits.requests_per_second, len(self._nodes)
                    ),
                ),
            ):
                key = f'{name}/{kind}'
                share = self._shares.get(key)
                if share is None:
                    share = _limits.LimitShare(self._node, self._clock)
                    self._shares[key] = share
                share.set_right(limit, nodes)

    def share(self, account: str, kind: str) -> _limits.LimitShare:
        """Returns the share of a limit.

        Args:
            account: Name of the account.
            kind: ``CONCURRENT`` or ``REQUESTS``.
        """
        return self._shares[f'{account}/{kind}']

    def make_sheet(self, incarnation: int) -> wire.Sheet | None:
        """Closes a round: measures demand, lends, and says what is wanted.

        Args:
            incarnation: Incarnation of the own node.

        Returns:
            The sheet to send at once, ``None`` if there is nothing to say.
        """
        now = self._clock.now()
        if not self._joined and now >= self._join_at:
            self._joined = True
            self._set_rights()
        wants = {}
        loans: dict[str, dict[str, int]] = {}
        held: dict[str, dict[str, int]] = {}
        fresh = {
            node: sheet
            for node, sheet in self._wants.items()
            if now - self._heard_at[node] < _limits.LOAN_TERM_S
        }
        for key, share in self._shares.items():
            share.update_demand()
            want = share.want()
            if want:
                wants[key] = want
            for lender, units in share.held().items():
                held.setdefault(lender, {})[key] = units
            asked = {
                node: sheet.wants[key]
                for node, sheet in fresh.items()
                if key in sheet.wants
            }
            if asked:
                numbers = {node: fresh[node].number for node in asked}
                for node, units in share.lend(asked, numbers).items():
                    loans.setdefault(node, {})[key] = units
        if wants or loans or held:
            self._sheets_due = QUIET_SHEETS
        if not self._sheets_due:
            return None
        self._sheets_due -= 1
        self._number += 1
        self._sent_at[self._number] = now
        self._sent_at.pop(self._number - SHEETS_KEPT, None)
        return wire.Sheet(
            self._node,
            incarnation,
            self._number,
            wants,
            {
                node: (fresh[node].number, units)
                for node, units in loans.items()
            },
            held,
        )

    def take_sheet(self, sheet: wire.Sheet) -> None:
        """Takes in the sheet of another node.

        Args:
            sheet: The sheet.
        """
        before = self._wants.get(sheet.node)
        if before is not None and before.incarnation != sheet.incarnation:
            for share in self._shares.values():
                share.forget(sheet.node)
        self._wants[sheet.node] = sheet
        self._heard_at[sheet.node] = self._clock.now()
        number, units = sheet.loans.get(self._node, (0, {}))
        asked_at = self._sent_at.get(number)
        mine = sheet.held.get(self._node, {})
        for key, share in self._shares.items():
            share.set_held_by(sheet.node, sheet.number, mine.get(key, 0))
            if asked_at is not None and key in units:
                share.borrow(sheet.node, units[key], asked_at)

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        return {
            key: share.dump()
            for key, share in self._shares.items()
            if share.used() or share.borrowed() or share.lent()
        }


class LimitSharingTask:
    """Exchanges sheets with the other nodes.

    Args:
        book: Limit book.
        incarnation: Incarnation of the own node.
        parts: Shared parts of the node.
    """

    def __init__(self, book: AccountLimits, incarnation: int, parts):
        self._book = book
        self._incarnation = incarnation
        self._parts = parts
        self._inbox = parts.bus.subscribe(
            bus.RevisionInForce,
            bus.RegisteredNodesRead,
            bus.RemoteSheetReceived,
        )

    async def run(self) -> None:
        """Makes and takes in sheets until cancelled."""
        clock = self._parts.clock
        while True:
            next_at = clock.now() + _limits.SHEET_PERIOD_S
            while (left_s := next_at - clock.now()) > 0:
                try:
                    async with asyncio.timeout(left_s):
                        message = await self._inbox.get()
                except TimeoutError:
                    break
                self._take_in(message)
            sheet = self._book.make_sheet(self._incarnation)
            if sheet is not None:
                self._parts.bus.publish(bus.LocalSheetUpdated(sheet))

    def _take_in(self, message) -> None:
        if isinstance(message, bus.RemoteSheetReceived):
            self._book.take_sheet(message.sheet)
        elif isinstance(message, bus.RegisteredNodesRead):
            self._book.set_nodes(message.nodes)
        else:
            self._book.set_accounts(
                message.revision.objects.of('client_account')
            )

"""Shares of the limits of all accounts, exchanged between nodes."""

import asyncio

from plantainway import bus
from plantainway.requests import _limits
from plantainway import wire

SENT_SHEETS_KEPT = 32
TRAILING_SHEETS = 12  # empty ones, so that lenders hear of returned units
JOIN_WAIT_S = 12.0  # until all nodes have read the new registration


class AccountLimits:
    """This node's shares of the limits of all accounts.

    Nodes exchange sheets. A sheet holds the units that its node asks for,
    the units that it lends and the borrowed units that it still uses.

    Args:
        node: Name of the own node.
        clock: Source of monotonic time.
        is_counted: Whether the other nodes already count this one when
            they divide the limits.
    """

    def __init__(self, node: str, clock, is_counted: bool = False):
        self._node = node
        self._clock = clock
        self._shares: dict[str, _limits.LimitShare] = {}
        self._limits: dict[str, _limits.Limit] = {}
        self._accounts = {}
        self._nodes: frozenset = frozenset((node,))
        self._last_sheets: dict[str, wire.LimitLoans] = {}
        self._received_at: dict[str, float] = {}
        self._sent_at: dict[int, float] = {}
        self._counted_from = clock.now() + JOIN_WAIT_S
        self._is_counted = is_counted
        self._number = 0
        self._sheets_due = 0

    @property
    def is_joining(self) -> bool:
        """Whether this node has no quota yet and relies on loans."""
        return not self._is_counted and len(self._nodes) > 1

    def set_accounts(self, accounts: dict) -> None:
        """Sets the declared client accounts and updates the quotas.

        Shares of accounts that are no longer declared are kept.

        Args:
            accounts: Accounts by name.
        """
        self._accounts = accounts
        self._update_quotas()

    def set_nodes(self, nodes) -> None:
        """Sets the registered nodes and updates the quotas.

        Args:
            nodes: Names of the nodes.
        """
        self._nodes = frozenset(nodes) | {self._node}
        self._update_quotas()

    def _update_quotas(self) -> None:
        # A joining node has no quota and borrows, until all other nodes
        # divide the limits by the new number of nodes.
        nodes = self._nodes
        if self.is_joining:
            nodes = nodes - {self._node}
        for name, account in self._accounts.items():
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
                share.set_quota(limit, nodes)

    def get_share(self, account: str, kind: str) -> _limits.LimitShare:
        """Returns this node's share of one limit of an account.

        Args:
            account: Name of an account that is or was declared.
            kind: ``CONCURRENT`` or ``REQUESTS``.
        """
        return self._shares[f'{account}/{kind}']

    def make_sheet(self, incarnation: int) -> wire.LimitLoans | None:
        """Updates the demand, lends spare units, and makes the next sheet.

        Call it at most once every ``SHEET_PERIOD_S``. Ends the joining of the
        node when it is due.

        Args:
            incarnation: Incarnation of the own node.

        Returns:
            The sheet to send at once, ``None`` if there is nothing to
            report.
        """
        now = self._clock.now()
        if not self._is_counted and now >= self._counted_from:
            self._is_counted = True
            self._update_quotas()
        wants = {}
        loans: dict[str, dict[str, int]] = {}
        held: dict[str, dict[str, int]] = {}
        fresh_sheets = {
            node: sheet
            for node, sheet in self._last_sheets.items()
            if now - self._received_at[node] < _limits.LOAN_TERM_S
        }
        for key, share in self._shares.items():
            share.update_demand()
            want = share.wanted_units()
            if want:
                wants[key] = want
            for lender, units in share.report_borrowed_in_use().items():
                held.setdefault(lender, {})[key] = units
            asked = {
                node: sheet.wants[key]
                for node, sheet in fresh_sheets.items()
                if key in sheet.wants
            }
            if asked:
                numbers = {node: fresh_sheets[node].number for node in asked}
                for node, units in share.lend(asked, numbers).items():
                    loans.setdefault(node, {})[key] = units
        if wants or loans or held:
            self._sheets_due = TRAILING_SHEETS
        if not self._sheets_due:
            return None
        self._sheets_due -= 1
        self._number += 1
        self._sent_at[self._number] = now
        self._sent_at.pop(self._number - SENT_SHEETS_KEPT, None)
        return wire.LimitLoans(
            self._node,
            incarnation,
            self._number,
            wants,
            {
                node: (fresh_sheets[node].number, units)
                for node, units in loans.items()
            },
            held,
        )

    def apply_sheet(self, sheet: wire.LimitLoans) -> None:
        """Applies the sheet of another node to the shares.

        Records what the node asks for and how many borrowed units it still
        uses, and adds its loans to this node. Loans that answer a sheet older
        than the last ``SENT_SHEETS_KEPT`` are ignored. If the incarnation of
        the node has changed, drops its concurrency loans first.

        The numbers of sheets are not compared, so the sheets of a node must
        be applied in the order in which it made them.

        Args:
            sheet: The sheet.
        """
        before = self._last_sheets.get(sheet.node)
        if before is not None and before.incarnation != sheet.incarnation:
            for share in self._shares.values():
                share.forget_node(sheet.node)
        self._last_sheets[sheet.node] = sheet
        self._received_at[sheet.node] = self._clock.now()
        number, units = sheet.loans.get(self._node, (0, {}))
        asked_at = self._sent_at.get(number)
        in_use = sheet.held.get(self._node, {})
        for key, share in self._shares.items():
            share.record_units_in_use(
                sheet.node, sheet.number, in_use.get(key, 0)
            )
            if asked_at is not None and key in units:
                share.add_loan(sheet.node, units[key], asked_at)

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        return {
            key: share.dump()
            for key, share in self._shares.items()
            if share.used_units()
            or share.borrowed_units()
            or share.lent_units()
        }


class LimitSharingTask:
    """Exchanges limit sheets with the other nodes over the bus.

    Args:
        limits: Shares of all limits at this node.
        incarnation: Incarnation of the own node.
        parts: Shared parts of the node.
    """

    def __init__(self, limits: AccountLimits, incarnation: int, parts):
        self._limits = limits
        self._incarnation = incarnation
        self._parts = parts
        self._inbox = parts.bus.subscribe(
            bus.RevisionInForce,
            bus.RegisteredNodesRead,
            bus.RemoteSheetReceived,
        )

    async def run(self) -> None:
        """Makes and applies sheets until cancelled."""
        clock = self._parts.clock
        while True:
            next_at = clock.now() + _limits.SHEET_PERIOD_S
            while (left_s := next_at - clock.now()) > 0:
                try:
                    async with asyncio.timeout(left_s):
                        message = await self._inbox.get()
                except TimeoutError:
                    break
                self._handle_message(message)
            sheet = self._limits.make_sheet(self._incarnation)
            if sheet is not None:
                self._parts.bus.publish(bus.LocalSheetUpdated(sheet))

    def _handle_message(self, message) -> None:
        if isinstance(message, bus.RemoteSheetReceived):
            self._limits.apply_sheet(message.sheet)
        elif isinstance(message, bus.RegisteredNodesRead):
            self._limits.set_nodes(message.nodes)
        else:
            self._limits.set_accounts(
                message.revision.objects.of_kind('client_account')
            )

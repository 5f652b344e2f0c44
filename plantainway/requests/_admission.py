"""Who may send requests, and how many."""

import asyncio
import dataclasses
import math

from plantainway import errors
from plantainway import keys
from plantainway.requests import _limits

JOIN_ROUNDS = 4  # sheets until a joining node has its first loans
TOKEN_BURST_S = 1.0  # tokens of this many seconds may be used at once


@dataclasses.dataclass(frozen=True, slots=True)
class AuthenticatedAccount:
    """An admitted request's account."""

    account: str
    rank: int
    models: frozenset
    services: frozenset


class TokenDebt:
    """Tokens an account has used beyond its rate.

    Tokens are counted as they are delivered, so an account may run into
    debt; new requests wait until it is paid.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._level = 0.0
        self._at = clock.now()

    def charge(self, tokens: int) -> None:
        """Adds delivered tokens.

        Args:
            tokens: Number of tokens.
        """
        self._level += tokens

    def left_s(self, rate: float) -> float:
        """Returns how long the debt lasts.

        Args:
            rate: Tokens a second that this node may deliver now.

        Returns:
            Seconds, 0 if there is no debt.
        """
        now = self._clock.now()
        self._level = max(self._level - (now - self._at) * rate, 0.0)
        self._at = now
        if not self._level:
            return 0.0
        if rate <= 0:
            return _limits.WINDOW_S
        return max(self._level / rate - TOKEN_BURST_S, 0.0)


class AdmissionController:
    """Checks keys and holds accounts to their limits.

    Args:
        clock: Source of monotonic time.
        limits: Shares of the limits at this node.
    """

    def __init__(self, clock, limits):
        self._clock = clock
        self._limits = limits
        self._accounts = {}
        self._priorities = {}
        self._debts: dict[str, TokenDebt] = {}

    def set_objects(self, objects) -> None:
        """Takes in a revision.

        Args:
            objects: Declared objects.
        """
        self._accounts = objects.of('client_account')
        self._priorities = objects.of('priority')
        self._limits.set_accounts(self._accounts)

    def authenticate(self, header: str) -> AuthenticatedAccount:
        """Finds the account of a caller.

        Args:
            header: Value of the ``Authorization`` header.

        Returns:
            The account.

        Raises:
            UnauthorizedError: If the key is missing or unknown.
        """
        name, secret = keys.parse_authorization(header)
        account = self._accounts.get(name)
        if account is None or not keys.verify(secret, account.keys):
            raise errors.UnauthorizedError('unknown key', 'authenticate')
        return AuthenticatedAccount(
            name,
            self._priorities[account.priority].rank,
            frozenset(account.models),
            frozenset(account.services),
        )

    def enter(self, admission: AuthenticatedAccount) -> None:
        """Counts a request in.

        Args:
            admission: Account of the request.

        Raises:
            NotRunError: If one of the account's limits is reached.
        """
        name = admission.account
        running = self._limits.share(name, _limits.CONCURRENT)
        if not running.enter():
            _refuse('concurrent', _limits.WINDOW_S)
        rate = self._limits.share(name, _limits.REQUESTS)
        if not rate.enter():
            running.leave()
            _refuse('requests_per_second', rate.retry_after_s())
        debt_s = self._debt(name).left_s(self._token_rate(name))
        if debt_s > 0:
            running.leave()
            _refuse('tokens_per_second', debt_s)

    async def admit(self, admission: AuthenticatedAccount) -> None:
        """Counts a request in, waiting for loans while the node joins.

        Args:
            admission: Account of the request.

        Raises:
            NotRunError: If one of the account's limits is reached.
        """
        for _round in range(JOIN_ROUNDS):
            try:
                self.enter(admission)
                return
            except errors.NotRunError:
                if not self._limits.joining:
                    raise
            await asyncio.sleep(_limits.SHEET_PERIOD_S)
        self.enter(admission)

    def release(self, admission: AuthenticatedAccount) -> None:
        """Counts a request out.

        Args:
            admission: Account of the request.
        """
        self._limits.share(admission.account, _limits.CONCURRENT).leave()

    def charge_tokens(
        self, admission: AuthenticatedAccount, tokens: int
    ) -> None:
        """Counts delivered tokens.

        Args:
            admission: Account of the request.
            tokens: Number of tokens.
        """
        self._debt(admission.account).charge(tokens)

    def _debt(self, name: str) -> TokenDebt:
        debt = self._debts.get(name)
        if debt is None:
            debt = self._debts[name] = TokenDebt(self._clock)
        return debt

    def _token_rate(self, name: str) -> float:
        """Returns this node's part of the token rate.

        It is the part that the node has of the requests, so the parts of
        all nodes never sum to more than the whole.
        """
        account = self._accounts.get(name)
        if account is None:
            return 0.0
        part = self._limits.share(name, _limits.REQUESTS).part()
        return account.limits.tokens_per_second * part


def _refuse(limit: str, wait_s: float):
    raise errors.NotRunError(
        f'limit {limit} is reached',
        'admit',
        reason='limit',
        retry_after_s=max(math.ceil(wait_s), 1),
    )

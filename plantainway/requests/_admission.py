"""Authentication of callers and admission by the limits of accounts."""

import asyncio
import dataclasses
import math

from plantainway import errors
from plantainway import keys
from plantainway.requests import _limits

# A joining node has its first loans after this many exchanges of sheets.
JOIN_RETRIES_MAX = 4
TOKEN_BURST_S = 1.0  # an account may use tokens this far ahead of its rate


@dataclasses.dataclass(frozen=True, slots=True)
class AuthenticatedAccount:
    """An account whose API key was verified, with its permissions.

    ``rank`` is that of its priority; a lower rank is served first. An
    empty ``models`` or ``services`` allows all of them.
    """

    account: str
    rank: int
    models: frozenset
    services: frozenset


class TokenDebt:
    """Delivered tokens that the token rate has not worked off yet.

    Tokens are charged as they are delivered, so requests in progress can
    exceed the rate. New requests are refused until the debt is no more than
    the rate delivers in ``TOKEN_BURST_S``.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._tokens = 0.0
        self._updated_at = clock.now()

    def charge(self, tokens: int) -> None:
        """Adds delivered tokens to the debt.

        Args:
            tokens: Number of tokens.
        """
        self._tokens += tokens

    def wait_s(self, rate: float) -> float:
        """Works off the debt for the time passed and returns the wait left.

        Up to ``TOKEN_BURST_S`` of the rate may be owed without a wait.

        Args:
            rate: Tokens a second that this node may deliver now.

        Returns:
            Seconds until new requests may be admitted, 0 if they may be
            admitted now. ``WINDOW_S`` if there is a debt and the rate is 0.
        """
        now = self._clock.now()
        self._tokens = max(self._tokens - (now - self._updated_at) * rate, 0.0)
        self._updated_at = now
        if not self._tokens:
            return 0.0
        if rate <= 0:
            return _limits.WINDOW_S
        return max(self._tokens / rate - TOKEN_BURST_S, 0.0)


class AdmissionController:
    """Authenticates callers and enforces the limits of their accounts.

    Args:
        clock: Source of monotonic time.
        limits: This node's shares of the limits of all accounts.
    """

    def __init__(self, clock, limits):
        self._clock = clock
        self._limits = limits
        self._accounts = {}
        self._priorities = {}
        self._debts: dict[str, TokenDebt] = {}

    def set_objects(self, objects) -> None:
        """Applies the accounts, priorities and limits of a revision.

        Args:
            objects: Declared objects of the revision in force.
        """
        self._accounts = objects.of_kind('client_account')
        self._priorities = objects.of_kind('priority')
        self._limits.set_accounts(self._accounts)

    def authenticate(self, header: str) -> AuthenticatedAccount:
        """Verifies the API key of a caller.

        Args:
            header: Value of the ``Authorization`` header.

        Returns:
            The account that the key belongs to.

        Raises:
            UnauthorizedError: If the key is missing or unknown.
        """
        name, secret = keys.parse_authorization(header)
        account = self._accounts.get(name)
        if account is None or not keys.verify(secret, account.keys):
            raise errors.UnauthorizedError(
                'missing or unknown API key', 'authenticate'
            )
        return AuthenticatedAccount(
            name,
            self._priorities[account.priority].rank,
            frozenset(account.models),
            frozenset(account.services),
        )

    def admit_now(self, caller: AuthenticatedAccount) -> None:
        """Admits a request at once or refuses it.

        Counts it against the limits of its account. Call ``release`` when an
        admitted request has ended. A request that is refused because of the
        token rate still uses a unit of the request rate.

        Args:
            caller: The authenticated account.

        Raises:
            NotRunError: If one of the account's limits is reached.
        """
        name = caller.account
        running = self._limits.get_share(name, _limits.CONCURRENT)
        if not running.try_acquire():
            _refuse('concurrent', _limits.WINDOW_S)
        rate = self._limits.get_share(name, _limits.REQUESTS)
        if not rate.try_acquire():
            running.release()
            _refuse('requests_per_second', rate.retry_after_s())
        debt_s = self._debt_of(name).wait_s(self._token_rate(name))
        if debt_s > 0:
            running.release()
            _refuse('tokens_per_second', debt_s)

    async def admit(self, caller: AuthenticatedAccount) -> None:
        """Admits a request like ``admit_now``, or waits while joining.

        A node that has just joined has no quota of its own, so it retries
        while it waits for its first loans. Call ``release`` when the
        request has ended.

        Args:
            caller: The authenticated account.

        Raises:
            NotRunError: If one of the account's limits is reached.
        """
        for _retry in range(JOIN_RETRIES_MAX):
            try:
                self.admit_now(caller)
                return
            except errors.NotRunError:
                if not self._limits.is_joining:
                    raise
            await asyncio.sleep(_limits.SHEET_PERIOD_S)
        self.admit_now(caller)

    def release(self, caller: AuthenticatedAccount) -> None:
        """Ends an admitted request; frees its unit of the concurrency limit.

        Args:
            caller: The authenticated account.
        """
        self._limits.get_share(caller.account, _limits.CONCURRENT).release()

    def charge_tokens(self, caller: AuthenticatedAccount, tokens: int) -> None:
        """Charges delivered tokens to an account.

        Args:
            caller: The authenticated account.
            tokens: Number of tokens.
        """
        self._debt_of(caller.account).charge(tokens)

    def _debt_of(self, name: str) -> TokenDebt:
        debt = self._debts.get(name)
        if debt is None:
            debt = self._debts[name] = TokenDebt(self._clock)
        return debt

    def _token_rate(self, name: str) -> float:
        """Returns this node's part of an account's token rate.

        The node gets the same fraction of it as of the request rate, so
        the parts of all nodes never sum to more than the whole rate.
        """
        account = self._accounts.get(name)
        if account is None:
            return 0.0
        fraction = self._limits.get_share(
            name, _limits.REQUESTS
        ).fraction_of_limit()
        return account.limits.tokens_per_second * fraction


def _refuse(limit: str, wait_s: float):
    raise errors.NotRunError(
        f'the {limit} limit of the account is reached',
        'admit',
        reason='limit',
        retry_after_s=max(math.ceil(wait_s), 1),
    )

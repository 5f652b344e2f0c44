"""Who may send requests, and how many."""

import collections
import dataclasses
import math

from plantainway import errors
from plantainway import keys


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """An admitted request's account."""

    account: str
    rank: int
    models: frozenset
    services: frozenset


class AccountBook:
    """Checks keys and counts the requests in progress by account."""

    def __init__(self):
        self._accounts = {}
        self._priorities = {}
        self._running = collections.Counter()

    def set_objects(self, objects) -> None:
        """Takes in a revision.

        Args:
            objects: Declared objects.
        """
        self._accounts = objects.of('client_account')
        self._priorities = objects.of('priority')

    def authenticate(self, header: str) -> Admission:
        """Finds the account of a caller.

        Args:
            header: Value of the ``Authorization`` header.

        Returns:
            The account.

        Raises:
            UnauthorizedError: If the key is missing or unknown.
        """
        name, secret = keys.split(header)
        account = self._accounts.get(name)
        if account is None or not keys.verify(secret, account.keys):
            raise errors.UnauthorizedError('unknown key', 'authenticate')
        return Admission(
            name,
            self._priorities[account.priority].rank,
            frozenset(account.models),
            frozenset(account.services),
        )

    def enter(self, admission: Admission, nodes: int) -> None:
        """Counts a request in.

        Args:
            admission: Account of the request.
            nodes: Live nodes, which share the account's limit.

        Raises:
            NotRunError: If the account's share is used up.
        """
        account = self._accounts.get(admission.account)
        limit = account.limits.concurrent if account else 0
        share = math.ceil(limit / max(nodes, 1))
        if self._running[admission.account] >= share:
            raise errors.NotRunError(
                f'{share} requests in progress', 'admit', reason='limit'
            )
        self._running[admission.account] += 1

    def leave(self, admission: Admission) -> None:
        """Counts a request out.

        Args:
            admission: Account of the request.
        """
        self._running[admission.account] -= 1

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        return {name: n for name, n in self._running.items() if n}

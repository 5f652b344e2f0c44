"""Retry budget, shared by all requests of a node."""

DEPOSIT_PER_REQUEST = 0.1
BALANCE_MAX = 50.0
BALANCE_START = 10.0


class RetryBudget:
    """Token bucket that limits retries to a fraction of the requests.

    Every request deposits a tenth of a retry, so that a failing upstream
    increases the load on the others by at most a tenth.
    """

    def __init__(self):
        self.balance = BALANCE_START

    def deposit(self) -> None:
        """Adds the deposit of a new request to the balance."""
        self.balance = min(self.balance + DEPOSIT_PER_REQUEST, BALANCE_MAX)

    def withdraw(self) -> bool:
        """Withdraws one retry, if the balance allows it.

        Returns:
            Whether the request may be retried.
        """
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True

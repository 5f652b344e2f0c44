"""A budget for retries, shared by all requests of a node."""

DEPOSIT_PER_REQUEST = 0.1
BALANCE_MAX = 50.0
BALANCE_START = 10.0


class RetryBudget:
    """Lets retries be at most a share of the requests.

    Every request deposits a tenth of a retry, so that a failing upstream
    raises the load on the others by at most a tenth.
    """

    def __init__(self):
        self.balance = BALANCE_START

    def deposit(self) -> None:
        """Notes a new request."""
        self.balance = min(self.balance + DEPOSIT_PER_REQUEST, BALANCE_MAX)

    def withdraw(self) -> bool:
        """Takes one retry out of the budget.

        Returns:
            Whether there was one.
        """
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True

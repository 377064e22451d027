"""The retry budget limits resubmissions to a share of submissions."""

SHARE = 0.1
RESERVE = 10.0


class RetryBudget:
    """Adds a share of a retry for each submission, up to a reserve.

    ::

        budget.earn()            # at each first submission
        if budget.spend(): ...   # before each resubmission
    """

    def __init__(self, share: float = SHARE, reserve: float = RESERVE) -> None:
        self._share = share
        self._reserve = reserve
        self._balance = reserve

    def earn(self) -> None:
        """Add the share of a retry for a first submission."""
        self._balance = min(self._reserve, self._balance + self._share)

    def spend(self) -> bool:
        """Consume one retry; return False if none is left."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

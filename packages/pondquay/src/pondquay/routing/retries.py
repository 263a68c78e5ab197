"""Retry budgets: retries in proportion to first attempts, so no storm can grow."""

from __future__ import annotations

from dataclasses import dataclass

RETRY_RATIO = 0.1
MAX_SAVED = 10.0


@dataclass(slots=True)
class RetryBudget:
    """Earns a part of a retry with each first attempt, and spends one with each retry.

    :param ratio: retries earned by one first attempt
    :param saved: retries that may be made now
    """

    ratio: float = RETRY_RATIO
    saved: float = MAX_SAVED

    def earn(self) -> None:
        """Note a first attempt."""
        self.saved = min(MAX_SAVED, self.saved + self.ratio)

    def spend(self) -> bool:
        """Take one retry, if there is one."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True

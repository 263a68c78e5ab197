"""Retry budgets, which limit retries to a fraction of the first attempts."""

from __future__ import annotations

from dataclasses import dataclass

RETRY_RATIO = 0.1
MAX_SAVED_RETRIES = 10.0


@dataclass(slots=True)
class RetryBudget:
    """Earns a fraction of a retry with each first attempt and spends one per retry.

    :param ratio: retries earned by one first attempt
    :param saved: retries that may be made now
    """

    ratio: float = RETRY_RATIO
    saved: float = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Count a first attempt."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + self.ratio)

    def spend(self) -> bool:
        """Use one retry; return ``False`` if there is none."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True

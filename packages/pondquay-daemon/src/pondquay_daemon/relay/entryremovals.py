"""Removal of idle entries from allotment rows, spread over some seconds."""

from __future__ import annotations

from random import uniform
from typing import TYPE_CHECKING

from pondquay.budgets.holders import has_idle_entry

if TYPE_CHECKING:
    from twisted.internet.interfaces import IReactorTime

    from pondquay.budgets.accounts import Account

# Period over which instances that no longer hold allotments remove their entries. After
# a failure of links, these are many instances at once.
REMOVAL_SPREAD_SECONDS = 5.0


class EntryRemovals:
    """Times at which an instance removes its entries that it no longer needs."""

    def __init__(self, clock: IReactorTime) -> None:
        self._clock = clock
        self._removal_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._removal_at)

    def cancel(self, workspace: str) -> None:
        """Keep the entry of a workspace."""
        self._removal_at.pop(workspace, None)

    def is_due(self, workspace: str, account: Account) -> bool:
        """Return whether to remove the entry of a workspace now."""
        if not has_idle_entry(account):
            self.cancel(workspace)
            return False
        now = self._clock.seconds()
        latest = now + REMOVAL_SPREAD_SECONDS
        # The time is kept until the entry is gone or in use again, so a removal that
        # failed is repeated without another delay.
        return now >= self._removal_at.setdefault(workspace, uniform(now, latest))

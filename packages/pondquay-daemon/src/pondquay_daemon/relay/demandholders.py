"""Which workspaces this instance holds allotments of because of its demand."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.budgets.holders import decide_holding
from pondquay_daemon.logs import log_event

if TYPE_CHECKING:
    from twisted.internet.interfaces import IReactorTime

    from pondquay.budgets.accounts import Account
    from pondquay.budgets.holders import HoldingDecision
    from pondquay.policy import RelayPolicy


class DemandHolders:
    """Keeps the decisions of one instance, which is not a chosen lender."""

    def __init__(self, clock: IReactorTime, policy: RelayPolicy) -> None:
        self._clock = clock
        self._policy = policy
        self._held: set[str] = set()

    def __contains__(self, workspace: str) -> bool:
        return workspace in self._held

    def __len__(self) -> int:
        return len(self._held)

    def update(self, workspace: str, account: Account) -> None:
        """Decide anew whether this instance holds an allotment of a workspace."""
        if not self._policy.hold_by_demand:
            return
        holds = workspace in self._held
        decision = decide_holding(account, self._clock.seconds(), holds=holds)
        if decision.holds == holds:
            return
        if decision.holds:
            self._held.add(workspace)
        else:
            self._held.discard(workspace)
        self._log(workspace, account, decision)

    def discard(self, workspace: str) -> None:
        """Forget a workspace for which this instance is a chosen lender."""
        self._held.discard(workspace)

    def _log(self, workspace: str, account: Account, decision: HoldingDecision) -> None:
        log_event(
            "became-holder" if decision.holds else "gave-up-holding",
            workspace=workspace,
            requests=round(decision.requests, 1),
            rate=decision.rate,
            share=round(decision.share, 4),
            entries=decision.entries,
            unspent=account.unspent,
            free=account.free(),
            row=account.version or 0,
        )

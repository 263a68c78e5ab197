"""Transfers of tokens between the accounts of one instance and its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.budgets.headroom import request_tokens
from pondquay_daemon.logs import log_event
from pondquay_daemon.tasks import spawn

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from twisted.internet.interfaces import IReactorTime

    from pondquay.budgets.accounts import Account
    from pondquay_daemon.relay.loans import Loans
    from pondquay_daemon.relay.metrics import RelayMetrics


class TokenTransfers:
    """Lends, receives and borrows tokens for the accounts of one instance.

    :param loans: decides who lends, and asks the lenders
    :param reachable: returns whether the last call to the table succeeded
    """

    def __init__(
        self,
        clock: IReactorTime,
        loans: Loans,
        reachable: Callable[[], bool],
        metrics: RelayMetrics,
    ) -> None:
        self._clock = clock
        self._loans = loans
        self._reachable = reachable
        self._metrics = metrics
        self._borrowing: set[str] = set()

    def lend(self, workspace: str, account: Account, tokens: int, headroom: int) -> int:
        """Lend tokens to a peer; return how many.

        :param tokens: tokens that the peer needs now
        :param headroom: tokens that the peer requests beyond that; 0 if it holds an
            allotment
        """
        if account.unspent < tokens:
            request_tokens(account, tokens)
            if headroom:
                self._start_refill(workspace, account, tokens)
        lent = account.lend_headroom(tokens, headroom)
        if headroom:
            # The row does not record demand of borrowers, so it counts as this
            # instance's demand.
            account.demand.note_lent(max(tokens, lent), self._clock.seconds())
        if lent:
            self._metrics.loans.labels("lent").inc(lent)
            log_event("tokens-lent", workspace=workspace, tokens=lent)
        return lent

    def receive(
        self, workspace: str, account: Account, tokens: int, *, returned: bool
    ) -> None:
        """Credit tokens that a peer has transferred.

        :param returned: whether the peer transfers them without a request
        """
        account.receive_loan(tokens)
        if returned:
            account.demand.note_returned(tokens, self._clock.seconds())
        self._metrics.loans.labels("borrowed").inc(tokens)
        log_event("tokens-borrowed", workspace=workspace, tokens=tokens)

    def adjust(self, workspace: str, account: Account) -> None:
        """Return surplus tokens of a borrower, or borrow more headroom."""
        if account.unspent <= 0 and not account.demand.largest:
            return
        self._loans.return_surplus(workspace, account)
        if self._loans.needs_top_up(account):
            self._start_borrowing(workspace, self._loans.top_up(account, workspace))

    def _start_refill(self, workspace: str, account: Account, tokens: int) -> None:
        """Borrow on behalf of a borrower, unless the table has the tokens.

        This is not done for other lenders, since lenders would then borrow from each
        other in a cycle.
        """
        if not self._loans.lends(workspace):
            return
        if self._reachable() and tokens <= account.max_headroom():
            return
        self._start_borrowing(workspace, self._loans.refill(account, workspace, tokens))

    def _start_borrowing(
        self, workspace: str, borrowing: Coroutine[Any, Any, None]
    ) -> None:
        """Borrow in the background, at most once at a time per workspace."""
        if workspace in self._borrowing:
            borrowing.close()
            return
        self._borrowing.add(workspace)
        spawn(self._borrow(workspace, borrowing), "TokenTransfers")

    async def _borrow(
        self, workspace: str, borrowing: Coroutine[Any, Any, None]
    ) -> None:
        try:
            await borrowing
        finally:
            self._borrowing.discard(workspace)

"""Pending loan requests to peers."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from pondquay_daemon.relay.peermessages import LoanRequest
from pondquay_daemon.tasks import wait_at_most

if TYPE_CHECKING:
    from twisted.internet.interfaces import IReactorTime

    from pondquay_daemon.relay.peerlinks import PeerLink
    from pondquay_daemon.relay.peermessages import Loan

# Time after which a request for a loan is overdue. A loan takes a few milliseconds, and
# as many again at a busy lender.
LOAN_SECONDS = 0.04


@dataclass(slots=True)
class LoanDemand:
    """A pending request to a peer for tokens of a workspace.

    :param overdue_at: time until which requests wait for the response, in seconds
    :param response: fires with the number of tokens received
    """

    number: int
    overdue_at: float
    response: Deferred[int]


class LoanDemands:
    """An instance's pending demands, at most one per link and workspace.

    A lender transfers tokens even if the borrower has timed out. With one demand for
    each request, a slow link could transfer all tokens of a workspace to one instance.
    """

    def __init__(self, clock: IReactorTime) -> None:
        self._clock = clock
        self._numbers = count(1)
        self._demands: dict[tuple[PeerLink, str], LoanDemand] = {}

    async def ask(
        self, link: PeerLink, workspace: str, tokens: int, headroom: int
    ) -> int:
        """Request tokens from a peer; return how many were received in time.

        While a demand is pending, further calls wait for the same response, and return
        0 at once if it is overdue.
        """
        now = self._clock.seconds()
        demand = self._demands.get((link, workspace))
        if demand is None:
            demand = LoanDemand(next(self._numbers), now + LOAN_SECONDS, Deferred())
            self._demands[link, workspace] = demand
            link.send(LoanRequest(demand.number, workspace, tokens, headroom))
        seconds = demand.overdue_at - now
        if seconds <= 0:
            return 0
        return await wait_at_most(demand.response, seconds, self._clock, 0)

    def complete(self, link: PeerLink, loan: Loan) -> None:
        """Complete the demand to which a loan responds, if it is still pending."""
        demand = self._demands.get((link, loan.workspace))
        if demand is not None and demand.number == loan.number:
            del self._demands[link, loan.workspace]
            demand.response.callback(loan.tokens)

    def abandon(self, link: PeerLink) -> None:
        """Complete all demands on a closed link, with no tokens."""
        for key in [pair for pair in self._demands if pair[0] is link]:
            self._demands.pop(key).response.callback(0)

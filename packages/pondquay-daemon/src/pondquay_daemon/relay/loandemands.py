"""Tokens that peers were asked for and have not answered yet."""

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

# Seconds in which a loan comes over links in order: a few milliseconds, and as many
# again at a busy lender. After it, a demand is overdue.
LOAN_SECONDS = 0.04


@dataclass(slots=True)
class LoanDemand:
    """Tokens of one workspace that a peer was asked for.

    :param overdue_at: when waiting for the answer no longer helps, in seconds
    :param response: fires with the tokens that came
    """

    number: int
    overdue_at: float
    response: Deferred[int]


class LoanDemands:
    """The demands of one instance, one for a workspace and link at most.

    A lender cannot tell that nobody waits any more. With a demand a request, over a
    network that is a second late it would lend for all demands of that second: all of a
    workspace's tokens, to one instance.
    """

    def __init__(self, clock: IReactorTime) -> None:
        self._clock = clock
        self._numbers = count(1)
        self._demands: dict[tuple[PeerLink, str], LoanDemand] = {}

    async def ask(
        self, link: PeerLink, workspace: str, tokens: int, headroom: int
    ) -> int:
        """Ask for tokens; return how many came in time.

        Who asks while a demand is under way waits for the same answer, or not at all if
        that is overdue.
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

    def end(self, link: PeerLink, loan: Loan) -> None:
        """Take an answer; a loan that nobody asked for ends nothing."""
        demand = self._demands.get((link, loan.workspace))
        if demand is not None and demand.number == loan.number:
            del self._demands[link, loan.workspace]
            demand.response.callback(loan.tokens)

    def lose(self, link: PeerLink) -> None:
        """End what was asked for on a link that is gone."""
        for key in [one for one in self._demands if one[0] is link]:
            self._demands.pop(key).response.callback(0)

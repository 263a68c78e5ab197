"""Loans of tokens between instances: whom to ask, how much, and what goes back.

Instances that hold allotments lend to each other in need. In a larger fleet most hold
none of a workspace; they borrow some seconds of their own demand from lenders of their
domain, and return what they do not need.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from pondquay.budgets.headroom import plan_borrowed_headroom, plan_return, plan_top_up
from pondquay.budgets.lenders import choose_lenders
from pondquay_daemon.logs import log_event
from pondquay_daemon.tasks import sleep

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    from twisted.internet.interfaces import IReactorTime

    from pondquay.budgets.accounts import Account, RefusalReason
    from pondquay.policy import RelayPolicy

MAX_LENDERS = 8
# Waits for a lender to get more from the table before it is asked again.
ASK_AGAIN_WAITS = (0.03, 0.06)


class Lender(ABC):
    """Asks other instances for tokens."""

    @property
    @abstractmethod
    def peers(self) -> list[str]:
        """Names of the instances that can be asked."""

    @property
    @abstractmethod
    def domains(self) -> Mapping[str, str]:
        """The domains of all known instances; never changed, only replaced."""

    @abstractmethod
    async def borrow(
        self, peer: str, workspace: str, tokens: int, headroom: int = 0
    ) -> int:
        """Ask for tokens; those that come are taken in before this returns.

        :param headroom: what an instance without an allotment would like besides
        """

    @abstractmethod
    def transfer(self, peer: str, workspace: str, tokens: int) -> None:
        """Hand over tokens that were counted as spent here."""


class Loans:
    """The loans of one instance.

    :param lender: asks other instances
    :param reachable: tells whether the table answered lately
    :param knows_fleet: tells whether the list of instances was read
    """

    def __init__(
        self,
        clock: IReactorTime,
        instance: str,
        lender: Lender,
        reachable: Callable[[], bool],
        knows_fleet: Callable[[], bool],
        policy: RelayPolicy,
    ) -> None:
        self._knows_fleet = knows_fleet
        self._settled_at = 0.0
        self._clock = clock
        self._policy = policy
        self._reachable = reachable
        self._instance = instance
        self._lender = lender
        self._domains: Mapping[str, str] = {}
        self._chosen: dict[str, frozenset[str]] = {}
        self._co_lenders: frozenset[str] = frozenset()
        self._co_lenders_of: tuple[Mapping[str, str], int] | None = None

    def settle_until(self, time: float) -> None:
        """Wait for links, and for the list of instances, until a time in seconds."""
        self._settled_at = time

    def lends(self, workspace: str) -> bool:
        """Tell whether this instance is to hold an allotment of a workspace.

        One that reaches none of the lenders holds its own, though not while it starts:
        when a whole fleet starts anew, nobody has links yet, and the table does not
        take a write of each instance for each workspace.
        """
        settled = self._clock.seconds() >= self._settled_at
        if not settled and not self._knows_fleet():
            return False
        chosen = self._choose(workspace)
        if self._instance in chosen:
            return True
        return settled and chosen.isdisjoint(self._lender.peers)

    async def borrow(
        self, account: Account, workspace: str, tokens: int
    ) -> RefusalReason | None:
        """Borrow what lacks for a request and reserve it.

        :returns: why not, ``None`` if it is reserved
        """
        if not self._policy.borrow:
            return account.reserve(tokens)
        lends = self.lends(workspace)
        headroom = (
            0
            if lends
            else max(1, plan_borrowed_headroom(account, self._clock.seconds()))
        )
        refused = await self._ask_all(account, workspace, tokens, headroom)
        if lends and self._reachable():
            return refused
        for wait in ASK_AGAIN_WAITS:
            if refused is None:
                break
            await sleep(wait, self._clock)
            refused = await self._ask_all(account, workspace, tokens, headroom)
        return refused

    async def refill(self, account: Account, workspace: str, tokens: int) -> None:
        """Borrow from other lenders what a borrower waits for here.

        A borrower reaches the lenders of its domain only, and these each other's.
        """
        for peer in self._rank(account, workspace):
            lacking = tokens - account.unspent
            if lacking <= 0:
                return
            await self._lender.borrow(peer, workspace, lacking)

    def lacks_ahead(self, account: Account) -> bool:
        """Tell whether a borrower should have more before a request needs it."""
        return self._policy.borrow and plan_top_up(account, self._clock.seconds()) > 0

    async def top_up(self, account: Account, workspace: str) -> None:
        """Borrow ahead, from the first lender that has some."""
        for peer in self._rank(account, workspace):
            lacking = plan_top_up(account, self._clock.seconds())
            if lacking <= 0:
                return
            await self._lender.borrow(peer, workspace, 0, lacking)

    def co_lenders(self, workspaces: Collection[str]) -> frozenset[str]:
        """Return the lenders of those workspaces for which this instance lends too."""
        known = self._lender.domains, len(workspaces)
        if self._co_lenders_of != known:
            chosen = [self._choose(one) for one in workspaces]
            shared = [one for one in chosen if self._instance in one]
            self._co_lenders = frozenset().union(*shared) - {self._instance}
            self._co_lenders_of = known
        return self._co_lenders

    def return_surplus(self, workspace: str, account: Account) -> None:
        """Hand back what is borrowed and not needed."""
        surplus = plan_return(account, self._clock.seconds())
        if surplus:
            self._give(workspace, account, surplus)

    def give_away(self, workspace: str, account: Account) -> None:
        """Hand all that is left to others, for a planned stop."""
        self._give(workspace, account, account.unspent)

    async def _ask_all(
        self, account: Account, workspace: str, tokens: int, headroom: int
    ) -> RefusalReason | None:
        refused = account.reserve(tokens)
        for peer in self._rank(account, workspace):
            if refused is None:
                break
            lacking = tokens - account.unspent
            if lacking > 0:
                await self._lender.borrow(peer, workspace, lacking, headroom)
            refused = account.reserve(tokens)
        return refused

    def _give(self, workspace: str, account: Account, tokens: int) -> None:
        ranked = self._rank(account, workspace) or self._lender.peers
        if not ranked:
            return
        given = account.lend(tokens)
        if given:
            self._lender.transfer(ranked[0], workspace, given)
            log_event("tokens-given", workspace=workspace, tokens=given, peer=ranked[0])

    def _rank(self, account: Account, workspace: str) -> list[str]:
        """Return lenders that can be asked: near ones, then those that have most."""
        chosen = self._choose(workspace)
        reachable = [one for one in self._lender.peers if one in chosen]
        others = account.others()
        domains = self._lender.domains
        lends = self._instance in chosen

        def order(peer: str) -> tuple[bool, int]:
            near = lends or domains.get(peer) == domains.get(self._instance)
            entry = others.get(peer)
            return near, 0 if entry is None else entry.unspent

        return sorted(reachable, key=order, reverse=True)[:MAX_LENDERS]

    def _choose(self, workspace: str) -> frozenset[str]:
        domains = self._lender.domains
        if domains is not self._domains:
            self._domains = domains
            self._chosen.clear()
        chosen = self._chosen.get(workspace)
        if chosen is None:
            chosen = choose_lenders(workspace, domains, self._policy.most_holders)
            self._chosen[workspace] = chosen
        return chosen

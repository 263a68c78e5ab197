"""Loans of tokens between instances: choice of lenders, amounts and returns.

Instances that hold allotments lend to each other. In a larger fleet most instances hold
no allotment of a workspace; they borrow tokens for some seconds of their demand from
lenders in their domain and return the surplus.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
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

# Maximum number of lenders that are asked in turn.
MAX_LENDERS = 8
# Successive delays before lenders are asked again, in seconds. Meanwhile they may claim
# tokens from the table.
LENDER_RETRY_WAITS = (0.03, 0.06)


@dataclass(slots=True)
class LoanSearch:
    """The search for the tokens that one request lacks.

    :param asked: number of demands sent to lenders; one lender may get several
    :param received: tokens that lenders sent in time
    """

    asked: int = 0
    received: int = 0


class Lender(ABC):
    """Borrows tokens from other instances and transfers tokens to them."""

    @property
    @abstractmethod
    def peers(self) -> list[str]:
        """Names of the instances that can be reached."""

    @property
    @abstractmethod
    def domains(self) -> Mapping[str, str]:
        """The domains of all known instances; replaced, never mutated."""

    @abstractmethod
    async def borrow(
        self, peer: str, workspace: str, tokens: int, headroom: int = 0
    ) -> int:
        """Request and credit tokens; return how many were received in time.

        :param headroom: tokens that an instance without an allotment requests beyond
            its need
        """

    @abstractmethod
    def transfer(self, peer: str, workspace: str, tokens: int) -> None:
        """Send a peer tokens that this instance has counted as spent."""


class Loans:
    """Manages the loans of one instance.

    :param lender: communicates with other instances
    :param reachable: returns whether the last call to the table succeeded
    :param knows_fleet: returns whether the list of instances has been read
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
        self._startup_ends_at = 0.0
        self._clock = clock
        self._policy = policy
        self._reachable = reachable
        self._instance = instance
        self._lender = lender
        self._domains: Mapping[str, str] = {}
        self._chosen: dict[str, frozenset[str]] = {}
        self._co_lenders: frozenset[str] = frozenset()
        self._co_lenders_key: tuple[Mapping[str, str], int] | None = None

    def set_startup_end(self, time: float) -> None:
        """Set the time until which links and the list of instances are awaited.

        :param time: in seconds
        """
        self._startup_ends_at = time

    def lends(self, workspace: str) -> bool:
        """Return whether this instance should hold an allotment of a workspace.

        An instance without a link to any lender holds its own allotment, but not during
        startup: when an entire fleet starts, there are no links yet and the table
        cannot take writes of every instance for every workspace.
        """
        startup_ended = self._clock.seconds() >= self._startup_ends_at
        if not startup_ended and not self._knows_fleet():
            return False
        chosen = self._choose_lenders(workspace)
        if self._instance in chosen:
            return True
        return startup_ended and chosen.isdisjoint(self._lender.peers)

    async def borrow(
        self,
        account: Account,
        workspace: str,
        tokens: int,
        search: LoanSearch,
        *,
        holds: bool = False,
    ) -> RefusalReason | None:
        """Borrow the tokens that a request lacks and reserve them.

        An instance that holds an allotment by its demand borrows like a lender while
        it can claim tokens from the table, otherwise like any other borrower.

        :param holds: whether this instance holds an allotment
        :param search: updated with the demands and the tokens received
        :returns: the reason if they cannot be reserved, ``None`` otherwise
        """
        if not self._policy.borrow:
            return account.reserve(tokens)
        lends = self.lends(workspace) or (holds and self._reachable())
        headroom = (
            0
            if lends
            else max(1, plan_borrowed_headroom(account, *self._planning_inputs()))
        )
        refused = await self._borrow_from_lenders(
            account, workspace, tokens, headroom, search
        )
        if lends and self._reachable():
            return refused
        for wait in LENDER_RETRY_WAITS:
            if refused is None:
                break
            await sleep(wait, self._clock)
            refused = await self._borrow_from_lenders(
                account, workspace, tokens, headroom, search
            )
        return refused

    async def refill(self, account: Account, workspace: str, tokens: int) -> None:
        """Borrow from other lenders on behalf of a borrower.

        Borrowers are mainly linked to lenders in their domain, while lenders are also
        linked to lenders in other domains.
        """
        for peer in self._rank_lenders(account, workspace):
            missing = tokens - account.unspent
            if missing <= 0:
                return
            await self._lender.borrow(peer, workspace, missing)

    def needs_top_up(self, account: Account) -> bool:
        """Return whether this instance should borrow before a request needs tokens."""
        if not self._policy.borrow:
            return False
        return plan_top_up(account, *self._planning_inputs()) > 0

    async def top_up(self, account: Account, workspace: str) -> None:
        """Borrow headroom, from lenders in turn."""
        for peer in self._rank_lenders(account, workspace):
            missing = plan_top_up(account, *self._planning_inputs())
            if missing <= 0:
                return
            await self._lender.borrow(peer, workspace, 0, missing)

    def co_lenders(self, workspaces: Collection[str]) -> frozenset[str]:
        """Return the other lenders of the workspaces for which this instance lends."""
        key = self._lender.domains, len(workspaces)
        if self._co_lenders_key != key:
            chosen = [self._choose_lenders(workspace) for workspace in workspaces]
            shared = [lenders for lenders in chosen if self._instance in lenders]
            self._co_lenders = frozenset().union(*shared) - {self._instance}
            self._co_lenders_key = key
        return self._co_lenders

    def return_surplus(self, workspace: str, account: Account) -> None:
        """Return borrowed tokens that are not needed."""
        surplus = plan_return(account, *self._planning_inputs())
        if surplus:
            self._transfer(workspace, account, surplus)

    def transfer_all(self, workspace: str, account: Account) -> None:
        """Transfer all unspent tokens to another instance, for a planned stop."""
        self._transfer(workspace, account, account.unspent)

    def _planning_inputs(self) -> tuple[float, int]:
        """Return the time in seconds and the number of instances of the fleet."""
        return self._clock.seconds(), len(self._lender.domains)

    async def _borrow_from_lenders(
        self,
        account: Account,
        workspace: str,
        tokens: int,
        headroom: int,
        search: LoanSearch,
    ) -> RefusalReason | None:
        refused = account.reserve(tokens)
        for peer in self._rank_lenders(account, workspace):
            if refused is None:
                break
            missing = tokens - account.unspent
            if missing > 0:
                search.asked += 1
                search.received += await self._lender.borrow(
                    peer, workspace, missing, headroom
                )
            refused = account.reserve(tokens)
        return refused

    def _transfer(self, workspace: str, account: Account, tokens: int) -> None:
        ranked = self._rank_lenders(account, workspace) or self._lender.peers
        if not ranked:
            return
        transferred = account.lend(tokens)
        if transferred:
            self._lender.transfer(ranked[0], workspace, transferred)
            log_event(
                "tokens-given", workspace=workspace, tokens=transferred, peer=ranked[0]
            )

    def _rank_lenders(self, account: Account, workspace: str) -> list[str]:
        """Return reachable lenders, those with the most unspent tokens first.

        For a borrower, lenders in its own domain come before all others. Instances
        that hold tokens because of their demand come after the chosen lenders.
        """
        chosen = self._choose_lenders(workspace)
        others = account.others()
        reachable = [
            name for name in self._lender.peers if name in chosen or name in others
        ]
        domains = self._lender.domains
        lends = self._instance in chosen

        def order(peer: str) -> tuple[bool, bool, int]:
            near = lends or domains.get(peer) == domains.get(self._instance)
            entry = others.get(peer)
            return near, peer in chosen, 0 if entry is None else entry.unspent

        return sorted(reachable, key=order, reverse=True)[:MAX_LENDERS]

    def _choose_lenders(self, workspace: str) -> frozenset[str]:
        domains = self._lender.domains
        if domains is not self._domains:
            self._domains = domains
            self._chosen.clear()
        chosen = self._chosen.get(workspace)
        if chosen is None:
            chosen = choose_lenders(workspace, domains, self._policy.most_holders)
            self._chosen[workspace] = chosen
        return chosen

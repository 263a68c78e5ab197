from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from pondquay.budgets.accounts import Account, RefusalReason
from pondquay.budgets.allotments import Allotment, AllotmentRow
from pondquay.budgets.lenders import choose_lenders
from pondquay.policy import DEFAULT_POLICY
from pondquay_daemon.relay.loans import (
    LENDER_RETRY_WAITS,
    Lender,
    Loans,
    LoanSearch,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

WORKSPACE = "captions"
DOMAINS = ("hall-a", "hall-b")


@dataclass
class OtherInstances(Lender):
    """Instances that lend tokens provided by a test."""

    domains_of: dict[str, str]
    account: Account
    tokens: dict[str, int] = field(default_factory=dict)
    cut_off: set[str] = field(default_factory=set)
    requests: list[tuple[str, int]] = field(default_factory=list)
    transferred: list[tuple[str, int]] = field(default_factory=list)

    @property
    def domains(self) -> Mapping[str, str]:
        return self.domains_of

    @property
    def peers(self) -> list[str]:
        return [
            name
            for name in self.domains_of
            if name not in self.cut_off and name != self.account.holder
        ]

    async def borrow(
        self, peer: str, workspace: str, tokens: int, headroom: int = 0
    ) -> int:
        self.requests.append((peer, headroom))
        lent = min(tokens, self.tokens.get(peer, 0))
        self.tokens[peer] = self.tokens.get(peer, 0) - lent
        self.account.receive_loan(lent)
        return lent

    def transfer(self, peer: str, workspace: str, tokens: int) -> None:
        self.transferred.append((peer, tokens))


class Instance:
    """An instance of a fleet that needs tokens."""

    def __init__(self, size: int, *, lends: bool) -> None:
        fleet = {f"entry-{number}": DOMAINS[number % 2] for number in range(size)}
        self.chosen = choose_lenders(WORKSPACE, fleet)
        name = next(entry for entry in fleet if (entry in self.chosen) is lends)
        self.domain = fleet[name]
        self.clock: Any = MemoryReactorClock()
        self.account = Account(name, "1", 1_000_000)
        self.others = OtherInstances(fleet, self.account)
        self.store_is_up = True
        self.list_is_read = True
        self.search = LoanSearch()
        self.loans = Loans(
            self.clock,
            name,
            self.others,
            lambda: self.store_is_up,
            lambda: self.list_is_read,
            DEFAULT_POLICY,
        )

    def find_near_lender(self) -> str:
        """Return a lender in this instance's domain."""
        return next(name for name in self.chosen if self.is_near(name))

    def is_near(self, instance: str) -> bool:
        return self.others.domains_of[instance] == self.domain

    def borrow(self, tokens: int) -> list[RefusalReason | None]:
        results: list[RefusalReason | None] = []
        borrowing = self.loans.borrow(self.account, WORKSPACE, tokens, self.search)
        Deferred.fromCoroutine(borrowing).addCallback(results.append)
        return results


def test_an_instance_without_an_allotment_asks_near_lenders_first() -> None:
    instance = Instance(40, lends=False)
    assert not instance.loans.lends(WORKSPACE)
    lender = instance.find_near_lender()
    instance.others.tokens[lender] = 100
    assert instance.borrow(80) == [None]
    assert instance.account.reserved == 80
    assert all(instance.is_near(peer) for peer, _ in instance.others.requests)
    assert all(headroom > 0 for _, headroom in instance.others.requests)


def test_a_starting_instance_waits_for_links_before_it_lends() -> None:
    instance = Instance(40, lends=False)
    instance.others.cut_off = set(instance.others.domains_of)
    instance.loans.set_startup_end(1.5)
    assert not instance.loans.lends(WORKSPACE)
    instance.clock.advance(1.5)
    assert instance.loans.lends(WORKSPACE)


def test_a_starting_instance_does_not_lend_before_it_knows_the_fleet() -> None:
    instance = Instance(1, lends=True)
    instance.list_is_read = False
    instance.loans.set_startup_end(1.5)
    assert not instance.loans.lends(WORKSPACE)
    instance.list_is_read = True
    assert instance.loans.lends(WORKSPACE)
    instance.list_is_read = False
    instance.clock.advance(1.5)
    assert instance.loans.lends(WORKSPACE), "the list cannot be read, so it acts alone"


def test_a_lender_without_tokens_is_asked_again_after_a_delay() -> None:
    instance = Instance(40, lends=False)
    results = instance.borrow(80)
    assert results == []
    instance.others.tokens[instance.find_near_lender()] = 80
    instance.clock.advance(LENDER_RETRY_WAITS[0])
    assert results == [None]


def test_a_lender_without_the_store_asks_other_lenders_again() -> None:
    instance = Instance(DEFAULT_POLICY.most_holders, lends=True)
    assert instance.borrow(80) == [RefusalReason.UNKNOWN]
    instance.store_is_up = False
    results = instance.borrow(80)
    assert results == []
    instance.others.tokens[instance.others.peers[0]] = 80
    instance.clock.advance(LENDER_RETRY_WAITS[0])
    assert results == [None]


def test_a_request_is_refused_after_all_waits_if_no_lender_has_tokens() -> None:
    instance = Instance(40, lends=False)
    results = instance.borrow(80)
    for wait in LENDER_RETRY_WAITS:
        instance.clock.advance(wait)
    assert results == [RefusalReason.UNKNOWN]


def test_an_instance_that_reaches_no_lender_holds_its_own_allotment() -> None:
    instance = Instance(40, lends=False)
    instance.others.cut_off = set(instance.chosen)
    assert instance.loans.lends(WORKSPACE)


def test_in_a_small_fleet_the_lender_with_most_tokens_is_asked_first() -> None:
    instance = Instance(DEFAULT_POLICY.most_holders, lends=True)
    assert all(name in instance.chosen for name in instance.others.domains_of)
    richest = instance.others.peers[-1]
    holders = {
        name: Allotment("1", 500 if name == richest else 10)
        for name in instance.others.peers
    }
    instance.account.read(AllotmentRow(0, 0, holders), 1)
    instance.others.tokens[richest] = 500
    assert instance.borrow(80) == [None]
    assert instance.others.requests == [(richest, 0)]


def test_a_refused_request_tells_how_many_demands_were_sent_and_what_came() -> None:
    """Tells tokens that nobody has from tokens that no lender was asked for."""
    instance = Instance(3, lends=True)
    first, second = instance.others.peers
    instance.others.tokens.update({first: 30, second: 40})
    assert instance.borrow(80) == [RefusalReason.UNKNOWN]
    assert (instance.search.asked, instance.search.received) == (2, 70)
    instance.others.cut_off = {first, second}
    instance.search = LoanSearch()
    instance.borrow(80)
    assert (instance.search.asked, instance.search.received) == (0, 0)


def test_further_holders_are_asked_after_the_lenders_of_a_domain() -> None:
    """Guards against tokens of holders by demand that nobody asks for."""
    instance = Instance(40, lends=False)
    near = [name for name in instance.others.peers if instance.is_near(name)]
    further = next(name for name in near if name not in instance.chosen)
    holders = {further: Allotment("1", 900), "elsewhere": Allotment("1", 900)}
    instance.account.read(AllotmentRow(0, 0, holders), 1)
    instance.others.tokens[further] = 100
    assert instance.borrow(80) == [None]
    asked = [peer for peer, _ in instance.others.requests]
    lenders = {name for name in instance.chosen if instance.is_near(name)}
    assert set(asked[:-1]) == lenders
    assert asked[-1] == further


def test_a_holder_by_demand_borrows_like_a_borrower_without_the_store() -> None:
    """Its lenders then ask on for it, since it cannot claim tokens."""
    instance = Instance(40, lends=False)
    borrow = instance.loans.borrow
    for store_is_up in (True, False):
        instance.store_is_up = store_is_up
        instance.others.requests.clear()
        search = LoanSearch()
        borrowing = borrow(instance.account, WORKSPACE, 80, search, holds=True)
        Deferred.fromCoroutine(borrowing)
        asked_on = {headroom > 0 for _, headroom in instance.others.requests}
        assert asked_on == {not store_is_up}


def test_a_surplus_is_returned_to_a_near_lender() -> None:
    instance = Instance(40, lends=False)
    instance.account.receive_loan(300)
    instance.loans.return_surplus(WORKSPACE, instance.account)
    ((peer, tokens),) = instance.others.transferred
    assert peer in instance.chosen
    assert instance.is_near(peer)
    assert tokens == 300
    assert instance.account.unspent == 0


def test_tokens_are_kept_if_no_peer_is_reachable() -> None:
    instance = Instance(40, lends=False)
    instance.account.receive_loan(300)
    instance.others.cut_off = set(instance.others.domains_of)
    instance.loans.transfer_all(WORKSPACE, instance.account)
    assert instance.account.unspent == 300

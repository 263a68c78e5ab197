"""A model of instances that share one workspace's budget, in virtual time.

It runs the accounts and plans of the kernel. The table responds at once, and instances
write and borrow as a relay does: twice a second, and when a request lacks tokens. The
model knows what requests really used, also those that a crash interrupted.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from pondquay.budgets.accounts import Account
from pondquay.budgets.allotments import EMPTY_ROW, AllotmentRow
from pondquay.budgets.headroom import (
    plan_borrowed_headroom,
    plan_headroom,
    plan_return,
    plan_top_up,
    request_tokens,
)
from pondquay.budgets.holders import decide_holding
from pondquay.budgets.lenders import choose_lenders
from pondquay.policy import DEFAULT_POLICY, RelayPolicy

ADJUST_INTERVAL_SECONDS = 0.5
DOMAINS = 3
# Lenders that are asked in turn for one request.
MAX_LENDERS = 8
# A request counts as affordable if it fits into this fraction of the prepaid tokens.
AFFORDABLE_FRACTION = 0.97
# Fraction of its output that an interrupted request has generated.
INTERRUPTED_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class ModelRequest:
    """A request, as its caller knows it.

    :param prompt: tokens that it uses once it is sent
    :param output: tokens that it generates
    :param max_output: most tokens that it may generate
    :param seconds: duration of its run
    """

    prompt: int
    output: int
    max_output: int
    seconds: float

    @property
    def max_tokens(self) -> int:
        """Tokens that it reserves."""
        return self.prompt + self.max_output


@dataclass(slots=True)
class Run:
    """A request that runs at an instance.

    :param ended: whether it has ended or its instance has crashed
    """

    instance: str
    request: ModelRequest
    ended: bool = False


@dataclass(slots=True)
class Stranded:
    """Tokens of ended incarnations that no request has used.

    :param headroom: tokens that were not reserved
    :param reserved: tokens that interrupted requests had reserved and did not use
    """

    headroom: int = 0
    reserved: int = 0


@dataclass
class LossFleet:
    """Instances that share the budget of one workspace.

    :param prepaid: tokens of the budget
    :param size: number of instances
    :param seed: determines which instances serve requests and crash
    :param policy: the settings that the instances' plans use
    :ivar used: tokens that requests have used
    :param hot_fraction: fraction of the requests that reach one instance; the others
        reach a random one
    :ivar store_is_up: whether the table responds
    :ivar links_are_up: whether instances reach each other
    :ivar stranded: tokens that crashes have made unavailable
    """

    prepaid: int
    size: int
    seed: int
    policy: RelayPolicy = DEFAULT_POLICY
    hot_fraction: float = 0.0
    now: float = 0.0
    used: int = 0
    store_is_up: bool = True
    links_are_up: bool = True
    stranded: Stranded = field(default_factory=Stranded)

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.row: AllotmentRow = EMPTY_ROW
        self._version = 0
        self._boots = count(1)
        self._adjust_at = 0.0
        self._reserved = 0
        # Requests that end at the same time end in the order in which they started.
        self._run_numbers = count()
        self._ends: list[tuple[float, int, Run]] = []
        domains = {f"r{n}": f"d{n % DOMAINS}" for n in range(self.size)}
        self._domains = domains
        self._lenders = sorted(choose_lenders("w", domains, self.policy.most_holders))
        self.accounts = {name: self._start(name) for name in domains}
        self._held_by: set[str] = set()
        borrowers = [name for name in domains if name not in self._lenders]
        self._hot = min(borrowers, default="r0")

    def _holds(self, account: Account) -> bool:
        """Return whether an instance holds an allotment, after deciding that anew."""
        if account.holder in self._lenders:
            return True
        holds = account.holder in self._held_by
        if not self.policy.hold_by_demand or not self.store_is_up:
            return holds
        if decide_holding(account, self.now, holds=holds).holds:
            self._held_by.add(account.holder)
        else:
            self._held_by.discard(account.holder)
        return account.holder in self._held_by

    def _start(self, name: str) -> Account:
        return Account(name, str(next(self._boots)), self.prepaid, policy=self.policy)

    def advance(self, until: float) -> None:
        """Let requests end and instances adjust what they hold."""
        while self._ends and self._ends[0][0] <= until:
            ends_at, _, run = heappop(self._ends)
            self._adjust_until(ends_at)
            self._end(run)
        self._adjust_until(until)

    def _adjust_until(self, until: float) -> None:
        while self._adjust_at <= until:
            self.now = self._adjust_at
            for account in self.accounts.values():
                self._adjust(account)
            self._adjust_at += ADJUST_INTERVAL_SECONDS
        self.now = until

    def _adjust(self, account: Account) -> None:
        self._read(account)
        if self._holds(account):
            self._write(account)
            return
        if not self.links_are_up:
            return
        if surplus := plan_return(account, self.now, self.size):
            lender = self._rank_lenders(account)[0]
            lender.receive_loan(account.lend(surplus))
            lender.demand.note_returned(surplus, self.now)
        missing = plan_top_up(account, self.now, self.size)
        if missing > 0:
            self._borrow(account, self._rank_lenders(account)[0], 0, missing)

    def _end(self, run: Run) -> None:
        if run.ended:
            return
        run.ended = True
        request = run.request
        used = request.prompt + request.output
        self.accounts[run.instance].settle(request.max_tokens, used)
        self.used += used
        self._reserved -= request.max_tokens

    def _read(self, account: Account) -> None:
        if self.store_is_up:
            account.read(self.row, self._version)

    def _write(self, account: Account) -> None:
        if not self.store_is_up:
            return
        self._read(account)
        headroom = plan_headroom(account, self.now)
        if headroom is None:
            return
        change = account.propose(headroom, self.now)
        account.begin_write(change)
        self.row = change.row
        self._version += 1
        account.confirm_write(change, self._version)
        account.requested = 0

    def serve(self, request: ModelRequest) -> bool:
        """Start a request at an instance; return whether it got its tokens."""
        name = self.random.choice(list(self.accounts))
        if self.hot_fraction and self.random.random() < self.hot_fraction:
            name = self._hot
        account = self.accounts[name]
        account.demand.note(request.max_tokens, self.now)
        self._read(account)
        if not self._obtain(account, request.max_tokens):
            return False
        run = Run(account.holder, request)
        ends_at = self.now + request.seconds
        heappush(self._ends, (ends_at, next(self._run_numbers), run))
        self._reserved += request.max_tokens
        return True

    def _obtain(self, account: Account, tokens: int) -> bool:
        if account.reserve(tokens) is None:
            return True
        if self._holds(account):
            request_tokens(account, tokens)
            self._write(account)
            account.requested = 0
            return self._borrow_in_turn(account, tokens, 0)
        headroom = max(1, plan_borrowed_headroom(account, self.now, self.size))
        if self._borrow_in_turn(account, tokens, headroom):
            return True
        # Meanwhile the lenders that were asked have written for more tokens.
        for lender in self._rank_lenders(account):
            self._write(lender)
        return self._borrow_in_turn(account, tokens, headroom)

    def _borrow_in_turn(self, account: Account, tokens: int, headroom: int) -> bool:
        for lender in self._rank_lenders(account) if self.links_are_up else ():
            if account.reserve(tokens) is None:
                return True
            self._borrow(account, lender, tokens - account.unspent, headroom)
        return account.reserve(tokens) is None

    def _borrow(
        self, account: Account, lender: Account, tokens: int, headroom: int
    ) -> None:
        if lender.unspent < tokens:
            request_tokens(lender, tokens)
        lent = lender.lend_headroom(tokens, headroom)
        if headroom:
            lender.demand.note_lent(max(tokens, lent), self.now)
        account.receive_loan(lent)

    def _rank_lenders(self, account: Account) -> list[Account]:
        """Return the lenders to ask, those with the most unspent tokens first.

        For a borrower, lenders in its own domain come before all others.
        """
        lends = account.holder in self._lenders
        domain = self._domains[account.holder]

        def order(lender: Account) -> tuple[bool, int]:
            return lends or self._domains[lender.holder] == domain, lender.unspent

        lenders = [
            self.accounts[name] for name in self._lenders if name != account.holder
        ]
        return sorted(lenders, key=order, reverse=True)[:MAX_LENDERS]

    def can_afford(self, request: ModelRequest) -> bool:
        """Return whether the prepaid tokens that were not really used cover a request.

        Running requests count at their most.
        """
        committed = self.used + self._reserved + request.max_tokens
        return committed <= AFFORDABLE_FRACTION * self.prepaid

    def crash(self, number: int) -> None:
        """End the processes of some instances, which start anew."""
        crashed = self.random.sample(sorted(self.accounts), number)
        interrupted = [
            run for _, _, run in self._ends if run.instance in crashed and not run.ended
        ]
        for run in interrupted:
            self._interrupt(run)
        for name in crashed:
            account = self.accounts[name]
            self.stranded.headroom += account.unspent
            self.accounts[name] = self._start(name)

    def _interrupt(self, run: Run) -> None:
        run.ended = True
        request = run.request
        used = request.prompt + int(INTERRUPTED_FRACTION * request.output)
        self.used += used
        self.stranded.reserved += request.max_tokens - used
        self._reserved -= request.max_tokens

"""A claimed request runs at most once when the table or claimants fail."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from pondquay.claims.programs import Claimed, claim_request, release_claim
from pondquay.names import RequestName
from pondquay.requests.lifecycle import Outcome, create_lifecycle
from pondquay.tables import Transaction
from pondquay_lab.programs import Fault, FaultyTable, Run, run_program

REQUEST = RequestName("rosters", "draft-7")
faults = st.sampled_from([Fault.NONE] * 4 + list(Fault))
indexes = st.integers(0, 20)


@dataclass
class Claimant:
    """An instance that handles one of the caller's retries of a request."""

    nonce: str
    claim: Run[Any]
    release: Run[Any] | None = None
    lifecycle: Any = field(default_factory=lambda: create_lifecycle(repeatable=False))
    alive: bool = True
    reported: Outcome | None = None


class ClaimMachine(RuleBasedStateMachine):
    """A caller retries a request at several instances; it runs at most once."""

    def __init__(self) -> None:
        super().__init__()
        self.table = FaultyTable()
        self.claimants: list[Claimant] = []
        self.runs = 0
        self.ran_for: set[str] = set()

    def pick(self, index: int) -> Claimant | None:
        alive = [claimant for claimant in self.claimants if claimant.alive]
        return alive[index % len(alive)] if alive else None

    @rule()
    def retry(self) -> None:
        nonce = f"n{len(self.claimants)}"
        claim = Run(claim_request(REQUEST, f"instance-{nonce}", nonce))
        self.claimants.append(Claimant(nonce, claim))

    @rule(index=indexes, fault=faults)
    def step(self, index: int, fault: Fault) -> None:
        claimant = self.pick(index)
        if claimant is None:
            return
        run = claimant.claim if not claimant.claim.done else claimant.release
        if run is not None and not run.done:
            run.step(self.table, fault)

    @rule(index=indexes)
    def dispatch(self, index: int) -> None:
        """Run the request, any time after the claim."""
        claimant = self.pick(index)
        if claimant is None or not isinstance(claimant.claim.result, Claimed):
            return
        if claimant.release is None and claimant.lifecycle.outcome() is Outcome.NOT_RUN:
            claimant.lifecycle.dispatch()
            self.runs += 1
            self.ran_for.add(claimant.nonce)

    @rule(fault=faults)
    def retry_and_run(self, fault: Fault) -> None:
        """Claim with a fault in the first two steps; run the request if claimed."""
        self.retry()
        claimant = self.claimants[-1]
        pending = [fault, fault]
        while not claimant.claim.done:
            claimant.claim.step(self.table, pending.pop(0) if pending else Fault.NONE)
        self.dispatch(sum(other.alive for other in self.claimants) - 1)

    @rule()
    def retry_twice_concurrently(self) -> None:
        """Claim the request concurrently at two instances."""
        self.retry()
        self.retry()
        first, second = self.claimants[-2:]
        while not (first.claim.done and second.claim.done):
            first.claim.step(self.table)
            second.claim.step(self.table)
        alive = sum(claimant.alive for claimant in self.claimants)
        self.dispatch(alive - 2)
        self.dispatch(alive - 1)

    @rule(index=indexes)
    def give_up(self, index: int) -> None:
        """Report the outcome to the caller; start a release if nothing ran."""
        claimant = self.pick(index)
        if claimant is None or not claimant.claim.done or claimant.reported is not None:
            return
        claimant.reported = claimant.lifecycle.outcome()
        if claimant.reported is Outcome.NOT_RUN:
            claimant.release = Run(release_claim(REQUEST, claimant.nonce))

    @rule(index=indexes)
    def give_up_and_release(self, index: int) -> None:
        self.give_up(index)
        claimant = self.pick(index)
        while (
            claimant is not None
            and claimant.release is not None
            and not claimant.release.done
        ):
            claimant.release.step(self.table)

    @rule(index=indexes)
    def crash(self, index: int) -> None:
        claimant = self.pick(index)
        if claimant is None:
            return
        claimant.alive = False
        for run in (claimant.claim, claimant.release):
            if run is not None and isinstance(run.call, Transaction):
                self.table.delayed.append(run.call)

    @precondition(lambda self: self.table.delayed)
    @rule(index=indexes)
    def deliver_delayed(self, index: int) -> None:
        self.table.deliver_delayed(index % len(self.table.delayed))

    @invariant()
    def runs_at_most_once(self) -> None:
        assert self.runs <= 1

    @invariant()
    def request_reported_as_not_run_did_not_run(self) -> None:
        for claimant in self.claimants:
            if claimant.reported is Outcome.NOT_RUN:
                assert claimant.nonce not in self.ran_for


TestClaims = ClaimMachine.TestCase
TestClaims.settings = settings(max_examples=300, stateful_step_count=40, deadline=None)


def test_claim_does_not_expire() -> None:
    """Guards against a claim that expires, which lets the request run twice."""
    table = FaultyTable()
    first = run_program(claim_request(REQUEST, "a", "n1"), table)
    assert isinstance(first, Claimed)
    naive_claimed_at, now, expiry_seconds = 0.0, 3601.0, 3600.0
    # The caller retries, and then the first claimant resumes.
    naive_runs = 1 if now - naive_claimed_at > expiry_seconds else 0
    naive_runs += 1
    assert naive_runs == 2, "the naive claim must run the request twice"
    second = run_program(claim_request(REQUEST, "b", "n2"), table)
    assert not isinstance(second, Claimed)


def test_only_the_claimant_releases_its_claim() -> None:
    table = FaultyTable()
    run_program(claim_request(REQUEST, "a", "n1"), table)
    run_program(release_claim(REQUEST, "n2"), table)
    assert table.values("claim/")
    run_program(release_claim(REQUEST, "n1"), table)
    assert not table.values("claim/")

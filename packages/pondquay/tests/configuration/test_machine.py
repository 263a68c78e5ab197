"""Configuration under concurrent confirmations, lost replies and lagging instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from pondquay.budgets.rows import BudgetRow, budget_key, dump_row
from pondquay.configuration.documents import Document
from pondquay.configuration.entities import Budget, Loan, Workspace
from pondquay.configuration.plans import make_plan
from pondquay.configuration.programs import (
    AwaitingConsent,
    BudgetTooLow,
    Confirmed,
    PlanOutdated,
    confirm_plan,
    fetch_deltas,
    propose_plan,
    read_head,
)
from pondquay.errors import InvalidInputError
from pondquay.tables import Condition, Transaction, Unreachable, Write
from pondquay_lab.programs import Fault, FaultyTable, Run, run_program

if TYPE_CHECKING:
    from pondquay.configuration.entities import Entity

PARTNERS = ("khuree", "lima")
faults = st.sampled_from([Fault.NONE] * 6 + list(Fault))
indexes = st.integers(0, 20)


@dataclass
class Confirming:
    """A confirmation in progress."""

    plan: str
    run: Run[Any]


def make_entities(partner: str, tokens: int) -> list[Entity]:
    """Return a workspace and its budget."""
    digest = "sha256:" + ("1" if partner == "khuree" else "2") * 64
    name = f"{partner}-work"
    return [
        Workspace(name=name, partner=partner, key_digest=digest),
        Budget(name=name, partner=partner, tokens=tokens),
    ]


class ConfigurationMachine(RuleBasedStateMachine):
    """Two partners plan and confirm changes while three instances synchronise."""

    def __init__(self) -> None:
        super().__init__()
        self.table = FaultyTable()
        self.documents = [Document(), Document(), Document()]
        self.plans: list[str] = []
        self.confirming: list[Confirming] = []
        self.confirmed: dict[str, int] = {}
        self.highest_versions = [0, 0, 0]
        self.history: dict[int, Any] = {}
        self.granted = dict.fromkeys(PARTNERS, 0)

    @rule(
        index=st.integers(0, 2),
        partner=st.sampled_from(PARTNERS),
        tokens=st.integers(0, 100),
        loan=st.booleans(),
    )
    def plan(self, index: int, partner: str, tokens: int, loan: bool) -> None:
        other = PARTNERS[1 - PARTNERS.index(partner)]
        entities = make_entities(partner, tokens)
        if loan:
            entities = [
                Loan(
                    name="shared",
                    partner="khuree",
                    borrower="lima",
                    model="judge",
                    replicas=tokens,
                )
            ]
        assert other != partner
        plan_id = f"p{len(self.plans)}"
        try:
            plan = make_plan(plan_id, partner, self.documents[index], entities)
        except InvalidInputError:
            return
        run_program(propose_plan(plan), self.table)
        self.plans.append(plan_id)

    @precondition(lambda self: self.plans)
    @rule(choice=indexes, partner=st.sampled_from(PARTNERS))
    def confirm(self, choice: int, partner: str) -> None:
        plan = self.plans[choice % len(self.plans)]
        if len(self.confirming) < 4:
            run = Run(confirm_plan(plan, partner))
            self.confirming.append(Confirming(plan, run))

    @precondition(lambda self: self.plans)
    @rule(choice=indexes)
    def confirm_at_once(self, choice: int) -> None:
        plan = self.plans[choice % len(self.plans)]
        for partner in PARTNERS:
            self.record_outcome(
                plan, run_program(confirm_plan(plan, partner), self.table)
            )

    @precondition(lambda self: self.confirming)
    @rule(choice=indexes, fault=faults)
    def step(self, choice: int, fault: Fault) -> None:
        confirming = self.confirming[choice % len(self.confirming)]
        confirming.run.step(self.table, fault)
        if confirming.run.done:
            self.confirming.remove(confirming)
            self.record_outcome(confirming.plan, confirming.run.result)

    @rule(
        index=st.integers(0, 2),
        partner=st.sampled_from(PARTNERS),
        tokens=st.integers(0, 100),
    )
    def change(self, index: int, partner: str, tokens: int) -> None:
        """Plan a change to the version in force and confirm it without faults."""
        self.synchronise(index, Fault.NONE)
        before = len(self.plans)
        self.plan(index, partner, tokens, False)
        if len(self.plans) > before:
            self.confirm_at_once(len(self.plans) - 1)

    @rule(
        index=st.integers(0, 2), tokens=st.integers(0, 100), granted=st.integers(0, 30)
    )
    def race(self, index: int, tokens: int, granted: int) -> None:
        """Confirm plans of both partners concurrently while tokens are granted."""
        self.synchronise(index, Fault.NONE)
        confirmations = []
        for partner in PARTNERS:
            before = len(self.plans)
            self.plan(index, partner, tokens, False)
            if len(self.plans) > before:
                plan = self.plans[-1]
                confirmations.append(Confirming(plan, Run(confirm_plan(plan, partner))))
        for confirming in confirmations:
            while not confirming.run.done and not isinstance(
                confirming.run.call, Transaction
            ):
                confirming.run.step(self.table)
        if granted:
            self.grant(PARTNERS[0], granted)
        while any(not confirming.run.done for confirming in confirmations):
            for confirming in confirmations:
                confirming.run.step(self.table)
        for confirming in confirmations:
            self.record_outcome(confirming.plan, confirming.run.result)

    def record_outcome(self, plan: str, outcome: Any) -> None:
        if isinstance(outcome, Confirmed):
            assert self.confirmed.setdefault(plan, outcome.version) == outcome.version

    @precondition(lambda self: self.table.delayed)
    @rule(choice=indexes)
    def deliver_delayed(self, choice: int) -> None:
        self.table.deliver_delayed(choice % len(self.table.delayed))

    @rule(partner=st.sampled_from(PARTNERS), tokens=st.integers(1, 30))
    def grant(self, partner: str, tokens: int) -> None:
        """Grant tokens from a budget."""
        key = budget_key(f"{partner}-work")
        row = self.table.table.rows.get(key)
        if row is None:
            return
        budget = BudgetRow(**row.value)
        if budget.free >= tokens:
            self.granted[partner] += tokens
            changed = dump_row(BudgetRow(budget.limit, budget.granted + tokens))
            self.table.transact(
                Transaction(
                    "grant", (Condition(key, row.version),), (Write(key, changed),)
                )
            )

    @rule(index=st.integers(0, 2), fault=faults)
    def synchronise(self, index: int, fault: Fault) -> None:
        """Fetch and apply newer versions at an instance."""
        head = run_program(read_head(), self.table, (fault,))
        if isinstance(head, Unreachable):
            return
        document = self.documents[index]
        deltas = run_program(fetch_deltas(document.version, head), self.table)
        assert not isinstance(deltas, Unreachable)
        for delta in deltas:
            document = document.apply(delta)
        self.documents[index] = document

    @rule(index=st.integers(0, 2))
    def restart(self, index: int) -> None:
        """Restart an instance, which loses its configuration."""
        self.documents[index] = Document()
        self.highest_versions[index] = 0

    @invariant()
    def version_never_goes_down(self) -> None:
        for index, document in enumerate(self.documents):
            assert document.version >= self.highest_versions[index]
            self.highest_versions[index] = document.version

    @invariant()
    def version_has_same_content_everywhere(self) -> None:
        for document in self.documents:
            known = self.history.setdefault(document.version, document.entities)
            assert known == document.entities

    @invariant()
    def confirmed_plans_stay_in_force(self) -> None:
        head = self.table.value("head")
        version = 0 if head is None else head["version"]
        assert len(self.table.values("config/")) == version
        in_force = {row["plan"]: row for row in self.table.values("config/").values()}
        for plan, confirmed_version in self.confirmed.items():
            assert in_force[plan]["version"] == confirmed_version

    @invariant()
    def changes_have_all_required_consents(self) -> None:
        for row in self.table.values("config/").values():
            plan = self.table.value(f"plan/{row['plan']}")
            for change in row["changes"]:
                after = change["after"]
                needed = {after["partner"], after.get("borrower", after["partner"])}
                assert needed <= set(plan["consents"])

    @invariant()
    def limit_is_not_below_granted_tokens(self) -> None:
        for key, value in self.table.values("budget/").items():
            partner = key.removeprefix("budget/").removesuffix("-work")
            assert value["granted"] == self.granted[partner]
            assert value["granted"] <= value["limit"]


TestConfiguration = ConfigurationMachine.TestCase
TestConfiguration.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None
)


def confirm_new(
    table: FaultyTable, document: Document, plan_id: str, tokens: int
) -> Any:
    """Plan and confirm a workspace and its budget."""
    entities = make_entities("khuree", tokens)
    plan = make_plan(plan_id, "khuree", document, entities)
    run_program(propose_plan(plan), table)
    return run_program(confirm_plan(plan_id, "khuree"), table)


def test_outdated_plan_reports_base_and_head_version() -> None:
    table = FaultyTable()
    base = Document()
    assert isinstance(confirm_new(table, base, "p1", 50), Confirmed)
    outdated = confirm_new(table, base, "p2", 60)
    assert isinstance(outdated, PlanOutdated)
    assert (outdated.plan.base, outdated.head) == (0, 1)


def test_budget_below_granted_tokens_is_refused() -> None:
    table = FaultyTable()
    assert isinstance(confirm_new(table, Document(), "p1", 50), Confirmed)
    key = budget_key("khuree-work")
    table.transact(Transaction("grant", (), (Write(key, dump_row(BudgetRow(50, 40))),)))
    deltas = run_program(fetch_deltas(0, 1), table)
    assert not isinstance(deltas, Unreachable)
    document = Document().apply(deltas[0])
    refused = confirm_new(table, document, "p2", 30)
    assert refused == BudgetTooLow("khuree-work", 30, 40)
    assert isinstance(confirm_new(table, document, "p3", 40), Confirmed)


def test_loan_requires_consent_of_both_partners() -> None:
    table = FaultyTable()
    loan = Loan(
        name="shared", partner="khuree", borrower="lima", model="judge", replicas=2
    )
    run_program(propose_plan(make_plan("p1", "lima", Document(), [loan])), table)
    waiting = run_program(confirm_plan("p1", "lima"), table)
    assert isinstance(waiting, AwaitingConsent)
    assert waiting.plan.missing_consents() == {"khuree"}
    assert isinstance(run_program(confirm_plan("p1", "khuree"), table), Confirmed)


def test_plans_with_the_same_base_do_not_overwrite_each_other() -> None:
    """Guards against a head where the last write wins, which loses a change."""
    naive: dict[str, int] = {}
    read_by_khuree, read_by_lima = dict(naive), dict(naive)
    naive = {**read_by_khuree, "khuree-work": 50}
    naive = {**read_by_lima, "lima-work": 70}
    assert "khuree-work" not in naive, (
        "the naive head must lose the change of one partner"
    )

    table = FaultyTable()
    for index, partner in enumerate(PARTNERS):
        plan = make_plan(f"p{index}", partner, Document(), make_entities(partner, 50))
        run_program(propose_plan(plan), table)
    for index, partner in enumerate(PARTNERS):
        run_program(confirm_plan(f"p{index}", partner), table)
    deltas = run_program(fetch_deltas(0, 2), table)
    assert not isinstance(deltas, Unreachable)
    document = Document()
    for delta in deltas:
        document = document.apply(delta)
    assert {"budget khuree-work", "budget lima-work"} <= set(document.entities)

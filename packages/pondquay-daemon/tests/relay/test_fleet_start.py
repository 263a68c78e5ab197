"""A fleet that starts as a whole: every lender writes for its budgets at once.

The pattern: all instances come up within a second, on a first start and after a loss of
all power. Each budget has two lenders a domain, and all write its row at that moment.

The figures are those of a deployment of 195 instances in five domains with 40 budgets,
cut to 60 instances, since the writers of a row are the same ten. The store takes 300
writes a second in a partition, one after another, refuses what would wait for more than
a second, and is 5 ms away. With all rows in one partition, 89 of 400 allotments stood
after 3 s.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.testing import MemoryReactorClock

from pondquay.budgets.lenders import choose_lenders
from pondquay.policy import DEFAULT_POLICY
from pondquay.routes.entities import RoutedWorkspace, RoutingConfiguration
from pondquay.routes.table import RouteTable
from pondquay.tables import ABSENT, Committed, Conflict, Row, Rows, Unreachable
from pondquay_daemon.relay.accounts import AccountBook, row_key
from pondquay_daemon.relay.loans import Lender
from pondquay_daemon.relay.metrics import RelayMetrics
from pondquay_daemon.tasks import sleep

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pondquay.tables import Transaction

DOMAINS = 5
INSTANCES = 60
WORKSPACES = tuple(f"workspace-{number}" for number in range(40))
PREPAID = 1_000_000
WRITES_PER_SECOND = 300
LONGEST_QUEUE_SECONDS = 1.0
WAY_SECONDS = 0.005
STEP_SECONDS = 0.005


@dataclass
class PartitionedStore:
    """Rows whose partitions take their writes one after another."""

    clock: Any
    rows: dict[str, Row] = field(default_factory=dict)
    free_at: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    turned_away: int = 0

    async def read_row(self, key: str) -> Row | None:
        await sleep(2 * WAY_SECONDS, self.clock)
        return self.rows.get(key)

    async def commit(self, transaction: Transaction) -> Any:
        await sleep(WAY_SECONDS, self.clock)
        key = transaction.writes[0].key
        now = self.clock.seconds()
        done_at = max(now, self.free_at[key]) + 1 / WRITES_PER_SECOND
        if done_at - now > LONGEST_QUEUE_SECONDS:
            self.turned_away += 1
            return Unreachable()
        self.free_at[key] = done_at
        await sleep(done_at - now, self.clock)
        reply = self.decide(transaction, key)
        await sleep(WAY_SECONDS, self.clock)
        return reply

    def decide(self, transaction: Transaction, key: str) -> Committed | Conflict:
        found = self.rows.get(key)
        version = ABSENT if found is None else found.version
        if version != transaction.conditions[0].version:
            return Conflict(Rows({} if found is None else {key: found}))
        value = transaction.writes[0].value or {}
        self.rows[key] = Row(key, version + 1, value)
        return Committed(version + 1)


@dataclass
class Fleet(Lender):
    """The others, who have nothing to lend yet."""

    domains_of: dict[str, str]

    @property
    def peers(self) -> list[str]:
        return list(self.domains_of)

    @property
    def domains(self) -> Mapping[str, str]:
        return self.domains_of

    async def borrow(
        self, peer: str, workspace: str, tokens: int, ahead: int = 0
    ) -> int:
        return 0

    def give(self, peer: str, workspace: str, tokens: int) -> None:
        raise AssertionError("nobody has any")


def start_fleet(clock: Any, store: Any, domains: dict[str, str]) -> None:
    """Start an account book at each instance, within 0.3 s of each other."""
    workspaces = tuple(RoutedWorkspace(one, (), prepaid=PREPAID) for one in WORKSPACES)
    table = RouteTable(RoutingConfiguration(1, (), (), workspaces=workspaces))
    metrics = RelayMetrics(Counter())

    def start(name: str) -> None:
        book = AccountBook(
            clock,
            store,
            name,
            "1",
            lambda: True,
            Fleet(domains),
            lambda: True,
            metrics,
            DEFAULT_POLICY,
        )
        book.start()
        book.take_table(table)

    for number, name in enumerate(domains):
        clock.callLater(0.3 * number / len(domains), start, name)


def test_a_fleet_that_starts_holds_all_budgets_within_seconds() -> None:
    clock: Any = MemoryReactorClock()
    store = PartitionedStore(clock)
    domains = {f"entry-{one}": f"hall-{one % DOMAINS}" for one in range(INSTANCES)}
    start_fleet(clock, store, domains)
    while clock.seconds() < 3.0:
        clock.advance(STEP_SECONDS)
    for workspace in WORKSPACES:
        holders = store.rows[row_key(workspace)].value["holders"]
        assert set(holders) == choose_lenders(workspace, domains)
    assert store.turned_away == 0

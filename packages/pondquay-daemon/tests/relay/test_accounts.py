from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from pondquay.budgets.allotments import Allotment, AllotmentRow
from pondquay.policy import DEFAULT_POLICY
from pondquay.routes.entities import RoutedWorkspace, RoutingConfiguration
from pondquay.routes.table import RouteTable
from pondquay.tables import Committed, Unreachable
from pondquay_daemon.relay import allotmentrows
from pondquay_daemon.relay.accounts import AccountBook
from pondquay_daemon.relay.allotmentrows import MAX_DOUBLINGS, RETRY_SECONDS
from pondquay_daemon.relay.loans import Lender
from pondquay_daemon.relay.metrics import RelayMetrics
from pondquay_daemon.relay.store import RowChange

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pondquay.tables import Transaction

WORKSPACES = ("captions", "rosters")
STEP_SECONDS = 0.05


@dataclass
class RejectingStore:
    """A store without rows that rejects writes while ``rejecting`` is set."""

    clock: Any
    rejecting: bool = True
    commits: list[float] = field(default_factory=list)
    # Delays all responses until it fires, if set.
    held: Deferred[None] | None = None

    async def read_row(self, key: str) -> None:
        return None

    async def commit(self, transaction: Transaction) -> Committed | Unreachable:
        self.commits.append(self.clock.seconds())
        if self.held is not None:
            await self.held
        return Unreachable() if self.rejecting else Committed(len(self.commits))


@dataclass
class NoPeers(Lender):
    """A lender without peers, for the only instance of a fleet."""

    @property
    def peers(self) -> list[str]:
        return []

    @property
    def domains(self) -> Mapping[str, str]:
        return {"entry-1": "hall"}

    async def borrow(
        self, peer: str, workspace: str, tokens: int, headroom: int = 0
    ) -> int:
        return 0

    def transfer(self, peer: str, workspace: str, tokens: int) -> None:
        raise AssertionError("there are no peers")


class Instance:
    """An instance's accounts, on a store that rejects writes at first."""

    def __init__(self) -> None:
        self.clock: Any = MemoryReactorClock()
        self.store = RejectingStore(self.clock)
        self.list_is_read = True
        store: Any = self.store
        self.accounts = AccountBook(
            self.clock,
            store,
            "entry-1",
            "1",
            lambda: True,
            NoPeers(),
            lambda: self.list_is_read,
            RelayMetrics(Counter()),
            DEFAULT_POLICY,
        )
        self.accounts.start()
        workspaces = tuple(
            RoutedWorkspace(name, (), prepaid=100_000) for name in WORKSPACES
        )
        configuration = RoutingConfiguration(1, (), (), workspaces=workspaces)
        self.accounts.apply_table(RouteTable(configuration))

    def obtain(self, tokens: int) -> None:
        reservation = self.accounts.obtain("r1", WORKSPACES[0], tokens, 0.0)
        Deferred.fromCoroutine(reservation)

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)


def count_writes(instance: Instance, seconds: float) -> int:
    """Return the number of writes to the table while requests keep arriving."""
    before = len(instance.store.commits)
    until = instance.clock.seconds() + seconds
    while instance.clock.seconds() < until:
        instance.obtain(1_000)
        instance.advance(STEP_SECONDS)
    return len(instance.store.commits) - before


# Without exponential back-off there would be 100 writes in 10 s.
@pytest.mark.parametrize("failures", [8, 5_000])
def test_writes_back_off_while_the_table_rejects_them(failures: int) -> None:
    instance = Instance()
    instance.advance(2.0)
    instance.accounts._rows._failures.update(dict.fromkeys(WORKSPACES, failures))
    instance.advance(2 * RETRY_SECONDS * 2**MAX_DOUBLINGS)
    assert 0 < count_writes(instance, 10.0) < 70
    instance.store.rejecting = False
    instance.advance(2 * RETRY_SECONDS * 2**MAX_DOUBLINGS)
    assert instance.accounts.unspent() > 0


def test_back_off_grows_with_each_failure() -> None:
    instance = Instance()
    instance.advance(10.0)
    assert count_writes(instance, 10.0) < 70


# Guards against a write that was planned before a request and discards its need.
def test_tokens_requested_during_a_write_are_claimed_by_the_next_one() -> None:
    instance = Instance()
    instance.store.rejecting = False
    instance.advance(2.0)
    unspent = instance.accounts._accounts[WORKSPACES[0]].unspent
    held: Deferred[None] = Deferred()
    instance.store.held = held
    # Uses up the headroom, so that a refill is written.
    instance.obtain(unspent)
    assert instance.accounts.lend(WORKSPACES[0], 30_000, 1) == 0
    instance.store.held = None
    held.callback(None)
    assert instance.accounts.lend(WORKSPACES[0], 30_000, 1) >= 30_000


def test_no_allotment_is_claimed_before_the_instance_list_is_read() -> None:
    instance = Instance()
    instance.store.rejecting = False
    instance.list_is_read = False
    instance.obtain(1_000)
    instance.advance(1.0)
    assert instance.store.commits == []
    instance.list_is_read = True
    instance.advance(1.0)
    assert instance.store.commits


def test_an_ended_incarnation_is_logged_and_counted_with_what_it_held(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After a crash, logs and metrics tell how many tokens are lost to the budget."""
    events: list[tuple[str, dict[str, Any]]] = []
    monkeypatch.setattr(
        allotmentrows,
        "log_event",
        lambda event, *_, **more: events.append((event, more)),
    )
    instance = Instance()
    instance.store.rejecting = False
    ended = Allotment("0", ceiling=9_000, spent=2_000, lent=500)
    row = AllotmentRow(0, 0, {"entry-1": ended})
    instance.advance(2.0)
    instance.accounts.apply_change(RowChange(WORKSPACES[0], 1_000, row.to_value()))
    instance.advance(1.0)
    closed = [more for event, more in events if event == "incarnation-closed"]
    assert [(more["ceiling"], more["unaccounted"]) for more in closed] == [
        (9_000, 7_000)
    ]
    assert instance.accounts.unaccounted() == 7_000

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Success
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from pondquay.budgets.rows import BudgetRow, budget_key, dump_row
from pondquay.names import InstanceId, RequestName
from pondquay.tables import Transaction, Write
from pondquay_daemon.grants import (
    RECALL_WAITS_SECONDS,
    BudgetRefusal,
    GrantTask,
)
from pondquay_daemon.silences import (
    MAX_SILENCE_SECONDS,
    MIN_WAIT_SECONDS,
    SilenceMeter,
)
from pondquay_daemon.tasks import sleep
from pondquay_lab.programs import FaultyTable, run_program

if TYPE_CHECKING:
    from pondquay.budgets.messages import Recall

WORKSPACE = "captions"
LIMIT = 200
# Tokens that the first instance has used, of those that it holds.
USED = 20
HELD = 180
STEP_SECONDS = 0.01
MAX_WAIT_SECONDS = 2.0


class HangingPlatform:
    """A platform whose table never responds."""

    def __init__(self, clock: Any) -> None:
        self.silence = SilenceMeter(clock, MAX_WAIT_SECONDS)

    async def run(self, program: Any) -> Any:
        with self.silence.watch():
            return await Deferred()


@dataclass
class MemoryPlatform:
    """A platform whose table responds.

    :param delay: seconds until it does
    """

    table: FaultyTable
    clock: Any
    delay: float = 0.0

    def __post_init__(self) -> None:
        self.silence = SilenceMeter(self.clock, MAX_WAIT_SECONDS)

    async def run(self, program: Any) -> Any:
        with self.silence.watch():
            if self.delay:
                await sleep(self.delay, self.clock)
            return run_program(program, self.table)


@dataclass
class SlowPeers:
    """A witness directory whose links deliver each recall late or never.

    :param delay: seconds until a recall arrives, ``None`` if it never does
    :ivar recalls: recalls sent
    """

    clock: Any
    delay: float | None = None
    peers: list[GrantTask] = field(default_factory=list)
    recalls: int = 0

    @property
    def links(self) -> SlowPeers:
        return self

    def broadcast(self, recall: Recall) -> None:
        self.recalls += 1
        if self.delay is None:
            return
        for peer in self.peers:
            self.clock.callLater(self.delay, peer.receive_call, recall)

    def connected(self) -> list[InstanceId]:
        return [peer.holder.instance for peer in self.peers]

    def witnesses(self) -> list[InstanceId]:
        return []

    def is_usable(self, peer: InstanceId) -> bool:
        return False

    def is_presumed_dead(self, peer: InstanceId) -> bool:
        return False

    def count(self) -> int:
        return len(self.peers)


class TightBudget:
    """Two instances; the first one holds most tokens of the budget and has used some.

    :param delay: seconds until a recall arrives, ``None`` if it never does
    """

    def __init__(self, delay: float | None) -> None:
        self.clock: Any = MemoryReactorClock()
        self.table = FaultyTable()
        write = Write(budget_key(WORKSPACE), dump_row(BudgetRow(LIMIT)))
        self.platform = MemoryPlatform(self.table, self.clock)
        self.table.transact(Transaction("limit", (), (write,)))
        self.first = self.make_task("a", SlowPeers(self.clock))
        self.peers = SlowPeers(self.clock, delay, [self.first])
        self.second = self.make_task("b", self.peers)
        reserved = self.reserve(self.first, HELD, STEP_SECONDS)
        Deferred.fromCoroutine(self.first.settle(reserved.unwrap(), USED))

    def make_task(self, name: str, peers: SlowPeers) -> GrantTask:
        platform: Any = self.platform
        directory: Any = peers
        instance = InstanceId(name, "1")
        return GrantTask(self.clock, instance, platform, directory, "proportional")

    def reserve(self, task: GrantTask, tokens: int, seconds: float) -> Any:
        """Reserve tokens; return the result, ``None`` if there is none in time."""
        results: list[Any] = []
        request = RequestName(WORKSPACE, f"request-{tokens}")
        call = task.reserve(request, tokens, "engine", "boot")
        Deferred.fromCoroutine(call).addCallback(results.append)
        self.clock.pump([STEP_SECONDS] * round(seconds / STEP_SECONDS))
        return results[0] if results else None


def start_reserve(task: GrantTask) -> list[Any]:
    """Start to reserve tokens, and return the list that receives the result."""
    results: list[Any] = []
    request = RequestName(WORKSPACE, "one")
    reserve = Deferred.fromCoroutine(task.reserve(request, 100, "engine", "boot"))
    reserve.addCallback(results.append)
    return results


def test_reserve_without_tokens_times_out_when_the_table_hangs() -> None:
    clock: Any = MemoryReactorClock()
    platform, peers = HangingPlatform(clock), SlowPeers(clock)
    task = GrantTask(clock, InstanceId("a", "1"), platform, peers, "proportional")  # type: ignore[arg-type]
    results = start_reserve(task)
    clock.advance(0)
    assert results == []
    clock.advance(MAX_SILENCE_SECONDS)
    clock.advance(0)
    assert results == [Failure(BudgetRefusal.UNREACHABLE)]
    results = start_reserve(task)
    clock.advance(MIN_WAIT_SECONDS)
    clock.advance(0)
    assert results == [Failure(BudgetRefusal.UNREACHABLE)]
    assert MIN_WAIT_SECONDS < 0.25


# Guards against 503 for a request that the table serves after some tenths of a second.
def test_tokens_are_waited_for_while_the_table_is_slow() -> None:
    budget = TightBudget(delay=None)
    budget.platform.delay = MAX_SILENCE_SECONDS / 2
    result = budget.reserve(budget.second, LIMIT - HELD, MAX_SILENCE_SECONDS)
    assert isinstance(result, Success)


# Guards against a request that waits anew for the table after each recall.
def test_tokens_are_not_waited_for_beyond_the_limit_of_one_call() -> None:
    budget = TightBudget(delay=None)
    budget.platform.delay = MAX_SILENCE_SECONDS - STEP_SECONDS
    result = budget.reserve(budget.second, 100, MAX_WAIT_SECONDS + 2 * STEP_SECONDS)
    assert result == Failure(BudgetRefusal.HELD_ELSEWHERE)


# Guards against 402 for a request whose tokens a peer returns after the first wait.
def test_tokens_that_a_peer_returns_late_are_reserved() -> None:
    budget = TightBudget(delay=RECALL_WAITS_SECONDS[0] + 2 * STEP_SECONDS)
    result = budget.reserve(budget.second, 100, sum(RECALL_WAITS_SECONDS))
    assert isinstance(result, Success)


# Guards against 402 while tokens that nobody has used suffice for the request.
def test_tokens_that_a_peer_keeps_are_not_reported_as_used() -> None:
    budget = TightBudget(delay=None)
    result = budget.reserve(budget.second, 100, sum(RECALL_WAITS_SECONDS) + 1.0)
    assert result == Failure(BudgetRefusal.HELD_ELSEWHERE)


# Guards against a request that waits for tokens which are known to be used.
def test_a_request_that_no_tokens_can_cover_is_refused_at_once() -> None:
    budget = TightBudget(delay=0.0)
    result = budget.reserve(budget.second, LIMIT + 1, STEP_SECONDS)
    assert result == Failure(BudgetRefusal.EXHAUSTED)
    assert budget.peers.recalls == 0


# Guards against 503 for a budget that is used up but whose row does not say so yet.
def test_a_recall_makes_peers_report_what_they_have_used() -> None:
    budget = TightBudget(delay=0.0)
    reserved = budget.reserve(budget.first, HELD - USED, STEP_SECONDS)
    Deferred.fromCoroutine(budget.first.settle(reserved.unwrap(), HELD - USED))
    result = budget.reserve(budget.second, LIMIT - USED, 1.0)
    assert result == Failure(BudgetRefusal.EXHAUSTED)
    assert budget.peers.recalls == 1

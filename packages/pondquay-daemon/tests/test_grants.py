from __future__ import annotations

from typing import Any

from returns.result import Failure
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from pondquay.names import InstanceId, RequestName
from pondquay_daemon.grants import REFILL_TIMEOUT_SECONDS, BudgetRefusal, GrantTask


class HangingPlatform:
    """A platform whose table never responds."""

    async def run(self, program: Any) -> Any:
        return await Deferred()


class EmptyWitnessDirectory:
    """A witness directory without peers."""

    def connected(self) -> list[InstanceId]:
        return []

    def witnesses(self) -> list[InstanceId]:
        return []

    def is_usable(self, peer: InstanceId) -> bool:
        return False

    def is_presumed_dead(self, peer: InstanceId) -> bool:
        return False

    def count(self) -> int:
        return 0


def test_reserve_without_tokens_times_out_when_the_table_hangs() -> None:
    clock: Any = MemoryReactorClock()
    platform, peers = HangingPlatform(), EmptyWitnessDirectory()
    task = GrantTask(clock, InstanceId("a", "1"), platform, peers, "proportional")  # type: ignore[arg-type]
    results: list[object] = []
    request = RequestName("captions", "one")
    reserve = Deferred.fromCoroutine(task.reserve(request, 100, "engine", "boot"))
    reserve.addCallback(results.append)
    clock.advance(0)
    assert results == []
    clock.advance(REFILL_TIMEOUT_SECONDS)
    assert results == [Failure(BudgetRefusal.UNREACHABLE)]

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from pondquay.claims.programs import Claimed, Released
from pondquay.configuration.entities import Priority
from pondquay.names import InstanceId, RequestName
from pondquay.requests.lifecycle import Outcome, begin_request
from pondquay_daemon.calls import Refusal, RefusalCode
from pondquay_daemon.metrics import Metrics
from pondquay_daemon.progress import Progress
from pondquay_daemon.runner import CLAIM_SECONDS, Runner


class SlowPlatform:
    """A platform whose table answers when the test says so."""

    def __init__(self) -> None:
        self.waiting: list[Deferred[Any]] = []

    async def run(self, program: Any) -> Any:
        waiter: Deferred[Any] = Deferred()
        self.waiting.append(waiter)
        return await waiter


class OnceCall:
    """A request that may not be repeated."""

    request = RequestName("payroll", "draft")
    repeatable = False
    priority = Priority.NORMAL


def make_runner(clock: Any, platform: SlowPlatform) -> Runner:
    """Return a runner of which only claims are used."""
    others: list[Any] = [None] * 6
    instance = str(InstanceId("a", "1"))
    return Runner(clock, instance, platform, *others, Metrics())  # type: ignore[arg-type]


def claim(runner: Runner) -> tuple[Progress, list[Refusal | None]]:
    """Begin to claim a request."""
    call: Any = OnceCall()
    progress = Progress(call, begin_request(repeatable=False))
    results: list[Refusal | None] = []
    claiming = Deferred.fromCoroutine(runner._claim(progress))
    claiming.addCallback(results.append)
    return progress, results


def test_a_claim_that_a_frozen_table_does_not_take_is_refused_soon() -> None:
    clock: Any = MemoryReactorClock()
    _, results = claim(make_runner(clock, SlowPlatform()))
    assert results == []
    clock.advance(CLAIM_SECONDS)
    (refusal,) = results
    assert refusal is not None
    assert refusal.code is RefusalCode.PLATFORM_UNREACHABLE
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.retry_after
    assert CLAIM_SECONDS < 0.25


def test_a_claim_that_comes_after_its_refusal_is_released() -> None:
    clock: Any = MemoryReactorClock()
    platform = SlowPlatform()
    runner = make_runner(clock, platform)
    progress, _ = claim(runner)
    clock.advance(CLAIM_SECONDS)
    Deferred.fromCoroutine(runner._end_claim(progress))
    assert len(platform.waiting) == 1, "what is under way is not released yet"
    platform.waiting.pop().callback(Claimed())
    Deferred.fromCoroutine(runner._release_doubtful())
    platform.waiting.pop().callback(Released())
    Deferred.fromCoroutine(runner._release_doubtful())
    assert platform.waiting == []


def test_a_claim_in_time_lets_the_request_run() -> None:
    clock: Any = MemoryReactorClock()
    platform = SlowPlatform()
    progress, results = claim(make_runner(clock, platform))
    platform.waiting.pop().callback(Claimed())
    assert results == [None]
    assert progress.nonce
    assert not clock.getDelayedCalls()

from __future__ import annotations

from itertools import count
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from pondquay.claims.programs import Claimed, Released
from pondquay.configuration.entities import Priority
from pondquay.names import RequestName
from pondquay.requests.lifecycle import Outcome, create_lifecycle
from pondquay_daemon.calls import Refusal, RefusalCode
from pondquay_daemon.progress import Progress
from pondquay_daemon.requestclaims import ClaimTask
from pondquay_daemon.silences import (
    MAX_SILENCE_SECONDS,
    MIN_WAIT_SECONDS,
    SilenceMeter,
)

MAX_WAIT_SECONDS = 2.0


class SlowPlatform:
    """A platform whose table responds when the test fires a waiting deferred."""

    def __init__(self, clock: Any) -> None:
        self.silence = SilenceMeter(clock, MAX_WAIT_SECONDS)
        self.waiting: list[Deferred[Any]] = []

    async def run(self, program: Any) -> Any:
        waiter: Deferred[Any] = Deferred()
        self.waiting.append(waiter)
        with self.silence.watch():
            return await waiter


class UnrepeatableCall:
    """A request that may not be repeated."""

    request = RequestName("payroll", "draft")
    repeatable = False
    priority = Priority.NORMAL


def make_task(clock: Any, platform: Any) -> ClaimTask:
    """Return the claim task of an instance."""
    return ClaimTask(clock, "a~1", platform, count(1).__next__)


def claim(task: ClaimTask) -> tuple[Progress, list[Refusal | None]]:
    """Start to claim a request, and return the list that receives the result."""
    call: Any = UnrepeatableCall()
    progress = Progress(call, create_lifecycle(repeatable=False))
    results: list[Refusal | None] = []
    claiming = Deferred.fromCoroutine(task.claim(progress))
    claiming.addCallback(results.append)
    return progress, results


def test_a_claim_is_refused_after_a_timeout_when_the_table_hangs() -> None:
    clock: Any = MemoryReactorClock()
    task = make_task(clock, SlowPlatform(clock))
    _, results = claim(task)
    assert results == []
    clock.advance(MAX_SILENCE_SECONDS)
    clock.advance(0)
    check_refused(results)
    _, results = claim(task)
    clock.advance(MIN_WAIT_SECONDS)
    clock.advance(0)
    check_refused(results)
    assert MIN_WAIT_SECONDS < 0.25


def check_refused(results: list[Refusal | None]) -> None:
    """Check that a request was refused before it ran."""
    (refusal,) = results
    assert refusal is not None
    assert refusal.code is RefusalCode.PLATFORM_UNREACHABLE
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.retry_after


def test_a_claim_stored_after_its_refusal_is_released() -> None:
    clock: Any = MemoryReactorClock()
    platform = SlowPlatform(clock)
    task = make_task(clock, platform)
    progress, _ = claim(task)
    clock.advance(MAX_SILENCE_SECONDS)
    clock.advance(0)
    Deferred.fromCoroutine(task.end(progress))
    assert len(platform.waiting) == 1, "a pending claim must not be released"
    platform.waiting.pop().callback(Claimed())
    Deferred.fromCoroutine(task.release_stale_claims())
    platform.waiting.pop().callback(Released())
    Deferred.fromCoroutine(task.release_stale_claims())
    assert platform.waiting == []


# Guards against 503 for a claim that the table stores after some tenths of a second.
def test_a_claim_is_waited_for_while_the_table_is_slow() -> None:
    clock: Any = MemoryReactorClock()
    platform = SlowPlatform(clock)
    _, results = claim(make_task(clock, platform))
    clock.advance(MAX_SILENCE_SECONDS / 2)
    clock.advance(0)
    assert results == []
    platform.waiting.pop().callback(Claimed())
    assert results == [None]


def test_a_claim_stored_in_time_lets_the_request_run() -> None:
    clock: Any = MemoryReactorClock()
    platform = SlowPlatform(clock)
    progress, results = claim(make_task(clock, platform))
    platform.waiting.pop().callback(Claimed())
    assert results == [None]
    assert progress.nonce
    assert not clock.getDelayedCalls()

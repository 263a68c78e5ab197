from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from pondquay.configuration.programs import read_head
from pondquay_daemon.platform import Platform
from pondquay_daemon.silences import (
    MAX_SILENCE_SECONDS,
    MIN_WAIT_SECONDS,
    SilenceMeter,
)

MAX_WAIT_SECONDS = 2.0
# Longer than a wait for a platform that hangs.
SLOW_SECONDS = 0.4
STEP_SECONDS = 0.05


class WatchedPlatform:
    """A platform whose calls the test ends."""

    def __init__(self) -> None:
        self.clock: Any = MemoryReactorClock()
        self.meter = SilenceMeter(self.clock, MAX_WAIT_SECONDS)

    def start_call(self) -> Deferred[None]:
        """Start a call, which responds or fails as the deferred does."""
        response: Deferred[None] = Deferred()

        async def call() -> None:
            with self.meter.watch():
                await response

        Deferred.fromCoroutine(call()).addErrback(lambda failure: None)
        return response

    def advance(self, seconds: float) -> None:
        """Let time pass in small steps."""
        self.clock.pump([STEP_SECONDS] * round(seconds / STEP_SECONDS))

    def wait(self, deferred: Deferred[Any]) -> list[Any]:
        """Start to wait, and return the list that receives the result."""
        results: list[Any] = []
        waiting = Deferred.fromCoroutine(
            self.meter.wait(deferred, self.meter.plan_deadline())
        )
        waiting.addCallback(results.append)
        return results


# Guards against a request that the table would serve after some tenths of a second.
def test_a_slow_response_is_waited_for() -> None:
    platform, result = WatchedPlatform(), Deferred[str]()
    call = platform.start_call()
    results = platform.wait(result)
    platform.advance(SLOW_SECONDS)
    assert results == []
    call.callback(None)
    result.callback("tokens")
    assert results == ["tokens"]


# Guards against a request that is refused during the second of two slow calls.
def test_several_slow_responses_are_waited_for() -> None:
    platform, result = WatchedPlatform(), Deferred[str]()
    results = platform.wait(result)
    for _ in range(3):
        call = platform.start_call()
        platform.advance(SLOW_SECONDS)
        call.callback(None)
    assert results == []
    result.callback("tokens")
    assert results == ["tokens"]


# Guards against requests that a hanging table holds since the list still responds.
def test_only_calls_of_the_table_are_measured() -> None:
    clock: Any = MemoryReactorClock()
    platform = Platform(clock, "http://127.0.0.1:1", "hall-a", MAX_WAIT_SECONDS)
    Deferred.fromCoroutine(platform.list_instances())
    clock.advance(STEP_SECONDS)
    assert platform.silence.measure() == 0.0
    Deferred.fromCoroutine(platform.run(read_head()))
    clock.advance(STEP_SECONDS)
    assert platform.silence.measure() == STEP_SECONDS


def test_a_result_that_never_comes_is_waited_for_until_the_limit() -> None:
    platform = WatchedPlatform()
    results = platform.wait(Deferred())
    for _ in range(4):
        call = platform.start_call()
        platform.advance(SLOW_SECONDS)
        call.callback(None)
    assert results == []
    platform.advance(MAX_WAIT_SECONDS - 4 * SLOW_SECONDS + 2 * STEP_SECONDS)
    assert results == [None]


def test_a_platform_that_begins_to_hang_holds_no_request_for_longer() -> None:
    platform = WatchedPlatform()
    platform.start_call()
    results = platform.wait(Deferred())
    platform.advance(MAX_SILENCE_SECONDS + 2 * STEP_SECONDS)
    assert results == [None]
    assert MAX_SILENCE_SECONDS <= 0.5


# Guards against requests that a platform holds although it is known to hang.
@pytest.mark.parametrize("fails", [False, True])
def test_a_platform_that_hangs_holds_requests_only_shortly(fails: bool) -> None:
    platform = WatchedPlatform()
    call = platform.start_call()
    platform.advance(MAX_WAIT_SECONDS)
    if fails:
        call.errback(TimeoutError())
    results = platform.wait(Deferred())
    platform.start_call()
    platform.advance(MIN_WAIT_SECONDS + 2 * STEP_SECONDS)
    assert results == [None]
    assert MIN_WAIT_SECONDS < 0.25


# Guards against a request that is refused although the platform responds again.
def test_a_response_to_another_call_ends_the_silence() -> None:
    platform, result = WatchedPlatform(), Deferred[str]()
    platform.start_call()
    platform.advance(MAX_WAIT_SECONDS)
    results = platform.wait(result)
    platform.start_call().callback(None)
    platform.advance(SLOW_SECONDS)
    assert results == []
    result.callback("tokens")
    assert results == ["tokens"]


def test_an_error_that_is_reported_soon_is_no_silence() -> None:
    platform = WatchedPlatform()
    call = platform.start_call()
    platform.advance(SLOW_SECONDS)
    call.errback(ConnectionError())
    platform.advance(MAX_WAIT_SECONDS)
    assert platform.meter.measure() == 0.0


# Guards against an instance that never takes a platform to hang whose calls end early.
def test_a_call_that_fails_at_a_short_timeout_is_silence() -> None:
    clock: Any = MemoryReactorClock()
    meter = SilenceMeter(clock, SLOW_SECONDS)
    with pytest.raises(TimeoutError), meter.watch():
        clock.advance(SLOW_SECONDS)
        raise TimeoutError
    clock.advance(SLOW_SECONDS)
    assert meter.measure() == 2 * SLOW_SECONDS


def test_no_timer_remains_after_a_result() -> None:
    platform, result = WatchedPlatform(), Deferred[str]()
    platform.wait(result)
    result.callback("tokens")
    assert not platform.clock.getDelayedCalls()

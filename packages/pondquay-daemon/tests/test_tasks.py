"""Waits that end after a time, on an event loop that may stall."""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeout
from twisted.internet.error import ConnectingCancelledError

from pondquay_daemon.readtimers import MAX_TURNS, ReadCounter
from pondquay_daemon.tasks import finish_within, wait_at_most

from .relay.stalledclock import StalledClock as SteppedClock
from .stalledclock import StalledClock

SECONDS = 2.0
REPLY_SECONDS = 0.5


def start_finish(
    clock: StalledClock, awaited: Deferred[Any], reads: ReadCounter | None = None
) -> Deferred[Any]:
    async def wait() -> Any:
        return await awaited

    return Deferred.fromCoroutine(finish_within(SECONDS, clock, wait(), reads))


def start_wait(clock: StalledClock, awaited: Deferred[Any]) -> Deferred[Any]:
    return Deferred.fromCoroutine(wait_at_most(awaited, SECONDS, clock, "default"))


def read_result(done: Deferred[Any]) -> Any:
    results: list[Any] = []
    done.addBoth(results.append)
    (result,) = results
    return result


# Guards against a response that is given up although it arrived in time, as the process
# did not run when the wait ended.
@pytest.mark.parametrize("start", [start_finish, start_wait])
@pytest.mark.parametrize("stall", [1.0, 5.0, 15.0])
def test_a_result_that_arrives_during_a_stall_is_read(start: Any, stall: float) -> None:
    clock = StalledClock()
    awaited: Deferred[Any] = Deferred()
    done = start(clock, awaited)
    clock.stall(SECONDS - 0.5)
    clock.turn()
    clock.stall(stall)
    clock.turn(lambda: awaited.callback("response"))
    clock.turn()
    assert read_result(done) == "response"
    assert clock.calls == []


# Guards against a long response that is given up after the first part of what arrived
# during a stall.
def test_a_result_that_takes_several_reads_is_read() -> None:
    clock = StalledClock()
    awaited: Deferred[Any] = Deferred()
    reads = ReadCounter()
    done = start_finish(clock, awaited, reads)
    clock.stall(SECONDS + 1.0)
    for _ in range(10):
        clock.turn(reads.note)
    clock.turn(lambda: awaited.callback("response"))
    assert read_result(done) == "response"


def test_a_wait_ends_in_spite_of_endless_reads() -> None:
    clock = StalledClock()
    reads = ReadCounter()
    done = start_finish(clock, Deferred(), reads)
    clock.stall(SECONDS)
    for _ in range(MAX_TURNS + 1):
        clock.turn(reads.note)
    assert read_result(done).check(DeferredTimeout)


def test_without_a_result_waits_end_in_time() -> None:
    clock = StalledClock()
    awaited: Deferred[Any] = Deferred()
    waited, finished = start_wait(clock, awaited), start_finish(clock, Deferred())
    clock.advance(SECONDS - 0.5)
    assert not waited.called
    assert not finished.called
    clock.advance(0.5)
    assert read_result(waited) == "default"
    assert read_result(finished).check(DeferredTimeout)
    awaited.callback("late")


def test_what_the_coroutine_makes_of_the_cancellation_is_the_result() -> None:
    clock = StalledClock()

    async def wait() -> str:
        try:
            await Deferred()
        except CancelledError as error:
            raise ConnectingCancelledError(None) from error
        return "response"

    done = Deferred.fromCoroutine(finish_within(SECONDS, clock, wait()))
    clock.advance(SECONDS)
    assert read_result(done).check(ConnectingCancelledError)


def wait(clock: SteppedClock, response: Deferred[str]) -> list[str]:
    """Wait for a response; return a list that receives the result."""
    results: list[str] = []
    reactor: Any = clock
    waiting = wait_at_most(response, REPLY_SECONDS, reactor, "late")
    Deferred.fromCoroutine(waiting).addCallback(results.append)
    return results


# Guards against a request that is refused since the response of a peer was not read, as
# the wait ended while the process stalled.
def test_a_response_that_waits_when_a_stall_ends_is_the_result() -> None:
    clock = SteppedClock()
    response: Deferred[str] = Deferred()
    results = wait(clock, response)
    clock.stall(2 * REPLY_SECONDS, lambda: response.callback("in time"))
    assert results == ["in time"]


def test_a_wait_without_a_response_ends_after_its_time() -> None:
    clock = SteppedClock()
    results = wait(clock, Deferred())
    clock.stall(2 * REPLY_SECONDS, lambda: None)
    assert results == ["late"]
    assert not clock.getDelayedCalls()

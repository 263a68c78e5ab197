"""Waits of tasks that end after a time."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred

from pondquay_daemon.tasks import wait_at_most

from .relay.stalledclock import StalledClock

SECONDS = 0.5


def wait(clock: StalledClock, response: Deferred[str]) -> list[str]:
    """Wait for a response; return a list that receives the result."""
    results: list[str] = []
    reactor: Any = clock
    waiting = wait_at_most(response, SECONDS, reactor, "late")
    Deferred.fromCoroutine(waiting).addCallback(results.append)
    return results


# Guards against a request that is refused since the response of a peer was not read, as
# the wait ended while the process stalled.
def test_a_response_that_waits_when_a_stall_ends_is_the_result() -> None:
    clock = StalledClock()
    response: Deferred[str] = Deferred()
    results = wait(clock, response)
    clock.stall(2 * SECONDS, lambda: response.callback("in time"))
    assert results == ["in time"]


def test_a_wait_without_a_response_ends_after_its_time() -> None:
    clock = StalledClock()
    results = wait(clock, Deferred())
    clock.stall(2 * SECONDS, lambda: None)
    assert results == ["late"]
    assert not clock.getDelayedCalls()

"""Requests wait in a fair order, while upstreams have no room for them."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from pondquay.routing.fairness import Claim, Rank
from pondquay.routing.tokenrates import TokenRates
from pondquay_daemon.relay.fairqueues import FairQueues, Room, ServiceQueue
from pondquay_daemon.relay.metrics import RelayMetrics

from .memorystore import SERVICE
from .responding import HELD_PATH, HOSTS, RespondingUpstreams

if TYPE_CHECKING:
    from .conftest import RelaySide

URGENT, NORMAL = Rank(0, 0), Rank(0, 1)


class Switch(Room):
    """Room that a test opens and closes."""

    is_open = True

    def has_room(self, service: str) -> bool:
        return self.is_open


class Waiters:
    """Requests that enter the queue of one service."""

    def __init__(self) -> None:
        self.clock: Any = Clock()
        self.switch = Switch()
        self.queue = ServiceQueue(self.clock, "s", TokenRates(), [self.switch])
        self.results: dict[str, bool] = {}

    def enter(self, name: str, rank: Rank = NORMAL, until: float = 9.0) -> Claim:
        claim = Claim(rank, name, 1, until)

        def note(result: bool) -> None:  # noqa: FBT001
            self.results[name] = result

        Deferred.fromCoroutine(self.queue.enter(claim)).addCallback(note)
        return claim


@pytest.fixture
def waiters() -> Waiters:
    return Waiters()


def test_nothing_waits_while_there_is_room(waiters: Waiters) -> None:
    for number in range(100):
        waiters.enter(str(number))
    assert all(waiters.results.values())
    assert not waiters.clock.getDelayedCalls()


def test_urgent_requests_get_room_first(waiters: Waiters) -> None:
    waiters.switch.is_open = False
    waiters.enter("normal")
    waiters.enter("urgent", URGENT)
    assert waiters.results == {}
    waiters.switch.is_open = True
    waiters.clock.advance(0.1)
    assert list(waiters.results) == ["urgent", "normal"]


def test_a_request_does_not_pass_those_that_wait(waiters: Waiters) -> None:
    waiters.switch.is_open = False
    waiters.enter("first")
    waiters.switch.is_open = True
    waiters.enter("second")
    assert waiters.results == {}
    waiters.clock.advance(0.1)
    assert list(waiters.results) == ["first", "second"]


def test_a_wait_ends_in_time_for_its_refusal(waiters: Waiters) -> None:
    waiters.switch.is_open = False
    waiters.enter("late", until=0.5)
    waiters.clock.advance(0.4)
    assert waiters.results == {}
    waiters.clock.pump([0.02] * 10)
    assert waiters.results == {"late": False}
    assert waiters.queue.waiting == 0


def test_a_caller_that_leaves_waits_no_longer(waiters: Waiters) -> None:
    waiters.switch.is_open = False
    claim = waiters.enter("left")
    waiters.queue.cancel(claim)
    assert waiters.results == {"left": False}
    assert waiters.queue.waiting == 0
    waiters.queue.cancel(claim)


def test_the_queues_of_services_are_independent() -> None:
    queues = FairQueues(Clock(), RelayMetrics(Counter()))
    short = queues.find("short")
    for _ in range(3):
        short.room.start(0.0)
        short.note_rejected()
    assert queues.count_short() == 1
    assert queues.find("other").room.limit is None
    assert queues.find("short") is short


@pytest.fixture
def full(relay: RelaySide) -> RespondingUpstreams:
    """Return upstreams that hold one request, and reject others until they wait."""
    upstreams = RespondingUpstreams.start(relay)
    upstreams.run_for(3.0)
    relay.connect_caller(HELD_PATH)
    upstreams.run_for(0.1)
    upstreams.rejecting.update(HOSTS)
    components: Any = relay.relay._components
    queue = components.queues.find(SERVICE)
    while queue.room.limit is None or queue.room.limit >= 2:
        relay.connect_caller("/read/x")
        upstreams.run_for(0.04)
    upstreams.rejecting.clear()
    upstreams.run_for(0.3)
    assert queue.waiting == 0
    return upstreams


def test_requests_wait_while_upstreams_are_full(
    full: RespondingUpstreams, relay: RelaySide
) -> None:
    """Load: more requests than the places of a small service."""
    before = len(full.arrivals)
    relay.connect_caller("/read/x")
    full.run_for(0.2)
    assert len(full.arrivals) == before
    full.answer_held()
    full.run_for(0.2)
    assert len(full.arrivals) == before + 1
    assert relay.responses()[-1].startswith(b"HTTP/1.1 200 ")


def test_a_caller_that_leaves_while_it_waits_is_not_sent(
    full: RespondingUpstreams, relay: RelaySide
) -> None:
    before = len(full.arrivals)
    caller = relay.connect_caller("/read/x")
    full.run_for(0.1)
    caller.connectionLost(Failure(ConnectionDone()))
    full.answer_held()
    full.run_for(0.5)
    assert len(full.arrivals) == before


def test_a_request_that_gets_no_room_is_refused_before_its_deadline(
    full: RespondingUpstreams, relay: RelaySide
) -> None:
    relay.connect_caller("/read/x")
    began = full.now
    components: Any = relay.relay._components
    queue = components.queues.find(SERVICE)
    queue.room.start(full.now)
    while not relay.responses()[-1]:
        queue.note_rejected()
        full.run_for(0.02)
    assert b" 503 " in relay.responses()[-1]
    assert full.now - began < 2.0, "the timeout of the route"
    assert relay.refusals[-1] is not None

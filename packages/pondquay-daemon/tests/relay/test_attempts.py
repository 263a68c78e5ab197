from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any
from unittest.mock import Mock

import pytest
from twisted.internet.task import Clock

from pondquay.addresses import Address
from pondquay.streamevents import EventReader
from pondquay_daemon.relay.attempts import Attempt
from pondquay_daemon.relay.errors import BrokenExchangeError
from pondquay_daemon.relay.messages import (
    NO_SIGNALS,
    ResponseHead,
    ResponseMetadata,
    UpstreamSignals,
)
from pondquay_daemon.relay.outcomes import Lost, NotRun
from pondquay_daemon.relay.streamprogress import StreamProgress
from pondquay_daemon.relay.upstreamlisteners import UpstreamListener

if TYPE_CHECKING:
    from pondquay_daemon.relay.messages import HeaderList
    from pondquay_daemon.relay.outcomes import Outcome


VALID = ResponseMetadata("a1", signed=True, not_run=False, misdirected=False)
LEAVING = UpstreamSignals(leaving=True)


@dataclass
class Border:
    """Returns the same metadata for all responses, by default that of a valid one."""

    metadata: ResponseMetadata = VALID

    def read_response(self, head: ResponseHead) -> ResponseMetadata:
        return self.metadata


class Response:
    """Ignores what is forwarded."""

    paused = False

    def begin(self, status: int, headers: HeaderList, body: bytes) -> None:
        pass

    def send(self, body: bytes) -> None:
        pass


@dataclass
class Upstream(UpstreamListener):
    """Records the events of an upstream."""

    pauses: list[float] = field(default_factory=list)
    signals: list[UpstreamSignals] = field(default_factory=list)
    has_responded: bool = False

    def on_data(self) -> None:
        pass

    def on_response(self) -> None:
        self.has_responded = True

    def on_pause(self, seconds: float) -> None:
        self.pauses.append(seconds)

    def on_signals(self, signals: UpstreamSignals, *, tunnelled: bool) -> None:
        self.signals.append(signals)


class Stream:
    """A stream over several attempts."""

    def __init__(self) -> None:
        self.clock: Any = Clock()
        self.progress = StreamProgress(EventReader())
        self.number = 0

    def attempt(self, pauses: list[float]) -> Attempt:
        border: Any = Border()
        response: Any = Response()
        attempt = Attempt(
            self.clock,
            border,
            "a1",
            response,
            self.progress,
            Upstream(pauses),
        )
        attempt.on_head(ResponseHead(200, b"OK", []))
        return attempt

    def send_event(self, attempt: Attempt, delay: float) -> None:
        self.clock.advance(delay)
        self.number += 1
        attempt.on_body(b"id: %d\ndata: x\n\n" % self.number)


def test_pauses_are_reported_from_the_second_event() -> None:
    stream = Stream()
    pauses: list[float] = []
    attempt = stream.attempt(pauses)
    for delay in (0.5, 0.25, 0.125):
        stream.send_event(attempt, delay)
    assert pauses == [0.25, 0.125]
    assert stream.progress.longest_pause == 0.25


def test_a_pause_that_began_at_another_upstream_is_not_reported() -> None:
    stream = Stream()
    first: list[float] = []
    second: list[float] = []
    stream.send_event(stream.attempt(first), 0.5)
    attempt = stream.attempt(second)
    stream.send_event(attempt, 2.0)
    stream.send_event(attempt, 0.25)
    assert (first, second) == ([], [0.25])
    assert stream.progress.longest_pause == 2.0


def test_a_partial_event_does_not_end_a_pause() -> None:
    stream = Stream()
    pauses: list[float] = []
    attempt = stream.attempt(pauses)
    stream.send_event(attempt, 0.5)
    stream.clock.advance(0.25)
    attempt.on_body(b"id: 2\n")
    stream.clock.advance(0.25)
    attempt.on_body(b"data: x\n\n")
    assert pauses == [0.5]


def test_a_caller_that_does_not_read_makes_no_pause_of_its_upstream() -> None:
    stream = Stream()
    pauses: list[float] = []
    attempt = stream.attempt(pauses)
    stream.send_event(attempt, 0.5)
    attempt.on_paused()
    stream.clock.advance(3.0)
    attempt.on_resumed()
    stream.send_event(attempt, 0.0)
    stream.send_event(attempt, 0.25)
    assert pauses == [0.25]
    assert stream.progress.longest_pause == 0.25


@pytest.mark.parametrize(
    ("metadata", "expected"),
    [
        (replace(VALID, signals=LEAVING), [LEAVING]),
        (replace(VALID, not_run=True, signals=LEAVING), [LEAVING]),
        (replace(VALID, attempt="", not_run=True, signals=LEAVING), []),
        (replace(VALID, attempt="another", not_run=True, signals=LEAVING), []),
        (replace(VALID, attempt="another", signals=LEAVING), []),
        (replace(VALID, attempt="", misdirected=True, signals=LEAVING), []),
        (replace(VALID, misdirected=True, signals=LEAVING), []),
        # A response without a limit shows that there is none.
        (VALID, [NO_SIGNALS]),
    ],
)
def test_signals_are_reported_only_from_the_requested_upstream(
    metadata: ResponseMetadata, expected: list[UpstreamSignals]
) -> None:
    upstream = Upstream()
    border: Any = Border(metadata)
    response: Any = Response()
    attempt = Attempt(Clock(), border, "a1", response, None, upstream)
    attempt.on_head(ResponseHead(200, b"OK", []))
    assert upstream.signals == expected


@pytest.mark.parametrize(
    ("metadata", "has_responded"),
    [
        (VALID, True),
        (replace(VALID, not_run=True), False),
        (replace(VALID, misdirected=True), False),
        (replace(VALID, attempt="another"), False),
        (replace(VALID, signed=False), False),
    ],
)
def test_only_a_valid_response_counts_as_prefilled(
    metadata: ResponseMetadata, has_responded: bool
) -> None:
    upstream = Upstream()
    border: Any = Border(metadata)
    response: Any = Response()
    attempt = Attempt(Clock(), border, "a1", response, None, upstream)
    attempt.on_head(ResponseHead(200, b"OK", []))
    assert upstream.has_responded is has_responded


PROMISES = [
    replace(VALID, not_run=True),
    replace(VALID, misdirected=True),
    replace(VALID, not_run=True, misdirected=True),
]


def receive_promise(
    promise: ResponseMetadata, *, streaming: bool, breaks: bool
) -> list[Outcome]:
    """Return the outcomes of an attempt whose upstream promises that nothing ran.

    :param breaks: whether the connection breaks after the head of the response
    """
    border: Any = Border(promise)
    response: Any = Response()
    pool: Any = Mock()
    progress = StreamProgress(EventReader()) if streaming else None
    attempt = Attempt(Clock(), border, "a1", response, progress, Upstream())
    outcomes: list[Outcome] = []
    address = Address("10.0.0.1", 80)
    attempt.run(pool, address, (b"GET", b"/", [], b"")).addCallback(outcomes.append)
    attempt.on_head(ResponseHead(503, b"No", []))
    if breaks:
        attempt.on_error(BrokenExchangeError("connection lost", sent=True))
    else:
        attempt.on_end()
    return outcomes


# Guards against taking a late copy of another request's refusal as the proof that this
# request did not run, after which it would run twice.
@pytest.mark.parametrize("breaks", [False, True])
@pytest.mark.parametrize("streaming", [False, True])
@pytest.mark.parametrize("name", ["", "another"])
@pytest.mark.parametrize("promise", PROMISES)
def test_a_refusal_of_another_request_does_not_prove_that_this_one_did_not_run(
    promise: ResponseMetadata, name: str, streaming: bool, breaks: bool
) -> None:
    foreign = replace(promise, attempt=name)
    (outcome,) = receive_promise(foreign, streaming=streaming, breaks=breaks)
    assert isinstance(outcome, Lost)


@pytest.mark.parametrize("breaks", [False, True])
@pytest.mark.parametrize("streaming", [False, True])
@pytest.mark.parametrize("promise", PROMISES)
def test_a_refusal_of_this_request_proves_that_it_did_not_run(
    promise: ResponseMetadata, streaming: bool, breaks: bool
) -> None:
    (outcome,) = receive_promise(promise, streaming=streaming, breaks=breaks)
    assert outcome == NotRun(503, promise.misdirected)

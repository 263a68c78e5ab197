"""Responses of engines, on real sockets."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest
from twisted.internet.testing import StringTransport

from pondquay_daemon.engines import (
    DATA_PREFIX,
    MAX_LINE_BYTES,
    MAX_STALL_TURNS,
    STALL_TIMEOUT_SECONDS,
    Completion,
    Engines,
    FrameReceiver,
    StreamState,
    StreamStatus,
)
from pondquay_daemon.errors import MayHaveRunError, RefusedError
from pondquay_daemon.readtimers import TURN_BYTES

from .singleresponses import run_call
from .stalledclock import StalledClock, stall_reactor

if TYPE_CHECKING:
    from collections.abc import Callable

COMPLETION = Completion("m", "v1", (), 10, "normal", "")
REFUSAL = b"HTTP/1.1 %d No\r\n%bContent-Length: 2\r\n\r\n{}"
STALL_SECONDS = 15.0
NO_STATUS = StreamStatus(StreamState.UNREACHABLE)
CUT_REFUSAL = b"HTTP/1.1 %d No\r\n%bContent-Length: 9\r\n\r\n{}"
OWN_NAME = b"Pondquay-Stream: s1\r\n"
REDIRECTION = (
    b"HTTP/1.1 303 See Other\r\n%bLocation: %b/other\r\nContent-Length: 0\r\n\r\n"
)


def keep_open(transport: Any) -> None:
    return


def close(transport: Any) -> None:
    transport.loseConnection()


def reset(transport: Any) -> None:
    transport.abortConnection()


def stall(transport: Any) -> None:
    """Let all waits for responses expire before the client reads."""
    stall_reactor(transport.reactor, STALL_SECONDS)


class Stream:
    """A stream of an engine in memory, whose connection is read once a turn."""

    def __init__(self) -> None:
        self.clock = StalledClock()
        self.transport = StringTransport()
        self.offsets: list[int] = []
        self._receiver = FrameReceiver(
            "s1", 0, lambda frame: self.offsets.append(frame.offset), self.clock
        )
        self._receiver.makeConnection(self.transport)
        self.ended: list[bool] = []
        self._receiver.ended.addCallback(self.ended.append)

    def receive(self, data: bytes) -> None:
        """Deliver data unless the connection has been aborted."""
        if not self.transport.disconnected:
            self._receiver.dataReceived(data)


def make_event(offset: int, finish: str = "", text: str = "") -> bytes:
    choice = {"delta": {"content": text}, "finish_reason": finish}
    event = {"id": "s1", "offset": offset, "choices": [choice]}
    return DATA_PREFIX + json.dumps(event).encode() + b"\n\n"


# Guards against a stream that is given up although its frames arrived in time, as the
# process did not run for a while.
@pytest.mark.parametrize("seconds", [1.0, 5.0, 15.0])
def test_frames_that_arrive_during_a_stall_are_read(seconds: float) -> None:
    stream = Stream()
    stream.receive(make_event(0))
    stream.clock.stall(STALL_TIMEOUT_SECONDS - 0.5)
    stream.clock.turn()
    stream.clock.stall(seconds)
    stream.clock.turn(lambda: stream.receive(make_event(1)))
    stream.clock.turn(lambda: stream.receive(make_event(2, "stop")))
    assert stream.offsets == [0, 1, 2]
    assert stream.ended == [True]
    assert not stream.transport.disconnected


# Guards against a long frame that is given up after its first part, as the process did
# not run while it arrived.
def test_a_frame_that_takes_several_reads_is_read_after_a_stall() -> None:
    stream = Stream()
    event = make_event(0, "stop", "x" * (MAX_LINE_BYTES - 1000))
    stream.clock.stall(STALL_TIMEOUT_SECONDS + 1.0)
    for start in range(0, len(event), TURN_BYTES):
        part = event[start : start + TURN_BYTES]
        stream.clock.turn(lambda part=part: stream.receive(part))
    assert stream.ended == [True]


@pytest.mark.parametrize("sent", [b"", b": comment\n", make_event(0)])
def test_a_stream_without_a_new_frame_is_given_up(sent: bytes) -> None:
    stream = Stream()
    stream.receive(sent)
    stream.clock.advance(STALL_TIMEOUT_SECONDS - 0.5)
    stream.receive(sent)
    stream.clock.advance(0.5)
    assert stream.transport.disconnected
    assert stream.ended == [False]


def test_a_stream_of_comments_is_given_up_after_a_stall() -> None:
    stream = Stream()
    stream.clock.stall(STALL_TIMEOUT_SECONDS)
    for _ in range(MAX_STALL_TURNS + 1):
        stream.clock.turn(lambda: stream.receive(b": comment\n"))
    assert stream.ended == [False]


# Guards against a stream that is started elsewhere although its response arrived in
# time, as the process did not run when the wait for it ended.
def test_a_refusal_that_arrives_before_a_stall_is_read() -> None:
    refusal = REFUSAL % (429, OWN_NAME)
    assert start_stream(refusal, stall).check(RefusedError)


def test_a_stream_that_is_not_answered_may_have_run() -> None:
    assert start_stream(b"", stall).check(MayHaveRunError)


def start_stream(response: bytes, end: Callable[[Any], None] = keep_open) -> Any:
    """Return what the start of a stream gives at an engine with this response."""
    return run_call(
        response,
        end,
        lambda reactor, url: Engines(reactor).start(
            url, "s1", COMPLETION, lambda frame: None
        ),
    )


@pytest.mark.parametrize("status", [404, 409, 429, 503])
def test_a_refusal_that_names_the_stream_proves_that_it_did_not_start(
    status: int,
) -> None:
    assert start_stream(REFUSAL % (status, OWN_NAME)).check(RefusedError)


# Guards against a late copy of another stream's refusal, after which this one would be
# started again elsewhere.
@pytest.mark.parametrize("name", [b"", b"Pondquay-Stream: s0\r\n"])
@pytest.mark.parametrize("status", [404, 409, 429, 503])
def test_a_refusal_of_another_stream_proves_nothing(status: int, name: bytes) -> None:
    assert start_stream(REFUSAL % (status, name)).check(MayHaveRunError)


CANCELLED = b'{"state": "cancelled", "started": false}'
STATUS = b"HTTP/1.1 200 OK\r\n%bContent-Length: 40\r\n\r\n" + CANCELLED


def cancel_stream(response: bytes, end: Callable[[Any], None] = keep_open) -> Any:
    """Return the status of a stream by the response to its cancellation."""
    return run_call(
        response,
        end,
        lambda reactor, url: Engines(reactor).cancel(url, "s1"),
    )


def test_a_cancellation_is_known_by_the_name_of_the_stream() -> None:
    status = cancel_stream(STATUS % OWN_NAME)
    assert (status.state, status.started) == (StreamState.CANCELLED, False)


# Guards against a cancellation whose outcome counts as unknown although it arrived in
# time, as the process did not run when the wait for it ended.
def test_a_cancellation_that_is_confirmed_before_a_stall_is_known() -> None:
    status = cancel_stream(STATUS % OWN_NAME, stall)
    assert (status.state, status.started) == (StreamState.CANCELLED, False)


# Guards against a late copy of the response to another cancellation, after which the
# stream would run twice.
@pytest.mark.parametrize("name", [b"", b"Pondquay-Stream: s0\r\n"])
def test_a_cancellation_of_another_stream_proves_nothing(name: bytes) -> None:
    assert cancel_stream(STATUS % name).state is StreamState.UNREACHABLE


# Guards against a redirection that is followed after the stream was sent: where it
# leads to a closed port, the stream seems not to have been sent.
def test_a_redirected_stream_may_have_run(closed_url: str) -> None:
    response = REDIRECTION % (OWN_NAME, closed_url.encode())
    assert start_stream(response).check(MayHaveRunError)


# Guards against a refusal that counts for nothing if its body is cut off or missing.
@pytest.mark.parametrize("end", [keep_open, close, reset])
@pytest.mark.parametrize("status", [404, 503])
def test_the_head_of_a_refusal_proves_that_the_stream_did_not_start(
    status: int, end: Callable[[Any], None]
) -> None:
    assert start_stream(CUT_REFUSAL % (status, OWN_NAME), end).check(RefusedError)


# Guards against an error that is not expected of a call.
@pytest.mark.parametrize("end", [close, reset])
@pytest.mark.parametrize("status", [302, 500])
def test_a_failure_that_is_cut_off_may_have_run(
    status: int, end: Callable[[Any], None]
) -> None:
    assert start_stream(CUT_REFUSAL % (status, OWN_NAME), end).check(MayHaveRunError)


@pytest.mark.parametrize("end", [keep_open, close, reset])
def test_a_refusal_of_another_stream_that_is_cut_off_proves_nothing(
    end: Callable[[Any], None],
) -> None:
    assert start_stream(CUT_REFUSAL % (503, b""), end).check(MayHaveRunError)


ANSWER = b"HTTP/1.1 %d X\r\nPondquay-Stream: s1\r\n\r\n%b"


# Guards against an error that is not expected of a call.
@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"[]",
        b"null",
        b"1",
        b'"cancelled"',
        b"[" * 50_000,
        b'{"state": ["cancelled"]}',
        b'{"state": "finished", "tokens": null}',
        b'{"state": "finished", "tokens": "many"}',
        b'{"state": "finished", "tokens": []}',
        b"\xff\xfe",
    ],
)
def test_a_status_that_is_none_is_no_status(content: bytes) -> None:
    assert cancel_stream(ANSWER % (200, content), close) == NO_STATUS


# Guards against a failure whose content is taken for the status of a stream.
@pytest.mark.parametrize("status", [404, 409, 500, 503])
def test_a_failed_cancellation_proves_nothing(status: int) -> None:
    assert cancel_stream(ANSWER % (status, CANCELLED), close) == NO_STATUS


# Guards against a stream that counts as not started without its engine's word.
@pytest.mark.parametrize("started", [b"null", b"0", b'""', b"[]", b'"false"', b"true"])
def test_only_false_says_that_a_stream_did_not_start(started: bytes) -> None:
    content = b'{"state": "cancelled", "started": %b}' % started
    assert cancel_stream(ANSWER % (200, content), close).started


def test_a_stream_whose_start_is_not_told_has_started() -> None:
    assert cancel_stream(ANSWER % (200, b'{"state": "cancelled"}'), close).started


# Guards against a restarted engine that denies what its predecessor ran.
def test_without_a_known_incarnation_a_cancelled_stream_may_have_started() -> None:
    status = StreamStatus(StreamState.CANCELLED, started=False, boot="b2")
    assert status.for_boot("").started
    assert not status.for_boot("b2").started
    assert status.for_boot("b1").state is StreamState.UNREACHABLE


# Guards against a second start of a stream that runs, since a part of a refusal is read
# as the beginning of its response.
@pytest.mark.parametrize("part", [b"HTTP/1.1 503 ", b"HTTP/1.1 409 No\r\nServer: x"])
def test_a_part_of_a_refusal_before_a_response_proves_nothing(part: bytes) -> None:
    response = b"HTTP/1.1 200 OK\r\n" + OWN_NAME + b"Content-Length: 0\r\n\r\n"
    assert start_stream(part + response).check(MayHaveRunError)


# Guards against the same where the refusal is cut off in a header on its connection,
# which the client keeps apart from the others.
@pytest.mark.parametrize("name", [b"Connection", b"Keep-Alive", b"Upgrade", b"TE"])
def test_a_refusal_cut_off_in_a_header_on_its_connection_proves_nothing(
    name: bytes,
) -> None:
    part = b"HTTP/1.1 503 No\r\n" + name + b": "
    response = b"HTTP/1.1 200 OK\r\n" + OWN_NAME + b"Content-Length: 0\r\n\r\n"
    assert start_stream(part + response).check(MayHaveRunError)

"""Upstreams and a platform that send bytes without end, on real sockets."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import pytest

from pondquay.tables import OutcomeUnknown, Read, Transaction, Unreachable
from pondquay_daemon import engines, services
from pondquay_daemon.engines import Completion, Engines, StreamState
from pondquay_daemon.errors import MayHaveRunError, RefusedError
from pondquay_daemon.platform import Platform
from pondquay_daemon.services import ServiceCall, Services

from .endlessresponses import EndlessCall, run_endless_call

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

COMPLETION = Completion("m", "v1", (), 10, "normal", "b1")
PLATFORM_SECONDS = 5.0


def start_stream(reactor: Any, url: str) -> Any:
    return Engines(reactor).start(url, "s1", COMPLETION, lambda frame: None)


def resume_stream(reactor: Any, url: str) -> Any:
    return Engines(reactor).resume(url, "s1", 0, lambda frame: None)


def cancel_stream(reactor: Any, url: str) -> Any:
    return Engines(reactor).cancel(url, "s1")


def query_stream(reactor: Any, url: str) -> Any:
    return Engines(reactor).query_status(url, "s1")


def read_load(reactor: Any, url: str) -> Any:
    return Engines(reactor).read_load(url)


def get_page(reactor: Any, url: str) -> Any:
    call = ServiceCall("GET", "page", b"", {})
    return Services(reactor).call(url, "r1-1", call)


def post_page(reactor: Any, url: str) -> Any:
    call = ServiceCall("POST", "page", b"{}", {})
    return Services(reactor).call(url, "r1-1", call)


def _connect(reactor: Any, url: str) -> Platform:
    return Platform(reactor, url, "hall-a", PLATFORM_SECONDS)


def _make(call: Read | Transaction) -> Generator[Any, Any, Any]:
    return (yield call)


def read_table(reactor: Any, url: str) -> Any:
    return _connect(reactor, url).run(_make(Read(("k",), ())))


def write_table(reactor: Any, url: str) -> Any:
    return _connect(reactor, url).run(_make(Transaction("t", (), ())))


def list_instances(reactor: Any, url: str) -> Any:
    return _connect(reactor, url).list_instances()


def load_object(reactor: Any, url: str) -> Any:
    return _connect(reactor, url).load_object("k")


def store_object(reactor: Any, url: str) -> Any:
    return _connect(reactor, url).store_object("k", b"content")


def may_have_run(result: Any) -> bool:
    return bool(result.check(MayHaveRunError))


def is_unreachable_stream(result: Any) -> bool:
    return bool(result.state is StreamState.UNREACHABLE)


def is_none(result: Any) -> bool:
    return result is None


# Each call, and what it gives without a valid response.
CALLS = {
    start_stream: may_have_run,
    resume_stream: may_have_run,
    cancel_stream: is_unreachable_stream,
    query_stream: is_unreachable_stream,
    read_load: is_none,
    get_page: may_have_run,
    post_page: may_have_run,
    read_table: lambda result: isinstance(result, Unreachable),
    write_table: lambda result: isinstance(result, OutcomeUnknown),
    list_instances: is_none,
    load_object: is_none,
    store_object: lambda result: result is False,
}
every_call = pytest.mark.parametrize(
    "call", CALLS, ids=[call.__name__ for call in CALLS]
)


def check_failed(made: EndlessCall, call: Callable[..., Any]) -> None:
    """Check that a call has failed as it must and has closed its connection."""
    assert made.result is not None or CALLS[call] is is_none
    assert CALLS[call](made.result)
    assert made.is_bounded


HEADS = {
    "line": (b"HTTP/1.1 200 OK\r\nX: ", b"x"),
    "lines": (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n"),
    "continued line": (b"HTTP/1.1 200 OK\r\nX: y\r\n", b" y\r\n"),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
}


# Guards against a head without end that is kept in memory until the call's time-out.
@every_call
@pytest.mark.parametrize(("head", "part"), HEADS.values(), ids=HEADS)
def test_a_head_without_end_closes_its_connection(
    head: bytes, part: bytes, call: Callable[..., Any]
) -> None:
    check_failed(run_endless_call(head, part, call), call)


CHUNK = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
BODIES = {
    "with a length": (b"HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n", b"x"),
    "without a length": (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
    "in chunks": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", CHUNK),
}
every_body = pytest.mark.parametrize(("head", "part"), BODIES.values(), ids=BODIES)
SERVICE_CALLS = pytest.mark.parametrize("call", [get_page, post_page])
DRIP_SECONDS = 0.01
# Many drips.
TIMEOUT_SECONDS = 0.3


# Guards against a response without end that is kept in memory until its time-out and
# beyond.
@SERVICE_CALLS
@every_body
def test_a_body_without_end_closes_its_connection(
    head: bytes, part: bytes, call: Callable[..., Any]
) -> None:
    check_failed(run_endless_call(head, part, call), call)


# Guards against a call that takes its time-out twice, and a connection that stays open
# after it.
@SERVICE_CALLS
@every_body
def test_a_dripping_body_ends_with_the_timeout_of_its_call(
    monkeypatch: pytest.MonkeyPatch,
    head: bytes,
    part: bytes,
    call: Callable[..., Any],
) -> None:
    monkeypatch.setattr(services, "RESPONSE_TIMEOUT_SECONDS", TIMEOUT_SECONDS)
    check_failed(run_endless_call(head, part, call, DRIP_SECONDS), call)


# Guards against a head whose drips renew the time-out.
@SERVICE_CALLS
def test_a_dripping_head_ends_with_the_timeout_of_its_call(
    monkeypatch: pytest.MonkeyPatch, call: Callable[..., Any]
) -> None:
    monkeypatch.setattr(services, "RESPONSE_TIMEOUT_SECONDS", TIMEOUT_SECONDS)
    made = run_endless_call(b"HTTP/1.1 200 OK\r\n", b"X: y\r\n", call, DRIP_SECONDS)
    check_failed(made, call)


REFUSAL = b"HTTP/1.1 %d No\r\nPondquay-Stream: %b\r\n"
REFUSAL_BODIES = {
    "with a length": (b"Content-Length: 9999999999\r\n\r\n", b"x"),
    "without a length": (b"\r\n", b"x"),
    "in chunks": (b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
}
every_refusal_body = pytest.mark.parametrize(
    ("head", "part"), REFUSAL_BODIES.values(), ids=REFUSAL_BODIES
)
every_pause = pytest.mark.parametrize("pause", [0.0, DRIP_SECONDS])


# Guards against a request that is held until the body of a refusal ends.
@every_refusal_body
@every_pause
@pytest.mark.parametrize("status", [409, 503])
def test_a_refusal_without_end_counts_by_its_head(
    status: int, head: bytes, part: bytes, pause: float
) -> None:
    made = run_endless_call(REFUSAL % (status, b"s1") + head, part, start_stream, pause)
    assert made.result.check(RefusedError)
    assert made.is_bounded


# Guards against a refusal of another stream, or a failure, whose body holds a request.
@every_refusal_body
@every_pause
@pytest.mark.parametrize(("status", "name"), [(503, b"s0"), (500, b"s1")])
def test_a_failure_without_end_proves_nothing(
    status: int, name: bytes, head: bytes, part: bytes, pause: float
) -> None:
    made = run_endless_call(REFUSAL % (status, name) + head, part, start_stream, pause)
    assert made.result.check(MayHaveRunError)
    assert made.is_bounded


STATUS = b"HTTP/1.1 200 OK\r\nPondquay-Stream: s1\r\n"
STATUS_CALLS = pytest.mark.parametrize("call", [cancel_stream, query_stream, read_load])


# Guards against a request, or the recovery of all, that waits for one engine's status,
# and against an engine whose load is never asked again.
@STATUS_CALLS
@every_refusal_body
@every_pause
def test_a_status_without_end_is_no_status(
    monkeypatch: pytest.MonkeyPatch,
    head: bytes,
    part: bytes,
    pause: float,
    call: Callable[..., Any],
) -> None:
    monkeypatch.setattr(engines, "REQUEST_TIMEOUT_SECONDS", TIMEOUT_SECONDS)
    check_failed(run_endless_call(STATUS + head, part, call, pause), call)


EVENT = (
    b'data: {"id": "%b", "offset": %d, "choices": [{"delta": {"content": "a"}%b}]}\n\n'
)
FIRST = EVENT % (b"s1", 0, b"")
LAST = EVENT % (b"s1", 1, b', "finish_reason": "stop"')
STREAM_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
JUNK = {
    "comments": b": wait\n\n",
    "events of another stream": EVENT % (b"s0", 1, b""),
    "repeated events": FIRST,
    "events that are no frames": b"data: {}\n\n",
    "a line": b"x",
}
every_junk = pytest.mark.parametrize("part", JUNK.values(), ids=JUNK)
STREAM_CALLS = pytest.mark.parametrize("call", [start_stream, resume_stream])


# Guards against a stream that stands still but is kept alive by other bytes.
@STREAM_CALLS
@every_junk
@every_pause
def test_only_new_frames_keep_a_stream_alive(
    monkeypatch: pytest.MonkeyPatch, part: bytes, pause: float, call: Callable[..., Any]
) -> None:
    monkeypatch.setattr(engines, "STALL_TIMEOUT_SECONDS", TIMEOUT_SECONDS)
    made = run_endless_call(STREAM_HEAD + FIRST, part, call, pause)
    assert made.result is False
    assert made.is_bounded


# Guards against a complete response that is withheld until its connection ends.
@STREAM_CALLS
@every_junk
@every_pause
def test_a_stream_ends_with_its_last_frame(
    part: bytes, pause: float, call: Callable[..., Any]
) -> None:
    made = run_endless_call(STREAM_HEAD + FIRST + LAST, part, call, pause)
    assert made.result is True
    assert made.seconds < engines.STALL_TIMEOUT_SECONDS
    assert made.is_bounded


# Guards against a head whose drips renew the time-out.
@STREAM_CALLS
def test_a_dripping_head_of_a_stream_ends_with_its_timeout(
    monkeypatch: pytest.MonkeyPatch, call: Callable[..., Any]
) -> None:
    monkeypatch.setattr(engines, "ACCEPT_TIMEOUT_SECONDS", TIMEOUT_SECONDS)
    made = run_endless_call(b"HTTP/1.1 200 OK\r\n", b"X: y\r\n", call, DRIP_SECONDS)
    check_failed(made, call)


PLATFORM_CALLS = pytest.mark.parametrize(
    "call", [read_table, write_table, list_instances, load_object, store_object]
)


# Guards against a response of the platform that is kept in memory without a limit, or
# outlasts the time-out of its call.
@PLATFORM_CALLS
@every_body
@every_pause
def test_a_response_of_the_platform_without_end_is_none(
    monkeypatch: pytest.MonkeyPatch,
    head: bytes,
    part: bytes,
    pause: float,
    call: Callable[..., Any],
) -> None:
    if pause:
        monkeypatch.setattr(sys.modules[__name__], "PLATFORM_SECONDS", TIMEOUT_SECONDS)
    check_failed(run_endless_call(head, part, call, pause), call)

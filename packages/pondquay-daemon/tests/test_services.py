"""Responses of plain services, on real sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

from pondquay_daemon.errors import MayHaveRunError
from pondquay_daemon.services import ServiceCall, ServiceResponse, Services

from .singleresponses import run_call
from .stalledclock import stall_reactor

if TYPE_CHECKING:
    from collections.abc import Callable

WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nthe first part"
WITH_LENGTH = b"HTTP/1.1 200 OK\r\n%bContent-Length: 14\r\n\r\nthe first part"


def close(transport: Any) -> None:
    transport.loseConnection()


def reset(transport: Any) -> None:
    transport.abortConnection()


def call_service(response: bytes, end: Callable[[Any], None]) -> Any:
    """Return what a call to a service gives that ends its connection."""
    call = ServiceCall("GET", "page", b"", {})
    return run_call(
        response, end, lambda reactor, url: Services(reactor).call(url, "r1-1", call)
    )


# Guards against a reset response without a length that is delivered as complete.
def test_a_reset_response_without_a_length_may_have_run() -> None:
    assert call_service(WITHOUT_LENGTH, reset).check(MayHaveRunError)


@pytest.mark.parametrize(
    "response",
    [
        WITHOUT_LENGTH,
        WITH_LENGTH % b"",
        WITH_LENGTH % b"Pondquay-Request: r1-1\r\n",
    ],
)
def test_a_response_is_complete_after_an_orderly_close(response: bytes) -> None:
    result = call_service(response, close)
    assert isinstance(result, ServiceResponse)
    assert (result.status, result.body) == (200, b"the first part")


# Guards against a response that is given up although it arrived in time, as the process
# did not run when the wait for it ended.
@pytest.mark.parametrize("size", [14, 100_000])
def test_a_response_that_arrives_before_a_stall_is_read(
    monkeypatch: pytest.MonkeyPatch, size: int
) -> None:
    monkeypatch.setattr("pondquay_daemon.services.RESPONSE_TIMEOUT_SECONDS", 5.0)
    response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size)
    result = call_service(
        response, lambda transport: stall_reactor(transport.reactor, 6.0)
    )
    assert isinstance(result, ServiceResponse)
    assert len(result.body) == size


# Guards against a late copy of the response to an earlier call.
def test_a_response_to_another_call_may_have_run() -> None:
    response = WITH_LENGTH % b"Pondquay-Request: r1-0\r\n"
    assert call_service(response, close).check(MayHaveRunError)

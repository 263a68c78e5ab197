"""Responses of the platform, on real sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

from pondquay.tables import OutcomeUnknown, Read, Transaction, Unreachable
from pondquay_daemon.platform import Platform

from .singleresponses import run_call

if TYPE_CHECKING:
    from collections.abc import Generator

TIMEOUT_SECONDS = 5.0
REDIRECTION = (
    b"HTTP/1.1 303 See Other\r\nLocation: %b/other\r\nContent-Length: 0\r\n\r\n"
)


def transact() -> Generator[Any, Any, Any]:
    return (yield Transaction("t", (), ()))


def run_transaction(response: bytes) -> Any:
    """Return what a transaction gives with this response."""
    return run_call(
        response,
        lambda transport: None,
        lambda reactor, url: Platform(reactor, url, "hall-a", TIMEOUT_SECONDS).run(
            transact()
        ),
    )


# Guards against a redirection that is followed after the transaction was sent: where it
# leads to a closed port, the transaction seems not to have been sent.
def test_a_redirected_transaction_may_be_committed(closed_url: str) -> None:
    result = run_transaction(REDIRECTION % closed_url.encode())
    assert isinstance(result, OutcomeUnknown)


def read() -> Generator[Any, Any, Any]:
    return (yield Read(("k",), ()))


# Guards against an error that is not expected of a read.
@pytest.mark.parametrize("content", [b"", b"null", b"[]", b"1", b"{}", b"[" * 50_000])
def test_rows_that_are_none_are_no_response(content: bytes) -> None:
    result = run_call(
        b"HTTP/1.1 200 OK\r\n\r\n" + content,
        lambda transport: transport.loseConnection(),
        lambda reactor, url: Platform(reactor, url, "hall-a", TIMEOUT_SECONDS).run(
            read()
        ),
    )
    assert isinstance(result, Unreachable)

from __future__ import annotations

import socket
from collections import Counter
from dataclasses import replace

import pytest

from pondquay_daemon.relay.callercloses import (
    LATE_SECONDS,
    UNKNOWN_BYTES,
    CallerClose,
    CloseReason,
    CloseRecorder,
    count_unread_bytes,
)

from .conftest import CallerSide, CallerTransport

ORDINARY = CallerClose(CloseReason.IDLE, 15.0, 15.0, 0.01, 0)


class SocketTransport(CallerTransport):
    """A transport with a real socket.

    :param handle: the socket
    """

    def __init__(self, handle: socket.socket) -> None:
        super().__init__()
        self._handle = handle

    def getHandle(self) -> socket.socket:
        return self._handle


def test_bytes_that_wait_in_a_socket_are_counted() -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        transport = SocketTransport(ours)
        assert count_unread_bytes(transport) == 0
        theirs.sendall(b"hello")
        assert count_unread_bytes(transport) == len(b"hello")
    assert count_unread_bytes(transport) == UNKNOWN_BYTES
    assert count_unread_bytes(CallerTransport()) == UNKNOWN_BYTES


@pytest.mark.parametrize(
    "fields",
    [{"rested": 12.0}, {"late": LATE_SECONDS}, {"unread": 1}],
    ids=["limit", "stall", "request"],
)
def test_a_close_that_its_caller_could_not_expect_is_told_from_others(
    fields: dict[str, float],
) -> None:
    assert ORDINARY.is_ordinary
    assert not replace(ORDINARY, **fields).is_ordinary


def test_an_idle_close_is_counted_with_its_reason(caller: CallerSide) -> None:
    counts: Counter[str] = Counter()
    caller.server.closes = CloseRecorder(lambda reason: counts.update([reason]))
    caller.clock.advance(caller.handler.bounds.idle_timeout)
    assert counts == {"idle": 1}

"""Connections that rest, and the callers that let them rest."""

from __future__ import annotations

import socket
from threading import Thread
from typing import TYPE_CHECKING

import pytest

from pondquay_standins.processes import HOST, wait_until
from pondquay_standins.soak.connections import CallerConnection
from pondquay_standins.soak.ownstalls import OwnStalls
from pondquay_standins.soak.restingcallers import RestingCaller

if TYPE_CHECKING:
    from collections.abc import Iterator

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
TIMEOUT_SECONDS = 10.0


class Peer:
    """Answers each request of each connection, and counts both."""

    def __init__(self) -> None:
        self.listener = socket.create_server((HOST, 0))
        self.port: int = self.listener.getsockname()[1]
        self.requests: list[int] = []
        self.pieces: list[bytes] = []
        Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                accepted, _ = self.listener.accept()
            except OSError:
                return
            self.requests.append(0)
            number = len(self.requests) - 1
            Thread(target=self._serve, args=(accepted, number), daemon=True).start()

    def _serve(self, accepted: socket.socket, number: int) -> None:
        with accepted:
            while piece := accepted.recv(65536):
                self.pieces.append(piece)
                self.requests[number] += 1
                accepted.sendall(RESPONSE)


@pytest.fixture
def peer() -> Iterator[Peer]:
    started = Peer()
    yield started
    started.listener.close()


def test_a_request_is_sent_in_one_piece(peer: Peer) -> None:
    connection = CallerConnection(HOST, peer.port, TIMEOUT_SECONDS)
    connection.request("POST", "/a", body=b"the body")
    assert connection.send_whole() < TIMEOUT_SECONDS
    assert connection.getresponse().read() == b"ok"
    (piece,) = peer.pieces
    assert piece.startswith(b"POST /a ")
    assert piece.endswith(b"\r\n\r\nthe body")
    connection.close()


def test_the_rest_at_most_begins_with_the_request_before(peer: Peer) -> None:
    connection = CallerConnection(HOST, peer.port, TIMEOUT_SECONDS)
    for _ in range(2):
        connection.request("POST", "/a", body=b"b")
        asked_at = connection.asked_at
        rested = connection.send_whole()
        connection.getresponse().read()
        connection.used_at = connection.asked_at
    assert rested >= connection.asked_at - asked_at > 0.0
    connection.close()
    assert connection.rested == 0.0


def start_caller(peer: Peer, limits: list[float]) -> RestingCaller:
    caller = RestingCaller(
        "c", 1, lambda: [("r1", peer.port)], find_idle_limit=lambda: limits[0]
    )
    caller.start()
    return caller


def test_a_caller_reuses_a_connection_that_has_rested(peer: Peer) -> None:
    caller = start_caller(peer, [0.01])
    wait_until(lambda: sum(peer.requests) >= 3, "three requests")
    caller.stop()
    assert all(call.complete for call in caller.calls)


def test_a_caller_learns_of_a_shorter_limit_at_once(peer: Peer) -> None:
    limits = [1000.0]
    caller = start_caller(peer, limits)
    wait_until(lambda: sum(peer.requests) == 1, "the first request")
    limits[0] = 1e-6
    wait_until(lambda: len(peer.requests) >= 3, "new connections")
    caller.stop()
    assert set(peer.requests) == {1}


def test_stalls_within_a_time_span_count() -> None:
    stalls = OwnStalls()
    stalls.record(1.0, 3.0)
    stalls.record(5.0, 6.0)
    assert stalls.count_within(2.0, 5.5) == 1.5
    assert stalls.count_within(3.0, 5.0) == 0.0

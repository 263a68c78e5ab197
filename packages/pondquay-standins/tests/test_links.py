"""Tests of unauthenticated peers, floods and invalid frames at the peer endpoint."""

from __future__ import annotations

import hmac
import os
import socket
import struct
from hashlib import sha256
from typing import TYPE_CHECKING

import msgpack
import pytest

from pondquay_standins.processes import wait_until

if TYPE_CHECKING:
    from conftest import RunningFleet

pytestmark = pytest.mark.xdist_group("links")


def connect(running: RunningFleet) -> socket.socket:
    """Connect to the peer endpoint of the first instance."""
    host, _, port = running.fleet.instances[0].peer.partition(":")
    return socket.create_connection((host, int(port)), timeout=10)


def read_frame(link: socket.socket) -> list[object]:
    """Read a frame and return its decoded content."""
    (length,) = struct.unpack("!I", receive(link, 4))
    content: list[object] = msgpack.unpackb(receive(link, length))
    return content


def receive(link: socket.socket, count: int) -> bytes:
    data = b""
    while len(data) < count:
        part = link.recv(count - len(data))
        if not part:
            raise ConnectionResetError
        data += part
    return data


def send_frame(link: socket.socket, frame: bytes) -> None:
    link.sendall(struct.pack("!I", len(frame)) + frame)


def wait_until_closed(link: socket.socket) -> bool:
    """Wait until the peer closes the connection, and return ``True``."""
    try:
        while link.recv(65536):
            pass
    except ConnectionResetError:
        return True
    return True


def connect_with_key(running: RunningFleet, key: bytes) -> socket.socket:
    """Connect and send a proof made with a key, as an instance does."""
    link = connect(running)
    _, kind, nonce = read_frame(link)
    assert kind == "challenge"
    assert isinstance(nonce, bytes)
    text = b"|".join([b"proof", nonce, b"stranger", b"boot"])
    proof = hmac.new(key, text, sha256).digest()
    fields = ["stranger", "boot", "hall-a", os.urandom(32), proof]
    send_frame(link, msgpack.packb([1, "proof", *fields]))
    return link


def check_closed_and_serving(running: RunningFleet, closed_before: float) -> None:
    """Wait until the closed link is counted, and check that requests are served."""
    daemon = running.fleet.instances[0]
    wait_until(
        lambda: daemon.metric("pondquay_links_cut") > closed_before,
        "the link is closed",
    )
    assert running.fleet.complete(running.keys["captions"], "still here").status == 200


def test_a_peer_without_the_key_is_disconnected(running: RunningFleet) -> None:
    before = running.fleet.instances[0].metric("pondquay_links_cut")
    link = connect_with_key(running, b"not the fleet's key")
    assert wait_until_closed(link)
    check_closed_and_serving(running, before)


@pytest.mark.parametrize(
    "frame",
    [
        b"\xc1\xc1\xc1",
        b"",
        msgpack.packb([1, "intend", [[["e", "b"], 1], "w", []]]),
        msgpack.packb([99, "challenge", b"x"]),
        msgpack.packb({"a": 1}),
    ],
    ids=["broken", "empty", "before-proof", "other-version", "map"],
)
def test_invalid_frames_close_the_link(running: RunningFleet, frame: bytes) -> None:
    before = running.fleet.instances[0].metric("pondquay_links_cut")
    link = connect(running)
    read_frame(link)
    send_frame(link, frame)
    assert wait_until_closed(link)
    check_closed_and_serving(running, before)


def test_a_frame_that_is_too_long_closes_the_link(running: RunningFleet) -> None:
    before = running.fleet.instances[0].metric("pondquay_links_cut")
    link = connect(running)
    read_frame(link)
    link.sendall(struct.pack("!I", 1 << 30))
    assert wait_until_closed(link)
    check_closed_and_serving(running, before)


def test_requests_succeed_while_a_peer_floods_and_does_not_read(
    running: RunningFleet,
) -> None:
    key = (running.fleet.folder / "fleet.key").read_bytes().strip()
    link = connect_with_key(running, key)
    assert read_frame(link)[1] == "welcome"
    message = msgpack.packb([1, "find-request", 1, ["captions", "k"]])
    frame = (struct.pack("!I", len(message)) + message) * 1000
    link.settimeout(0.5)
    sent = 0
    try:
        for _ in range(2000):
            sent += link.send(frame)
    except TimeoutError:
        pass  # The instance stops reading while its responses are not read.
    assert sent > 0
    response = running.fleet.complete(running.keys["captions"], "during the flood")
    assert response.status == 200
    link.close()

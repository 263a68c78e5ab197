"""Tests of the soak's uneven load."""

from __future__ import annotations

from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Thread
from typing import TYPE_CHECKING

import pytest

from pondquay_standins.processes import HOST
from pondquay_standins.soak.invariants import check_call
from pondquay_standins.soak.slowreaders import READER_COUNT, SlowReaders

if TYPE_CHECKING:
    from collections.abc import Iterator


class RequestHandler(BaseHTTPRequestHandler):
    """Sends the requested bytes, of which those of ``cut`` attempts lack the last."""

    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:
        self.rfile.read(int(self.headers["Content-Length"]))
        attempt = self.headers["X-Pondquay-Attempt-Id"]
        size = int(self.headers["X-Test-Bytes"])
        self.send_response(200)
        self.send_header("X-Pondquay-Replica-Signature", "sig.p1")
        self.send_header("Content-Length", str(size))
        self.end_headers()
        body = f"p1:{attempt}".encode().ljust(size, b".")
        self.wfile.write(body[:-1] if "cut" in attempt else body)
        self.close_connection = True

    def log_message(self, *_: object) -> None:
        pass


@pytest.fixture
def port() -> Iterator[int]:
    server = ThreadingHTTPServer((HOST, 0), RequestHandler)
    thread = Thread(target=server.serve_forever)
    thread.start()
    yield server.server_port
    server.shutdown()
    thread.join()
    server.server_close()


@pytest.mark.parametrize(("name", "complete"), [("whole", True), ("cut", False)])
def test_slow_readers_tell_whole_responses_from_truncated_ones(
    port: int, name: str, complete: bool
) -> None:
    readers = SlowReaders(name, "r1", port)
    readers.run(0.0)
    assert len(readers.calls) == READER_COUNT
    assert {call.complete for call in readers.calls} == {complete}
    for call in readers.calls:
        run = {"attempt": call.attempt, "replica": "p1", "target": "/fetch/"}
        assert check_call(call, [run]) == []

"""Callers of the soak reuse connections and detect truncated responses.

Guards against a response that is not fully read, after which the next request on its
connection fails.
"""

from __future__ import annotations

from http.client import HTTPConnection
from http.server import BaseHTTPRequestHandler, HTTPServer
from threading import Thread
from typing import TYPE_CHECKING

import pytest

from pondquay_standins.processes import HOST
from pondquay_standins.routedfleet import read_body

if TYPE_CHECKING:
    from collections.abc import Iterator

BODY = b"whole"


class RequestHandler(BaseHTTPRequestHandler):
    """Sends a chunked, complete or truncated response, depending on the path."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        self.send_response(200)
        if self.path == "/chunked":
            self.send_header("Transfer-Encoding", "chunked")
            self.end_headers()
            self.wfile.write(b"5\r\nwhole\r\n0\r\n\r\n")
            return
        self.send_header("Content-Length", str(len(BODY)))
        self.end_headers()
        if self.path == "/short":
            self.wfile.write(BODY[:-1])
            self.close_connection = True
            return
        self.wfile.write(BODY)

    def log_message(self, *_: object) -> None:
        pass


@pytest.fixture
def connection() -> Iterator[HTTPConnection]:
    server = HTTPServer((HOST, 0), RequestHandler)
    thread = Thread(target=server.serve_forever)
    thread.start()
    connection = HTTPConnection(HOST, server.server_port, timeout=5)
    yield connection
    connection.close()
    server.shutdown()
    thread.join()
    server.server_close()


@pytest.mark.parametrize("path", ["/length", "/chunked"])
def test_a_connection_is_reused_for_successive_requests(
    connection: HTTPConnection, path: str
) -> None:
    for _ in range(3):
        connection.request("GET", path)
        assert read_body(connection.getresponse()) == (BODY, True)


def test_a_truncated_response_is_not_complete(connection: HTTPConnection) -> None:
    connection.request("GET", "/short")
    assert read_body(connection.getresponse()) == (BODY[:-1], False)

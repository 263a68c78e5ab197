"""Callers that request long responses and read nothing for a while."""

from __future__ import annotations

import socket
import time
from contextlib import suppress
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException

from pondquay_standins.processes import HOST
from pondquay_standins.replicarecords import PADDING
from pondquay_standins.routedfleet import read_body
from pondquay_standins.soak.callers import (
    CALL_TIMEOUT_SECONDS,
    NO_RESPONSE,
    Call,
    make_headers,
)

ROUTE = "fetch"
READER_COUNT = 6
RESPONSE_BYTES = 1_000_000
# Receive buffers far below a response, so that most of it stays on the way.
RECEIVE_BUFFER_BYTES = 131_072


@dataclass
class SlowReaders:
    """Callers that read their responses late, all from one relay.

    :param name: prefix of the attempt IDs
    :param relay: name of the relay
    :ivar calls: the calls that have ended
    """

    name: str
    relay: str
    port: int
    calls: list[Call] = field(default_factory=list)

    def run(self, seconds: float) -> None:
        """Send all requests, wait for some seconds, then read the responses."""
        connections = [
            HTTPConnection(HOST, self.port, timeout=CALL_TIMEOUT_SECONDS)
            for _ in range(READER_COUNT)
        ]
        began = time.monotonic()
        sent = set()
        for number, connection in enumerate(connections):
            with suppress(OSError, HTTPException):
                connection.connect()
                _limit_receive_buffer(connection)
                headers = make_headers(self._attempt(number), 0)
                headers["X-Test-Bytes"] = str(RESPONSE_BYTES)
                connection.request("POST", f"/{ROUTE}/", body=b"body", headers=headers)
                sent.add(number)
        time.sleep(seconds)
        for number, connection in enumerate(connections):
            self.calls.append(self._read(number, connection, began, number in sent))

    def _attempt(self, number: int) -> str:
        return f"{self.name}-{number}"

    def _read(
        self, number: int, connection: HTTPConnection, began: float, sent: bool
    ) -> Call:
        """Read a response; a complete one of the full length is stripped of padding."""
        status, body, signature, complete = NO_RESPONSE, b"", "", False
        with suppress(OSError, HTTPException):
            response = connection.getresponse()
            status = response.status
            signature = response.headers.get("X-Pondquay-Replica-Signature", "")
            body, complete = read_body(response)
        connection.close()
        if len(body) == RESPONSE_BYTES:
            body = body.rstrip(PADDING)
        return Call(
            *(self._attempt(number), self.relay, ROUTE, 0, status, body),
            *(signature, complete, began, time.monotonic()),
            sent=sent,
        )


def _limit_receive_buffer(connection: HTTPConnection) -> None:
    connection.sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )

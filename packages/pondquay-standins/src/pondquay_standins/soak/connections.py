"""Callers' connections, which know for how long they have been at rest."""

from __future__ import annotations

import time
from http.client import HTTPConnection
from typing import Any


class CallerConnection(HTTPConnection):
    """A connection that sends the head and the body of a request in one piece.

    A request is thus either whole at the other end or has not been sent.

    :ivar asked_at: when its last request was sent, in seconds of the monotonic clock
    :ivar used_at: when its last response ended, on the same clock
    """

    def __init__(self, host: str, port: int, timeout: float) -> None:
        super().__init__(host, port, timeout=timeout)
        self.asked_at = self.used_at = 0.0
        self._unsent = b""

    @property
    def rested(self) -> float:
        """For how long it has been at rest, in seconds, 0 if it is not open."""
        return 0.0 if self.sock is None else time.monotonic() - self.used_at

    def send(self, data: Any) -> None:
        """Keep a part of a request until all of it is sent."""
        self._unsent += data

    def send_whole(self) -> float:
        """Send the request that was written.

        :returns: for how long the connection has been at rest at most, in seconds: a
            process that stands still reads a response late
        :raises OSError: if it cannot be sent, or there is no connection
        """
        unsent, self._unsent = self._unsent, b""
        if self.sock is None:
            self.connect()
            self.asked_at = self.used_at = time.monotonic()
        before, self.asked_at = self.asked_at, time.monotonic()
        self.sock.sendall(unsent)
        return time.monotonic() - before

    def close(self) -> None:
        """Close the connection and discard what was not sent."""
        super().close()
        self._unsent = b""

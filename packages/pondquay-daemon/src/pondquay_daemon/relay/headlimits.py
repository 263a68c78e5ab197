"""Limits of the heads of responses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import h11

from pondquay_daemon.statuslines import STATUS_LINE, contain_status_line

if TYPE_CHECKING:
    from collections.abc import Callable

# Interim responses before a response. Each is complete, so no other limit applies.
MAX_INTERIM_RESPONSES = 16
# Each header that is kept takes several times the memory of its bytes.
MAX_RESPONSE_HEADERS = 256
# Example of a status line up to its status.
_EXAMPLE = b"HTTP/1.1 200"


class HeadLimits:
    """Limits what is read until the head of a response is complete.

    :param max_bytes: of a head, with the interim responses before it
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._size = 0
        self._interim = 0
        # First bytes of the current head.
        self._start = b""

    def add(self, data: bytes) -> None:
        """Note received bytes."""
        self._size += len(data)
        if len(self._start) < len(_EXAMPLE):
            self._start = (self._start + data)[: len(_EXAMPLE)]

    def check(self, event: Any, rest: Callable[[], bytes]) -> None:
        """Check an event that was read in place of a head.

        :param rest: returns the bytes that were received after the event
        :raises h11.RemoteProtocolError: if a limit is exceeded
        """
        if isinstance(event, h11.Response | h11.InformationalResponse):
            _check_joined(event)
        if isinstance(event, h11.Response):
            self._note_head(event)
        elif isinstance(event, h11.InformationalResponse):
            self._note_interim(rest())
        elif event is h11.NEED_DATA:
            self._check_incomplete()

    def _note_head(self, response: h11.Response) -> None:
        self._size = self._interim = 0
        self._start = b""
        if len(response.headers) > MAX_RESPONSE_HEADERS:
            raise h11.RemoteProtocolError("too many headers")

    def _note_interim(self, rest: bytes) -> None:
        self._interim += 1
        self._start = rest[: len(_EXAMPLE)]
        if self._interim > MAX_INTERIM_RESPONSES:
            raise h11.RemoteProtocolError("too many interim responses")
        self._check_incomplete()

    def _check_incomplete(self) -> None:
        if self._size > self._max_bytes:
            raise h11.RemoteProtocolError("the head is too long")
        if not STATUS_LINE.match(self._start + _EXAMPLE[len(self._start) :]):
            raise h11.RemoteProtocolError("no status line")


def _check_joined(head: h11.Response | h11.InformationalResponse) -> None:
    values = (value for _, value in head.headers)
    if contain_status_line((head.reason, *values)):
        raise h11.RemoteProtocolError("a status line within a head")

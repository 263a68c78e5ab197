"""Closes of callers' connections by the relay itself, counted and logged."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from fcntl import ioctl
from struct import Struct
from termios import FIONREAD
from typing import TYPE_CHECKING, Any

from pondquay_daemon.logs import Level, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

# A timer that fires later than this points to a stall of the process.
LATE_SECONDS = 0.25
UNKNOWN_BYTES = -1
_INT = Struct("i")


class CloseReason(Enum):
    """Why a relay closes a caller's connection."""

    IDLE = "idle"
    # A request that did not arrive completely in time.
    READ_TIMEOUT = "read-timeout"
    # A response that its caller does not read.
    UNREAD_RESPONSE = "unread-response"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class CallerClose:
    """One close of a caller's connection.

    :param rested: seconds since the connection last made progress
    :param limit: seconds that the limits in force allow for that
    :param late: seconds by which the timer fired too late, 0 without a timer
    :param unread: bytes that wait in the socket, ``UNKNOWN_BYTES`` if unknown
    """

    reason: CloseReason
    rested: float
    limit: float
    late: float
    unread: int

    @property
    def is_ordinary(self) -> bool:
        """Whether the caller could expect the close."""
        may_close = self.reason is CloseReason.STOP or self.rested >= self.limit
        return may_close and self.late < LATE_SECONDS and self.unread <= 0

    def log(self) -> None:
        """Log it; an ordinary close only as a detail, since each caller causes some."""
        log_event(
            "caller-closed",
            Level.DEBUG if self.is_ordinary else Level.WARNING,
            reason=self.reason.value,
            rested=round(self.rested, 3),
            limit=self.limit,
            late=round(self.late, 3),
            unread=self.unread,
        )


class CloseRecorder:
    """Counts and logs closes.

    :param count: counts a close by its reason
    """

    def __init__(self, count: Callable[[str], None] | None = None) -> None:
        self._count = count

    def record(self, close: CallerClose) -> None:
        """Record a close that is about to happen."""
        if self._count is not None:
            self._count(close.reason.value)
        close.log()


def count_unread_bytes(transport: Any) -> int:
    """Return the bytes that wait in a connection's socket.

    :returns: ``UNKNOWN_BYTES`` if the transport has no socket that tells
    """
    get_handle = getattr(transport, "getHandle", None)
    if get_handle is None:
        return UNKNOWN_BYTES
    try:
        counted = ioctl(get_handle().fileno(), FIONREAD, bytes(_INT.size))
    except (OSError, ValueError):
        return UNKNOWN_BYTES
    unread: int = _INT.unpack(counted)[0]
    return unread

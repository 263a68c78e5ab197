"""Checks whether a process still listens at an address."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, cast

from twisted.internet.protocol import Protocol, connectionDone

from pondquay_daemon.readtimers import ReadTimer

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IReactorTime
    from twisted.internet.tcp import Client
    from twisted.python.failure import Failure

    from pondquay.addresses import Address
    from pondquay_daemon.relay.dialing import Dialer, DialFailure

# A connection that stays open this long shows that a process listens. An earlier close
# is inconclusive: the process may be ending, a gateway may have accepted in its place,
# or a busy upstream may reject excess connections.
MIN_OPEN_SECONDS = 0.1


class Listening(StrEnum):
    """Result of a check."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class _Connection(Protocol):
    """A connection on which nothing is sent.

    :param on_result: called once with the result
    """

    def __init__(
        self, clock: IReactorTime, on_result: Callable[[Listening], None]
    ) -> None:
        self._clock = clock
        self._on_result = on_result
        self._timer: ReadTimer | None = None

    def connectionMade(self) -> None:
        """Start the timer after which an open connection shows a listening process."""
        self._timer = ReadTimer(self._clock, MIN_OPEN_SECONDS, self._end)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report an early close, which is inconclusive."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
            self._on_result(Listening.UNKNOWN)

    def _end(self) -> None:
        cast("Client", self.transport).abortConnection()
        self._on_result(Listening.YES)


def check_connection(
    clock: IReactorTime,
    dialer: Dialer,
    address: Address,
    on_result: Callable[[Listening], None],
) -> None:
    """Check an address by opening a connection and closing it.

    :param on_result: called once with the result
    """

    def fail(failure: DialFailure) -> None:
        on_result(Listening.NO if failure.refused else Listening.UNKNOWN)

    dialer.dial(address, lambda: _Connection(clock, on_result), fail)

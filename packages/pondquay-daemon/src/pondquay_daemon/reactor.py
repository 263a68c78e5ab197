"""The event loop of a relay.

A relay writes many short messages to sockets that can nearly always take them. The
reactor of Twisted asks for the writability of a socket before each write, which costs
three further system calls and one more turn of the loop. This one writes first, and
asks only about sockets that did not take all of their data.

The reactor of Twisted also reports a connection as closed in an orderly way if epoll
reports an error or a hang-up without readability, which the kernel does while a reset
is being processed. This one reads such a socket, so that only an end of file that was
read counts as an orderly close.
"""

from __future__ import annotations

from select import EPOLLOUT
from typing import TYPE_CHECKING, Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor
from twisted.internet.tcp import Connection

if TYPE_CHECKING:
    from twisted.internet.interfaces import (
        IReadDescriptor,
        IWriteDescriptor,
    )

# The wait of ``epoll`` that only an event ends.
NO_LIMIT = -1.0


class EagerWriteReactor(EPollReactor):
    """Writes what a turn of the loop has produced at the end of that turn."""

    def __init__(self) -> None:
        # The connections that have data to write and are not registered for
        # writability, in the order in which they got it.
        self._unsent: dict[Connection, None] = {}
        self._is_stopping = False
        super().__init__()  # type: ignore[no-untyped-call]

    def stop(self) -> None:
        """Stop with the next turn of the loop."""
        self._is_stopping = True
        super().stop()

    def addWriter(self, writer: IWriteDescriptor) -> None:  # noqa: N802
        """Write to a connection at the end of the turn, or register any other writer.

        A socket that is still connecting is registered, since its connection is
        established once it is writable.
        """
        if (
            isinstance(writer, Connection)
            and writer.connected
            and writer.fileno() not in self._writes
        ):
            self._unsent[writer] = None
            return
        super().addWriter(writer)  # type: ignore[no-untyped-call]

    def removeWriter(self, writer: IWriteDescriptor) -> None:  # noqa: N802
        """Stop to write."""
        if isinstance(writer, Connection) and writer in self._unsent:
            del self._unsent[writer]
            return
        super().removeWriter(writer)  # type: ignore[no-untyped-call]

    def getWriters(self) -> list[IWriteDescriptor]:  # noqa: N802
        """Return all descriptors that wait to write."""
        writers: list[Any] = super().getWriters()  # type: ignore[no-untyped-call]
        return [*writers, *self._unsent]

    def removeAll(self) -> list[IReadDescriptor | IWriteDescriptor]:  # noqa: N802
        """Remove all descriptors; return those that are not internal."""
        unsent, self._unsent = self._unsent, {}
        removed: list[Any] = super().removeAll()  # type: ignore[no-untyped-call]
        return removed + [writer for writer in unsent if writer not in removed]

    def doPoll(self, timeout: float | None) -> None:  # noqa: N802
        """Write, then wait for events and handle them.

        :param timeout: longest wait in seconds, ``None`` for no limit
        """
        if self._unsent:
            self._write_unsent()
            # Writing may have scheduled calls, produced further data, or stopped the
            # loop, which ends only with a further turn.
            may_wait = self.running and not self._unsent and not self._is_stopping
            timeout = self.timeout() if may_wait else 0.0
        wait = NO_LIMIT if timeout is None else timeout
        try:
            events = self._poller.poll(wait, len(self._selectables))
        except InterruptedError:
            return
        for descriptor, event in events:
            selectable = self._selectables.get(descriptor)
            if selectable is not None:
                self._handle(selectable, descriptor, event)

    doIteration = doPoll  # noqa: N815

    def _handle(self, selectable: Any, descriptor: int, event: int) -> None:
        """Let a descriptor read or write; disconnect it if that fails."""
        if event & self._POLL_DISCONNECTED and descriptor in self._reads:
            event |= self._POLL_IN
        self._doReadOrWrite(selectable, descriptor, event)  # type: ignore[no-untyped-call]

    def _write_unsent(self) -> None:
        """Write to each connection once; register those that have data left."""
        for writer in list(self._unsent):
            if writer not in self._unsent:
                continue
            self._handle(writer, writer.fileno(), EPOLLOUT)
            if writer in self._unsent:
                del self._unsent[writer]
                super().addWriter(writer)  # type: ignore[no-untyped-call]


def install_reactor() -> None:
    """Make this reactor the process's own, before any other is imported."""
    installReactor(EagerWriteReactor())

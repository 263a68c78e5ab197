"""What both ends of a tunnel have in common."""

from __future__ import annotations

from abc import abstractmethod
from typing import TYPE_CHECKING, cast

from twisted.internet.protocol import Protocol

from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.errors import MalformedValueError
from pondquay_daemon.relay.keepalive import enable_keep_alive
from pondquay_daemon.relay.tunnelmessages import CODEC, TunnelReader

if TYPE_CHECKING:
    from twisted.internet.tcp import Connection

    from pondquay_daemon.relay.tunnelmessages import TunnelMessage


class TunnelProtocol(Protocol):
    """One end of a tunnel; malformed messages reset it.

    :ivar peer: name of the instance at the other end, for the logs
    """

    def __init__(self, peer: str) -> None:
        self._reader = TunnelReader()
        self.peer = peer

    @property
    def connection(self) -> Connection:
        """The transport."""
        return cast("Connection", self.transport)

    def connectionMade(self) -> None:
        """Set the options of the socket."""
        self.connection.setTcpNoDelay(True)
        enable_keep_alive(self.connection)

    def dataReceived(self, data: bytes) -> None:
        """Process messages of the other end."""
        try:
            messages = self._reader.feed(data)
        except MalformedValueError as error:
            log_event("peer-malformed", Level.WARNING, peer=self.peer, error=error)
            self.connection.abortConnection()
            return
        for message in messages:
            self.receive(message)

    def send(self, message: TunnelMessage) -> None:
        """Send a message."""
        self.connection.write(CODEC.encode(message))

    @abstractmethod
    def receive(self, message: TunnelMessage) -> None:
        """Process a message."""

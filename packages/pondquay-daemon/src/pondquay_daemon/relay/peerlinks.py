"""Connections between instances that carry streams of messages."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any, cast

from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone

from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.errors import MalformedValueError
from pondquay_daemon.relay.peermessages import (
    MessageReader,
    encode_message,
    make_earlier_form,
)

if TYPE_CHECKING:
    from twisted.internet.interfaces import IAddress
    from twisted.internet.tcp import Connection
    from twisted.python.failure import Failure

    from pondquay.addresses import Address
    from pondquay_daemon.relay.peermessages import PeerMessage


class LinkOwner(ABC):
    """Handles the events of an instance's links."""

    @abstractmethod
    def greet(self, link: PeerLink) -> None:
        """Send the first messages on a new link."""

    @abstractmethod
    def receive(self, link: PeerLink, message: PeerMessage) -> None:
        """Process a message."""

    @abstractmethod
    def note_disconnected(self, link: PeerLink) -> None:
        """Remove a link that was closed."""

    @abstractmethod
    def note_connection_ended(self, address: Address) -> None:
        """Record that a connection to an address failed or was closed."""


class PeerLink(Protocol):
    """A connection to another instance; both ends behave alike.

    :ivar last_seen_at: time of the last message from the peer, in seconds
    :ivar silent_intervals: heartbeat intervals that have ended since the last message
        to the peer
    :ivar supported_codes: codes of the messages for which the peer has declared support
    :ivar version: version of the configuration in force at the peer
    """

    def __init__(self, owner: LinkOwner) -> None:
        self._owner = owner
        self._reader = MessageReader()
        self.instance = ""
        self.last_seen_at = 0.0
        self.silent_intervals = 0
        self.supported_codes: frozenset[int] = frozenset()
        self.version = 0

    def connectionMade(self) -> None:
        """Send the greeting to the peer."""
        cast("Connection", self.transport).setTcpNoDelay(True)
        self._owner.greet(self)

    def dataReceived(self, data: bytes) -> None:
        """Process received bytes; close the link if they are malformed."""
        try:
            messages = self._reader.feed(data)
        except MalformedValueError as error:
            log_event("peer-malformed", Level.WARNING, peer=self.instance, error=error)
            self.drop()
            return
        for message in messages:
            self._owner.receive(self, message)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Notify the owner that the link was closed."""
        self._owner.note_disconnected(self)

    def supports(self, kind: type[PeerMessage]) -> bool:
        """Return whether the peer has declared support for a kind of message."""
        return kind.CODE in self.supported_codes

    def send(self, message: PeerMessage) -> None:
        """Send a message, also in its earlier forms if the peer may require them."""
        self.send_bytes(encode_message(message))
        earlier = make_earlier_form(message)
        if earlier is not None and not self.supports(type(message)):
            self.send(earlier)

    def send_bytes(self, data: bytes) -> None:
        """Send messages that are already encoded."""
        self.silent_intervals = 0
        cast("Connection", self.transport).write(data)

    def drop(self) -> None:
        """Abort the connection."""
        cast("Connection", self.transport).abortConnection()


class LinkListener(Factory):
    """Accepts links from other instances."""

    noisy = False

    def __init__(self, owner: LinkOwner) -> None:
        self._owner = owner

    def buildProtocol(self, addr: IAddress | None) -> PeerLink:
        """Return a new link."""
        return PeerLink(self._owner)


class LinkConnector(ClientFactory):
    """Opens a link to an address."""

    noisy = False

    def __init__(self, owner: LinkOwner, address: Address) -> None:
        self._owner = owner
        self._address = address

    def buildProtocol(self, addr: IAddress | None) -> PeerLink:
        """Return a new link."""
        return PeerLink(self._owner)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        """Notify the owner that the connection was closed."""
        self._owner.note_connection_ended(self._address)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Notify the owner that the connection attempt failed."""
        self._owner.note_connection_ended(self._address)

"""Connections between instances, each a stream of messages."""

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
    """What owns the links of an instance."""

    @abstractmethod
    def greet(self, link: PeerLink) -> None:
        """Send the first message on a link."""

    @abstractmethod
    def receive(self, link: PeerLink, message: PeerMessage) -> None:
        """Act on a message."""

    @abstractmethod
    def lose(self, link: PeerLink) -> None:
        """Forget a link."""

    @abstractmethod
    def end_connecting(self, address: Address) -> None:
        """Learn that a link to an address failed or is gone."""


class PeerLink(Protocol):
    """A connection to another instance; both ends are alike.

    :ivar has_sent: whether anything was sent since its owner last looked
    :ivar understood: codes of the messages that the peer reads, as far as it has said
    """

    def __init__(self, owner: LinkOwner) -> None:
        self._owner = owner
        self._reader = MessageReader()
        self.instance = ""
        self.last_seen_at = 0.0
        self.has_sent = False
        self.understood: frozenset[int] = frozenset()
        # The configuration in force at the peer, as it last said.
        self.version = 0

    def connectionMade(self) -> None:
        """Greet the peer."""
        cast("Connection", self.transport).setTcpNoDelay(True)
        self._owner.greet(self)

    def dataReceived(self, data: bytes) -> None:
        """Take bytes of messages."""
        try:
            messages = self._reader.feed(data)
        except MalformedValueError as error:
            log_event("peer-malformed", Level.WARNING, peer=self.instance, error=error)
            self.drop()
            return
        for message in messages:
            self._owner.receive(self, message)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Learn that the link is gone."""
        self._owner.lose(self)

    def reads(self, kind: type[PeerMessage]) -> bool:
        """Tell whether the peer has said that it reads messages of a kind."""
        return kind.CODE in self.understood

    def send(self, message: PeerMessage) -> None:
        """Send a message, also in its former form to who may read that alone."""
        self.send_bytes(encode_message(message))
        former = make_earlier_form(message)
        if former is not None and not self.reads(type(message)):
            self.send_bytes(encode_message(former))

    def send_bytes(self, data: bytes) -> None:
        """Send messages that are encoded already."""
        self.has_sent = True
        cast("Connection", self.transport).write(data)

    def drop(self) -> None:
        """Close the link at once."""
        cast("Connection", self.transport).abortConnection()


class LinkListener(Factory):
    """Accepts links."""

    noisy = False

    def __init__(self, owner: LinkOwner) -> None:
        self._owner = owner

    def buildProtocol(self, addr: IAddress | None) -> PeerLink:
        """Return a new link."""
        return PeerLink(self._owner)


class LinkConnector(ClientFactory):
    """Opens one link."""

    noisy = False

    def __init__(self, owner: LinkOwner, address: Address) -> None:
        self._owner = owner
        self._address = address

    def buildProtocol(self, addr: IAddress | None) -> PeerLink:
        """Return a new link."""
        return PeerLink(self._owner)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        """Learn that the link is gone."""
        self._owner.end_connecting(self._address)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Learn that there will be no link."""
        self._owner.end_connecting(self._address)

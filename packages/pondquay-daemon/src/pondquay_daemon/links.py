"""Links between instances: authenticated streams of length-prefixed messages.

Each instance dials its peers and sends on the links it dialled; responses arrive on the
same link. Until a peer has proved that it knows the fleet's key, only handshake
messages of at most ``MAX_PROOF_BYTES`` are accepted from it.
"""

from __future__ import annotations

import hmac
from abc import ABC, abstractmethod
from hashlib import sha256
from secrets import token_bytes
from typing import TYPE_CHECKING, Any

from twisted.internet.endpoints import TCP4ClientEndpoint, TCP4ServerEndpoint
from twisted.internet.protocol import Factory
from twisted.protocols.basic import Int32StringReceiver

from pondquay.names import InstanceId
from pondquay_daemon.errors import LinkError
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.tasks import Task, spawn
from pondquay_daemon.wire import (
    MAX_FRAME_BYTES,
    Challenge,
    Proof,
    Welcome,
    decode_message,
    encode_message,
)

if TYPE_CHECKING:
    from twisted.internet.interfaces import IListeningPort
    from twisted.python.failure import Failure

    from pondquay.addresses import Address

NONCE_BYTES = 32
MAX_PROOF_BYTES = 1024
MAX_UNSENT_BYTES = 4 << 20
HANDSHAKE_TIMEOUT_SECONDS = 3.0
REDIAL_INTERVAL_SECONDS = 0.25
CONNECT_SECONDS = 1.0
MAX_ACCEPTED_LINKS = 1024


class LinkHandler(ABC):
    """Receives events and messages of links."""

    @abstractmethod
    def link_opened(self, peer: InstanceId, domain: str) -> None:
        """Handle a dialled link whose handshake is complete."""

    @abstractmethod
    def link_closed(self, peer: InstanceId) -> None:
        """Handle the loss of a dialled link."""

    @abstractmethod
    def receive_call(self, peer: InstanceId, message: Any) -> Any | None:
        """Return the response to a message on a link that the peer dialled."""

    @abstractmethod
    def receive_response(self, peer: InstanceId, message: Any) -> None:
        """Process a response on a dialled link."""


def compute_digest(key: bytes, nonce: bytes, role: str, name: str, boot: str) -> bytes:
    """Return the digest that proves knowledge of the fleet's key.

    :param nonce: nonce of the side that checks the digest
    :param role: ``proof`` for the dialling side, ``welcome`` for the accepting side
    """
    text = b"|".join([role.encode(), nonce, name.encode(), boot.encode()])
    return hmac.new(key, text, sha256).digest()


class LinkProtocol(Int32StringReceiver):
    """One side of a link; forwards messages to ``Links`` after the handshake."""

    MAX_LENGTH = MAX_PROOF_BYTES
    transport: Any

    def __init__(self, links: Links, address: Address | None) -> None:
        self.links = links
        self.address = address
        self.peer: InstanceId | None = None
        self.domain = ""
        self.nonce = token_bytes(NONCE_BYTES)
        self._timer: Any = None
        self._write_paused = False

    @property
    def dialled(self) -> bool:
        """Whether this instance opened the link."""
        return self.address is not None

    def connectionMade(self) -> None:  # noqa: N802
        """Start the handshake."""
        self.links.add_link(self)
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._timer = self.links.clock.callLater(
            HANDSHAKE_TIMEOUT_SECONDS, self.abort, "handshake timed out"
        )
        if not self.dialled:
            self.send(Challenge(self.nonce))

    def pauseProducing(self) -> None:  # noqa: N802
        """Note a full send buffer; stop reading on a link that the peer dialled."""
        self._write_paused = True
        if not self.dialled:
            self.transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Note that the send buffer has drained, and resume reading."""
        self._write_paused = False
        self.transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: ``connectionLost`` handles the loss of the transport."""

    def send(self, message: Any) -> None:
        """Send a message; abort the link if too many bytes remain unsent."""
        frame = encode_message(message)
        if self._write_paused and self._unsent_bytes() > MAX_UNSENT_BYTES:
            self.abort("the peer does not read its messages")
            return
        self.sendString(frame)  # type: ignore[no-untyped-call]
        self.links.sent_messages += 1
        self.links.sent_bytes += len(frame)

    def _unsent_bytes(self) -> int:
        buffered = getattr(self.transport, "_tempDataLen", 0)
        return int(buffered) + len(getattr(self.transport, "dataBuffer", b""))

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Decode and handle one frame."""
        try:
            message = decode_message(string)
            if self.peer is None:
                self._receive_handshake(message)
            else:
                self.links.receive(self, self.peer, message)
        except LinkError as error:
            self.abort(str(error))

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Abort the link of a peer whose frame is too long."""
        self.abort(f"a frame of {length} bytes is too long")

    def _receive_handshake(self, message: Any) -> None:
        if self.dialled and isinstance(message, Challenge):
            self.send(self.links.make_proof(message.nonce, self.nonce))
        elif self.dialled and isinstance(message, Welcome):
            self.links.check_digest(message.digest, self.nonce, "welcome", message)
            self._finish_handshake(message)
        elif not self.dialled and isinstance(message, Proof):
            self.links.check_digest(message.digest, self.nonce, "proof", message)
            self.send(self.links.make_welcome(message.nonce))
            self._finish_handshake(message)
        else:
            raise LinkError(
                f"{message.kind} message is not allowed during the handshake"
            )

    def _finish_handshake(self, message: Proof | Welcome) -> None:
        self._timer.cancel()
        self.peer = InstanceId(message.name, message.boot)
        self.domain = message.domain
        self.MAX_LENGTH = MAX_FRAME_BYTES
        self.links.note_opened(self)

    def abort(self, reason: str) -> None:
        """Abort the link, count it and log the reason."""
        self.links.aborted_links += 1
        log_event("link-cut", Level.WARNING, peer=self.peer or "unknown", reason=reason)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Report the lost link to ``Links``."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self.links.note_closed(self)


class LinkFactory(Factory):
    """Builds the protocols of links.

    :param address: the dialled address, ``None`` on the accepting side
    """

    noisy = False

    def __init__(self, links: Links, address: Address | None = None) -> None:
        self._links = links
        self._address = address

    def buildProtocol(self, addr: object) -> LinkProtocol | None:  # noqa: N802
        """Return the protocol of a new link, ``None`` if too many are accepted."""
        if self._address is None and self._links.accepted >= MAX_ACCEPTED_LINKS:
            return None
        return LinkProtocol(self._links, self._address)


class Links(Task):
    """Task that owns all links of an instance.

    :param key: the fleet's key
    :param handler: receives events and messages of the links
    :ivar aborted_links: links aborted since start
    :ivar sent_messages: messages sent since start
    :ivar sent_bytes: bytes sent since start, without length prefixes
    """

    def __init__(
        self,
        reactor: Any,
        instance: InstanceId,
        domain: str,
        key: bytes,
        handler: LinkHandler,
    ) -> None:
        super().__init__(reactor)
        self._reactor = reactor
        self._instance = instance
        self._domain = domain
        self._key = key
        self._handler = handler
        self._addresses: set[Address] = set()
        self._dialling: set[Address] = set()
        self._dialled: dict[InstanceId, LinkProtocol] = {}
        self._open: set[LinkProtocol] = set()
        self._port: IListeningPort | None = None
        self.aborted_links = 0
        self.sent_messages = 0
        self.sent_bytes = 0

    async def listen(self, address: Address) -> None:
        """Accept links at an address, and start to dial the peers' addresses."""
        endpoint = TCP4ServerEndpoint(
            self._reactor, address.port, interface=address.host
        )
        self._port = await endpoint.listen(LinkFactory(self))
        self.repeat(REDIAL_INTERVAL_SECONDS, self._redial)

    async def close(self) -> None:
        """Stop accepting links and close all of them."""
        self._addresses.clear()
        for link in list(self._open):
            link.transport.loseConnection()
        if self._port is not None:
            stopped = self._port.stopListening()
            if stopped is not None:
                await stopped

    @property
    def accepted(self) -> int:
        """Number of open links that peers dialled."""
        return sum(1 for link in self._open if not link.dialled)

    def set_addresses(self, addresses: set[Address]) -> None:
        """Set the addresses that are dialled when no link to them is open."""
        self._addresses = set(addresses)

    async def _redial(self) -> None:
        connected = {link.address for link in self._open if link.dialled}
        for address in self._addresses - connected - self._dialling:
            self._dialling.add(address)
            spawn(self._dial(address), "Links")

    async def _dial(self, address: Address) -> None:
        endpoint = TCP4ClientEndpoint(
            self._reactor, address.host, address.port, timeout=CONNECT_SECONDS
        )
        try:
            await endpoint.connect(LinkFactory(self, address))
        except Exception as error:
            log_event("link-failed", Level.DEBUG, address=address, error=error)
        finally:
            self._dialling.discard(address)

    def make_proof(self, challenge: bytes, nonce: bytes) -> Proof:
        """Return this instance's proof for the accepting side.

        :param challenge: nonce of the accepting side
        :param nonce: nonce of this side, for the digest of the peer's welcome
        """
        name, boot = self._instance.name, self._instance.boot
        digest = compute_digest(self._key, challenge, "proof", name, boot)
        return Proof(name, boot, self._domain, nonce, digest)

    def make_welcome(self, challenge: bytes) -> Welcome:
        """Return this instance's proof for the dialling side.

        :param challenge: nonce of the dialling side
        """
        name, boot = self._instance.name, self._instance.boot
        digest = compute_digest(self._key, challenge, "welcome", name, boot)
        return Welcome(name, boot, self._domain, digest)

    def check_digest(
        self, digest: bytes, nonce: bytes, role: str, message: Proof | Welcome
    ) -> None:
        """Check that a peer knows the fleet's key.

        :raises LinkError: if its digest is wrong
        """
        expected = compute_digest(self._key, nonce, role, message.name, message.boot)
        if not hmac.compare_digest(digest, expected):
            raise LinkError("the peer does not know the fleet's key")

    def add_link(self, link: LinkProtocol) -> None:
        """Add a link before its handshake."""
        self._open.add(link)

    def note_opened(self, link: LinkProtocol) -> None:
        """Register and report a dialled link whose handshake is complete."""
        if link.dialled and link.peer is not None:
            self._dialled[link.peer] = link
            self._handler.link_opened(link.peer, link.domain)

    def note_closed(self, link: LinkProtocol) -> None:
        """Remove a link and report the loss of a dialled one."""
        self._open.discard(link)
        if link.peer is not None and self._dialled.get(link.peer) is link:
            del self._dialled[link.peer]
            self._handler.link_closed(link.peer)

    def receive(self, link: LinkProtocol, peer: InstanceId, message: Any) -> None:
        """Forward a message to the handler; respond on links that the peer dialled."""
        if link.dialled:
            self._handler.receive_response(peer, message)
            return
        response = self._handler.receive_call(peer, message)
        if response is not None:
            link.send(response)

    def is_connected(self, peer: InstanceId) -> bool:
        """Return whether the dialled link to a peer is open."""
        return peer in self._dialled

    def connected(self) -> list[InstanceId]:
        """Return the peers with an open dialled link."""
        return list(self._dialled)

    def send(self, peer: InstanceId, message: Any) -> bool:
        """Send a message to a peer; return ``False`` if there is no link to it."""
        link = self._dialled.get(peer)
        if link is None:
            return False
        link.send(message)
        return True

    def broadcast(self, message: Any) -> None:
        """Send a message to all connected peers."""
        for link in list(self._dialled.values()):
            link.send(message)

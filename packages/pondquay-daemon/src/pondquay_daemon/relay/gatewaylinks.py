"""Messages between instances that offer tunnels to upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from pondquay.addresses import Address
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.peermessages import TunnelOffer, UpstreamBackoff
from pondquay_daemon.relay.peertopics import PeerTopic

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from pondquay.routing.directory import UpstreamDirectory
    from pondquay.routing.gateways import GatewayTable
    from pondquay_daemon.relay.peerlinks import PeerLink
    from pondquay_daemon.relay.peermessages import PeerMessage
    from pondquay_daemon.relay.peers import PeerMesh


# Limits the effect of an excessive value that a peer reports.
MAX_BACKOFF_SECONDS = 60.0


class GatewayLinks(PeerTopic):
    """Offers tunnels to peers, and keeps the offers of peers.

    :param address: address at which this instance accepts tunnels, ``None`` for none
    :ivar on_removed: called with the name of each peer that accepts no more tunnels
    """

    MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (TunnelOffer, UpstreamBackoff)

    def __init__(
        self,
        mesh: PeerMesh,
        directory: UpstreamDirectory,
        gateways: GatewayTable,
        address: Address | None,
    ) -> None:
        self._mesh = mesh
        self._directory = directory
        self._gateways = gateways
        self._address = address
        self.on_removed: Callable[[str], None] | None = None
        mesh.add_topic(self)

    def withdraw_offer(self) -> None:
        """Tell all peers that this instance accepts no more tunnels."""
        if self._address is not None:
            self._mesh.broadcast(TunnelOffer(str(self._address), False))
            self._address = None

    def make_greeting(self) -> TunnelOffer | None:
        """Return this instance's offer."""
        if self._address is None:
            return None
        return TunnelOffer(str(self._address), True)

    def note_supported(self, link: PeerLink) -> None:
        """Do nothing: a peer that does not know the message passes over it."""

    def receive(self, link: PeerLink, message: PeerMessage) -> None:
        """Record a peer's offer or its withdrawal, or an upstream's back-off."""
        if isinstance(message, UpstreamBackoff):
            self._receive_backoff(message)
        elif isinstance(message, TunnelOffer):
            self._receive_offer(link, message)

    def announce_backoff(self, upstream: str, seconds: float) -> None:
        """Tell all peers that an upstream asked for a back-off through a tunnel.

        The upstream asked the gateway as well, which does not read the response.
        """
        self._mesh.broadcast(UpstreamBackoff(upstream, seconds))

    def _receive_backoff(self, message: UpstreamBackoff) -> None:
        upstream = self._directory.find(message.upstream)
        if upstream is not None:
            upstream.note_backoff(
                min(message.seconds, MAX_BACKOFF_SECONDS), self._mesh.clock.seconds()
            )

    def _receive_offer(self, link: PeerLink, message: TunnelOffer) -> None:
        if not message.accepting:
            self._remove(link.instance)
            return
        try:
            address = Address.parse(message.address)
        except ValueError as error:
            log_event("peer-malformed", Level.WARNING, peer=link.instance, error=error)
            return
        domain = self._mesh.domains.get(link.instance, "")
        self._gateways.put(link.instance, domain, address)

    def note_disconnected(self, link: PeerLink) -> None:
        """Forget the offer of an unreachable peer."""
        self._remove(link.instance)

    def list_requested(self) -> Collection[str]:
        """Return no instances, since existing links suffice."""
        return ()

    def _remove(self, peer: str) -> None:
        self._gateways.remove(peer)
        if self.on_removed is not None:
            self.on_removed(peer)

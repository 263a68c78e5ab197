"""All connections of an instance to upstreams, and the tunnels between instances."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

from pondquay.routing.gateways import GatewayTable
from pondquay_daemon.relay.egress import EgressPool
from pondquay_daemon.relay.gatewaylinks import GatewayLinks
from pondquay_daemon.relay.pathdialing import PathDialer
from pondquay_daemon.relay.pathmonitor import PathMonitor
from pondquay_daemon.relay.tunnelserver import TunnelServer

if TYPE_CHECKING:
    from pondquay.routing.directory import UpstreamDirectory
    from pondquay_daemon.relay.loadlinks import LoadLinks
    from pondquay_daemon.relay.metrics import RelayMetrics
    from pondquay_daemon.relay.overloadmonitor import OverloadMonitor
    from pondquay_daemon.relay.peers import PeerMesh
    from pondquay_daemon.relay.settings import RelaySettings

TUNNEL_BACKLOG = 64


class UpstreamPaths:
    """Opens connections to upstreams, directly or through peers, and for peers.

    :ivar dialer: opens the connections
    :ivar pool: keeps those that are idle
    :ivar server: accepts tunnels of peers
    :ivar announce_backoff: tells peers that an upstream asked for a back-off through a
        tunnel
    """

    def __init__(
        self,
        reactor: Any,
        settings: RelaySettings,
        directory: UpstreamDirectory,
        overload: OverloadMonitor,
        mesh: PeerMesh,
        loads: LoadLinks,
        metrics: RelayMetrics,
    ) -> None:
        self._reactor = reactor
        self._address = settings.tunnels if settings.policy.use_gateways else None
        monitor = PathMonitor(reactor, directory, overload, metrics)
        gateways = GatewayTable(settings.domain, Random(), loads.has_peer_room)
        self.dialer = PathDialer(
            reactor,
            settings.instance,
            directory,
            monitor,
            overload,
            gateways,
            enabled=settings.policy.use_gateways,
        )
        self.pool = EgressPool(reactor, self.dialer)
        self.server = TunnelServer(reactor, directory, monitor, overload, metrics)
        self._links = GatewayLinks(mesh, directory, gateways, self._address)
        self._links.on_removed = self.pool.drop_gateway
        self.announce_backoff = self._links.announce_backoff

    def start(self) -> None:
        """Start to accept tunnels."""
        if self._address is not None:
            self._reactor.listenTCP(
                self._address.port, self.server, TUNNEL_BACKLOG, self._address.host
            )

    def begin_stop(self) -> None:
        """Accept no further tunnels, and let peers close those that are idle."""
        self.server.stopping = True
        self._links.withdraw_offer()

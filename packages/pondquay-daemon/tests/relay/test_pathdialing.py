"""Connections through gateways while the process stalls."""

from __future__ import annotations

from random import Random
from typing import Any
from unittest.mock import Mock

from twisted.internet.protocol import Protocol

from pondquay.addresses import Address
from pondquay.routing.gateways import GatewayTable
from pondquay.routing.paths import Direct
from pondquay_daemon.relay.dialing import CONNECT_SECONDS
from pondquay_daemon.relay.pathdialing import PathDialer
from pondquay_daemon.relay.tunnelmessages import (
    CODEC,
    TunnelOutcome,
    TunnelResult,
)

from .conftest import CallerTransport
from .stalledclock import StalledClock

ADDRESS = Address("10.0.0.1", 80)


class GatewayTransport(CallerTransport):
    """The gateway's end of a tunnel."""

    def setTcpKeepAlive(self, enabled: bool) -> None:
        pass

    def getHandle(self) -> Any:
        return Mock()


def make_dialer(clock: StalledClock) -> PathDialer:
    """Return a dialer with one gateway, to an upstream whose own path is lost."""
    record = Mock(address=ADDRESS, service="s", domain="a", incarnation="u@1")
    directory = Mock(**{"find_at.return_value": record})
    monitor = Mock(**{"plan.return_value": Mock(direct=Direct.NO, tunnel_after=0.0)})
    gateways = GatewayTable("a", Random(1), lambda peer: True)
    gateways.put("g", "a", Address("10.0.0.2", 90))
    return PathDialer(clock, "r", directory, monitor, Mock(overloaded=False), gateways)


# Guards against a tunnel that has opened during a stall and counts as failed.
def test_a_tunnel_that_opens_during_a_stall_is_used() -> None:
    clock = StalledClock()
    failures: list[object] = []
    opened: list[Protocol] = []

    def build() -> Protocol:
        opened.append(Protocol())
        return opened[-1]

    make_dialer(clock).dial(ADDRESS, build, failures.append)
    tunnel = clock.tcpClients[-1][2].buildProtocol(None)
    tunnel.makeConnection(GatewayTransport())
    result = CODEC.encode(TunnelResult(TunnelOutcome.OPENED.value))
    clock.stall(2 * CONNECT_SECONDS, lambda: tunnel.dataReceived(result))
    assert (len(opened), failures) == (1, [])

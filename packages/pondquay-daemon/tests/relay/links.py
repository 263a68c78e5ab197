"""In-memory links between relays, which a test can cut."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from unittest.mock import Mock

from twisted.test.iosim import FakeTransport, IOPump

from .conftest import PEERS_PORT

if TYPE_CHECKING:
    from collections.abc import Iterable


class LinkTransport(FakeTransport):
    """One end of a link between relays."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        pass

    def setTcpKeepAlive(self, enabled: bool) -> None:
        pass

    def getHandle(self) -> Mock:
        return Mock()


class RelayLinks:
    """All links between relays.

    :ivar cut: whether links deliver nothing
    """

    def __init__(self) -> None:
        self.cut = False
        self._links: list[IOPump] = []
        self._hosts: list[tuple[str, str]] = []

    def open(
        self,
        servers: Iterable[Any],
        host: str,
        factory: Any,
        port: int = PEERS_PORT,
        source: str = "",
    ) -> None:
        """Connect a client's factory to the relay at a host.

        :param servers: the reactor's listening servers
        :param source: the client's host
        """
        server = next(
            server
            for listening, server, _, interface in servers
            if (interface, listening) == (host, port)
        )
        ends = [factory.buildProtocol(None), server.buildProtocol(None)]
        transports = [LinkTransport(end, bool(n)) for n, end in enumerate(ends)]
        for end, transport in zip(ends, transports, strict=True):
            end.makeConnection(transport)
        self._links.append(IOPump(*ends, *transports, debug=False))
        self._hosts.append((source, host))

    def drop(self, host: str) -> None:
        """Close all links of a host in an orderly way, as the end of a process does."""
        for link, hosts in zip(self._links, self._hosts, strict=True):
            if host in hosts:
                link.clientIO.loseConnection()
                link.serverIO.loseConnection()

    def pump(self) -> None:
        """Deliver all sent data, unless the links are cut."""
        while not self.cut and any([link.pump() for link in self._links]):
            pass

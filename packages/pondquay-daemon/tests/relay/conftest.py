from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

from pondquay.routes.entities import CallerLimits
from pondquay_daemon.relay.ingress import CallerAnswer, IngressServer, RequestHandler

if TYPE_CHECKING:
    from pondquay_daemon.relay.messages import RequestHead


class CallerTransport(StringTransport):
    """A caller's end of a connection."""

    aborted = False

    def abortConnection(self) -> None:
        self.aborted = True
        super().abortConnection()

    def setTcpNoDelay(self, enabled: bool) -> None:
        pass


@dataclass
class Recorder(RequestHandler):
    """Keeps the requests that were read."""

    bounds: CallerLimits = field(default_factory=CallerLimits)
    requests: list[tuple[RequestHead, bytes, CallerAnswer]] = field(
        default_factory=list
    )

    def limits(self) -> CallerLimits:
        return self.bounds

    def handle(self, head: RequestHead, body: bytes, answer: CallerAnswer) -> None:
        self.requests.append((head, body, answer))


@dataclass
class CallerSide:
    """A connection to an ingress server, without a network."""

    clock: Any
    handler: Recorder
    server: IngressServer
    transport: CallerTransport
    protocol: Any

    def send(self, data: bytes) -> None:
        self.protocol.dataReceived(data)

    def sent_back(self) -> bytes:
        return self.transport.value()


@pytest.fixture
def caller() -> CallerSide:
    """A caller that has just connected."""
    clock = MemoryReactorClock()
    handler = Recorder()
    server = IngressServer(clock, handler)
    protocol = server.buildProtocol(None)
    transport = CallerTransport()
    protocol.makeConnection(transport)
    return CallerSide(clock, handler, server, transport, protocol)

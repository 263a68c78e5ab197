"""Helpers for the HTTP endpoints of the stand-ins."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from twisted.internet import reactor as _reactor
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.web.server import Site

if TYPE_CHECKING:
    from klein import Klein
    from twisted.web.server import Request

reactor: Any = _reactor


def read_body(request: Request) -> Any:
    """Return the JSON body of a request, or an empty object if it has none."""
    assert request.content is not None
    request.content.seek(0)
    return json.loads(request.content.read() or b"{}")


def write_body(request: Request, content: object, status: int = 200) -> bytes:
    """Set the status and content type of a response and return its JSON body."""
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    return json.dumps(content).encode()


def drop_connection(request: Request) -> Deferred[bytes]:
    """Abort a connection without a response.

    :returns: a deferred that never fires
    """
    transport: Any = request.transport
    if transport is not None:
        transport.abortConnection()
    return Deferred()


async def sleep(seconds: float) -> None:
    """Wait without blocking the reactor."""
    deferred: Deferred[None] = Deferred()
    reactor.callLater(seconds, deferred.callback, None)
    await deferred


def serve(app: Klein, port: int) -> None:
    """Serve an application on the loopback address until the process ends."""
    site = Site(app.resource())
    site.noisy = False
    TCP4ServerEndpoint(reactor, port, interface="127.0.0.1").listen(site)
    reactor.run()

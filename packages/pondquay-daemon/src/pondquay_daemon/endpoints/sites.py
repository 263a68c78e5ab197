"""Serves klein applications with a limit on the size of request bodies."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.web.server import Request, Site

if TYPE_CHECKING:
    from klein import Klein
    from twisted.internet.interfaces import IListeningPort

    from pondquay.addresses import Address

TOO_LARGE = "Pondquay-Too-Large"
IDLE_SECONDS = 120


class BoundedRequest(Request):
    """A request that sets ``too_large`` and stops storing a body over the limit."""

    max_bytes = 1 << 20
    too_large = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Set ``too_large`` if the announced length of the body is over the limit."""
        if length is not None and length > self.max_bytes:
            self.too_large = True
        announced = 0 if self.too_large else length
        super().gotLength(announced)  # type: ignore[no-untyped-call]

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Store a chunk of the body, unless the body is over the limit."""
        if self.too_large:
            return
        assert self.content is not None
        if self.content.tell() + len(data) > self.max_bytes:
            self.too_large = True
            return
        super().handleContentChunk(data)  # type: ignore[no-untyped-call]


async def listen_http(
    reactor: Any, address: Address, app: Klein, max_bytes: int
) -> IListeningPort:
    """Serve an application at an address.

    :param max_bytes: maximum size of a request's body
    """

    class LimitedRequest(BoundedRequest):
        pass

    LimitedRequest.max_bytes = max_bytes
    site = Site(app.resource(), requestFactory=LimitedRequest, timeout=IDLE_SECONDS)
    site.displayTracebacks = False
    site.noisy = False
    endpoint = TCP4ServerEndpoint(reactor, address.port, interface=address.host)
    port: IListeningPort = await endpoint.listen(site)
    return port

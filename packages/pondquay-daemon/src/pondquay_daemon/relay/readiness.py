"""The balancer's question whether an instance takes connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routes.entities import CallerLimits
from pondquay_daemon.relay.admission import UNAVAILABLE
from pondquay_daemon.relay.ingress import RequestHandler

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay_daemon.relay.ingress import CallerResponse
    from pondquay_daemon.relay.messages import RequestHead

OK = 200


class ReadinessHandler(RequestHandler):
    """Tells the balancer whether the relay is ready.

    :param path: that the balancer asks for
    """

    def __init__(self, path: bytes, is_ready: Callable[[], bool]) -> None:
        self._path = path
        self._is_ready = is_ready

    def limits(self) -> CallerLimits:
        """Return what a balancer may send."""
        return CallerLimits(body_bytes=0)

    def handle(self, head: RequestHead, body: bytes, response: CallerResponse) -> None:
        """Answer one question."""
        ready = head.target == self._path and self._is_ready()
        response.send_complete(OK if ready else UNAVAILABLE, [], b"")

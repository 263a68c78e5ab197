"""The readiness endpoint for load balancers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routes.entities import CallerLimits
from pondquay_daemon.relay.admission import UNAVAILABLE
from pondquay_daemon.relay.handlers import RequestHandler

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay_daemon.relay.handlers import CallerResponse
    from pondquay_daemon.relay.messages import RequestHead

OK = 200


class ReadinessHandler(RequestHandler):
    """Answers readiness probes of the load balancer.

    :param path: path of the probes
    """

    def __init__(self, path: bytes, is_ready: Callable[[], bool]) -> None:
        self._path = path
        self._is_ready = is_ready

    def limits(self) -> CallerLimits:
        """Return the limits for probes, which have no body."""
        return CallerLimits(body_bytes=0)

    def handle(self, head: RequestHead, body: bytes, response: CallerResponse) -> None:
        """Respond 200 if the path matches and the instance is ready, else 503."""
        ready = head.target == self._path and self._is_ready()
        response.send_complete(OK if ready else UNAVAILABLE, [], b"")

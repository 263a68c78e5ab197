"""Serves a relay's metrics and a dump of its state to operators."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from pondquay.routes.entities import CallerLimits
from pondquay_daemon.relay.handlers import RequestHandler

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from typing import Any

    from pondquay_daemon.relay.handlers import CallerResponse
    from pondquay_daemon.relay.messages import RequestHead

OK = 200
NOT_FOUND = 404
METRICS_PATH = "/metrics"
DUMP_PATH = "/dump"
METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
JSON_TYPE = b"application/json"


class ReportHandler(RequestHandler):
    """Handles requests for metrics and state dumps.

    :param render_metrics: returns all metrics as text
    :param describe: returns a dump of the state
    """

    def __init__(
        self,
        render_metrics: Callable[[], bytes],
        describe: Callable[[], Mapping[str, Any]],
    ) -> None:
        self._render_metrics = render_metrics
        self._describe = describe

    def limits(self) -> CallerLimits:
        """Return the limits of requests, which have no body."""
        return CallerLimits(body_bytes=0)

    def handle(self, head: RequestHead, body: bytes, response: CallerResponse) -> None:
        """Respond to a request."""
        if head.path == METRICS_PATH:
            headers = [(b"Content-Type", METRICS_TYPE)]
            response.send_complete(OK, headers, self._render_metrics())
        elif head.path == DUMP_PATH:
            text = json.dumps(self._describe(), indent=2)
            headers = [(b"Content-Type", JSON_TYPE)]
            response.send_complete(OK, headers, text.encode())
        else:
            response.send_complete(NOT_FOUND, [], b"try /metrics or /dump\n")

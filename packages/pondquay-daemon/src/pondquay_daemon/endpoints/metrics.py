"""The metrics endpoint: metrics, liveness and readiness."""

from __future__ import annotations

from typing import TYPE_CHECKING

from klein import Klein
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from pondquay_daemon.endpoints.answers import UNAVAILABLE, write_json

if TYPE_CHECKING:
    from twisted.web.server import Request

    from pondquay_daemon.parts import InstanceParts


class MetricsEndpoint:
    """Serves ``/metrics``, ``/health`` and ``/ready``."""

    def __init__(self, parts: InstanceParts) -> None:
        self._parts = parts
        self.app = Klein()
        self.app.route("/metrics", methods=["GET"])(self.show_metrics)
        self.app.route("/health", methods=["GET"])(self.show_health)
        self.app.route("/ready", methods=["GET"])(self.show_ready)

    def show_metrics(self, request: Request) -> bytes:
        """Return all metrics in the text format."""
        self._update()
        request.setHeader("Content-Type", CONTENT_TYPE_LATEST)
        return generate_latest(self._parts.metrics.registry)

    def _update(self) -> None:
        parts = self._parts
        metrics = parts.metrics
        holdings = parts.grants.holder.holdings.values()
        metrics.running.set(parts.runner.running())
        metrics.waiting.set(parts.upstreams.waiting())
        metrics.version.set(parts.configuration.document.version)
        metrics.peers.set(parts.peers.count())
        metrics.platform_up.set(1 if parts.platform.reachable else 0)
        metrics.table_writes.set(parts.platform.writes)
        metrics.table_reads.set(parts.platform.reads)
        metrics.peer_bytes.set(parts.peers.links.sent_bytes)
        metrics.peer_messages.set(parts.peers.links.sent_messages)
        metrics.links_cut.set(parts.peers.links.cut_off)
        metrics.unsafe_bills.set(parts.grants.unsafe_bills)
        metrics.grants_held.set(parts.grants.holder.count_open())
        metrics.held_tokens.set(sum(one.amount - one.spent for one in holdings))

    def show_health(self, request: Request) -> bytes:
        """Say that the process runs."""
        return write_json(request, {"instance": str(self._parts.instance)})

    def show_ready(self, request: Request) -> bytes:
        """Say whether the balancer should send callers here."""
        ready = self._parts.ready
        return write_json(request, {"ready": ready}, 200 if ready else UNAVAILABLE)

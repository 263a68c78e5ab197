"""The endpoint for metrics, liveness and readiness."""

from __future__ import annotations

from typing import TYPE_CHECKING

from klein import Klein
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from pondquay_daemon.endpoints.responses import UNAVAILABLE, write_json

if TYPE_CHECKING:
    from twisted.web.server import Request

    from pondquay_daemon.components import InstanceComponents


class MetricsEndpoint:
    """Serves ``/metrics``, ``/health`` and ``/ready``."""

    def __init__(self, components: InstanceComponents) -> None:
        self._components = components
        self.app = Klein()
        self.app.route("/metrics", methods=["GET"])(self.show_metrics)
        self.app.route("/health", methods=["GET"])(self.show_health)
        self.app.route("/ready", methods=["GET"])(self.show_ready)

    def show_metrics(self, request: Request) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self._update()
        request.setHeader("Content-Type", CONTENT_TYPE_LATEST)
        return generate_latest(self._components.metrics.registry)

    def _update(self) -> None:
        components = self._components
        metrics = components.metrics
        holdings = components.grants.holder.holdings.values()
        metrics.running.set(components.runner.count_running())
        metrics.waiting.set(components.upstreams.count_waiting())
        metrics.version.set(components.configuration.document.version)
        metrics.peers.set(components.peers.count())
        metrics.platform_up.set(1 if components.platform.reachable else 0)
        metrics.table_writes.set(components.platform.writes)
        metrics.table_reads.set(components.platform.reads)
        metrics.peer_bytes.set(components.peers.links.sent_bytes)
        metrics.peer_messages.set(components.peers.links.sent_messages)
        metrics.links_cut.set(components.peers.links.aborted_links)
        metrics.unrecorded_bills.set(components.grants.unrecorded_bills)
        metrics.grants_held.set(components.grants.holder.count_open())
        metrics.held_tokens.set(
            sum(holding.amount - holding.spent for holding in holdings)
        )

    def show_health(self, request: Request) -> bytes:
        """Return the instance's identifier as a sign of liveness."""
        return write_json(request, {"instance": str(self._components.instance)})

    def show_ready(self, request: Request) -> bytes:
        """Return whether the load balancer should route callers to this instance."""
        ready = self._components.ready
        return write_json(request, {"ready": ready}, 200 if ready else UNAVAILABLE)

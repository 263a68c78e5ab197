"""Metrics of a relay, in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

if TYPE_CHECKING:
    from collections import Counter as Counts

    from pondquay.budgets.accounts import RefusalReason

SECONDS_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.34, 0.6, 0.8, 1.5, 3.0, 6.0, 12.0)


class RelayMetrics:
    """The metrics of one relay. All label values come from small fixed sets.

    :param suppressed: numbers of log lines that were not written, by event
    """

    def __init__(self, suppressed: Counts[str]) -> None:
        self._suppressed = suppressed
        self.registry = CollectorRegistry()
        self.requests = self._counter("requests", "Requests by final status", "status")
        self.refusals = self._counter(
            "tokens_refused", "Requests refused for lack of tokens", "reason"
        )
        self.attempts = self._counter("attempts", "Attempts by outcome", "end")
        self.lost = self._counter(
            "lost_attempts",
            "Attempts whose response was lost, by how far it was",
            "stage",
        )
        self.silences = self._counter(
            "silent_upstreams",
            "Silences of upstreams on a request, by whether the upstream was left or"
            " why the request waits on",
            "decision",
        )
        self.left_requests = self._counter(
            "left_requests",
            "Requests that left a silent upstream, by whether they were served, failed"
            " or were stopped",
            "end",
        )
        self.broken = self._counter(
            "broken_upstreams",
            "Upstreams whose connections broke, by whether they still accept new ones",
            "listens",
        )
        self.callers_closed = self._counter(
            "caller_connections_closed",
            "Callers' connections that this instance closed by itself",
            "reason",
        )
        self.connections = self._counter(
            "upstream_connections", "Connections to upstreams by outcome", "end"
        )
        self.tunnels_served = self._counter(
            "tunnels_served", "Tunnels that peers requested, by outcome", "end"
        )
        self.tunnels_open = self._gauge(
            "tunnels_open", "Tunnels that this instance carries for peers"
        )
        self.paths_lost = self._gauge(
            "upstream_paths_lost",
            "Upstreams that peers reach and this instance does not",
        )
        self.paths_down = self._gauge(
            "upstream_paths_down",
            "Upstreams to which the last connection of this instance failed",
        )
        self.retries = self._counter(
            "retries", "Retries requested, by whether they were granted", "granted"
        )
        self.retries_used = self._counter(
            "retries_used", "Retries used, by why the request is sent again", "cause"
        )
        self.streams_continued = self._counter(
            "streams_continued",
            "Streams that went on at another upstream within an answer, by whether the"
            " version of its software is the one that began them",
            "version",
        )
        self.streams_taken_up = self._counter(
            "streams_taken_up",
            "Streams that callers took up again, by what is known of their origin",
            "origin",
        )
        self.stream_origins = self._gauge(
            "stream_origins", "Streams of which this instance keeps the origin"
        )
        self.tokens = self._counter("tokens", "Tokens reserved and used", "kind")
        self.loans = self._counter("loan_tokens", "Tokens lent and borrowed", "way")
        self.placements = self._counter(
            "placements",
            "Chosen upstreams, by what spoke against the first in rank",
            "reason",
        )
        self.suppressed_lines = Gauge(
            "pondquay_log_lines_left_out",
            "Log lines that were not written since the start",
            ["event"],
            registry=self.registry,
        )
        self.first_byte = self._histogram(
            "first_byte", "To the first byte of a response"
        )
        self.duration = self._histogram("request", "To the end of a response")
        self.version = self._gauge(
            "configuration_version", "Version of the configuration in force"
        )
        self.store_up = self._gauge("store_up", "1 if the store responds")
        self.peers = self._gauge("peers", "Instances to which a link is open")
        self.upstreams = self._gauge("upstreams", "Upstreams that may receive requests")
        self.backoff = self._gauge(
            "upstreams_in_backoff",
            "Upstreams to which this instance sends nothing until their back-off ends",
        )
        self.permits = self._counter(
            "permits", "Permits to send to limited upstreams, and refusals", "way"
        )
        self.limited = self._gauge(
            "upstreams_limited", "Upstreams with a rate limit for all instances"
        )
        # The names on the wire call evacuated domains emptied.
        self.evacuated = self._gauge("emptied_domains", "Evacuated domains")
        self.busiest = self._gauge(
            "busiest_upstream_requests",
            "Estimated requests of all instances at the busiest upstream",
        )
        self.slow_upstreams = self._gauge(
            "slow_upstreams", "Upstreams that get fewer prompts as they are slow"
        )
        self.evacuations_version = self._gauge(
            "emptied_domains_version",
            "Table version of the last known change of evacuated domains",
        )
        self.malformed = self._gauge(
            "malformed_rows", "Rows of the list of upstreams that cannot be parsed"
        )
        self.blocked = self._gauge(
            "blocked_contents",
            "Request contents that are refused since upstreams crashed under them",
        )
        self.blocked_parts = self._gauge(
            "blocked_parts",
            "Parts of prompts under which upstreams crashed; requests are refused for"
            " them",
        )
        self.blocked_waiting_parts = self._gauge(
            "blocked_waiting_parts",
            "Parts of prompts of requests without a response when upstreams crashed;"
            " requests are refused for them",
        )
        self.unspent = self._gauge(
            "unspent_tokens", "Tokens that can be reserved now, all workspaces"
        )
        self.reserved = self._gauge(
            "reserved_tokens", "Tokens reserved for running requests, all workspaces"
        )
        self.held = self._gauge(
            "workspaces_held_by_demand",
            "Workspaces of which this instance holds an allotment because of its"
            " demand",
        )
        self.removals = self._gauge(
            "planned_removals",
            "Idle entries of allotment rows that this instance is about to remove",
        )
        self.unaccounted = self._gauge(
            "unaccounted_tokens",
            "Tokens of ended incarnations that are not known to be spent,"
            " all workspaces",
        )
        self.kept = self._gauge(
            "kept_bytes", "Bytes kept for callers, upstreams and peers"
        )
        self.bodies_waiting = self._gauge(
            "bodies_waiting", "Bodies of requests that wait for room"
        )
        self.unread = self._gauge(
            "unread_connections", "Connections whose other end has stopped reading"
        )
        self.broken_off = self._gauge(
            "broken_off_connections",
            "Connections broken off since the start to free memory",
        )
        self.waiting = self._gauge("waiting_requests", "Requests that wait for room")
        self.short_services = self._gauge(
            "short_services", "Services whose room is short at this instance"
        )
        self.room_waits = Counter(
            "pondquay_room_wait_seconds",
            "Seconds for which requests waited for room",
            registry=self.registry,
        )
        self.room_refused = Counter(
            "pondquay_room_refused",
            "Requests refused, as there was no room for them in time",
            registry=self.registry,
        )

        self.load_level = self._gauge(
            "load_level", "Load of this instance: 0 idle, 1 busy, 2 overloaded"
        )
        self.refused_overload = self._counter(
            "overload_refusals",
            "Requests refused since this instance is overloaded, by urgency",
            "urgency",
        )
        self.withdrawn = self._gauge(
            "withdrawn", "1 while withdrawn from the load balancer for overload"
        )
        self.added_delay = self._gauge(
            "added_delay_seconds", "Time that this instance adds to a response"
        )

    def note_end(self, status: str, seconds: float, first: float | None) -> None:
        """Count a request that has ended.

        :param status: status of the response, or how the request ended without one
        :param seconds: duration of the request
        :param first: seconds to the first byte, ``None`` if none was sent
        """
        self.requests.labels(status).inc()
        self.duration.observe(seconds)
        if first is not None:
            self.first_byte.observe(first)

    def note_refused(self, reason: RefusalReason) -> None:
        """Count a request that is refused for lack of tokens."""
        self.refusals.labels(reason.value).inc()

    def note_caller_closed(self, reason: str) -> None:
        """Count a caller's connection that this instance closes by itself."""
        self.callers_closed.labels(reason).inc()

    def render(self) -> bytes:
        """Return all metrics as text."""
        for event, count in self._suppressed.items():
            self.suppressed_lines.labels(event).set(count)
        return generate_latest(self.registry)

    def _counter(self, name: str, text: str, label: str) -> Counter:
        return Counter(f"pondquay_{name}", text, [label], registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"pondquay_{name}", text, registry=self.registry)

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            f"pondquay_{name}_seconds",
            f"Seconds: {text}",
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )

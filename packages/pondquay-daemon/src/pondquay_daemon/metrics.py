"""Prometheus metrics of an instance; labels take values from bounded sets only."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

FIRST_TOKEN_BUCKETS = (0.01, 0.02, 0.05, 0.1, 0.2, 0.34, 0.5, 1.0, 2.0, 5.0, 10.0)


class Metrics:
    """All metrics of one instance."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "pondquay_requests_total",
            "Requests by answer",
            ["kind", "code"],
            registry=self.registry,
        )
        self.billed_tokens = Counter(
            "pondquay_billed_tokens_total",
            "Tokens billed here",
            ["workspace"],
            registry=self.registry,
        )
        self.dropped_frames = Counter(
            "pondquay_dropped_frames_total",
            "Frames that did not belong to the answer",
            ["reason"],
            registry=self.registry,
        )
        self.retries = Counter(
            "pondquay_retries_total", "Further attempts", registry=self.registry
        )
        self.resumes = Counter(
            "pondquay_resumes_total", "Streams resumed", registry=self.registry
        )
        self.first_token = Histogram(
            "pondquay_first_token_seconds",
            "Time from arrival to the first piece of an answer",
            buckets=FIRST_TOKEN_BUCKETS,
            registry=self.registry,
        )
        self.running = self._gauge("running", "Requests in progress")
        self.waiting = self._gauge("waiting", "Requests that wait for a place")
        self.version = self._gauge("configuration_version", "Version in force here")
        self.peers = self._gauge("peers", "Peers with a link")
        self.platform_up = self._gauge("platform_up", "1 if the platform answers")
        self.table_writes = self._gauge("table_writes", "Table writes since start")
        self.table_reads = self._gauge("table_reads", "Table reads since start")
        self.peer_bytes = self._gauge("peer_bytes", "Bytes sent to peers since start")
        self.peer_messages = self._gauge("peer_messages", "Messages sent since start")
        self.links_cut = self._gauge("links_cut", "Links cut off since start")
        self.unrecorded_bills = self._gauge(
            "bills_in_one_memory", "Answers that left before their bill was safe"
        )
        self.held_tokens = self._gauge("held_tokens", "Tokens in grants held here")
        self.grants_held = self._gauge(
            "grants_held", "Grants held here that may be drawn on"
        )
        self._number = 0

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"pondquay_{name}", text, registry=self.registry)

    def next_number(self) -> int:
        """Return a number that is unique since the start of this instance."""
        self._number += 1
        return self._number

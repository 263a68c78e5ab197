"""Detection of unreachable failure domains by an instance's own connections.

In a partition or a power failure, all upstreams of a domain become unreachable
together. Once connections to two of them have failed without a response from the domain
in between, the domain is avoided, so that callers don't wait for a connection timeout
at each of its upstreams in turn.
"""

from __future__ import annotations

# Number of failed upstreams, without a response from the domain in between, from which
# the domain counts as unreachable. A single failure is often just a crash:
# a sixth of a service's upstreams may be down at once in an ordinary fault.
UNREACHABLE_UPSTREAMS = 2
# Delay after the last failure before an unreachable domain is tried again. A trial that
# fails delays one or two callers by the time-out of a connection.
UNREACHABLE_SECONDS = 1.0


class DomainReach:
    """Tracks the reachability of each failure domain."""

    def __init__(self) -> None:
        self._failed: dict[str, set[str]] = {}
        self._failed_at: dict[str, float] = {}

    def note_failed(self, domain: str, upstream: str, now: float) -> None:
        """Record a failed connection to an upstream."""
        self._failed.setdefault(domain, set()).add(upstream)
        self._failed_at[domain] = now

    def note_response(self, domain: str) -> None:
        """Record a response from any upstream of the domain."""
        if domain in self._failed:
            del self._failed[domain]

    def is_unreachable(self, domain: str, now: float) -> bool:
        """Return whether requests should avoid the domain for now."""
        failed = self._failed.get(domain)
        if failed is None or len(failed) < UNREACHABLE_UPSTREAMS:
            return False
        return now < self._failed_at[domain] + UNREACHABLE_SECONDS

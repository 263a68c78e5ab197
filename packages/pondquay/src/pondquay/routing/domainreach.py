"""Failure domains that cannot be reached from an instance, by its own connections.

Upstreams of a domain become unreachable together in a partition or a power failure.
Two failed connections without a response from the domain in between are enough here, so
that callers don't wait for a connection timeout at each of its upstreams in turn.
"""

from __future__ import annotations

# Upstreams of a domain that fail in a row, without a response from any, until the
# domain counts as unreachable. A single failure is often just a crash.
UNREACHABLE_UPSTREAMS = 2
# Seconds after the last failure until an unreachable domain is tried again.
UNREACHABLE_SECONDS = 1.0


class DomainReach:
    """Reachability of each failure domain by an instance's own connections."""

    def __init__(self) -> None:
        self._failed: dict[str, set[str]] = {}
        self._failed_at: dict[str, float] = {}

    def note_failed(self, domain: str, upstream: str, now: float) -> None:
        """Record a failed connection to an upstream."""
        self._failed.setdefault(domain, set()).add(upstream)
        self._failed_at[domain] = now

    def note_response(self, domain: str) -> None:
        """Record a response of any upstream of the domain."""
        if domain in self._failed:
            del self._failed[domain]

    def is_unreachable(self, domain: str, now: float) -> bool:
        """Return whether the domain is to be avoided for now."""
        failed = self._failed.get(domain)
        if failed is None or len(failed) < UNREACHABLE_UPSTREAMS:
            return False
        return now < self._failed_at[domain] + UNREACHABLE_SECONDS

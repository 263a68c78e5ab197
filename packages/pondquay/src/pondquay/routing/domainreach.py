"""Which failure domains cannot be reached from an instance, by its own connections.

Upstreams of a domain go dark together: the domain is cut off, or it is without power.
An instance that judges each upstream by itself finds that out once for each, and every
time a caller waits for a connection that does not come. Here a second one is enough, if
nothing at all was heard from the domain since the first.
"""

from __future__ import annotations

# Upstreams of a domain that fail in a row, with nothing heard from any, for the domain
# to count as dark. One alone is often a single crash: a sixth of a service's upstreams
# may be down at the same time in an ordinary fault.
UNREACHABLE_UPSTREAMS = 2
# Seconds after the last failure for which a dark domain is left to others. Then it is
# tried again, at the price of half a second of one or two callers.
UNREACHABLE_SECONDS = 1.0


class DomainReach:
    """What an instance's connections tell of each failure domain."""

    def __init__(self) -> None:
        self._failed: dict[str, set[str]] = {}
        self._failed_at: dict[str, float] = {}

    def note_failed(self, domain: str, upstream: str, now: float) -> None:
        """Note that no connection to an upstream could be made."""
        self._failed.setdefault(domain, set()).add(upstream)
        self._failed_at[domain] = now

    def note_response(self, domain: str) -> None:
        """Note that an upstream of the domain has said something."""
        if domain in self._failed:
            del self._failed[domain]

    def is_unreachable(self, domain: str, now: float) -> bool:
        """Tell whether the domain should be left to others for the moment."""
        failed = self._failed.get(domain)
        if failed is None or len(failed) < UNREACHABLE_UPSTREAMS:
            return False
        return now < self._failed_at[domain] + UNREACHABLE_SECONDS

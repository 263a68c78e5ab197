"""Versions of upstreams' software that have served lately."""

from __future__ import annotations

from collections import defaultdict

# Longer than callers wait before they take a stream up.
RECENT_SECONDS = 600.0


class SoftwareHistory:
    """Remembers for each service which versions of its software have served lately."""

    def __init__(self) -> None:
        self._listed_at: defaultdict[str, dict[str, float]] = defaultdict(dict)

    def note_listed(self, service: str, software: str, now: float) -> None:
        """Record that an upstream with a version is listed.

        :param now: in seconds
        """
        self._listed_at[service][software] = now

    def list_recent(self, service: str, now: float) -> list[str]:
        """Return the versions that were listed within ``RECENT_SECONDS``."""
        versions = self._listed_at[service]
        for software, listed_at in list(versions.items()):
            if now - listed_at > RECENT_SECONDS:
                del versions[software]
        return list(versions)

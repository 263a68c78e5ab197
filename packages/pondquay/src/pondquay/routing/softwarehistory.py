"""Versions of upstreams' software that have served lately."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Longer than callers wait before they take a stream up.
RECENT_SECONDS = 600.0


class SoftwareHistory:
    """Remembers for each service which versions of its software have served lately.

    :ivar on_new: each is called with a service and a version that was not known
    """

    def __init__(self) -> None:
        self.on_new: list[Callable[[str, str], None]] = []
        self._listed_at: defaultdict[str, dict[str, float]] = defaultdict(dict)

    def note_listed(self, service: str, software: str, at: float) -> None:
        """Record that an upstream with a version was listed.

        :param at: when it was listed, in seconds
        """
        versions = self._listed_at[service]
        is_new = software not in versions
        versions[software] = max(at, versions.get(software, at))
        if not is_new:
            return
        for notify in self.on_new:
            notify(service, software)

    def is_mixed(self, service: str, now: float) -> bool:
        """Return whether several versions of a service have served lately."""
        return len(self.list_recent(service, now)) > 1

    def list_recent(self, service: str, now: float) -> list[str]:
        """Return the versions that were listed within ``RECENT_SECONDS``."""
        self._forget_old(service, now)
        return list(self._listed_at[service])

    def list_ages(self, now: float) -> list[tuple[str, str, float]]:
        """Return each service and recent version, and the seconds since its listing."""
        for service in list(self._listed_at):
            self._forget_old(service, now)
        return [
            (service, software, max(0.0, now - listed_at))
            for service, versions in self._listed_at.items()
            for software, listed_at in versions.items()
        ]

    def _forget_old(self, service: str, now: float) -> None:
        versions = self._listed_at[service]
        for software, listed_at in list(versions.items()):
            if now - listed_at > RECENT_SECONDS:
                del versions[software]

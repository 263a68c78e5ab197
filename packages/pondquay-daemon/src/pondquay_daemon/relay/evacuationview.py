"""Following which failure domains operators empty and take back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.evacuations import Evacuation
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.feeds import TableListener

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay.routing.directory import UpstreamDirectory
    from pondquay_daemon.relay.border import Border
    from pondquay_daemon.relay.store import RowChange, Snapshot

STORE = "store"
PEER = "peer"


class EvacuationView(TableListener):
    """Keeps the directory's emptied domains up to date, and passes news on.

    :param cold_seconds: returns for how long upstreams of a service are cold
    :param announce: tells peers; called once with each piece of news, wherever it came
        from, so that it also reaches those that the table does not serve
    """

    def __init__(
        self,
        border: Border,
        directory: UpstreamDirectory,
        cold_seconds: Callable[[str], float],
        announce: Callable[[Evacuation], None],
    ) -> None:
        self._border = border
        self._directory = directory
        self._cold_seconds = cold_seconds
        self._announce = announce

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Take in the table as a whole."""
        evacuated: dict[str, int] = {}
        for row in snapshot.rows:
            domain = self._border.find_evacuated_domain(row.key)
            if domain is not None:
                evacuated[domain] = row.version
        for news in self._directory.evacuations.replace(evacuated, snapshot.version):
            self._act(news, STORE)

    def apply_change(self, change: RowChange) -> None:
        """Take in one row."""
        domain = self._border.find_evacuated_domain(change.key)
        if domain is not None:
            news = Evacuation(domain, change.version, change.value is not None)
            self._take(news, STORE)

    def receive(self, news: Evacuation) -> None:
        """Take in what a peer knows."""
        self._take(news, PEER)

    def _take(self, news: Evacuation, source: str) -> None:
        if self._directory.evacuations.merge(news):
            self._act(news, source)

    def _act(self, news: Evacuation, source: str) -> None:
        log_event(
            "domain-emptied" if news.evacuated else "domain-taken-back",
            Level.WARNING,
            domain=news.domain,
            version=news.version,
            source=source,
        )
        if not news.evacuated:
            self._directory.note_restored(news.domain, self._cold_seconds)
        self._announce(news)

"""Tracking which failure domains operators evacuate and restore."""

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
    """Updates the directory's evacuated domains and forwards changes to peers.

    :param cold_seconds: returns the seconds for which a service's upstreams are cold
    :param announce: sends a change to all peers; called once for each change from the
        table or a peer, so that it reaches instances without access to the table
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
        """Apply a snapshot of the table."""
        evacuated: dict[str, int] = {}
        for row in snapshot.rows:
            domain = self._border.find_evacuated_domain(row.key)
            if domain is not None:
                evacuated[domain] = row.version
        for evacuation in self._directory.evacuations.replace(
            evacuated, snapshot.version
        ):
            self._publish(evacuation, STORE)

    def apply_change(self, change: RowChange) -> None:
        """Apply a change of one row."""
        domain = self._border.find_evacuated_domain(change.key)
        if domain is not None:
            evacuation = Evacuation(domain, change.version, change.value is not None)
            self._apply(evacuation, STORE)

    def receive(self, evacuation: Evacuation) -> None:
        """Apply a change that a peer reports."""
        self._apply(evacuation, PEER)

    def _apply(self, evacuation: Evacuation, source: str) -> None:
        if self._directory.evacuations.merge(evacuation):
            self._publish(evacuation, source)

    def _publish(self, evacuation: Evacuation, source: str) -> None:
        log_event(
            "domain-emptied" if evacuation.evacuated else "domain-taken-back",
            Level.WARNING,
            domain=evacuation.domain,
            version=evacuation.version,
            source=source,
        )
        if not evacuation.evacuated:
            self._directory.note_restored(evacuation.domain, self._cold_seconds)
        self._announce(evacuation)

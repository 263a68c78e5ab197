"""Crashes of upstreams: their detection, and who is told of what causes them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_daemon.relay.crashmonitor import CrashMonitor
from pondquay_daemon.relay.crashrows import CONTENTS_TABLE, PARTS_TABLE, CrashRows
from pondquay_daemon.relay.crashsharing import FROM_STORE, CrashSharing
from pondquay_daemon.relay.feeds import TableFeed
from pondquay_daemon.relay.partcrashlinks import PartCrashLinks, WaitingPartLinks

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from typing import Any

    from pondquay_daemon.relay.dialing import Dialer
    from pondquay_daemon.relay.metrics import RelayMetrics
    from pondquay_daemon.relay.peers import PeerMesh
    from pondquay_daemon.relay.store import Store

# Peers report crashes sooner, except to instances that are cut off from them.
POLL_SECONDS = 1.0


class CrashTracking:
    """Connects the detection of crashes with peers and the table.

    :param dialer: opens the connections that check addresses
    :param instance: name of this instance
    :param domains: returns the domain of each known instance, none before their list
        has been read
    :ivar monitor: detects crashes and refuses requests
    :ivar feeds: read the rows of what is refused
    """

    def __init__(
        self,
        reactor: Any,
        dialer: Dialer,
        instance: str,
        peers: PeerMesh,
        domains: Callable[[], Mapping[str, str]],
        store: Store,
        metrics: RelayMetrics,
    ) -> None:
        self._reactor = reactor
        self._store = store
        part_links, waiting_links = PartCrashLinks(peers), WaitingPartLinks(peers)
        self.monitor = CrashMonitor(
            reactor,
            dialer,
            instance,
            domains,
            peers.announce_crashes,
            lambda report: self._rows.schedule_write(report),
            part_links.announce,
            lambda report: self._part_rows.schedule_write(report),
            waiting_links.announce,
            metrics,
        )
        part_links.connect(self.monitor.parts)
        waiting_links.connect(self.monitor.waiting_parts)
        self._rows = self._make_rows(CONTENTS_TABLE, self.monitor.contents)
        self._part_rows = self._make_rows(PARTS_TABLE, self.monitor.parts)
        self.feeds = [
            self._make_feed(CONTENTS_TABLE, self._rows),
            self._make_feed(PARTS_TABLE, self._part_rows),
        ]

    def _make_rows(self, table: str, sharing: CrashSharing) -> CrashRows:
        return CrashRows(
            self._reactor,
            self._store,
            table,
            lambda report: sharing.receive(report, FROM_STORE),
            sharing.history.find,
        )

    def _make_feed(self, table: str, rows: CrashRows) -> TableFeed:
        return TableFeed(
            self._reactor,
            self._store,
            table,
            rows,
            lambda: POLL_SECONDS,
            rereads=False,
        )

"""The parts of a relay that track at which software versions streams begin."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_daemon.relay.originrows import OriginRows
from pondquay_daemon.relay.resuming import StreamResumer
from pondquay_daemon.relay.softwarerecorder import SoftwareRecorder
from pondquay_daemon.relay.streamlinks import StreamLinks

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IReactorTime

    from pondquay.routing.directory import UpstreamDirectory
    from pondquay_daemon.relay.feeds import TableFeed
    from pondquay_daemon.relay.metrics import RelayMetrics
    from pondquay_daemon.relay.peers import PeerMesh
    from pondquay_daemon.relay.settings import RelaySettings
    from pondquay_daemon.relay.store import Store


class StreamTracking:
    """Keeps where streams began, at peers and in the store.

    :param boot: distinguishes this incarnation from others of the instance
    :param find_feeds: returns the feeds of the configuration and of the upstreams
    :ivar software: which versions may have begun streams
    :ivar links: tells peers where streams began, and asks them
    :ivar resumer: chooses where streams that callers take up go on
    """

    def __init__(
        self,
        clock: IReactorTime,
        store: Store,
        settings: RelaySettings,
        boot: str,
        directory: UpstreamDirectory,
        peers: PeerMesh,
        find_feeds: Callable[[], tuple[TableFeed, TableFeed]],
        metrics: RelayMetrics,
    ) -> None:
        self.software = SoftwareRecorder(
            clock,
            store,
            directory,
            lambda: find_feeds()[1].age(),
            lambda: find_feeds()[0].age(),
            lambda: find_feeds()[1].reachable,
            lambda: len(peers.peers),
            first_start=settings.first_start,
        )
        rows = OriginRows(
            clock,
            store,
            f"{settings.instance}:{boot}",
            lambda: len(peers.domains),
        )
        self.links = StreamLinks(
            clock,
            peers,
            settings.instance,
            settings.domain,
            directory.software,
            self.software.is_ambiguous,
            rows,
        )
        self.software.on_routes_changed = self.links.write_open
        self.resumer = StreamResumer(
            directory, self.links, self.software, rows, metrics
        )

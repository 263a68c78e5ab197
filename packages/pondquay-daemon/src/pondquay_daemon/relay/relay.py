"""The relay: its components, its start and its graceful stop."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from uuid import uuid4

from twisted.internet.error import CannotListenError

from pondquay.routing.buffers import BufferPool, choose_limit
from pondquay.routing.coldshares import ColdShares
from pondquay.routing.directory import UpstreamDirectory
from pondquay.routing.issuers import IssuerSelector, LinkedPeers
from pondquay.routing.listwatch import MISSING_GRACE_SECONDS
from pondquay.routing.retryshares import RetryShare
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.accounts import AccountBook
from pondquay_daemon.relay.activitylinks import ActivityLinks
from pondquay_daemon.relay.allotmentrows import TABLE as ALLOTMENTS
from pondquay_daemon.relay.callercloses import CloseRecorder
from pondquay_daemon.relay.components import RelayComponents
from pondquay_daemon.relay.crashtracking import CrashTracking
from pondquay_daemon.relay.evacuationview import EvacuationView
from pondquay_daemon.relay.fairqueues import FairQueues
from pondquay_daemon.relay.feeds import JointListener, TableFeed
from pondquay_daemon.relay.gauges import update_gauges
from pondquay_daemon.relay.gracefulstop import GracefulStop
from pondquay_daemon.relay.ingress import IngressServer
from pondquay_daemon.relay.intake import RequestIntake
from pondquay_daemon.relay.knowledge import ConfigurationView, UpstreamView
from pondquay_daemon.relay.loadlinks import LoadLinks
from pondquay_daemon.relay.member import Member
from pondquay_daemon.relay.members import TABLE as MEMBERS
from pondquay_daemon.relay.members import MemberList
from pondquay_daemon.relay.overloadmonitor import OverloadMonitor
from pondquay_daemon.relay.overloadrefusals import OverloadRefusals
from pondquay_daemon.relay.peerdispatcher import PeerDispatcher
from pondquay_daemon.relay.peers import PeerMesh
from pondquay_daemon.relay.permitlinks import PermitLinks
from pondquay_daemon.relay.permits import PermitBroker
from pondquay_daemon.relay.placement import Placement
from pondquay_daemon.relay.readiness import ReadinessHandler
from pondquay_daemon.relay.reports import ReportHandler
from pondquay_daemon.relay.stallmonitor import StallMonitor
from pondquay_daemon.relay.streamtracking import StreamTracking
from pondquay_daemon.relay.upstreampaths import UpstreamPaths
from pondquay_daemon.relay.withdrawals import WithdrawalMonitor
from pondquay_daemon.tasks import spawn

if TYPE_CHECKING:
    from collections.abc import Iterable
    from typing import Any

    from pondquay.routes.table import RouteTable
    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay_daemon.relay.border import Border
    from pondquay_daemon.relay.metrics import RelayMetrics
    from pondquay_daemon.relay.settings import RelaySettings

# Pauses between polls of the allotments. Most instances of a large fleet hold none, so
# all poll less often there to limit the load on the store. Holders see newer rows also
# when their writes conflict.
ALLOTMENTS_POLL_SECONDS = 0.3
LARGE_FLEET_ALLOTMENTS_POLL_SECONDS = 3.0
# Minimum pause between polls of the upstreams, as a fraction of the departure bound.
# Each heartbeat changes a row and ends a poll, so longer pauses need fewer polls: one
# that lasts a heartbeat brings the row of each upstream once.
UPSTREAMS_POLL_FRACTION = 0.125
# Time for a slow or repeated poll.
SLOW_POLL_SECONDS = 1.0
MEMBERS_POLL_SECONDS = 2.0


class Relay:
    """Serves routed requests at one instance."""

    def __init__(
        self,
        reactor: Any,
        border: Border,
        settings: RelaySettings,
        metrics: RelayMetrics,
    ) -> None:
        self._reactor = reactor
        self._border = border
        self._settings = settings
        self._metrics = metrics
        # A partition takes only a few hundred writes per second, and all instances may
        # start at the same time, so each allotment row has its own partition.
        self._store = border.open_store(settings, reactor, frozenset({ALLOTMENTS}))
        directory = UpstreamDirectory(
            reactor.seconds, lambda: self._upstream_feed.confirmed
        )
        bounds = settings.bounds
        self._member = Member(settings.peers, settings.domain)
        self.peer_dispatcher = PeerDispatcher(directory)
        self._peers = PeerMesh(
            reactor,
            settings.instance,
            self._member,
            settings.seeds,
            self.peer_dispatcher,
        )
        self._members = MemberList(reactor, self._store, self._peers, settings.instance)
        boot = uuid4().hex[:12]
        self._accounts = AccountBook(
            reactor,
            self._store,
            settings.instance,
            boot,
            lambda: self._feed.reachable,
            self._peers,
            lambda: self._members.count > 0,
            metrics,
            settings.policy,
        )
        self.overload = OverloadMonitor(reactor)
        self._loads = LoadLinks(reactor, self._peers, self.overload, settings.domain)
        self._paths = UpstreamPaths(
            reactor,
            settings,
            directory,
            self.overload,
            self._peers,
            self._loads,
            metrics,
        )
        self.streams = StreamTracking(
            reactor,
            self._store,
            settings,
            boot,
            directory,
            self._peers,
            lambda: (self._feed, self._upstream_feed),
            metrics,
        )
        self._crashes = CrashTracking(
            reactor,
            self._paths.dialer,
            settings.instance,
            self._peers,
            lambda: self._members.domains,
            self._store,
            metrics,
        )
        self._withdrawals = WithdrawalMonitor(
            reactor,
            settings.instance,
            self.overload,
            self._loads,
            metrics,
            enabled=settings.policy.withdraw,
        )
        permits = self._make_permits(directory)
        activity = ActivityLinks(
            reactor,
            self._peers,
            directory,
            settings.domain,
            shares=settings.policy.share_loads and settings.policy.weigh_pace,
        )
        self._components = RelayComponents(
            reactor,
            border,
            self._paths.pool,
            directory,
            self._make_placement(directory, permits, activity),
            self._accounts,
            self._make_retry_share(),
            Random(),
            metrics,
            settings.policy,
            lambda: self._upstream_feed.age(),
            lambda: self._members.count,
            self._peers.announce_departure,
            self._paths.announce_backoff,
            self._announce_load,
            self._crashes.monitor,
            permits,
            BufferPool(choose_limit(settings.memory)),
            activity,
            self.overload,
            FairQueues(reactor, metrics),
            self.streams.links,
            self.streams.software,
        )
        self._configuration = ConfigurationView(border, self._apply_table)
        self._upstreams = UpstreamView(
            border,
            directory,
            self._peers.announce_departure,
            self._crashes.monitor.note_row_removed,
        )
        self._evacuations = EvacuationView(
            border,
            directory,
            self._configuration.cold_seconds,
            self._peers.announce_evacuation,
        )
        names = border.store_names
        self._feed = TableFeed(
            reactor,
            self._store,
            names.configuration[0],
            JointListener(self._evacuations, self._configuration),
        )
        self._upstream_feed = TableFeed(
            reactor,
            self._store,
            names.upstreams,
            self._upstreams,
            lambda: choose_upstreams_pause(bounds.departure),
        )
        self._stall_monitor = StallMonitor(reactor, (self._feed, self._upstream_feed))
        self._feeds = [self._feed, self._upstream_feed, *self._make_slow_feeds()]
        self.peer_dispatcher.connect(
            self._feed,
            self._configuration,
            self._accounts,
            self._evacuations,
            self._crashes.monitor,
        )
        overload_refusals = OverloadRefusals(
            self.overload,
            self._loads,
            self._components.random,
            metrics,
            enabled=settings.policy.refuse_overload,
        )
        self._intake = RequestIntake(
            self._components,
            self._configuration,
            self._feed,
            bounds.configuration,
            overload_refusals,
            self.streams.resumer,
        )
        self._caller_server = IngressServer(
            reactor,
            self._intake,
            self._components.buffers,
            CloseRecorder(metrics.note_caller_closed),
        )
        self._withdrawals.connect(self._caller_server)
        self._readiness_server = IngressServer(
            reactor, ReadinessHandler(border.ready_path, lambda: self.ready)
        )
        self._report_server = IngressServer(
            reactor, ReportHandler(self._render_metrics, self.describe)
        )
        self.stopping = False

    def _make_permits(self, directory: UpstreamDirectory) -> PermitBroker:
        settings = self._settings
        linked = LinkedPeers(self._reactor.seconds, lambda: self._members.read_at)
        selector = IssuerSelector(
            settings.instance, settings.domain, lambda: self._members.domains, linked
        )
        return PermitBroker(
            self._reactor,
            settings.instance,
            directory,
            selector,
            PermitLinks(self._reactor, self._peers, linked),
            self._metrics,
        )

    def _make_retry_share(self) -> RetryShare:
        bounds = self._settings.bounds
        return RetryShare(
            bounds.retry_ratio,
            bounds.retry_extra,
            bounds.retry_window,
            lambda: self._members.count,
            self._reactor.seconds() + bounds.retry_window,
        )

    def _make_placement(
        self,
        directory: UpstreamDirectory,
        permits: PermitBroker,
        activity: ActivityLinks,
    ) -> Placement:
        settings = self._settings
        cold_shares = ColdShares(
            settings.instance,
            lambda: self._members.domains,
            lambda service: self._configuration.cold_rate(service),
        )
        return Placement(
            self._reactor,
            directory,
            settings.domain,
            settings.policy,
            cold_shares,
            permits,
            activity,
        )

    def _make_slow_feeds(self) -> list[TableFeed]:
        """Return the feeds of tables whose changes are not urgent."""
        return [
            TableFeed(
                self._reactor,
                self._store,
                ALLOTMENTS,
                self._accounts,
                self._choose_allotments_pause,
                rereads=False,
                latest_only=True,
            ),
            *self._crashes.feeds,
            TableFeed(
                self._reactor,
                self._store,
                MEMBERS,
                self._members,
                lambda: MEMBERS_POLL_SECONDS,
            ),
        ]

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send connections here."""
        known = self._configuration.table is not None and self._upstreams.known
        available = not self.stopping and not self._withdrawals.active
        return known and available and self._stall_monitor.confirmed

    def start(self) -> None:
        """Start to listen and to read the store."""
        settings = self._settings
        for address, server in (
            (settings.callers, self._caller_server),
            (settings.readiness, self._readiness_server),
        ):
            self._reactor.listenTCP(address.port, server, 512, address.host)
        self._paths.start()
        self._listen_reports()
        for feed in self._feeds:
            feed.start()
        self.streams.software.start()
        self._stall_monitor.start()
        self.overload.start()
        self._loads.start()
        self._accounts.start()
        self._peers.start()
        spawn(self._members.join(self._member), "MemberList")
        log_event("started", instance=settings.instance, domain=settings.domain)

    def _listen_reports(self) -> None:
        """Serve reports if their port is free; the relay also works without them."""
        address = self._settings.reports
        if address is None:
            return
        try:
            self._reactor.listenTCP(address.port, self._report_server, 8, address.host)
        except CannotListenError as error:
            log_event("reports-unavailable", Level.WARNING, error=error)

    def describe(self) -> dict[str, Any]:
        """Return a dump of the relay's state, for operators."""
        return {
            "instance": self._settings.instance,
            "domain": self._settings.domain,
            "ready": self.ready,
            "stopping": self.stopping,
            "configuration": self._configuration.version,
            "store": {"reachable": self._feed.reachable, "age": self._feed.age()},
            "peers": self._peers.peers,
            "connections": len(self._caller_server.connections),
            "emptied": self._components.directory.evacuations.describe(),
            "upstreams": self._upstreams.describe(),
            "software": self.streams.software.describe(),
            "malformed": {
                row: error for row, (_, error) in self._upstreams.malformed.items()
            },
            "crashes": self._crashes.monitor.describe(),
            "accounts": self._accounts.describe(),
        }

    def _render_metrics(self) -> bytes:
        metrics = self._metrics
        metrics.version.set(self._configuration.version)
        metrics.store_up.set(1 if self._feed.reachable else 0)
        metrics.peers.set(len(self._peers.peers))
        metrics.tunnels_open.set(len(self._paths.server))
        metrics.malformed.set(len(self._upstreams.malformed))
        update_gauges(self._components)
        return metrics.render()

    async def stop(self) -> None:
        """Stop gracefully: finish open requests, then return unspent tokens."""
        self.stopping = True
        self._caller_server.stopping = True
        self._loads.stopping = True
        self._loads.announce()
        self._paths.begin_stop()
        log_event("stopping", open=len(self._caller_server.connections))
        stop = GracefulStop(
            self._reactor,
            self._settings.bounds.stop,
            self._caller_server,
            self._intake,
            self._paths.server,
        )
        await stop.finish_requests()
        await self._accounts.return_unspent()
        if self._feed.reachable:
            await self._members.leave()
        await stop.send_responses()
        log_event("stopped", open=len(self._caller_server.connections))

    def _choose_allotments_pause(self) -> float:
        all_are_holders = self._members.count <= self._settings.policy.most_holders
        return (
            ALLOTMENTS_POLL_SECONDS
            if all_are_holders
            else LARGE_FLEET_ALLOTMENTS_POLL_SECONDS
        )

    def _announce_load(self, upstream: KnownUpstream, parts: Iterable[str]) -> None:
        if not self._settings.policy.share_loads:
            return
        prompts = upstream.prompts
        self._peers.announce_load(upstream.name, lambda: prompts.own, parts)

    def _apply_table(self, table: RouteTable) -> None:
        self._accounts.apply_table(table)
        self.overload.apply_table(table)
        self.streams.software.apply_table(table)
        self._caller_server.change_limits(table.configuration.limits)
        self._peers.announce_version()


def choose_upstreams_pause(departure: float) -> float:
    """Return the seconds between two polls of the list of upstreams.

    If the departure bound is long enough, the pause leaves time for a slow or repeated
    poll and for the grace period of missing rows.

    :param departure: seconds after which a leaving upstream must get no new work
    """
    spare = departure - MISSING_GRACE_SECONDS - SLOW_POLL_SECONDS
    return max(UPSTREAMS_POLL_FRACTION * departure, spare)

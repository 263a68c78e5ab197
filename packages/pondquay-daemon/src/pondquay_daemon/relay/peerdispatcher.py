"""Dispatch of peers' requests and announcements to the components of a relay."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from pondquay_daemon.logs import log_event
from pondquay_daemon.relay.crashsharing import FROM_PEER
from pondquay_daemon.relay.peerlistener import PeerListener

if TYPE_CHECKING:
    from pondquay.routing.crashes import CrashReport
    from pondquay.routing.directory import UpstreamDirectory
    from pondquay.routing.evacuations import Evacuation
    from pondquay.routing.upstreamrecords import Departure
    from pondquay_daemon.relay.accounts import AccountBook
    from pondquay_daemon.relay.crashmonitor import CrashMonitor
    from pondquay_daemon.relay.evacuationview import EvacuationView
    from pondquay_daemon.relay.feeds import TableFeed
    from pondquay_daemon.relay.knowledge import ConfigurationView


class PeerDispatcher(PeerListener):
    """Dispatches messages of peers to the components of a relay.

    The mesh is created before most components, since they send messages through it.
    ``connect`` has to be called before the first link opens.
    """

    _feed: TableFeed
    _configuration: ConfigurationView
    _accounts: AccountBook
    _evacuations: EvacuationView
    _crashes: CrashMonitor

    def __init__(self, directory: UpstreamDirectory) -> None:
        self._directory = directory

    def connect(
        self,
        feed: TableFeed,
        configuration: ConfigurationView,
        accounts: AccountBook,
        evacuations: EvacuationView,
        crashes: CrashMonitor,
    ) -> None:
        """Set the components to which messages are dispatched."""
        self._feed = feed
        self._configuration = configuration
        self._accounts = accounts
        self._evacuations = evacuations
        self._crashes = crashes

    def configuration_version(self) -> int:
        """Return the version of this instance's configuration, 0 if there is none."""
        return self._configuration.version

    def store_reachable(self) -> bool:
        """Return whether this instance can reach the store."""
        return self._feed.reachable

    def configuration_value(self) -> dict[str, Any] | None:
        """Return the configuration as operators wrote it, ``None`` if unknown."""
        value = self._configuration.value
        return None if value is None else dict(value)

    def offer_configuration(self, value: dict[str, Any]) -> None:
        """Apply a peer's configuration if it is newer."""
        self._configuration.offer(value)

    def receive_load(
        self, instance: str, upstream: str, tokens: int, parts: list[str]
    ) -> None:
        """Record a peer's prompt tokens that wait at an upstream."""
        known = self._directory.find(upstream)
        if known is not None:
            known.prompts.receive(instance, tokens)
            known.prompts.note_prefilled(parts)

    def forget_loads(self, instance: str) -> None:
        """Discard the loads of a peer that is unreachable."""
        self._directory.forget_instance(instance)

    def departures(self) -> list[Departure]:
        """Return the known departures of upstreams, the newest last."""
        return self._directory.departures()

    def receive_departure(self, departure: Departure) -> None:
        """Record and log a departure that a peer reports."""
        if self._directory.receive(departure):
            log_event(
                "upstream-leaves",
                upstream=departure.name,
                version=departure.version or "for good",
                source=FROM_PEER,
            )

    def evacuations(self) -> list[Evacuation]:
        """Return the latest change of each domain that was ever evacuated."""
        return self._directory.evacuations.updates()

    def receive_evacuation(self, evacuation: Evacuation) -> None:
        """Record a change of a domain that a peer reports."""
        self._evacuations.receive(evacuation)

    def crash_reports(self) -> list[CrashReport]:
        """Return the reports on crashes to send on a new link."""
        return self._crashes.contents.list_announced()

    def receive_crash(self, report: CrashReport) -> None:
        """Merge a peer's report on crashes."""
        self._crashes.contents.receive(report, FROM_PEER)

    def lend(self, workspace: str, tokens: int, headroom: int) -> int:
        """Lend tokens to a peer; return how many."""
        return self._accounts.lend(workspace, tokens, headroom)

    def co_lenders(self) -> frozenset[str]:
        """Return the instances that lend for the same workspaces as this instance."""
        return self._accounts.co_lenders()

    def receive_loan(
        self, workspace: str, tokens: int, *, returned: bool = False
    ) -> None:
        """Credit tokens that a peer has transferred."""
        self._accounts.receive_loan(workspace, tokens, returned=returned)

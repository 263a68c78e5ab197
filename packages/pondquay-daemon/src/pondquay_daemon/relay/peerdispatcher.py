"""What peers ask of this instance and tell it, handed to the parts that it concerns."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from pondquay_daemon.logs import log_event
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

# Where news came from, for the logs.
FROM_PEER = "peer"
FROM_STORE = "store"
# Contents that are told on a new link, so that a start does not fill links. Later
# reports of the others make up for what is not told.
MAX_BLOCKED_TOLD = 64
MAX_SUSPECTED_TOLD = 64


class PeerDispatcher(PeerListener):
    """Hands messages of peers to the parts of a relay.

    The links are made before most parts, which tell peers through them; no link opens
    before the parts are connected.
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
        """Take the parts that messages are for."""
        self._feed = feed
        self._configuration = configuration
        self._accounts = accounts
        self._evacuations = evacuations
        self._crashes = crashes

    def configuration_version(self) -> int:
        """Return the version in force here, 0 if there is none."""
        return self._configuration.version

    def store_reachable(self) -> bool:
        """Tell whether the store serves this instance."""
        return self._feed.reachable

    def configuration_value(self) -> dict[str, Any] | None:
        """Return the configuration as the operators wrote it."""
        value = self._configuration.value
        return None if value is None else dict(value)

    def offer_configuration(self, value: dict[str, Any]) -> None:
        """Take in a configuration that a peer has."""
        self._configuration.offer(value)

    def receive_load(
        self, instance: str, upstream: str, tokens: int, parts: list[str]
    ) -> None:
        """Take in what a peer has waiting at an upstream."""
        known = self._directory.find(upstream)
        if known is not None:
            known.prompts.receive(instance, tokens)
            known.prompts.note_prefilled(parts)

    def forget_loads(self, instance: str) -> None:
        """Take in that a peer cannot be heard."""
        self._directory.forget_instance(instance)

    def departures(self) -> list[Departure]:
        """Return what is known here of upstreams that leave."""
        return self._directory.departures()

    def receive_departure(self, departure: Departure) -> None:
        """Take in that a peer knows of an upstream's leaving."""
        if self._directory.receive(departure):
            log_event(
                "upstream-leaves",
                upstream=departure.name,
                version=departure.version or "for good",
                source=FROM_PEER,
            )

    def evacuations(self) -> list[Evacuation]:
        """Return what is known here of emptied domains."""
        return self._directory.evacuations.updates()

    def receive_evacuation(self, news: Evacuation) -> None:
        """Take in a peer's news of an emptied domain."""
        self._evacuations.receive(news)

    def crash_reports(self) -> list[CrashReport]:
        """Return what is known here of contents under which upstreams crashed."""
        history = self._crashes.history
        blocked = history.blocked()[:MAX_BLOCKED_TOLD]
        return blocked + history.suspected()[:MAX_SUSPECTED_TOLD]

    def receive_crash(self, report: CrashReport) -> None:
        """Take in what a peer knows of such a content."""
        self._crashes.receive(report, FROM_PEER)

    def lend(self, workspace: str, tokens: int, headroom: int) -> int:
        """Hand tokens to a peer."""
        return self._accounts.lend(workspace, tokens, headroom)

    def co_lenders(self) -> frozenset[str]:
        """Return the instances that lend for the same workspaces as this one."""
        return self._accounts.co_lenders()

    def receive_loan(
        self, workspace: str, tokens: int, *, returned: bool = False
    ) -> None:
        """Take tokens from a peer."""
        self._accounts.receive_loan(workspace, tokens, returned=returned)

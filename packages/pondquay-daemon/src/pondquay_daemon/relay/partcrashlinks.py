"""Messages between instances about parts of prompts that crash upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from pondquay_daemon.relay.crashsharing import FROM_PEER
from pondquay_daemon.relay.peermessages import (
    PartCrashReports,
    PartCrashStates,
    WaitingPartReports,
    WaitingPartStates,
)
from pondquay_daemon.relay.peertopics import PeerTopic

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from pondquay.routing.crashes import CrashReport
    from pondquay_daemon.relay.crashsharing import CrashSharing
    from pondquay_daemon.relay.peerlinks import PeerLink
    from pondquay_daemon.relay.peermessages import PeerMessage
    from pondquay_daemon.relay.peers import PeerMesh


class PartCrashLinks(PeerTopic):
    """Exchanges crash reports of parts with peers.

    ``connect`` has to be called before the first link opens.
    """

    REPORTS: ClassVar[type[PartCrashStates]] = PartCrashStates
    MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (
        PartCrashStates,
        PartCrashReports,
    )

    _parts: CrashSharing

    def __init__(self, mesh: PeerMesh) -> None:
        self._mesh = mesh
        mesh.add_topic(self)

    def connect(self, parts: CrashSharing) -> None:
        """Set where the reports of peers are merged."""
        self._parts = parts

    def announce(self, reports: Iterable[CrashReport]) -> None:
        """Announce reports to all peers."""
        self._mesh.broadcast(self.REPORTS.pack(reports))

    def make_greeting(self) -> PartCrashStates | None:
        """Return the known reports, if there are any."""
        reports = self._parts.list_announced()
        return self.REPORTS.pack(reports) if reports else None

    def note_supported(self, link: PeerLink) -> None:
        """Do nothing: a peer that does not know the message passes over it."""

    def receive(self, link: PeerLink, message: PeerMessage) -> None:
        """Merge a peer's reports."""
        if isinstance(message, PartCrashStates | PartCrashReports):
            for report in message.unpack():
                self._parts.receive(report, FROM_PEER)

    def note_disconnected(self, link: PeerLink) -> None:
        """Do nothing: what a peer has reported remains valid."""

    def list_requested(self) -> Collection[str]:
        """Return no instance: reports are forwarded along existing links."""
        return ()


class WaitingPartLinks(PartCrashLinks):
    """Exchanges reports of parts whose responses had not begun."""

    REPORTS: ClassVar[type[PartCrashStates]] = WaitingPartStates
    MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (
        WaitingPartStates,
        WaitingPartReports,
    )

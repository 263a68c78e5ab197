"""What an instance knows of its peers.

Suspicion comes from silence and is only ever used for what is safe when it is wrong:
sealing grants, choosing another witness, asking elsewhere.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pondquay.membership.messages import Heartbeat
    from pondquay.names import InstanceId

SUSPECT_AFTER_SECONDS = 3.0


@dataclass(slots=True)
class Peer:
    """A peer as last heard of.

    :param last_seen_at: when it was heard last, in seconds
    :param connected: whether a link to it stands
    """

    instance: InstanceId
    domain: str
    version: int
    leaving: bool
    last_seen_at: float
    connected: bool = True


class Peers:
    """All peers that were ever heard of and not yet given up.

    :param domain: the own failure domain
    """

    def __init__(self, domain: str) -> None:
        self._domain = domain
        self.known: dict[InstanceId, Peer] = {}

    def receive(self, heartbeat: Heartbeat, now: float) -> None:
        """Take in a heartbeat; a new boot under a known name replaces the old one."""
        peer = self.known.get(heartbeat.instance)
        if peer is None:
            peer = Peer(heartbeat.instance, heartbeat.domain, 0, False, now)
            self.known[heartbeat.instance] = peer
        peer.version = max(peer.version, heartbeat.version)
        peer.leaving = heartbeat.leaving
        peer.last_seen_at = now
        peer.connected = True

    def note_disconnected(self, instance: InstanceId) -> None:
        """Note that the link to a peer broke."""
        peer = self.known.get(instance)
        if peer is not None:
            peer.connected = False

    def is_usable(self, instance: InstanceId, now: float) -> bool:
        """Tell whether a peer can be expected to answer."""
        peer = self.known.get(instance)
        if peer is None or not peer.connected:
            return False
        return now - peer.last_seen_at < SUSPECT_AFTER_SECONDS

    def suspects(self, now: float) -> list[InstanceId]:
        """Return the peers that have been silent for too long."""
        return [
            instance
            for instance, peer in self.known.items()
            if now - peer.last_seen_at >= SUSPECT_AFTER_SECONDS
        ]

    def forget(self, instance: InstanceId) -> None:
        """Give a peer up for good."""
        self.known.pop(instance, None)

    def witnesses(self, now: float) -> list[InstanceId]:
        """Return peers of the own domain that can be asked to witness a grant."""
        return sorted(
            instance
            for instance, peer in self.known.items()
            if peer.domain == self._domain
            and not peer.leaving
            and self.is_usable(instance, now)
        )

    def newest_version(self) -> int:
        """Return the highest version of the configuration heard of."""
        return max((peer.version for peer in self.known.values()), default=0)

"""The state of an instance's peers.

A peer that sends no heartbeat for ``SUSPECT_AFTER_SECONDS`` is suspected to be down.
The suspicion may be wrong, so it is used only where an error is safe: to seal grants,
to choose another witness and to send a request to another peer.
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
    """The last known state of a peer.

    :param version: highest configuration version that the peer has reported
    :param leaving: whether the peer is shutting down
    :param last_seen_at: time of the last heartbeat, in seconds
    :param connected: whether a link to the peer is open
    """

    instance: InstanceId
    domain: str
    version: int
    leaving: bool
    last_seen_at: float
    connected: bool = True


class Peers:
    """All known peers, by instance.

    :param domain: failure domain of this instance
    """

    def __init__(self, domain: str) -> None:
        self._domain = domain
        self.known: dict[InstanceId, Peer] = {}

    def receive(self, heartbeat: Heartbeat, now: float) -> None:
        """Update a peer from its heartbeat, or add it."""
        peer = self.known.get(heartbeat.instance)
        if peer is None:
            peer = Peer(heartbeat.instance, heartbeat.domain, 0, False, now)
            self.known[heartbeat.instance] = peer
        peer.version = max(peer.version, heartbeat.version)
        peer.leaving = heartbeat.leaving
        peer.last_seen_at = now
        peer.connected = True

    def note_disconnected(self, instance: InstanceId) -> None:
        """Record that the link to a peer was closed."""
        peer = self.known.get(instance)
        if peer is not None:
            peer.connected = False

    def is_usable(self, instance: InstanceId, now: float) -> bool:
        """Return whether a peer is connected and not suspected to be down."""
        peer = self.known.get(instance)
        if peer is None or not peer.connected:
            return False
        return now - peer.last_seen_at < SUSPECT_AFTER_SECONDS

    def suspects(self, now: float) -> list[InstanceId]:
        """Return the peers that are suspected to be down."""
        return [
            instance
            for instance, peer in self.known.items()
            if now - peer.last_seen_at >= SUSPECT_AFTER_SECONDS
        ]

    def forget(self, instance: InstanceId) -> None:
        """Remove a peer."""
        self.known.pop(instance, None)

    def witnesses(self, now: float) -> list[InstanceId]:
        """Return the peers that can witness a grant, sorted by instance.

        They are usable, belong to this domain and are not shutting down.
        """
        return sorted(
            instance
            for instance, peer in self.known.items()
            if peer.domain == self._domain
            and not peer.leaving
            and self.is_usable(instance, now)
        )

    def newest_version(self) -> int:
        """Return the highest version that a peer has reported, 0 without peers."""
        return max((peer.version for peer in self.known.values()), default=0)

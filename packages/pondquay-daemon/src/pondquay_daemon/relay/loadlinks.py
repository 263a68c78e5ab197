"""Messages between instances about their load."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from pondquay.routing.overload import MAX_ROOM, LoadLevel
from pondquay_daemon.relay.peermessages import InstanceLoad
from pondquay_daemon.relay.peertopics import PeerTopic
from pondquay_daemon.tasks import Task

if TYPE_CHECKING:
    from collections.abc import Collection

    from twisted.internet.interfaces import IReactorTime

    from pondquay_daemon.relay.overloadmonitor import OverloadMonitor
    from pondquay_daemon.relay.peerlinks import PeerLink
    from pondquay_daemon.relay.peermessages import PeerMessage
    from pondquay_daemon.relay.peers import PeerMesh

# Interval after which an instance that is not idle repeats its load.
REPEAT_SECONDS = 1.0
IDLE = InstanceLoad(LoadLevel.IDLE, MAX_ROOM)


class LoadLinks(PeerTopic, Task):
    """Announces this instance's load and keeps that of its peers.

    A peer that has announced nothing is idle.

    :param domain: failure domain of this instance
    :ivar stopping: whether this instance takes nothing from peers any more
    :ivar withdrawn: whether it is withdrawn from the load balancer
    """

    MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (InstanceLoad,)

    def __init__(
        self,
        clock: IReactorTime,
        mesh: PeerMesh,
        monitor: OverloadMonitor,
        domain: str,
    ) -> None:
        super().__init__(clock)
        self._mesh = mesh
        self._domain = domain
        self._detector = monitor.detector
        self._loads: dict[PeerLink, InstanceLoad] = {}
        self._announced = IDLE
        self.stopping = False
        self.withdrawn = False
        monitor.on_change = self.announce
        mesh.add_topic(self)

    def start(self) -> None:
        """Start to repeat the load while it is not idle."""
        self.repeat(REPEAT_SECONDS, self._repeat)

    def announce(self) -> None:
        """Announce the present load to all peers, if it is new."""
        load = self._describe()
        if load != self._announced:
            self._announced = load
            self._mesh.broadcast(load)

    def find_room(self, link: PeerLink) -> int:
        """Return the number of requests for which a peer has room."""
        return self._loads.get(link, IDLE).room

    def has_peer_with_room(self) -> bool:
        """Return whether any linked peer has room."""
        return any(self.has_peer_room(peer) for peer in self._mesh.peers)

    def has_peer_room(self, peer: str) -> bool:
        """Return whether a linked peer has room."""
        link = self._mesh.find_link(peer)
        return link is not None and self.find_room(link) > 0

    def list_near_levels(self) -> dict[str, LoadLevel]:
        """Return the levels of the linked instances of the own domain."""
        domains = self._mesh.domains
        levels = {}
        for peer in self._mesh.peers:
            link = self._mesh.find_link(peer)
            if link is not None and domains.get(peer) == self._domain:
                level = self._loads.get(link, IDLE).level
                levels[peer] = LoadLevel(min(level, LoadLevel.WITHDRAWN))
        return levels

    def make_greeting(self) -> InstanceLoad | None:
        """Return this instance's load, unless it is idle."""
        load = self._describe()
        return None if load.level == LoadLevel.IDLE else load

    def note_supported(self, link: PeerLink) -> None:
        """Do nothing: a peer that does not know the message passes over it."""

    def receive(self, link: PeerLink, message: PeerMessage) -> None:
        """Record a peer's load."""
        if isinstance(message, InstanceLoad):
            self._loads[link] = message

    def note_disconnected(self, link: PeerLink) -> None:
        """Forget the load of an unreachable peer."""
        self._loads.pop(link, None)

    def list_requested(self) -> Collection[str]:
        """Return no instances, since existing links suffice."""
        return ()

    def _describe(self) -> InstanceLoad:
        if self.stopping:
            return InstanceLoad(LoadLevel.OVERLOADED, 0)
        if self.withdrawn:
            return InstanceLoad(LoadLevel.WITHDRAWN, 0)
        if self._detector.level is LoadLevel.IDLE:
            return IDLE
        return InstanceLoad(self._detector.level, self._detector.room)

    async def _repeat(self) -> None:
        if self._announced.level != LoadLevel.IDLE:
            self._mesh.broadcast(self._announced)

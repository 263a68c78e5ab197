"""Messages between instances about rate limits and permits of upstreams."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING, ClassVar

from twisted.internet.defer import Deferred

from pondquay_daemon.relay.peermessages import (
    PermitGrant,
    PermitRequest,
    UpstreamLimits,
)
from pondquay_daemon.relay.peertopics import PeerTopic
from pondquay_daemon.tasks import wait_at_most

if TYPE_CHECKING:
    from collections.abc import Collection

    from twisted.internet.interfaces import IReactorTime

    from pondquay.routing.issuers import LinkedPeers
    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay_daemon.relay.peerlinks import PeerLink
    from pondquay_daemon.relay.peermessages import PeerMessage
    from pondquay_daemon.relay.peers import PeerMesh

# Timeout of a request for permits, after which granted permits would have expired.
RESPONSE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request to which the peer has not responded yet.

    :param response: fires with the grant, or with ``None`` if the link is closed
    """

    link: PeerLink
    response: Deferred[PermitGrant | None]


class PermitListener(ABC):
    """Provides and records limits, and answers requests for permits."""

    @abstractmethod
    def list_limited(self) -> list[KnownUpstream]:
        """Return the upstreams that report a limit."""

    @abstractmethod
    def receive(self, name: str, rate: float | None, age: float) -> None:
        """Record an upstream's limit that a peer reports.

        :param rate: requests per second, ``None`` for no limit
        :param age: seconds since the upstream reported it
        """

    @abstractmethod
    def serve(self, link: PeerLink, request: PermitRequest) -> None:
        """Answer a peer's request for permits."""


class PermitLinks(PeerTopic):
    """Sends and receives messages about limits and permits."""

    MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (
        UpstreamLimits,
        PermitRequest,
        PermitGrant,
    )

    _listener: PermitListener

    def __init__(self, clock: IReactorTime, mesh: PeerMesh, peers: LinkedPeers) -> None:
        self._clock = clock
        self._mesh = mesh
        self._peers = peers
        self._numbers = count(1)
        self._pending: dict[int, PendingRequest] = {}
        mesh.add_topic(self)

    def connect(self, listener: PermitListener) -> None:
        """Set the listener, before the first link opens."""
        self._listener = listener

    def announce(self, *upstreams: KnownUpstream) -> None:
        """Announce the limits of upstreams to all peers."""
        self._mesh.broadcast(self._pack(upstreams))

    async def ask(
        self, peer: str, requester: str, upstream: KnownUpstream, needed: int, hops: int
    ) -> PermitGrant | None:
        """Request permits from a peer.

        :returns: ``None`` if there is no link to it or it does not respond in time
        """
        link = self._mesh.find_link(peer)
        if link is None:
            return None
        number = next(self._numbers)
        limit = upstream.limit
        pending = PendingRequest(link, Deferred())
        self._pending[number] = pending
        link.send(
            PermitRequest(
                number,
                requester,
                upstream.name,
                needed,
                hops,
                limit.rate,
                limit.age(self._clock.seconds()),
            )
        )
        try:
            return await wait_at_most(
                pending.response, RESPONSE_SECONDS, self._clock, None
            )
        finally:
            self._pending.pop(number, None)

    def make_greeting(self) -> UpstreamLimits:
        """Return the message with the limits of all limited upstreams."""
        return self._pack(self._listener.list_limited())

    def note_supported(self, link: PeerLink) -> None:
        """Record whether a peer can be asked for permits."""
        if link.supports(PermitRequest):
            self._peers.note_linked(link.instance)

    def receive(self, link: PeerLink, message: PeerMessage) -> None:
        """Process a message."""
        if isinstance(message, UpstreamLimits):
            for upstream, rate, age in message.limits:
                self._listener.receive(upstream, rate, age)
        elif isinstance(message, PermitRequest):
            self._listener.serve(link, message)
        elif isinstance(message, PermitGrant):
            pending = self._pending.pop(message.number, None)
            if pending is not None:
                pending.response.callback(message)

    def note_disconnected(self, link: PeerLink) -> None:
        """Record that a peer is unreachable and end its pending requests."""
        self._peers.note_disconnected(link.instance)
        for number in [
            key for key, pending in self._pending.items() if pending.link is link
        ]:
            self._pending.pop(number).response.callback(None)

    def list_requested(self) -> Collection[str]:
        """Return the instances to which links are requested for permits."""
        return self._peers.list_requested()

    def _pack(self, upstreams: Collection[KnownUpstream]) -> UpstreamLimits:
        now = self._clock.seconds()
        return UpstreamLimits(
            [
                (upstream.name, upstream.limit.rate, upstream.limit.age(now))
                for upstream in upstreams
            ]
        )

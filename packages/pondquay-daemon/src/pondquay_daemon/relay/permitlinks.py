"""What instances tell and ask each other of limited upstreams."""

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

# After which an answer is no longer waited for, in seconds: permits would have ended.
RESPONSE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class PermitAsk:
    """A request that a peer has not answered yet.

    :param response: fires with the answer, ``None`` if there will be none
    """

    link: PeerLink
    response: Deferred[PermitGrant | None]


class PermitListener(ABC):
    """What knows of limits and has permits."""

    @abstractmethod
    def list_limited(self) -> list[KnownUpstream]:
        """Return the upstreams that name a limit."""

    @abstractmethod
    def receive(self, name: str, rate: float | None, age: float) -> None:
        """Take in what a peer knows of an upstream's limit.

        :param rate: requests a second, ``None`` for no limit
        :param age: seconds since the upstream said so
        """

    @abstractmethod
    def serve(self, link: PeerLink, request: PermitRequest) -> None:
        """Answer a peer's request for permits."""


class PermitLinks(PeerTopic):
    """The messages of limits and permits, by the links of one instance."""

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
        self._asks: dict[int, PermitAsk] = {}
        mesh.add_topic(self)

    def connect(self, listener: PermitListener) -> None:
        """Take the part that knows of limits and has permits."""
        self._listener = listener

    def announce(self, *upstreams: KnownUpstream) -> None:
        """Tell all peers what upstreams take."""
        self._mesh.tell_all(self._pack(upstreams))

    async def ask(
        self, peer: str, requester: str, upstream: KnownUpstream, wanted: int, hops: int
    ) -> PermitGrant | None:
        """Ask a peer for permits; ``None`` if it does not answer."""
        link = self._mesh.find_link(peer)
        if link is None:
            return None
        number = next(self._numbers)
        limit = upstream.limit
        ask = PermitAsk(link, Deferred())
        self._asks[number] = ask
        link.send(
            PermitRequest(
                number,
                requester,
                upstream.name,
                wanted,
                hops,
                limit.rate,
                limit.age(self._clock.seconds()),
            )
        )
        try:
            return await wait_at_most(ask.response, RESPONSE_SECONDS, self._clock, None)
        finally:
            self._asks.pop(number, None)

    def make_greeting(self) -> UpstreamLimits:
        """Return what upstreams take, as far as it is known."""
        return self._pack(self._listener.list_limited())

    def note_understood(self, link: PeerLink) -> None:
        """Learn whether a peer can be asked for permits."""
        if link.reads(PermitRequest):
            self._peers.note_linked(link.instance)

    def receive(self, link: PeerLink, message: PeerMessage) -> None:
        """Act on a message."""
        if isinstance(message, UpstreamLimits):
            for upstream, rate, age in message.limits:
                self._listener.receive(upstream, rate, age)
        elif isinstance(message, PermitRequest):
            self._listener.serve(link, message)
        elif isinstance(message, PermitGrant):
            ask = self._asks.pop(message.number, None)
            if ask is not None:
                ask.response.callback(message)

    def lose(self, link: PeerLink) -> None:
        """Learn that a peer can no longer be reached."""
        self._peers.note_disconnected(link.instance)
        for number in [key for key, ask in self._asks.items() if ask.link is link]:
            self._asks.pop(number).response.callback(None)

    def list_requested(self) -> Collection[str]:
        """Return the instances that have to be asked and are not linked."""
        return self._peers.list_requested()

    def _pack(self, upstreams: Collection[KnownUpstream]) -> UpstreamLimits:
        now = self._clock.seconds()
        return UpstreamLimits(
            [(one.name, one.limit.rate, one.limit.age(now)) for one in upstreams]
        )

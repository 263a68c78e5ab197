"""Messages between instances about where streams began."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING, ClassVar

from twisted.internet.defer import Deferred

from pondquay.routing.streamorigins import (
    OriginTable,
    StreamOrigin,
    choose_keepers,
    digest_attempt,
)
from pondquay_daemon.relay.peermessages import (
    StreamQuery,
    StreamReply,
    StreamStarted,
)
from pondquay_daemon.relay.peertopics import PeerTopic
from pondquay_daemon.tasks import wait_at_most

if TYPE_CHECKING:
    from collections.abc import Collection

    from twisted.internet.interfaces import IReactorTime

    from pondquay_daemon.relay.peerlinks import PeerLink
    from pondquay_daemon.relay.peermessages import PeerMessage
    from pondquay_daemon.relay.peers import PeerMesh

# Time for peers to answer. A caller that takes a stream up waits meanwhile.
QUERY_SECONDS = 0.5


@dataclass(slots=True)
class PendingQuery:
    """A question for the origin of a stream.

    :param waiting: links of the peers that have not answered
    :ivar answer: fires with the origin, or with ``None`` once no peer can know it
    """

    waiting: set[PeerLink]
    answer: Deferred[StreamOrigin | None] = field(default_factory=Deferred)

    def note_unknown(self, link: PeerLink) -> None:
        """Record that a peer does not know the origin or is unreachable."""
        self.waiting.discard(link)
        if not self.waiting:
            self.resolve(None)

    def resolve(self, origin: StreamOrigin | None) -> None:
        """End the question."""
        if not self.answer.called:
            self.answer.callback(origin)


class StreamLinks(PeerTopic):
    """Keeps where streams began, also on behalf of peers, and asks peers for it.

    An instance tells a few peers of each stream before it forwards the first event, so
    that a caller can take its stream up elsewhere once the instance has ended. Whoever
    needs the origin asks all linked peers, so no peer has to be known as its keeper.

    :param domain: failure domain of this instance
    """

    MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (
        StreamStarted,
        StreamQuery,
        StreamReply,
    )

    def __init__(self, clock: IReactorTime, mesh: PeerMesh, domain: str) -> None:
        self._clock = clock
        self._mesh = mesh
        self._domain = domain
        self._table = OriginTable()
        self._numbers = count(1)
        self._pending: dict[int, PendingQuery] = {}
        mesh.add_topic(self)

    def __len__(self) -> int:
        return len(self._table)

    def note_started(self, attempt: str, origin: StreamOrigin) -> None:
        """Keep where a stream began, and tell some peers.

        :param attempt: the caller's attempt that brings the first event
        """
        key = digest_attempt(attempt)
        self._table.note(key, origin)
        links = {link.instance: link for link in self._list_links()}
        domains = self._mesh.domains
        peers = {peer: domains.get(peer, "") for peer in links}
        message = StreamStarted(key, origin.service, origin.software)
        for keeper in choose_keepers(key, peers, self._domain):
            links[keeper].send(message)

    async def find(self, attempt: str) -> StreamOrigin | None:
        """Return where a stream began.

        :param attempt: the caller's attempt that brought the first event
        :returns: ``None`` if no peer that answers in time knows it
        """
        key = digest_attempt(attempt)
        known = self._table.find(key)
        links = self._list_links()
        if known is not None or not links:
            return known
        number = next(self._numbers)
        pending = self._pending[number] = PendingQuery(set(links))
        for link in links:
            link.send(StreamQuery(number, key))
        try:
            found = await wait_at_most(pending.answer, QUERY_SECONDS, self._clock, None)
        finally:
            del self._pending[number]
        if found is not None:
            self._table.note(key, found)
        return found

    def make_greeting(self) -> None:
        """Return no message: origins are told when a stream begins, or on request."""

    def note_supported(self, link: PeerLink) -> None:
        """Do nothing: what a peer supports is looked up at its link."""

    def receive(self, link: PeerLink, message: PeerMessage) -> None:
        """Process a message."""
        if isinstance(message, StreamStarted):
            origin = StreamOrigin(message.service, message.software)
            self._table.note(message.key, origin)
        elif isinstance(message, StreamQuery):
            link.send(self._answer(message))
        elif isinstance(message, StreamReply):
            self._receive_reply(link, message)

    def note_disconnected(self, link: PeerLink) -> None:
        """Wait no longer for a peer that is unreachable."""
        for pending in list(self._pending.values()):
            if link in pending.waiting:
                pending.note_unknown(link)

    def list_requested(self) -> Collection[str]:
        """Return no instances, since existing links suffice."""
        return ()

    def _answer(self, query: StreamQuery) -> StreamReply:
        origin = self._table.find(query.key)
        if origin is None:
            return StreamReply(query.number, "", None)
        return StreamReply(query.number, origin.service, origin.software)

    def _receive_reply(self, link: PeerLink, reply: StreamReply) -> None:
        pending = self._pending.get(reply.number)
        if pending is None:
            return
        if reply.software is None:
            pending.note_unknown(link)
        else:
            pending.resolve(StreamOrigin(reply.service, reply.software))

    def _list_links(self) -> list[PeerLink]:
        """Return the links to peers that support these messages."""
        links = map(self._mesh.find_link, self._mesh.peers)
        return [link for link in links if link and link.supports(StreamQuery)]

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
)
from pondquay_daemon.relay.peermessages import (
    SoftwareSeen,
    StreamQuery,
    StreamReply,
    StreamStarted,
)
from pondquay_daemon.relay.peertopics import PeerTopic
from pondquay_daemon.tasks import wait_at_most

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from twisted.internet.interfaces import IReactorTime

    from pondquay.routing.softwarehistory import SoftwareHistory
    from pondquay_daemon.relay.originrows import OriginRows
    from pondquay_daemon.relay.peerlinks import PeerLink
    from pondquay_daemon.relay.peermessages import PeerMessage
    from pondquay_daemon.relay.peers import PeerMesh

# Time for peers to answer, and for links to them to open again. A caller that takes a
# stream up waits meanwhile.
QUERY_SECONDS = 1.0


@dataclass(slots=True)
class PendingQuery:
    """A question for the origin of a stream.

    :param query: the message that is sent to each peer
    :ivar waiting: links of the peers that have not answered
    :ivar answer: fires with the origin, or with ``None`` once no peer can know it
    """

    query: StreamQuery
    waiting: set[PeerLink] = field(default_factory=set)
    answer: Deferred[StreamOrigin | None] = field(default_factory=Deferred)

    def ask(self, link: PeerLink) -> None:
        """Send the question to a peer."""
        self.waiting.add(link)
        link.send(self.query)

    def resolve(self, origin: StreamOrigin | None) -> None:
        """End the question."""
        if not self.answer.called:
            self.answer.callback(origin)


class StreamLinks(PeerTopic):
    """Keeps where streams began, also on behalf of peers, and asks peers for it.

    An instance tells a few peers of each stream before it forwards the first event, so
    that a caller can take its stream up elsewhere once the instance has ended. While a
    stream is open, it also tells a peer that is linked again, as after a restart.
    Whoever needs the origin asks all linked peers, so no peer has to be known as its
    keeper. While the store may not show at which version streams began, they are
    written there as well, in case all instances are lost.

    Instances also tell each other which versions serve, since the list of upstreams
    shows a starting instance only those that are left.

    :param instance: name of this instance
    :param domain: failure domain of this instance
    :param software: the versions that this instance knows
    :param is_ambiguous: returns whether the store may not show at which version of a
        service a stream began
    :param rows: shows where streams began after a loss of all instances
    """

    MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (
        StreamStarted,
        StreamQuery,
        StreamReply,
        SoftwareSeen,
    )

    def __init__(
        self,
        clock: IReactorTime,
        mesh: PeerMesh,
        instance: str,
        domain: str,
        software: SoftwareHistory,
        is_ambiguous: Callable[[str], bool],
        rows: OriginRows,
    ) -> None:
        self._clock = clock
        self._mesh = mesh
        self._instance = instance
        self._domain = domain
        self._software = software
        self._is_ambiguous = is_ambiguous
        self._rows = rows
        software.on_new.append(self._announce_version)
        self._table = OriginTable()
        self._open: dict[bytes, StreamOrigin] = {}
        self._numbers = count(1)
        self._pending: dict[int, PendingQuery] = {}
        mesh.add_topic(self)

    @property
    def origin_count(self) -> int:
        """Number of streams of which this instance keeps the origin."""
        return len(self._table)

    def note_started(self, key: bytes, origin: StreamOrigin) -> None:
        """Keep where a stream began, and tell some peers.

        :param key: result of :func:`~pondquay.routing.streamorigins.digest_attempt`
        """
        self._table.note(key, origin)
        self._open[key] = origin
        self._tell_keepers(key, origin)
        if self._is_unclear(origin.service):
            self._rows.note(key, origin)

    def write_open(self) -> None:
        """Write where all open streams began."""
        for key, origin in self._open.items():
            self._rows.note(key, origin)

    def note_ended(self, key: bytes, *, complete: bool) -> None:
        """Tell no further peers of a stream whose response has ended.

        :param complete: whether all of it was sent
        """
        self._open.pop(key, None)
        if complete:
            self._rows.forget(key)

    async def find(self, key: bytes, seconds: float) -> StreamOrigin | None:
        """Return where a stream began.

        :param seconds: time left to the caller, of which ``QUERY_SECONDS`` may be used
        :returns: ``None`` if no peer that answers in time knows it
        """
        known = self._table.find(key)
        if known is not None:
            return known
        number = next(self._numbers)
        pending = self._pending[number] = PendingQuery(StreamQuery(number, key))
        for link in self._list_links():
            pending.ask(link)
        self._end_if_unknown(pending)
        try:
            found = await wait_at_most(
                pending.answer, min(seconds, QUERY_SECONDS), self._clock, None
            )
        finally:
            del self._pending[number]
        if found is not None:
            self._table.note(key, found)
        return found

    def make_greeting(self) -> SoftwareSeen:
        """Return the versions that have served lately."""
        return SoftwareSeen(self._software.list_ages(self._clock.seconds()))

    def note_supported(self, link: PeerLink) -> None:
        """Tell a new peer of open streams, and ask it for those that are taken up."""
        if not link.supports(StreamQuery):
            return
        for pending in self._pending.values():
            pending.ask(link)
        peers = self._list_domains()
        for key, origin in self._open.items():
            if link.instance in choose_keepers(key, peers, self._domain):
                self._tell(link.instance, key, origin)

    def receive(self, link: PeerLink, message: PeerMessage) -> None:
        """Process a message."""
        if isinstance(message, StreamStarted):
            origin = StreamOrigin(message.service, message.software)
            self._table.note(message.key, origin)
        elif isinstance(message, StreamQuery):
            link.send(self._answer(message))
        elif isinstance(message, StreamReply):
            self._receive_reply(link, message)
        elif isinstance(message, SoftwareSeen):
            now = self._clock.seconds()
            for service, software, age in message.versions:
                self._software.note_listed(service, software, now - age)

    def note_disconnected(self, link: PeerLink) -> None:
        """Wait no longer for a peer that is unreachable."""
        for pending in list(self._pending.values()):
            pending.waiting.discard(link)
            self._end_if_unknown(pending)

    def list_requested(self) -> Collection[str]:
        """Return no instances, since existing links suffice."""
        return ()

    def _announce_version(self, service: str, software: str) -> None:
        self._mesh.broadcast(SoftwareSeen([(service, software, 0.0)]))
        if self._is_unclear(service):
            self.write_open()

    def _is_unclear(self, service: str) -> bool:
        """Return whether the store may not show at which version streams began."""
        now = self._clock.seconds()
        return self._software.is_mixed(service, now) or self._is_ambiguous(service)

    def _answer(self, query: StreamQuery) -> StreamReply:
        origin = self._table.find(query.key)
        if origin is None:
            return StreamReply(query.number, "", None)
        return StreamReply(query.number, origin.service, origin.software)

    def _receive_reply(self, link: PeerLink, reply: StreamReply) -> None:
        pending = self._pending.get(reply.number)
        if pending is None:
            return
        pending.waiting.discard(link)
        if reply.software is None:
            self._end_if_unknown(pending)
        else:
            pending.resolve(StreamOrigin(reply.service, reply.software))

    def _end_if_unknown(self, pending: PendingQuery) -> None:
        """End a question that no peer is left to answer.

        Instances of the own domain without a link may know it and link again soon.
        """
        linked = {self._instance, *self._mesh.peers}
        near = [
            instance
            for instance, domain in self._mesh.domains.items()
            if domain == self._domain
        ]
        if not pending.waiting and linked.issuperset(near):
            pending.resolve(None)

    def _tell_keepers(self, key: bytes, origin: StreamOrigin) -> None:
        for keeper in choose_keepers(key, self._list_domains(), self._domain):
            self._tell(keeper, key, origin)

    def _tell(self, peer: str, key: bytes, origin: StreamOrigin) -> None:
        link = self._mesh.find_link(peer)
        if link is not None:
            link.send(StreamStarted(key, origin.service, origin.software))

    def _list_domains(self) -> dict[str, str]:
        """Return the domain of each peer that supports these messages, by name."""
        domains = self._mesh.domains
        return {
            link.instance: domains.get(link.instance, "") for link in self._list_links()
        }

    def _list_links(self) -> list[PeerLink]:
        """Return the links to peers that support these messages."""
        links = map(self._mesh.find_link, self._mesh.peers)
        return [
            link for link in links if link is not None and link.supports(StreamQuery)
        ]

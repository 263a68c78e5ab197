"""The peer task: heartbeats and queries between instances."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from pondquay.budgets.directory import WitnessDirectory
from pondquay.membership.messages import (
    Deltas,
    FetchDeltas,
    FindRequest,
    FoundRequest,
    Heartbeat,
)
from pondquay.membership.peers import Peers
from pondquay_daemon.links import LinkHandler, Links
from pondquay_daemon.logs import log_event
from pondquay_daemon.tasks import Task, wait_at_most

if TYPE_CHECKING:
    from pondquay.addresses import Address
    from pondquay.names import InstanceId, RequestName

HEARTBEAT_INTERVAL_SECONDS = 0.5
RESPONSE_TIMEOUT_SECONDS = 0.5
FORGET_AFTER_SECONDS = 30.0


class PeerListener(ABC):
    """Handles the calls and responses of peers."""

    @abstractmethod
    def make_heartbeat(self) -> Heartbeat:
        """Return this instance's heartbeat."""

    @abstractmethod
    def receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Process a peer's heartbeat."""

    @abstractmethod
    def find_request(self, peer: InstanceId, query: FindRequest) -> FoundRequest:
        """Look up a running attempt of a request for a peer."""

    @abstractmethod
    def list_deltas(self, base: int) -> Deltas:
        """Return the configuration versions after a base version."""

    @abstractmethod
    def receive_budget_call(self, message: Any) -> Any | None:
        """Return the response to a peer's budget message, ``None`` if there is none."""

    @abstractmethod
    def receive_budget_response(self, message: Any) -> None:
        """Process the response of a witness."""

    @abstractmethod
    def receive_deltas(self, message: Deltas) -> None:
        """Apply configuration versions that a peer sent."""

    @abstractmethod
    def link_opened(self, peer: InstanceId) -> None:
        """Handle a new link to a peer."""


@dataclass(frozen=True, slots=True)
class _PendingQuery:
    """A query without a response yet."""

    peer: InstanceId
    waiter: Deferred[FoundRequest | None]


class PeerTask(Task, LinkHandler, WitnessDirectory):
    """Owns the links and the table of known peers."""

    def __init__(
        self, reactor: Any, instance: InstanceId, domain: str, key: bytes
    ) -> None:
        super().__init__(reactor)
        self._instance = instance
        self._domain = domain
        self.table = Peers(domain)
        self.links = Links(reactor, instance, domain, key, self)
        self._listener: PeerListener | None = None
        self._queries: dict[int, _PendingQuery] = {}
        self._next_query = 0

    async def start(self, address: Address, listener: PeerListener) -> None:
        """Start to accept links and to send heartbeats."""
        self._listener = listener
        await self.links.listen(address)
        self.repeat(HEARTBEAT_INTERVAL_SECONDS, self._send_heartbeat)

    async def stop(self) -> None:
        """Close all links and stop dialling peers."""
        with self.links:
            await self.links.close()

    @property
    def listener(self) -> PeerListener:
        """The handler of peers' calls, available after the start."""
        assert self._listener is not None
        return self._listener

    async def _send_heartbeat(self) -> None:
        self.links.broadcast(self.listener.make_heartbeat())
        now = self.clock.seconds()
        for instance in self.table.suspects(now):
            if now - self.table.known[instance].last_seen_at > FORGET_AFTER_SECONDS:
                self.table.forget(instance)

    def now(self) -> float:
        """Return the time against which peers' heartbeats are compared, in seconds."""
        return self.clock.seconds()

    def connected(self) -> list[InstanceId]:
        """Return the peers with an open link."""
        return self.links.connected()

    def count(self) -> int:
        """Return the number of peers with an open link."""
        return len(self.links.connected())

    def witnesses(self) -> list[InstanceId]:
        """Return peers that can witness a grant."""
        return [
            peer
            for peer in self.table.witnesses(self.now())
            if self.links.is_connected(peer)
        ]

    def is_usable(self, peer: InstanceId) -> bool:
        """Return whether a peer is expected to respond now."""
        if not self.links.is_connected(peer):
            return False
        return self.table.is_usable(peer, self.now())

    def is_presumed_dead(self, peer: InstanceId) -> bool:
        """Return whether a peer is unknown or suspected of having crashed."""
        known = self.table.known.get(peer)
        return known is None or peer in self.table.suspects(self.now())

    def send(self, peer: InstanceId, message: Any) -> bool:
        """Send a message to a peer; return ``False`` if there is no link to it."""
        return self.links.send(peer, message)

    def announce(self) -> None:
        """Send a heartbeat to all peers immediately."""
        self.links.broadcast(self.listener.make_heartbeat())

    async def find_request(
        self, request: RequestName
    ) -> list[tuple[InstanceId, FoundRequest]]:
        """Ask the peers of the same domain for a running attempt of a request.

        :returns: the peers that run the request or witness an attempt of it, with their
            responses
        """
        recipients = [
            peer
            for peer in self.connected()
            if self.is_usable(peer) and self.table.known[peer].domain == self._domain
        ]
        waiters: list[tuple[InstanceId, int, Deferred[FoundRequest | None]]] = []
        for peer in recipients:
            self._next_query += 1
            number = self._next_query
            waiter: Deferred[FoundRequest | None] = Deferred()
            self._queries[number] = _PendingQuery(peer, waiter)
            self.send(peer, FindRequest(number, request))
            waiters.append((peer, number, waiter))
        found = []
        for peer, number, waiter in waiters:
            response = await wait_at_most(
                waiter, RESPONSE_TIMEOUT_SECONDS, self.clock, None
            )
            self._queries.pop(number, None)
            if response is None:
                continue
            if response.attempt is not None or response.holder_alive:
                found.append((peer, response))
        return found

    def request_deltas(self, base: int) -> bool:
        """Request the versions after a base from the peer with the newest version.

        :returns: whether a request was sent
        """
        newest = self.table.newest_version()
        for instance, peer in self.table.known.items():
            if peer.version == newest and newest > base:
                return self.send(instance, FetchDeltas(base))
        return False

    # Events and messages of links

    def link_opened(self, peer: InstanceId, domain: str) -> None:
        """Add a peer to the table and send it a heartbeat."""
        log_event("peer-connected", peer=peer, domain=domain)
        self.table.receive(Heartbeat(peer, domain, 0, False), self.now())
        self.links.send(peer, self.listener.make_heartbeat())
        self.listener.link_opened(peer)

    def link_closed(self, peer: InstanceId) -> None:
        """Mark a peer as disconnected and end its pending queries."""
        log_event("peer-disconnected", peer=peer)
        self.table.note_disconnected(peer)
        for number, query in list(self._queries.items()):
            if query.peer == peer:
                del self._queries[number]
                query.waiter.callback(None)

    def receive_call(self, peer: InstanceId, message: Any) -> Any | None:
        """Return the response to a peer's message."""
        match message:
            case Heartbeat():
                self.table.receive(message, self.now())
                self.listener.receive_heartbeat(message)
                return None
            case FindRequest():
                return self.listener.find_request(peer, message)
            case FetchDeltas(base):
                return self.listener.list_deltas(base)
            case _:
                return self.listener.receive_budget_call(message)

    def receive_response(self, peer: InstanceId, message: Any) -> None:
        """Process a peer's response."""
        match message:
            case FoundRequest(number):
                query = self._queries.pop(number, None)
                if query is not None:
                    query.waiter.callback(message)
            case Deltas():
                self.listener.receive_deltas(message)
            case _:
                self.listener.receive_budget_response(message)

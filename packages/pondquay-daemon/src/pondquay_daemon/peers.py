"""The peer task: heartbeats, and the questions that instances ask each other."""

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

HEARTBEAT_SECONDS = 0.5
RESPONSE_SECONDS = 0.5
GIVE_UP_SECONDS = 30.0


class PeerListener(ABC):
    """What the rest of the instance offers to its peers."""

    @abstractmethod
    def describe(self) -> Heartbeat:
        """Return our own heartbeat."""

    @abstractmethod
    def receive_peer(self, heartbeat: Heartbeat) -> None:
        """Take in what a peer said of itself."""

    @abstractmethod
    def find_request(self, peer: InstanceId, question: FindRequest) -> FoundRequest:
        """Look for a running attempt of a request, for a peer."""

    @abstractmethod
    def list_deltas(self, base: int) -> Deltas:
        """Return the versions of the configuration after a base."""

    @abstractmethod
    def receive_budget_call(self, message: Any) -> Any | None:
        """Answer the holder of a grant."""

    @abstractmethod
    def receive_budget_response(self, message: Any) -> None:
        """Take in the answer of a witness."""

    @abstractmethod
    def receive_deltas(self, message: Deltas) -> None:
        """Take in versions of the configuration."""

    @abstractmethod
    def link_opened(self, peer: InstanceId) -> None:
        """Learn that a peer can be reached."""


@dataclass(frozen=True, slots=True)
class _Question:
    """A question that a peer has not answered yet."""

    peer: InstanceId
    waiter: Deferred[FoundRequest | None]


class PeerTask(Task, LinkHandler, WitnessDirectory):
    """Owns the links and what is known of the peers behind them."""

    def __init__(
        self, reactor: Any, instance: InstanceId, domain: str, key: bytes
    ) -> None:
        super().__init__(reactor)
        self._instance = instance
        self._domain = domain
        self.table = Peers(domain)
        self.links = Links(reactor, instance, domain, key, self)
        self._listener: PeerListener | None = None
        self._questions: dict[int, _Question] = {}
        self._next_question = 0

    async def start(self, address: Address, listener: PeerListener) -> None:
        """Accept links, and tell peers of us from now on."""
        self._listener = listener
        await self.links.listen(address)
        self.repeat(HEARTBEAT_SECONDS, self._beat)

    async def stop(self) -> None:
        """Leave the fleet."""
        with self.links:
            await self.links.close()

    @property
    def listener(self) -> PeerListener:
        """The rest of the instance."""
        assert self._listener is not None
        return self._listener

    async def _beat(self) -> None:
        self.links.broadcast(self.listener.describe())
        now = self.clock.seconds()
        for instance in self.table.suspects(now):
            if now - self.table.known[instance].last_seen_at > GIVE_UP_SECONDS:
                self.table.forget(instance)

    def now(self) -> float:
        """Return the time that peers are judged by."""
        return self.clock.seconds()

    def connected(self) -> list[InstanceId]:
        """Return peers to which a link stands."""
        return self.links.connected()

    def count(self) -> int:
        """Return how many peers are believed to be alive."""
        return len(self.links.connected())

    def witnesses(self) -> list[InstanceId]:
        """Return peers that can witness a grant."""
        return [
            one
            for one in self.table.witnesses(self.now())
            if self.links.is_connected(one)
        ]

    def is_usable(self, peer: InstanceId) -> bool:
        """Tell whether a peer can be expected to answer now."""
        if not self.links.is_connected(peer):
            return False
        return self.table.is_usable(peer, self.now())

    def is_presumed_dead(self, peer: InstanceId) -> bool:
        """Tell whether a peer has been silent for so long that others replace it."""
        known = self.table.known.get(peer)
        return known is None or peer in self.table.suspects(self.now())

    def send(self, peer: InstanceId, message: Any) -> bool:
        """Send a message to a peer, if there is a link to it."""
        return self.links.send(peer, message)

    def announce(self) -> None:
        """Tell all peers of us at once."""
        self.links.broadcast(self.listener.describe())

    async def find_request(
        self, request: RequestName
    ) -> list[tuple[InstanceId, FoundRequest]]:
        """Ask the peers of the own domain for a running attempt of a request."""
        asked = [
            peer
            for peer in self.connected()
            if self.is_usable(peer) and self.table.known[peer].domain == self._domain
        ]
        waiters: list[tuple[InstanceId, int, Deferred[FoundRequest | None]]] = []
        for peer in asked:
            self._next_question += 1
            number = self._next_question
            waiter: Deferred[FoundRequest | None] = Deferred()
            self._questions[number] = _Question(peer, waiter)
            self.send(peer, FindRequest(number, request))
            waiters.append((peer, number, waiter))
        found = []
        for peer, number, waiter in waiters:
            response = await wait_at_most(waiter, RESPONSE_SECONDS, self.clock, None)
            self._questions.pop(number, None)
            if response is None:
                continue
            if response.attempt is not None or response.holder_alive:
                found.append((peer, response))
        return found

    def ask_deltas(self, base: int) -> bool:
        """Ask the peer with the newest configuration for what we lack."""
        newest = self.table.newest_version()
        for instance, peer in self.table.known.items():
            if peer.version == newest and newest > base:
                return self.send(instance, FetchDeltas(base))
        return False

    # What links tell

    def link_opened(self, peer: InstanceId, domain: str) -> None:
        """Greet a peer on a new link."""
        log_event("peer-connected", peer=peer, domain=domain)
        self.table.receive(Heartbeat(peer, domain, 0, False), self.now())
        self.links.send(peer, self.listener.describe())
        self.listener.link_opened(peer)

    def link_closed(self, peer: InstanceId) -> None:
        """Note that a peer cannot be reached."""
        log_event("peer-disconnected", peer=peer)
        self.table.note_disconnected(peer)
        for number, question in list(self._questions.items()):
            if question.peer == peer:
                del self._questions[number]
                question.waiter.callback(None)

    def receive_call(self, peer: InstanceId, message: Any) -> Any | None:
        """Answer a peer."""
        match message:
            case Heartbeat():
                self.table.receive(message, self.now())
                self.listener.receive_peer(message)
                return None
            case FindRequest():
                return self.listener.find_request(peer, message)
            case FetchDeltas(base):
                return self.listener.list_deltas(base)
            case _:
                return self.listener.receive_budget_call(message)

    def receive_response(self, peer: InstanceId, message: Any) -> None:
        """Take in a peer's answer."""
        match message:
            case FoundRequest(number):
                question = self._questions.pop(number, None)
                if question is not None:
                    question.waiter.callback(message)
            case Deltas():
                self.listener.receive_deltas(message)
            case _:
                self.listener.receive_budget_response(message)

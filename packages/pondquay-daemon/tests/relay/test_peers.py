from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count, pairwise
from string import ascii_lowercase
from typing import TYPE_CHECKING, Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock
from twisted.test.iosim import FakeTransport, IOPump

from pondquay.addresses import Address
from pondquay.routing.evacuations import Evacuation
from pondquay.routing.upstreamrecords import Departure
from pondquay_daemon.relay.configurationfetch import (
    FETCH_SECONDS,
    FETCH_WAIT_SECONDS,
    STORE_WAIT_SECONDS,
)
from pondquay_daemon.relay.linkplans import (
    FALLBACK_OPEN_SECONDS,
    HEARTBEAT_SECONDS,
    MAX_NEAR_LINKS,
)
from pondquay_daemon.relay.loadannouncer import LOAD_DELAY_SECONDS
from pondquay_daemon.relay.loandemands import LOAN_SECONDS
from pondquay_daemon.relay.member import Member
from pondquay_daemon.relay.peerlinks import PeerLink
from pondquay_daemon.relay.peerlistener import PeerListener
from pondquay_daemon.relay.peermessages import ConfigurationValue
from pondquay_daemon.relay.peers import LINK_TIMEOUT_SECONDS, PeerMesh

from .stalledclock import StalledClock

if TYPE_CHECKING:
    from pondquay.routing.crashes import CrashReport


@dataclass
class Node(PeerListener):
    """The state of one instance, as peers access it.

    :ivar sent: number of times that it sent its configuration
    :ivar store_is_up: whether it can reach the store
    """

    version: int = 0
    sent: int = 0
    store_is_up: bool = False
    value: dict[str, Any] | None = None
    known_departures: list[Departure] = field(default_factory=list)
    received_departures: list[Departure] = field(default_factory=list)
    known_evacuations: list[Evacuation] = field(default_factory=list)
    received_evacuations: list[Evacuation] = field(default_factory=list)
    crashes: list[CrashReport] = field(default_factory=list)
    tokens: int = 0
    loads: dict[tuple[str, str], int] = field(default_factory=dict)
    prefilled_parts: list[str] = field(default_factory=list)
    lenders: frozenset[str] = frozenset()

    def configuration_version(self) -> int:
        return self.version

    def store_reachable(self) -> bool:
        return self.store_is_up

    def configuration_value(self) -> dict[str, Any] | None:
        self.sent += 1
        return self.value

    def offer_configuration(self, value: dict[str, Any]) -> None:
        self.value, self.version = value, value["version"]

    def receive_load(
        self, instance: str, upstream: str, tokens: int, parts: list[str]
    ) -> None:
        self.loads[instance, upstream] = tokens
        self.prefilled_parts += parts

    def forget_loads(self, instance: str) -> None:
        self.loads = {
            key: tokens for key, tokens in self.loads.items() if key[0] != instance
        }

    def departures(self) -> list[Departure]:
        return self.known_departures

    def receive_departure(self, departure: Departure) -> None:
        self.received_departures.append(departure)

    def evacuations(self) -> list[Evacuation]:
        return self.known_evacuations

    def receive_evacuation(self, evacuation: Evacuation) -> None:
        self.received_evacuations.append(evacuation)

    def crash_reports(self) -> list[CrashReport]:
        return self.crashes

    def receive_crash(self, report: CrashReport) -> None:
        self.crashes.append(report)

    def lend(self, workspace: str, tokens: int, headroom: int) -> int:
        lent = min(self.tokens, tokens)
        self.tokens -= lent
        return lent

    def receive_loan(
        self, workspace: str, tokens: int, *, returned: bool = False
    ) -> None:
        self.tokens += tokens

    def co_lenders(self) -> frozenset[str]:
        return self.lenders


class Transport(FakeTransport):
    """One end of an in-memory link."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        pass


class Star:
    """An instance with links to some others.

    :param links: number of the instance at the other end of each link, from 1
    """

    def __init__(self, *links: int) -> None:
        self.clock: Any = MemoryReactorClock()
        self.nodes = [Node() for _ in range(max(links) + 1)]
        self.meshes = [
            PeerMesh(
                self.clock, name, Member(Address("10.0.0.1", port), "hall"), (), node
            )
            for name, port, node in zip(ascii_lowercase, count(1), self.nodes)
        ]
        self.ends: list[list[PeerLink]] = []
        self.pumps = [self.link(self.meshes[number]) for number in links]
        self.pump()
        for mesh in self.meshes:
            mesh.repeat(0.5, mesh._send_heartbeats)
        self.pump()

    def link(self, other: PeerMesh) -> IOPump:
        ends = [PeerLink(mesh) for mesh in (self.meshes[0], other)]
        transports = [Transport(end, isServer=bool(n)) for n, end in enumerate(ends)]
        self.ends.append(ends)
        for end, transport in zip(ends, transports, strict=True):
            end.makeConnection(transport)
        return IOPump(ends[0], ends[1], *transports, debug=False)

    def pump(self) -> None:
        """Deliver all sent data on all links."""
        while any([pump.pump() for pump in self.pumps]):
            pass

    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.pump()

    def sent(self) -> list[int]:
        """Return how often each of the other instances sent its configuration."""
        return [node.sent for node in self.nodes[1:]]


class Pair(Star):
    """Two instances with one or more links between them."""

    def __init__(self, links: int) -> None:
        super().__init__(*[1] * links)


@pytest.mark.parametrize("links", [1, 2])
def test_links_stay_open_whichever_end_uses_them(links: int) -> None:
    pair = Pair(links)
    if links == 2:
        # Each instance sends on a different link.
        first, second = (mesh for mesh in pair.meshes)
        first._links["b"] = pair.ends[0][0]
        second._links["a"] = pair.ends[1][1]
    for _ in range(20):
        pair.clock.advance(0.5)
        pair.pump()
    assert [len(mesh._all_links) for mesh in pair.meshes] == [links, links]
    assert [mesh.peers for mesh in pair.meshes] == [["b"], ["a"]]


def test_a_newer_configuration_reaches_a_peer_that_lacks_it() -> None:
    pair = Pair(1)
    pair.nodes[0].offer_configuration({"version": 7})
    pair.meshes[0].announce_version()
    pair.pump()
    pair.advance(FETCH_WAIT_SECONDS)
    assert pair.nodes[1].value == {"version": 7}


def test_a_newer_configuration_is_fetched_from_one_peer() -> None:
    star = Star(1, 2, 3)
    for node in star.nodes:
        node.offer_configuration({"version": 1})
    for node, mesh in zip(star.nodes[1:], star.meshes[1:], strict=True):
        node.offer_configuration({"version": 2})
        mesh.announce_version()
    star.pump()
    star.advance(FETCH_WAIT_SECONDS)
    assert star.nodes[0].value == {"version": 2}
    assert sum(star.sent()) == 1


def test_a_configuration_that_the_store_delivers_is_not_fetched_from_peers() -> None:
    star = Star(1, 2)
    star.nodes[0].offer_configuration({"version": 1})
    star.nodes[1].offer_configuration({"version": 2})
    star.meshes[1].announce_version()
    star.pump()
    star.nodes[0].offer_configuration({"version": 2})
    star.advance(FETCH_WAIT_SECONDS)
    star.advance(FETCH_SECONDS)
    assert star.sent() == [0, 0]


def test_an_instance_with_access_to_the_store_asks_peers_later() -> None:
    pair = Pair(1)
    pair.nodes[0].store_is_up = True
    pair.nodes[1].offer_configuration({"version": 2})
    pair.meshes[1].announce_version()
    pair.pump()
    pair.advance(FETCH_WAIT_SECONDS)
    assert pair.sent() == [0]
    pair.advance(STORE_WAIT_SECONDS)
    assert pair.nodes[0].value == {"version": 2}


def test_a_malformed_configuration_closes_the_link() -> None:
    pair = Pair(1)
    pair.ends[0][1].send(ConfigurationValue(2, b"no configuration"))
    pair.pump()
    assert pair.meshes[0].peers == []
    assert pair.nodes[0].version == 0


def test_another_peer_is_asked_if_the_first_sends_no_configuration() -> None:
    star = Star(1, 2)
    star.nodes[0].offer_configuration({"version": 1})
    for node, mesh in zip(star.nodes[1:], star.meshes[1:], strict=True):
        node.version = 2
        mesh.announce_version()
    star.nodes[2].value = {"version": 2}
    star.pump()
    star.advance(FETCH_WAIT_SECONDS)
    star.advance(FETCH_SECONDS)
    assert star.nodes[0].value == {"version": 2}
    assert sum(star.sent()) <= 2


def test_an_instance_fetches_until_it_has_the_latest_configuration() -> None:
    star = Star(1)
    star.nodes[0].offer_configuration({"version": 1})
    for version in (2, 3):
        star.nodes[1].offer_configuration({"version": version})
        star.meshes[1].announce_version()
        star.pump()
        star.advance(FETCH_WAIT_SECONDS)
    star.advance(FETCH_SECONDS)
    assert star.nodes[0].value == {"version": 3}


@pytest.mark.parametrize("version", [None, 7])
def test_peers_receive_departures(version: int | None) -> None:
    pair = Pair(1)
    pair.meshes[1].announce_departure(Departure("u1", version))
    pair.pump()
    assert pair.nodes[0].received_departures == [Departure("u1", version)]


def test_a_load_that_is_zero_again_before_the_announcement_is_omitted() -> None:
    pair = Pair(1)
    waiting = [5_000]
    pair.meshes[0].announce_load("u1", lambda: waiting[0], [])
    waiting[0] = 0
    pair.meshes[0].announce_load("u1", lambda: waiting[0], [])
    pair.advance(LOAD_DELAY_SECONDS)
    assert pair.nodes[1].loads == {}
    waiting[0] = 5_000
    pair.meshes[0].announce_load("u1", lambda: waiting[0], [])
    pair.advance(LOAD_DELAY_SECONDS)
    waiting[0] = 0
    pair.meshes[0].announce_load("u1", lambda: waiting[0], [])
    pair.advance(LOAD_DELAY_SECONDS)
    assert pair.nodes[1].loads == {("a", "u1"): 0}


def test_evacuations_are_announced_at_once_and_on_new_links() -> None:
    pair = Pair(1)
    evacuation = Evacuation("hall", 7, evacuated=True)
    pair.meshes[1].announce_evacuation(evacuation)
    pair.pump()
    assert pair.nodes[0].received_evacuations == [evacuation]
    pair.nodes[1].known_evacuations = [Evacuation("hall", 9, evacuated=False)]
    pair.pumps.append(pair.link(pair.meshes[1]))
    pair.pump()
    assert pair.nodes[0].received_evacuations[1:] == pair.nodes[1].known_evacuations


def test_known_departures_are_announced_on_new_links() -> None:
    pair = Pair(1)
    pair.nodes[1].known_departures = [Departure("u1"), Departure("u2", 7)]
    pair.pumps.append(pair.link(pair.meshes[1]))
    pair.pump()
    assert pair.nodes[0].received_departures == pair.nodes[1].known_departures


def test_loads_are_announced_as_of_the_time_of_the_message() -> None:
    pair = Pair(1)
    waiting = [100]
    pair.meshes[0].announce_load("u1", lambda: waiting[0], ["aa"])
    waiting[0] = 300
    pair.meshes[0].announce_load("u1", lambda: waiting[0], ["bb"])
    pair.pump()
    assert pair.nodes[1].loads == {}
    pair.clock.advance(LOAD_DELAY_SECONDS)
    pair.pump()
    assert pair.nodes[1].loads == {("a", "u1"): 300}
    assert pair.nodes[1].prefilled_parts == ["aa", "bb"]


def test_loads_of_a_peer_are_discarded_with_its_link() -> None:
    pair = Pair(1)
    pair.meshes[0].announce_load("u1", lambda: 100, [])
    pair.clock.advance(LOAD_DELAY_SECONDS)
    pair.pump()
    for _ in range(6):
        pair.clock.advance(0.5)
    pair.pump()
    assert pair.nodes[1].loads == {}


def test_lent_tokens_are_transferred_exactly_once() -> None:
    pair = Pair(1)
    pair.nodes[1].tokens = 100
    results: list[int] = []
    for _ in range(2):
        borrowing = Deferred.fromCoroutine(pair.meshes[0].borrow("b", "w", 80))
        borrowing.addCallback(results.append)
        pair.pump()
    assert results == [80, 20]
    assert (pair.nodes[0].tokens, pair.nodes[1].tokens) == (100, 0)


def test_a_loan_that_arrives_after_its_timeout_is_credited() -> None:
    pair = Pair(1)
    pair.nodes[1].tokens = 100
    results: list[int] = []
    borrowing = Deferred.fromCoroutine(pair.meshes[0].borrow("b", "w", 80))
    borrowing.addCallback(results.append)
    pair.clock.advance(0.2)
    pair.pump()
    assert results == [0]
    assert pair.nodes[0].tokens == 80


def test_a_slow_lender_gets_one_request_at_a_time() -> None:
    """With more requests, the tokens lent would grow with the link's delay."""
    pair = Pair(1)
    pair.nodes[1].tokens = 1_000_000
    for _ in range(50):
        Deferred.fromCoroutine(pair.meshes[0].borrow("b", "w", 10_000))
        pair.clock.advance(0.02)
    pair.pump()
    assert pair.nodes[0].tokens == 10_000
    assert pair.nodes[1].tokens == 990_000


def test_requests_do_not_wait_for_an_overdue_loan() -> None:
    pair = Pair(1)
    pair.nodes[1].tokens = 100
    results: list[int] = []
    first = Deferred.fromCoroutine(pair.meshes[0].borrow("b", "w", 80))
    first.addCallback(results.append)
    pair.clock.advance(LOAN_SECONDS)
    assert results == [0]
    again = Deferred.fromCoroutine(pair.meshes[0].borrow("b", "w", 80))
    again.addCallback(results.append)
    assert results == [0, 0]
    pair.pump()
    assert pair.nodes[0].tokens == 80
    later = Deferred.fromCoroutine(pair.meshes[0].borrow("b", "w", 10))
    later.addCallback(results.append)
    pair.pump()
    assert results == [0, 0, 10]


def test_a_demand_ends_with_its_link() -> None:
    pair = Pair(1)
    results: list[int] = []
    borrowing = Deferred.fromCoroutine(pair.meshes[0].borrow("b", "w", 80))
    borrowing.addCallback(results.append)
    pair.ends[0][0].drop()
    pair.pump()
    assert results == [0]


def test_an_unresponsive_link_is_closed() -> None:
    pair = Pair(1)
    for _ in range(6):
        pair.clock.advance(0.5)
    pair.pump()
    assert [mesh.peers for mesh in pair.meshes] == [[], []]


def test_malformed_bytes_close_the_link() -> None:
    pair = Pair(1)
    link = next(iter(pair.meshes[0]._all_links))
    link.dataReceived(b"\xc1\xc1\xc1")
    pair.pump()
    assert pair.meshes[0].peers == []


def open_links(name: str, seconds: float, others: str) -> list[int]:
    """Return the ports to which an instance has opened links after some seconds."""
    clock: Any = MemoryReactorClock()
    mesh = PeerMesh(clock, name, Member(Address("10.0.0.1", 1), "hall"), (), Node())
    for port, other in enumerate(others, 100):
        mesh.add_member(other, Member(Address("10.0.0.1", port), "hall"))
    mesh.start()
    clock.advance(seconds)
    return sorted(port for _, port, *_ in clock.tcpClients)


def test_links_to_lenders_in_other_domains_are_preferred() -> None:
    clock: Any = MemoryReactorClock()
    names = [f"instance-{number}" for number in range(400)]
    node = Node(lenders=frozenset(names[300:320]))
    mesh = PeerMesh(clock, "a", Member(Address("10.0.0.1", 1), "hall"), (), node)
    for port, name in enumerate(names):
        domain = "hall" if port < 100 else "other-hall"
        mesh.add_member(name, Member(Address("10.0.0.1", port), domain))
    mesh.start()
    clock.advance(0)
    ports = {port for _, port, *_ in clock.tcpClients}
    near = {port for port in ports if port < 100}
    assert (len(near), ports - near) == (MAX_NEAR_LINKS, set(range(300, 320)))


def test_one_of_two_instances_opens_the_link() -> None:
    assert open_links("b", 0.0, "ac") == [101]
    assert open_links("a", 0.0, "bc") == [100, 101]
    assert open_links("c", 0.0, "ab") == []


def test_the_other_instance_opens_the_link_if_there_is_none() -> None:
    """The instance that usually opens it may not have detected yet that it closed."""
    assert open_links("c", FALLBACK_OPEN_SECONDS, "ab") == [100, 101]


def test_a_link_that_carries_messages_needs_no_heartbeats() -> None:
    pair = Pair(1)
    pair.advance(HEARTBEAT_SECONDS)
    link = pair.ends[0][0]
    written: list[bytes] = []
    send = link.send_bytes

    def record(data: bytes) -> None:
        written.append(data)
        send(data)

    link.send_bytes = record  # type: ignore[method-assign]
    for _ in range(10):
        pair.meshes[0].announce_departure(Departure("u1", 7))
        pair.advance(HEARTBEAT_SECONDS)
    assert len(written) == 10
    pair.advance(HEARTBEAT_SECONDS)
    assert len(written) == 11
    assert pair.meshes[1].peers == ["a"]


# Heartbeats are most of what a fleet of 80 instances does while it is idle.
def test_an_idle_link_carries_a_heartbeat_a_second_and_stays_open() -> None:
    pair = Pair(1)
    pair.advance(HEARTBEAT_SECONDS)
    link = pair.ends[0][0]
    sent_at: list[float] = []
    send = link.send_bytes

    def record(data: bytes) -> None:
        sent_at.append(pair.clock.seconds())
        send(data)

    link.send_bytes = record  # type: ignore[method-assign]
    for _ in range(20):
        pair.advance(HEARTBEAT_SECONDS)
    gaps = [later - earlier for earlier, later in pairwise(sent_at)]
    assert len(sent_at) == 10
    assert max(gaps) <= LINK_TIMEOUT_SECONDS / 2
    assert pair.meshes[1].peers == ["a"]


# Guards against a link that is dropped with the replies that wait on it, as nothing was
# read during a stall.
@pytest.mark.parametrize(
    "seconds", [LINK_TIMEOUT_SECONDS - 0.5, LINK_TIMEOUT_SECONDS + 0.5]
)
def test_a_loan_that_waits_when_a_stall_ends_is_received(
    monkeypatch: pytest.MonkeyPatch, seconds: float
) -> None:
    monkeypatch.setitem(globals(), "MemoryReactorClock", StalledClock)
    pair = Pair(1)
    # Only one of the two instances stalls.
    pair.meshes[1].__exit__(None, None, None)
    pair.nodes[1].tokens = 100
    results: list[int] = []
    borrowing = Deferred.fromCoroutine(pair.meshes[0].borrow("b", "w", 80))
    borrowing.addCallback(results.append)
    pair.clock.stall(seconds, pair.pump)
    # A transport in memory still delivers what an aborted socket does not.
    assert pair.meshes[0].peers == ["b"]
    assert results == [80]

"""Instances tell each other what they run at upstreams, within a bandwidth."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import pytest
from twisted.internet.task import Clock

from pondquay.addresses import Address
from pondquay.routing.directory import UpstreamDirectory
from pondquay.routing.upstreamrecords import UpstreamRecord
from pondquay_daemon.relay.activitylinks import (
    MAX_BYTES_PER_SECOND,
    MIN_INTERVAL_SECONDS,
    NAMES_SECONDS,
    ActivityLinks,
)
from pondquay_daemon.relay.linkplans import MAX_FAR_LINKS
from pondquay_daemon.relay.peermessages import MessageReader, encode_message

if TYPE_CHECKING:
    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay_daemon.relay.peermessages import PeerMessage

UPSTREAMS = 30
NEAR, FAR = "hall", "yard"
# Minimum time after which a change has reached the peers.
SETTLED_SECONDS = 2 * MIN_INTERVAL_SECONDS
PACE = 1e-5


@dataclass
class Link:
    """One direction of a link, which delivers at once.

    :ivar sizes: bytes of each message
    """

    instance: str
    receiver: Instance
    sender: str
    supported: bool = True
    sizes: list[int] = field(default_factory=list)

    def supports(self, _kind: type[PeerMessage]) -> bool:
        return self.supported

    def send(self, message: PeerMessage) -> None:
        self.send_bytes(encode_message(message))

    def send_bytes(self, data: bytes) -> None:
        self.sizes.append(len(data))
        back: Any = self.receiver.links[self.sender]
        for message in MessageReader().feed(data):
            self.receiver.activity.receive(back, message)


class Instance:
    """An instance that knows some upstreams; it takes the place of its mesh."""

    def __init__(self, name: str, clock: Clock, domains: dict[str, str]) -> None:
        self.name = name
        self.domains = domains
        self.links: dict[str, Link] = {}
        self.directory = UpstreamDirectory(clock.seconds)
        for number in range(UPSTREAMS):
            self.add_upstream(f"u{number}")
        mesh: Any = self
        reactor: Any = clock
        self.activity = ActivityLinks(
            reactor, mesh, self.directory, domains[name], shares=True
        )

    def add_topic(self, topic: ActivityLinks) -> None:
        pass

    def find_link(self, peer: str) -> Link | None:
        return self.links.get(peer)

    def add_upstream(self, name: str) -> None:
        address = Address("10.0.0.1", 80)
        self.directory.put(UpstreamRecord(name, "judge", address, NEAR, 64, born=7), 1)

    def find(self, name: str) -> KnownUpstream:
        upstream = self.directory.find(f"{name}@7")
        assert upstream is not None
        return upstream

    def change(self, name: str, requests: int, tokens: int = 0) -> None:
        """Start or end requests at an upstream."""
        upstream = self.find(name)
        upstream.running += requests
        upstream.activity.tokens += tokens
        self.activity.note_changed(upstream)

    def heard(self, name: str) -> tuple[int, int]:
        """Return the requests and tokens of peers at an upstream."""
        activity = self.find(name).activity
        return activity.heard_running, activity.heard_tokens


class Fleet:
    """Instances that are all linked to the first one.

    :param near: number of instances in the first one's domain, with it
    :param far: number of instances in another domain
    """

    def __init__(self, near: int = 2, far: int = 0, *, supported: bool = True) -> None:
        self.clock = Clock()
        domains = {f"n{number}": NEAR for number in range(near)}
        domains |= {f"f{number}": FAR for number in range(far)}
        self.instances = {name: Instance(name, self.clock, domains) for name in domains}
        self.first = self.instances["n0"]
        self.others = [
            other for other in self.instances.values() if other is not self.first
        ]
        for other in self.others:
            for end, peer in ((self.first, other), (other, self.first)):
                end.links[peer.name] = Link(peer.name, peer, end.name, supported)
            for end, peer in ((self.first, other), (other, self.first)):
                link: Any = end.links[peer.name]
                end.activity.note_supported(link)

    def advance(self, seconds: float = SETTLED_SECONDS) -> None:
        self.clock.pump([0.05] * round(seconds / 0.05))

    def sizes(self) -> list[int]:
        """Return the bytes of each message that the first instance has sent."""
        return [size for link in self.first.links.values() for size in link.sizes]


def test_a_peer_knows_what_runs_at_an_upstream() -> None:
    fleet = Fleet()
    fleet.first.change("u1", 2, 7_000)
    fleet.first.change("u2", 1, 3_000)
    fleet.advance()
    (peer,) = fleet.others
    assert peer.heard("u1") == (2, 7_000)
    assert peer.heard("u2") == (1, 3_000)
    fleet.first.change("u1", -2, -7_000)
    fleet.advance()
    assert peer.heard("u1") == (0, 0)
    assert peer.heard("u2") == (1, 3_000)
    assert len(fleet.sizes()) == 2


def test_what_ends_before_the_message_is_not_announced() -> None:
    fleet = Fleet()
    fleet.first.change("u1", 1, 3_000)
    fleet.first.change("u1", -1, -3_000)
    fleet.advance()
    assert fleet.sizes() == []


def test_an_idle_fleet_sends_nothing() -> None:
    fleet = Fleet()
    fleet.advance(5.0)
    assert fleet.sizes() == []


def test_a_new_peer_is_told_what_runs() -> None:
    fleet = Fleet()
    fleet.first.change("u1", 2, 7_000)
    fleet.advance()
    (peer,) = fleet.others
    back: Any = peer.links["n0"]
    peer.activity.note_disconnected(back)
    assert peer.heard("u1") == (0, 0)
    peer.activity.note_supported(back)
    link: Any = fleet.first.links[peer.name]
    fleet.first.activity.note_supported(link)
    assert peer.heard("u1") == (2, 7_000)


def test_a_peer_that_does_not_support_the_messages_gets_none() -> None:
    fleet = Fleet(supported=False)
    fleet.first.change("u1", 2, 7_000)
    fleet.advance()
    assert fleet.sizes() == []
    assert fleet.first.activity.scale == 0


def test_an_observed_pace_counts_once_at_each_instance() -> None:
    fleet = Fleet(near=3)
    for _ in range(3):
        fleet.first.activity.note_reading(fleet.first.find("u1"), PACE)
    fleet.first.activity.note_interval(fleet.first.find("u1"), 2 * PACE)
    fleet.advance()
    for peer in fleet.others:
        pace = peer.find("u1").pace
        assert pace.reading.value == pytest.approx(PACE)
        assert pace.events.value == pytest.approx(2 * PACE)
        assert pace.reading.count == 1
    assert fleet.first.find("u1").pace.reading.count > 1


def test_in_a_large_fleet_the_domain_stands_for_the_rest() -> None:
    fleet = Fleet(near=9, far=18)
    assert len(fleet.instances) > MAX_FAR_LINKS
    fleet.first.change("u1", 2, 7_000)
    fleet.advance()
    heard = {peer.name: peer.heard("u1")[0] for peer in fleet.others}
    assert {name for name, count in heard.items() if count} == {
        f"n{number}" for number in range(1, 9)
    }
    assert fleet.first.activity.scale == 26 / 8


def test_a_far_peers_activity_is_dropped_once_the_fleet_is_large() -> None:
    fleet = Fleet(near=2, far=2)
    fleet.instances["f0"].change("u1", 2, 7_000)
    fleet.advance()
    assert fleet.first.heard("u1") == (2, 7_000)
    fleet.first.domains |= {f"m{number}": FAR for number in range(MAX_FAR_LINKS)}
    assert fleet.first.activity.scale > 1
    assert fleet.first.heard("u1") == (0, 0)


@pytest.mark.parametrize("peers", [1, 24, 39])
def test_the_messages_keep_to_their_bandwidth_under_load(peers: int) -> None:
    fleet = Fleet(near=peers + 1)
    seconds = 10
    for step in range(20 * seconds):
        fleet.first.change(f"u{step % UPSTREAMS}", 1, 7_000)
        if step >= UPSTREAMS:
            fleet.first.change(f"u{(7 * step) % UPSTREAMS}", -1, -7_000)
        upstream = fleet.first.find(f"u{step % UPSTREAMS}")
        fleet.first.activity.note_reading(upstream, PACE)
        fleet.advance(0.05)
    messages = len(fleet.sizes()) / peers
    assert messages <= seconds / MIN_INTERVAL_SECONDS
    largest = max(fleet.sizes()) * peers
    assert sum(fleet.sizes()) <= seconds * MAX_BYTES_PER_SECOND + largest


def test_an_upstream_that_is_not_known_yet_is_ignored() -> None:
    fleet = Fleet()
    (peer,) = fleet.others
    fleet.first.add_upstream("new")
    fleet.first.change("new", 1, 3_000)
    fleet.advance()
    peer.add_upstream("new")
    assert peer.heard("new") == (0, 0)
    fleet.advance(NAMES_SECONDS)
    fleet.first.change("new", 1, 3_000)
    fleet.advance()
    assert peer.heard("new") == (2, 6_000)

"""A request that crashes upstreams is blocked at all instances after a few crashes."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import pytest
from twisted.internet.error import ConnectionRefusedError
from twisted.python.failure import Failure

from pondquay.routing.crashes import TRIAL_DELAYS_SECONDS

from .conftest import STEP_SECONDS, RelaySide, UpstreamEnd
from .links import RelayLinks

if TYPE_CHECKING:
    from collections.abc import Iterable

# Number of upstreams that crash under a request before it is blocked.
MAX_CRASHES = 3
# Number of upstreams that may crash under it in trials.
MAX_TRIALS = 3
CRASHING = "/read/crashing"
HARMLESS = "/read/sound"
# Path of requests that upstreams hold until ``answer_held`` is called.
HELD_PATH = "/read/held"
RESPONSE = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
REJECTION = (
    b"HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)
PORT = 80
HOSTS = tuple(f"10.0.0.{number}" for number in range(1, 7))
# Time after which a crashed upstream restarts, under another name.
RESTART_SECONDS = 3.0
# Time in which instances that start together open links to each other.
LINKED_SECONDS = 5.0


@dataclass
class Upstreams:
    """Upstreams that serve all requests except the crashing one.

    :param relays: relays that connect to them and to each other; they share a clock
    :ivar crashed: names of the upstreams that crashed under that request, in order
    :ivar resetting: whether they reset connections on which they receive a request
    :ivar rejecting: whether they reject all requests without running them
    :ivar surviving: whether those that crash listen again at once
    """

    relays: list[RelaySide]
    crashed: list[str] = field(default_factory=list)
    resetting: bool = False
    rejecting: bool = False
    surviving: bool = False
    links: RelayLinks = field(default_factory=RelayLinks)
    _incarnations: Counter[str] = field(default_factory=Counter)
    _restarts_at: dict[str, float] = field(default_factory=dict)
    _held: defaultdict[str, list[UpstreamEnd]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _accepted: int = 0

    @property
    def clock(self) -> Any:
        return self.relays[0].clock

    def start(self, hosts: Iterable[str]) -> None:
        """Start an upstream at each host."""
        for host in hosts:
            self.relays[0].store.put_upstream(self.name(host), f"{host}:{PORT}")

    def crash(self, host: str) -> None:
        """Crash an upstream with all requests that run there."""
        self._restarts_at[host] = self.clock.seconds() + RESTART_SECONDS
        for end in self._held.pop(host, []):
            end.end()

    def answer_held(self) -> None:
        """Respond to all held requests."""
        for ends in self._held.values():
            for end in ends:
                end.send(RESPONSE)
        self._held.clear()

    def list_held_hosts(self) -> list[str]:
        """Return the hosts where requests are held."""
        return list(self._held)

    def name(self, host: str) -> str:
        return f"u{self._incarnations[host]}-{host}"

    def run_for(self, seconds: float) -> None:
        """Advance the clock and serve incoming connections."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            self._restart_due()
            self._serve()

    def _restart_due(self) -> None:
        now = self.clock.seconds()
        for host in [due for due, at in self._restarts_at.items() if at <= now]:
            del self._restarts_at[host]
            self.relays[0].store.delete_upstream(self.name(host))
            self._incarnations[host] += 1
            self.start([host])

    def _serve(self) -> None:
        clients = self.clock.tcpClients
        while self._accepted < len(clients):
            host, port, factory, _, _ = clients[self._accepted]
            self._accepted += 1
            if port == PORT:
                self._accept(host, factory)
            else:
                self.links.open(self.clock.tcpServers, host, factory, port)
        self.links.pump()

    def _accept(self, host: str, factory: Any) -> None:
        if host in self._restarts_at:
            refused = Failure(ConnectionRefusedError())
            factory.clientConnectionFailed(None, refused)
            return
        end = UpstreamEnd.accept(factory)
        sent = end.transport.value()
        if sent and self.resetting:
            end.end()
        elif sent and self.rejecting:
            end.send(REJECTION)
        elif CRASHING.encode() in sent:
            self.crashed.append(self.name(host))
            if not self.surviving:
                self.crash(host)
            end.end()
        elif HELD_PATH.encode() in sent:
            self._held[host].append(end)
        elif sent:
            end.send(RESPONSE)


def start(*relays: RelaySide) -> Upstreams:
    """Start relays with some upstreams."""
    upstreams = Upstreams(list(relays))
    upstreams.start(HOSTS)
    for relay in relays:
        relay.start()
    upstreams.run_for(1)
    return upstreams


def send_repeatedly(upstreams: Upstreams, *relays: RelaySide) -> None:
    """Send the crashing request repeatedly, to each relay in turn."""
    for turn in range(8):
        relays[turn % len(relays)].connect_caller(CRASHING)
        upstreams.run_for(1)


def test_a_request_that_crashed_three_upstreams_is_blocked(
    relay: RelaySide,
) -> None:
    upstreams = start(relay)
    send_repeatedly(upstreams, relay)
    assert len(upstreams.crashed) == MAX_CRASHES
    assert relay.responses()[-1].startswith(b"HTTP/1.1 503")


def test_another_request_of_the_same_caller_on_the_same_path_is_served(
    relay: RelaySide,
) -> None:
    upstreams = start(relay)
    send_repeatedly(upstreams, relay)
    relay.connect_caller(HARMLESS)
    upstreams.run_for(1)
    assert relay.responses()[-1].startswith(b"HTTP/1.1 200")


def make_fleet(first: RelaySide) -> list[RelaySide]:
    """Return four relays that share a table."""
    return [first, *(RelaySide(fleet_peer=first, number=n) for n in (2, 3, 4))]


def test_a_refused_caller_gets_the_time_until_the_next_trial(relay: RelaySide) -> None:
    upstreams = start(relay)
    send_repeatedly(upstreams, relay)
    assert relay.refusals[-1] == pytest.approx(TRIAL_DELAYS_SECONDS[0] - 6, abs=1.0)


def test_only_requests_that_were_never_sent_get_503(relay: RelaySide) -> None:
    upstreams = start(relay)
    send_repeatedly(upstreams, relay)
    statuses = [response[9:12] for response in relay.responses()]
    # The first two requests have two attempts each; the last of the four is blocked.
    assert statuses == [b"502"] * 2 + [b"503"] * 6


def test_a_request_lost_in_unrelated_crashes_is_served_elsewhere(
    relay: RelaySide,
) -> None:
    upstreams = start(relay)
    for _ in range(MAX_CRASHES):
        relay.connect_caller(HELD_PATH)
        upstreams.run_for(0.1)
        (host,) = upstreams.list_held_hosts()
        upstreams.crash(host)
        upstreams.run_for(0.1)
        upstreams.answer_held()
        upstreams.run_for(RESTART_SECONDS)
    relay.connect_caller(HELD_PATH)
    upstreams.run_for(0.1)
    upstreams.answer_held()
    assert [response[9:12] for response in relay.responses()] == [b"200"] * (
        MAX_CRASHES + 1
    )


def test_reset_connections_do_not_count_as_crashes(relay: RelaySide) -> None:
    upstreams = start(relay)
    upstreams.resetting = True
    for _ in range(4):
        relay.connect_caller(HARMLESS)
        upstreams.run_for(1)
    upstreams.resetting = False
    upstreams.run_for(LINKED_SECONDS)
    relay.connect_caller(HARMLESS)
    upstreams.run_for(1)
    assert relay.responses()[-1].startswith(b"HTTP/1.1 200")


def crash_together(upstreams: Upstreams, relay: RelaySide) -> None:
    """Crash upstreams at which several callers' identical requests are running."""
    for _ in range(6):
        relay.connect_caller(HELD_PATH)
    upstreams.run_for(0.1)
    hosts = upstreams.list_held_hosts()
    assert len(hosts) >= MAX_CRASHES
    for host in hosts:
        upstreams.crash(host)
    upstreams.run_for(1)
    relay.connect_caller(HELD_PATH)
    upstreams.run_for(1)
    assert relay.responses()[-1].startswith(b"HTTP/1.1 503")


def test_a_request_whose_upstreams_crashed_together_is_tried_again(
    relay: RelaySide,
) -> None:
    """Several callers send the same request; upstreams crash for another reason."""
    upstreams = start(relay)
    crash_together(upstreams, relay)
    upstreams.run_for(TRIAL_DELAYS_SECONDS[0])
    for _ in range(2):
        relay.connect_caller(HELD_PATH)
        upstreams.run_for(0.1)
        upstreams.answer_held()
        upstreams.run_for(0.1)
        assert relay.responses()[-1].startswith(b"HTTP/1.1 200")


# Guards against a harmless request that is refused for minutes, since the request that
# was to try it was refused for another reason.
@pytest.mark.parametrize("reason", ["no upstream listens", "all upstreams reject"])
def test_a_trial_that_does_not_run_is_repeated(relay: RelaySide, reason: str) -> None:
    upstreams = start(relay)
    crash_together(upstreams, relay)
    upstreams.run_for(TRIAL_DELAYS_SECONDS[0])
    upstreams.rejecting = reason == "all upstreams reject"
    if not upstreams.rejecting:
        for host in HOSTS:
            upstreams.crash(host)
    relay.connect_caller(HELD_PATH)
    upstreams.run_for(RESTART_SECONDS)
    assert relay.responses()[-1].startswith(b"HTTP/1.1 503")
    assert upstreams.list_held_hosts() == []
    upstreams.rejecting = False
    upstreams.run_for(LINKED_SECONDS)
    relay.connect_caller(HELD_PATH)
    upstreams.run_for(0.1)
    upstreams.answer_held()
    upstreams.run_for(0.1)
    assert relay.responses()[-1].startswith(b"HTTP/1.1 200")


def test_a_trial_under_which_an_upstream_crashed_is_not_repeated_soon(
    relay: RelaySide,
) -> None:
    upstreams = start(relay)
    crash_together(upstreams, relay)
    upstreams.run_for(TRIAL_DELAYS_SECONDS[0])
    relay.connect_caller(HELD_PATH)
    upstreams.run_for(0.1)
    (host,) = upstreams.list_held_hosts()
    upstreams.crash(host)
    upstreams.run_for(RESTART_SECONDS)
    assert relay.responses()[-1].startswith(b"HTTP/1.1 502")
    upstreams.run_for(TRIAL_DELAYS_SECONDS[0])
    relay.connect_caller(HELD_PATH)
    upstreams.run_for(0.1)
    assert relay.responses()[-1].startswith(b"HTTP/1.1 503")


# Guards against a harmless request that is refused for minutes after its trial was lost
# at an upstream that lives on.
def test_a_trial_that_was_lost_without_a_crash_is_repeated(relay: RelaySide) -> None:
    upstreams = start(relay)
    crash_together(upstreams, relay)
    upstreams.run_for(TRIAL_DELAYS_SECONDS[0])
    upstreams.resetting = True
    relay.connect_caller(HELD_PATH)
    upstreams.run_for(0.5)
    assert relay.responses()[-1].startswith(b"HTTP/1.1 502")
    upstreams.resetting = False
    upstreams.run_for(2 * TRIAL_DELAYS_SECONDS[0])
    relay.connect_caller(HELD_PATH)
    upstreams.run_for(0.1)
    upstreams.answer_held()
    upstreams.run_for(0.1)
    assert relay.responses()[-1].startswith(b"HTTP/1.1 200")


# Guards against a request that is refused for minutes when upstreams crash soon after
# its first trial was served.
def test_a_request_that_is_blocked_again_after_a_trial_is_tried_as_soon(
    relay: RelaySide,
) -> None:
    upstreams = start(relay)
    crash_together(upstreams, relay)
    upstreams.run_for(TRIAL_DELAYS_SECONDS[0])
    for _ in range(2):
        relay.connect_caller(HELD_PATH)
        upstreams.run_for(0.1)
        upstreams.answer_held()
        upstreams.run_for(2.0)
        assert relay.responses()[-1].startswith(b"HTTP/1.1 200")
        crash_together(upstreams, relay)
        upstreams.run_for(TRIAL_DELAYS_SECONDS[0])


# Guards against a request that goes on crashing upstreams in trials that are repeated,
# since each upstream listens again before it is checked.
def test_trials_are_bounded_if_upstreams_seem_to_survive_them(relay: RelaySide) -> None:
    fleet = make_fleet(relay)
    upstreams = start(*fleet)
    upstreams.run_for(LINKED_SECONDS)
    send_repeatedly(upstreams, *fleet)
    assert len(upstreams.crashed) == MAX_CRASHES
    upstreams.surviving = True
    for turn in range(100):
        for caller in fleet:
            caller.connect_caller(CRASHING)
        upstreams.run_for(2)
        if turn == 10:
            # An instance that has only the table to learn from.
            upstreams.links.cut = True
            fleet.append(RelaySide(fleet_peer=relay, number=5))
            upstreams.relays.append(fleet[-1])
            fleet[-1].start()
    assert len(upstreams.crashed) == MAX_CRASHES + MAX_TRIALS


def test_other_instances_receive_reports_of_crashes(relay: RelaySide) -> None:
    fleet = make_fleet(relay)
    upstreams = start(*fleet)
    upstreams.run_for(LINKED_SECONDS)
    send_repeatedly(upstreams, *fleet)
    assert len(upstreams.crashed) == MAX_CRASHES


def test_reports_from_one_side_of_a_partition_arrive_after_it(
    relay: RelaySide,
) -> None:
    fleet = make_fleet(relay)
    upstreams = start(*fleet)
    upstreams.run_for(LINKED_SECONDS)
    upstreams.links.cut = True
    upstreams.run_for(LINKED_SECONDS)
    send_repeatedly(upstreams, relay)
    assert len(upstreams.crashed) == MAX_CRASHES
    upstreams.links.cut = False
    upstreams.run_for(LINKED_SECONDS)
    send_repeatedly(upstreams, *fleet[1:])
    assert len(upstreams.crashed) == MAX_CRASHES


@pytest.mark.parametrize("is_alone", [False, True])
def test_an_instance_that_has_just_started_blocks_the_request(
    relay: RelaySide, is_alone: bool
) -> None:
    """It receives the report from a peer, or from the table if there are no peers."""
    upstreams = start(relay)
    send_repeatedly(upstreams, relay)
    started = RelaySide(fleet_peer=relay, number=2)
    upstreams.links.cut = is_alone
    upstreams.relays.append(started)
    started.start()
    upstreams.run_for(LINKED_SECONDS)
    send_repeatedly(upstreams, started)
    assert len(upstreams.crashed) == MAX_CRASHES

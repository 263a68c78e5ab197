"""Instances that cannot reach upstreams, while callers and peers reach them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

from pondquay_daemon.relay import outcomerecorder
from pondquay_daemon.relay.outcomes import Lost
from pondquay_daemon.relay.tunnelmessages import (
    CODEC,
    OpenTunnel,
    TunnelOutcome,
    TunnelReader,
    TunnelResult,
)
from pondquay_daemon.tasks import spawn

from .conftest import TUNNELS_PORT
from .links import LinkTransport
from .partitions import (
    BACKOFF_SECONDS,
    HELD_PATH,
    HOSTS,
    SERVED,
    UPSTREAM_PORT,
    Cut,
    PartitionedFleet,
    count_served,
)

if TYPE_CHECKING:
    from .conftest import RelaySide

# Time after which callers of an instance that is cut off are served again.
RECOVERY_SECONDS = 3.0
CUT_SECONDS = 6.0
# Time within which a request that cannot be served is refused.
REFUSAL_SECONDS = 0.1
# Time within which an upstream is told that a caller has left.
CANCEL_SECONDS = 0.5
# The longest time after which a request ends.
TIMEOUT_SECONDS = 2.0
# Fraction of the requests of instances that are cut off that are served.
MIN_SERVED_FRACTION = 0.9
PATHS = ("/read/x", "/once/x", "/stream/x")
# Open connections are closed after this time without requests.
IDLE_SECONDS = 4.5
# Three failure domains; the numbers of the instances that are cut off.
DOMAINS = ("a", "a", "a", "b", "b", "c")
ONE = (0,)
WHOLE_DOMAIN = (0, 1, 2)
ALL_BUT_ONE = (0, 1, 2, 3, 4)


# Guards against refusals by instances that have lost their own way to the upstreams,
# although peers reach every one of them.
@pytest.mark.parametrize("how", list(Cut))
@pytest.mark.parametrize("numbers", [ONE, WHOLE_DOMAIN, ALL_BUT_ONE])
def test_callers_of_an_instance_that_reaches_no_upstream_are_served(
    how: Cut, numbers: tuple[int, ...]
) -> None:
    fleet = PartitionedFleet.start(DOMAINS)
    fleet.send_requests(1.0, *PATHS)
    cut = [fleet.relays[number] for number in numbers]
    fleet.cut(how, *cut)
    if how is Cut.REFUSE:
        fleet.run_for(IDLE_SECONDS)
    fleet.send_requests(RECOVERY_SECONDS, *PATHS)
    since = {relay.host: len(relay.responses()) for relay in fleet.relays}
    fleet.send_requests(CUT_SECONDS, *PATHS)
    fleet.run_for(TIMEOUT_SECONDS)
    for relay in fleet.relays:
        served, sent = count_served(relay, since[relay.host])
        assert served >= MIN_SERVED_FRACTION * sent, relay.host


def start_cut(
    how: Cut, domains: tuple[str, ...] = ("a", "a", "b")
) -> tuple[PartitionedFleet, RelaySide]:
    """Return a fleet whose first relay has been cut off for some seconds."""
    fleet = PartitionedFleet.start(domains)
    fleet.cut(how, fleet.relays[0])
    fleet.send_requests(RECOVERY_SECONDS, *PATHS)
    return fleet, fleet.relays[0]


def count_blocked(relay: RelaySide) -> int:
    return len(relay.relay.describe()["crashes"])


# Guards against an instance that takes the reset of its own connections for crashes of
# the upstreams, and has the whole fleet refuse the requests that were lost.
def test_a_cut_blocks_no_request() -> None:
    fleet = PartitionedFleet.start(("a", "a", "b"))
    cut = fleet.relays[0]
    for _ in range(len(HOSTS)):
        cut.connect_caller(HELD_PATH)
        fleet.run_for(0.1)
    fleet.cut(Cut.RESET, cut)
    fleet.run_for(RECOVERY_SECONDS)
    fleet.holds = False
    fleet.run_for(RECOVERY_SECONDS)
    assert [count_blocked(relay) for relay in fleet.relays] == [0, 0, 0]
    for relay in fleet.relays:
        relay.connect_caller(HELD_PATH)
    fleet.run_for(1.0)
    assert all(relay.responses()[-1].startswith(SERVED) for relay in fleet.relays)


# Guards against requests that keep a detour after the direct path works again.
@pytest.mark.parametrize("how", list(Cut))
def test_a_path_that_works_again_is_used(how: Cut) -> None:
    fleet, cut = start_cut(how)
    fleet.heal()
    fleet.send_requests(RECOVERY_SECONDS, *PATHS)
    fleet.arrivals.clear()
    since = len(cut.responses())
    fleet.send_requests(RECOVERY_SECONDS, *PATHS)
    sources = {source for _, source, _ in fleet.arrivals}
    served, sent = count_served(cut, since)
    own = sum(source == cut.host for _, source, _ in fleet.arrivals)
    assert (served, own, len(sources)) == (sent, sent, len(fleet.relays))


# Guards against callers that wait for connections which cannot open, where no peer
# reaches an upstream either.
def test_requests_are_refused_at_once_if_no_instance_reaches_an_upstream() -> None:
    fleet = PartitionedFleet.start(("a", "b"))
    fleet.cut(Cut.HANG, *fleet.relays)
    fleet.send_requests(RECOVERY_SECONDS, *PATHS)
    slow = 0
    for _ in range(20):
        for relay in fleet.relays:
            relay.connect_caller("/read/x")
        fleet.run_for(REFUSAL_SECONDS)
        slow += sum(not relay.responses()[-1] for relay in fleet.relays)
    assert slow == 0
    fleet.heal()
    fleet.send_requests(RECOVERY_SECONDS, *PATHS)
    for relay in fleet.relays:
        relay.connect_caller("/read/x")
    fleet.run_for(1.0)
    assert all(relay.responses()[-1].startswith(SERVED) for relay in fleet.relays)


# Guards against a truncated response that looks complete, since the host of a gateway
# that ends closes its tunnels in an orderly way.
def test_a_response_is_not_complete_if_its_gateway_ends() -> None:
    fleet, cut = start_cut(Cut.HANG)
    cut.connect_caller(HELD_PATH.replace("read", "once"))
    cut.connect_caller(HELD_PATH)
    fleet.run_for(0.1)
    for held in fleet.list_held():
        held.protocol.dataReceived(b"HTTP/1.1 200 OK\r\n\r\nbegin")
    fleet.run_for(0.1)
    fleet.holds = False
    gateways = [relay for relay in fleet.relays if relay is not cut]
    for gateway in gateways:
        fleet.kill(gateway)
    fleet.run_for(RECOVERY_SECONDS)
    once, read = cut.responses()[-2:]
    # It may have run, so neither a success nor a statement that it has not run is true.
    assert once.startswith(b"HTTP/1.1 502")
    assert not read.startswith(SERVED)


# Guards against work that goes on at upstreams for callers who have left.
def test_a_caller_that_leaves_ends_the_work_behind_a_gateway() -> None:
    fleet, cut = start_cut(Cut.HANG)
    caller = cut.connect_caller(HELD_PATH)
    fleet.run_for(0.1)
    (held,) = fleet.list_held()
    assert held.source != cut.host
    caller.connectionLost()
    fleet.run_for(CANCEL_SECONDS)
    assert held.is_lost


# Guards against a log that does not tell at which gateway a response was lost.
@pytest.mark.parametrize("is_direct", [False, True])
def test_a_lost_attempt_names_its_gateway(
    monkeypatch: pytest.MonkeyPatch, is_direct: bool
) -> None:
    outcomes: list[Any] = []
    monkeypatch.setattr(
        outcomerecorder,
        "log_event",
        lambda *_, outcome=None, **__: outcomes.append(outcome),
    )
    fleet, cut = start_cut(Cut.HANG)
    caller = fleet.relays[1] if is_direct else cut
    outcomes.clear()
    caller.connect_caller(HELD_PATH)
    fleet.run_for(0.1)
    (held,) = fleet.list_held()
    (source,) = (relay for relay in fleet.relays if relay.host == held.source)
    assert (source is caller) is is_direct
    held.lose()
    fleet.run_for(0.1)
    (lost,) = (outcome for outcome in outcomes if isinstance(outcome, Lost))
    assert lost.broken
    assert lost.gateway == ("" if is_direct else f"r{source.number}")


# Guards against requests that a planned stop of their gateway cuts off.
def test_a_gateway_that_stops_finishes_its_tunnels() -> None:
    fleet, cut = start_cut(Cut.HANG)
    number = len(cut.responses())
    cut.connect_caller("/once/held")
    fleet.run_for(0.1)
    (held,) = fleet.list_held()
    gateway = next(relay for relay in fleet.relays if relay.host == held.source)
    spawn(gateway.relay.stop(), "stop")
    fleet.run_for(0.2)
    fleet.arrivals.clear()
    for _ in range(5):
        cut.connect_caller("/read/x")
        fleet.run_for(0.1)
    assert gateway.host not in {source for _, source, _ in fleet.arrivals}
    fleet.holds = False
    fleet.run_for(0.5)
    assert count_served(cut, number) == (6, 6)


# Guards against a planned stop that does not wait for the callers of other instances.
def test_a_stop_waits_for_open_tunnels() -> None:
    fleet = PartitionedFleet.start(("a", "a"))
    gateway = fleet.relays[1]
    end, _ = open_raw_tunnel(fleet, gateway, HOSTS[0], f"{HOSTS[0]}:{UPSTREAM_PORT}")
    fleet.run_for(0.1)
    stopped = spawn(gateway.relay.stop(), "stop")
    fleet.run_for(5.0)
    assert not stopped.called
    end.connectionLost()
    fleet.run_for(1.0)
    assert stopped.called


def open_raw_tunnel(
    fleet: PartitionedFleet, gateway: RelaySide, upstream: str, address: str
) -> tuple[Any, LinkTransport]:
    """Return a gateway's end of a tunnel, and its transport."""
    server = next(
        server
        for port, server, _, host in fleet.clock.tcpServers
        if (host, port) == (gateway.host, TUNNELS_PORT)
    )
    end = server.buildProtocol(None)
    transport = LinkTransport(end, True)
    end.makeConnection(transport)
    end.dataReceived(CODEC.encode(OpenTunnel("r1", upstream, address)))
    return end, transport


# Guards against requests of a gateway to an upstream that asked it for a back-off, in a
# response that the gateway carried and did not read.
def test_a_backoff_that_is_asked_for_through_a_gateway_holds_for_it() -> None:
    fleet, cut = start_cut(Cut.HANG)
    resting = HOSTS[0]
    fleet.backing_off = {resting}
    fleet.arrivals.clear()
    while resting not in {host for _, _, host in fleet.arrivals}:
        cut.connect_caller("/read/x")
        fleet.run_for(0.1)
    fleet.run_for(0.2)
    began = fleet.clock.seconds()
    fleet.arrivals.clear()
    fleet.send_requests(BACKOFF_SECONDS / 3, *PATHS)
    assert fleet.clock.seconds() < began + BACKOFF_SECONDS - 0.5
    assert resting not in {host for _, _, host in fleet.arrivals}


# Guards against tunnels to any address that a peer names.
def test_a_gateway_connects_to_known_upstreams_only() -> None:
    fleet = PartitionedFleet.start(("a", "a"))
    gateway = fleet.relays[1]
    known = f"{HOSTS[0]}:{UPSTREAM_PORT}"
    for upstream, address, outcome in (
        (HOSTS[0], known, TunnelOutcome.OPENED),
        (HOSTS[0], "10.9.9.9:22", TunnelOutcome.UNKNOWN),
        ("other", known, TunnelOutcome.UNKNOWN),
    ):
        _, transport = open_raw_tunnel(fleet, gateway, upstream, address)
        fleet.run_for(0.1)
        (result,) = TunnelReader().feed(b"".join(transport.stream))
        assert result == TunnelResult(outcome.value)

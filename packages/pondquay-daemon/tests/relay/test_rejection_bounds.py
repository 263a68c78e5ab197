"""Upstreams that must not reject many requests a second."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .conftest import RelaySide
from .responding import HELD_PATH, HOSTS, RespondingUpstreams

if TYPE_CHECKING:
    from collections.abc import Sequence

INSTANCES = 8
LINKED_SECONDS = 5.0
BOUND = 10
# Time after which instances keep to a bound that an upstream reports.
REACTION_SECONDS = 3.0
MEASURED_SECONDS = 12.0
FULL = HOSTS[0]


def start_fleet(relay: RelaySide) -> tuple[RespondingUpstreams, Sequence[RelaySide]]:
    """Start a fleet with an upstream that rejects everything and reports a bound."""
    relays = [relay]
    relays += [RelaySide(fleet_peer=relay, number=n) for n in range(2, INSTANCES + 1)]
    upstreams = RespondingUpstreams.start(*relays, hosts=HOSTS[:3])
    upstreams.run_for(LINKED_SECONDS)
    for host in HOSTS[:3]:
        upstreams.extra_headers[host] = b"bound: %d\r\n" % BOUND
    return upstreams, relays


def send_to_all(
    upstreams: RespondingUpstreams, relays: Sequence[RelaySide], seconds: float
) -> None:
    until = upstreams.now + seconds
    while upstreams.now < until:
        for relay in relays:
            relay.connect_caller("/read/x")
        upstreams.run_for(0.1)


# Guards against an upstream that fails since all instances together are rejected by it
# more often than it can bear.
def test_rejections_of_all_instances_stay_below_the_bound(relay: RelaySide) -> None:
    upstreams, relays = start_fleet(relay)
    send_to_all(upstreams, relays, 1.0)
    upstreams.rejecting = {FULL}
    send_to_all(upstreams, relays, REACTION_SECONDS)
    since = upstreams.now
    send_to_all(upstreams, relays, MEASURED_SECONDS)
    times = [at for at, host in upstreams.arrivals if host == FULL and at > since]
    worst = max(sum(at <= other < at + 1.0 for other in times) for at in times)
    assert worst <= BOUND
    assert all(r.responses()[-1].startswith(b"HTTP/1.1 200") for r in relays)


# Guards against requests that an upstream has to reject although its slots are known to
# be in use.
def test_an_upstream_with_a_bound_gets_no_more_than_it_can_run(
    relay: RelaySide,
) -> None:
    upstreams = RespondingUpstreams.start(relay, hosts=(FULL,))
    upstreams.extra_headers[FULL] = b"bound: %d\r\n" % BOUND
    relay.connect_caller("/read/x")
    upstreams.run_for(0.1)
    for _ in range(10):
        relay.connect_caller(HELD_PATH)
        upstreams.run_for(0.02)
    assert len(upstreams.arrivals) == 1 + 4
    assert relay.responses()[-1].startswith(b"HTTP/1.1 503")
    assert b"no upstream with room" in relay.responses()[-1]


def test_the_bound_ends_with_the_first_response_without_it(relay: RelaySide) -> None:
    upstreams, relays = start_fleet(relay)
    send_to_all(upstreams, relays, 1.0)
    upstreams.extra_headers.clear()
    send_to_all(upstreams, relays, 1.0)
    upstreams.rejecting = {FULL}
    since = upstreams.now
    send_to_all(upstreams, relays, 1.0)
    assert upstreams.count_since(since, FULL) > BOUND

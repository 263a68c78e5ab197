"""A failure domain whose upstreams become unreachable together.

Guards against requests that are delayed or refused because each of 24 unreachable
upstreams is tried separately, while upstreams of another domain are healthy.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.domainreach import (
    UNREACHABLE_SECONDS,
    UNREACHABLE_UPSTREAMS,
    DomainReach,
)

if TYPE_CHECKING:
    from .conftest import RelaySide

UNREACHABLE = [f"10.0.0.{number}" for number in range(1, 25)]
HEALTHY = [f"10.0.1.{number}" for number in range(1, 4)]
# Longer than three connections that time out.
LONG_SECONDS = 2.0
STEP_SECONDS = 0.02


def start(relay: RelaySide) -> None:
    for host in UNREACHABLE:
        relay.store.put_upstream(host, f"{host}:80")
    for host in HEALTHY:
        relay.store.put_upstream(host, f"{host}:80", domain="yard")
    relay.start()
    relay.run_for(LONG_SECONDS)


def send_requests(
    relay: RelaySide, seconds: float, unreachable: list[str]
) -> list[str]:
    """Send a request at each step; return the hosts of the connections."""
    hosts = []
    for _ in range(round(seconds / STEP_SECONDS)):
        relay.connect_caller("/read/x")
        relay.clock.advance(STEP_SECONDS)
        hosts += relay.serve_connections(unreachable)
    return hosts


def finish_requests(relay: RelaySide, unreachable: list[str]) -> list[str]:
    """Let all requests end; return the hosts of their connections."""
    hosts = []
    for _ in range(round(LONG_SECONDS / STEP_SECONDS)):
        relay.clock.advance(STEP_SECONDS)
        hosts += relay.serve_connections(unreachable)
    return hosts


def test_a_request_goes_to_another_domain_after_a_failed_connection(
    relay: RelaySide,
) -> None:
    start(relay)
    relay.connect_caller("/read/x")
    relay.clock.advance(STEP_SECONDS)
    hosts = relay.serve_connections(UNREACHABLE) + finish_requests(relay, UNREACHABLE)
    assert [host in UNREACHABLE for host in hosts] == [True, False]
    assert relay.responses()[-1].startswith(b"HTTP/1.1 200")


def test_an_unreachable_domain_causes_few_failed_connections(relay: RelaySide) -> None:
    start(relay)
    send_requests(relay, LONG_SECONDS, UNREACHABLE)
    hosts = send_requests(relay, LONG_SECONDS, UNREACHABLE)
    unreachable = sum(host in UNREACHABLE for host in hosts)
    # Once per second, the domain is tried until connections time out again.
    assert unreachable <= len(hosts) / 2
    finish_requests(relay, UNREACHABLE)
    assert all(response.startswith(b"HTTP/1.1 200") for response in relay.responses())


def test_a_reachable_domain_is_used_again(relay: RelaySide) -> None:
    start(relay)
    send_requests(relay, LONG_SECONDS, UNREACHABLE)
    send_requests(relay, 2 * LONG_SECONDS, [])
    assert set(send_requests(relay, LONG_SECONDS, [])) & set(UNREACHABLE)


def test_a_request_that_reaches_no_upstream_is_refused(relay: RelaySide) -> None:
    start(relay)
    relay.connect_caller("/read/x")
    finish_requests(relay, UNREACHABLE + HEALTHY)
    assert relay.responses()[-1].startswith(b"HTTP/1.1 503")


def test_repeated_failures_of_one_upstream_do_not_make_its_domain_unreachable() -> None:
    reach = DomainReach()
    for number in range(10):
        reach.note_failed("hall", "u1", number)
    assert not reach.is_unreachable("hall", 9.0)


def test_a_response_between_two_failures_shows_that_the_domain_is_reachable() -> None:
    reach = DomainReach()
    reach.note_failed("hall", "u1", 0.0)
    reach.note_response("hall")
    reach.note_failed("hall", "u2", 0.0)
    assert not reach.is_unreachable("hall", 0.0)
    reach.note_failed("hall", f"u{UNREACHABLE_UPSTREAMS + 1}", 0.0)
    assert reach.is_unreachable("hall", 0.0)
    assert not reach.is_unreachable("yard", 0.0)
    assert not reach.is_unreachable("hall", UNREACHABLE_SECONDS)


def test_stopped_upstreams_do_not_make_their_domain_unreachable(
    relay: RelaySide,
) -> None:
    """Three of four upstreams refuse connections, and the fourth responds."""
    for number in range(1, 5):
        relay.store.put_upstream(f"u{number}", f"10.0.0.{number}:80", domain="a")
    relay.start()
    stopped = {f"10.0.0.{number}" for number in range(1, 4)}
    for _ in range(6):
        relay.connect_caller("/read/x")
        relay.refuse_connections(stopped)
    assert {response[9:12] for response in relay.responses()} == {b"200"}

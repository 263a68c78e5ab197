"""Cold upstreams get few requests at first.

The load is 50 requests per second at a single relay, with an upstream in each of two
domains.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .conftest import COLD_SECONDS, STEP_SECONDS

if TYPE_CHECKING:
    from .conftest import RelaySide

HALL, YARD = "10.0.0.1", "10.0.0.2"
# Longer than the poll interval of any table.
LONG_SECONDS = 3.0


def send_requests(relay: RelaySide, seconds: float) -> list[str]:
    """Send a request at each step; return the hosts that served them."""
    hosts = []
    for _ in range(round(seconds / STEP_SECONDS)):
        relay.connect_caller("/read/x")
        relay.clock.advance(STEP_SECONDS)
        hosts += relay.serve_connections(())
    return hosts


def start_with(relay: RelaySide, *, cold: float) -> None:
    relay.store.put_upstream("hall-1", f"{HALL}:80", cold=cold)
    relay.store.put_upstream("yard-1", f"{YARD}:80", domain="yard")
    relay.start()


def test_a_cold_upstream_gets_one_request_per_second(relay: RelaySide) -> None:
    start_with(relay, cold=COLD_SECONDS)
    hosts = send_requests(relay, COLD_SECONDS)
    assert hosts.count(HALL) <= 1 + COLD_SECONDS
    assert HALL in send_requests(relay, LONG_SECONDS)
    assert send_requests(relay, 1.0).count(HALL) > 1


def test_upstreams_of_a_restored_domain_are_cold_at_first(relay: RelaySide) -> None:
    start_with(relay, cold=0.0)
    relay.run_for(LONG_SECONDS)
    relay.store.evacuate_domain("hall")
    assert HALL not in send_requests(relay, LONG_SECONDS)[10:]
    relay.store.restore_domain("hall")
    hosts = send_requests(relay, COLD_SECONDS)
    assert 1 <= hosts.count(HALL) <= 1 + COLD_SECONDS
    assert send_requests(relay, 1.0).count(HALL) > 1


def test_excess_requests_are_refused_if_all_upstreams_are_cold(
    relay: RelaySide,
) -> None:
    relay.store.put_upstream("hall-1", f"{HALL}:80", cold=COLD_SECONDS)
    relay.start()
    hosts = send_requests(relay, COLD_SECONDS - STEP_SECONDS)
    assert 1 <= hosts.count(HALL) <= COLD_SECONDS
    assert b"warm" in relay.responses()[-1]

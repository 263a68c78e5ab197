"""Upstreams that send nothing for a second or so and go on."""

from __future__ import annotations

from .partitions import HOSTS, PartitionedFleet, count_served

SILENT_SECONDS = 1.5
PATHS = ("/read/x", "/once/x", "/stream/x")
# Fraction of the requests during the silence that are served.
MIN_SERVED_FRACTION = 0.9
DOMAINS = ("a", "a", "b")


# Guards against an upstream that is given up, or a request that is blocked, refused or
# run twice, since the upstream paused.
def test_a_pause_of_an_upstream_is_survived() -> None:
    fleet = PartitionedFleet.start(DOMAINS)
    fleet.send_requests(1.0, *PATHS)
    silent = HOSTS[0]
    fleet.silent = {silent}
    fleet.send_requests(SILENT_SECONDS, *PATHS)
    fleet.silent = set()
    fleet.run_for(2.0)
    for relay in fleet.relays:
        served, sent = count_served(relay, 0)
        assert served >= MIN_SERVED_FRACTION * sent
        assert relay.relay.describe()["crashes"] == []
    fleet.arrivals.clear()
    fleet.send_requests(2.0, *PATHS)
    assert silent in {host for _, _, host in fleet.arrivals}


# Guards against requests that run twice since their upstream paused.
def test_requests_that_run_once_wait_for_a_silent_upstream() -> None:
    fleet = PartitionedFleet.start(DOMAINS)
    fleet.silent = set(HOSTS)
    for relay in fleet.relays:
        relay.connect_caller("/once/x")
    fleet.run_for(SILENT_SECONDS)
    assert {response for relay in fleet.relays for response in relay.responses()} == {
        b""
    }
    fleet.silent = set()
    fleet.run_for(0.1)
    assert [count_served(relay, 0) for relay in fleet.relays] == [(1, 1)] * 3
    assert len(fleet.arrivals) == len(fleet.relays)

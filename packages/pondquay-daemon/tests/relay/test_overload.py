"""What an overloaded instance does with its requests and with upstreams.

Load pattern: callers are spread over instances by hashing, so a few instances get a
multiple of the requests that they can serve while the upstreams are well.
"""

from __future__ import annotations

import pytest

from pondquay.routing.overload import LoadLevel
from pondquay_daemon.relay.overloadrefusals import (
    RETRY_ELSEWHERE_SECONDS,
    RETRY_LATER_SECONDS,
)

from .conftest import RelaySide
from .responding import RespondingUpstreams

HOSTS = [f"10.0.0.{number}" for number in range(1, 7)]
# Longer than the timeout of the routes.
LONG_SECONDS = 3.0


def overload(relay: RelaySide) -> None:
    """Make an instance overloaded for some seconds."""
    monitor = relay.relay.overload
    monitor.detector.level = LoadLevel.OVERLOADED
    monitor.detector.lag = 100.0
    if monitor.on_change is not None:
        monitor.on_change()


def start(relay: RelaySide) -> None:
    for host in HOSTS:
        relay.store.put_upstream(host, f"{host}:80")
    relay.start()
    relay.run_for(LONG_SECONDS)


# Guards against an overloaded instance that excludes all upstreams, since it could not
# open its own connections in time.
@pytest.mark.parametrize("overloaded", [False, True])
def test_upstreams_are_not_blamed_for_connections_of_an_overloaded_instance(
    relay: RelaySide, overloaded: bool
) -> None:
    start(relay)
    if overloaded:
        overload(relay)
    relay.connect_caller("/read/x")
    for _ in range(100):
        relay.clock.advance(0.01)
        relay.serve_connections(HOSTS)
    failures = [state["failures"] for state in relay.relay.describe()["upstreams"]]
    assert any(failures) is not overloaded


def test_failed_connections_of_an_overloaded_instance_do_not_use_up_a_request(
    relay: RelaySide,
) -> None:
    start(relay)
    overload(relay)
    relay.connect_caller("/read/x")
    for _ in range(150):
        relay.clock.advance(0.01)
        relay.serve_connections(HOSTS)
    assert relay.responses() == [b""]
    for _ in range(50):
        relay.clock.advance(0.01)
        relay.serve_connections(())
    assert relay.responses()[0].startswith(b"HTTP/1.1 200")


# Guards against an overloaded instance that keeps requests until their deadline.
def test_a_refused_request_is_refused_at_once_and_reaches_no_upstream(
    relay: RelaySide,
) -> None:
    start(relay)
    overload(relay)
    relay.relay.overload.detector.share = 1.0
    relay.connect_caller("/read/x")
    assert relay.responses()[0].startswith(b"HTTP/1.1 503")
    assert relay.count_connections() == 0
    assert relay.refusals[-1] == pytest.approx(RETRY_LATER_SECONDS, rel=0.25)


def test_callers_retry_soon_while_a_peer_has_room(relay: RelaySide) -> None:
    peer = RelaySide(fleet_peer=relay, number=2)
    upstreams = RespondingUpstreams.start(relay, peer)
    upstreams.run_for(LONG_SECONDS)
    overload(relay)
    relay.relay.overload.detector.share = 1.0
    relay.connect_caller("/read/x")
    assert relay.responses()[0].startswith(b"HTTP/1.1 503")
    assert relay.refusals[-1] == pytest.approx(RETRY_ELSEWHERE_SECONDS, rel=0.25)


def test_no_request_is_refused_without_overload(relay: RelaySide) -> None:
    start(relay)
    relay.connect_caller("/read/x")
    relay.serve_connections(())
    assert relay.responses()[0].startswith(b"HTTP/1.1 200")

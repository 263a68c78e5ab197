"""An upstream that announces its departure in a response gets no further requests.

Guards against relying on its row alone, which cannot be written while the table is
unreachable.
"""

from __future__ import annotations

from .conftest import RelaySide
from .responding import HELD_PATH, HOSTS, PORT, RespondingUpstreams

LEAVING_HEADER = b"leaving: 1\r\n"
SERVED = b"HTTP/1.1 200"
# Time within which instances that start together have links to each other.
LINKED_SECONDS = 5.0
HEARTBEAT_SECONDS = 1.2
# Longer than the polls, back-offs and heartbeats of these tests.
LONG_SECONDS = 9.0


def test_a_leaving_upstream_gets_no_requests_while_the_store_is_unreachable(
    relay: RelaySide,
) -> None:
    upstreams = RespondingUpstreams.start(relay)
    relay.store.unreachable = True
    upstreams.extra_headers[HOSTS[0]] = LEAVING_HEADER
    upstreams.send_requests(1.0, relay)
    assert HOSTS[0] in upstreams.hosts_since(0)
    start = upstreams.now
    upstreams.send_requests(LONG_SECONDS, relay)
    assert upstreams.hosts_since(start) == set(HOSTS[1:])
    assert all(response.startswith(SERVED) for response in relay.responses())


def test_an_upstream_that_rejects_and_leaves_gets_no_further_requests(
    relay: RelaySide,
) -> None:
    upstreams = RespondingUpstreams.start(relay)
    upstreams.extra_headers[HOSTS[0]] = LEAVING_HEADER
    upstreams.rejecting.add(HOSTS[0])
    upstreams.send_requests(1.0, relay)
    assert upstreams.count_since(0, HOSTS[0]) == 1
    assert all(response.startswith(SERVED) for response in relay.responses())


def test_a_running_request_completes_at_a_leaving_upstream(relay: RelaySide) -> None:
    upstreams = RespondingUpstreams.start(relay)
    relay.connect_caller(HELD_PATH)
    upstreams.run_for(0.1)
    (host,) = upstreams.list_held_hosts()
    upstreams.extra_headers[host] = LEAVING_HEADER
    # The host holds a request, so the others would be chosen as less loaded.
    upstreams.rejecting.update(set(HOSTS) - {host})
    upstreams.send_requests(0.1, relay)
    assert host in upstreams.hosts_since(0.0)
    upstreams.answer_held()
    assert relay.responses()[0].endswith(b"ok")


def test_callers_are_refused_at_once_if_all_upstreams_leave(relay: RelaySide) -> None:
    upstreams = RespondingUpstreams.start(relay)
    for host in HOSTS:
        upstreams.extra_headers[host] = LEAVING_HEADER
    upstreams.send_requests(1.0, relay)
    assert len(upstreams.arrivals) == len(HOSTS)
    relay.connect_caller("/read/x")
    assert relay.responses()[-1].startswith(b"HTTP/1.1 503")


def test_peers_are_notified(relay: RelaySide) -> None:
    other_relay = RelaySide(fleet_peer=relay, number=2)
    upstreams = RespondingUpstreams.start(relay, other_relay)
    upstreams.run_for(LINKED_SECONDS)
    relay.store.unreachable = True
    upstreams.extra_headers[HOSTS[0]] = LEAVING_HEADER
    upstreams.send_requests(1.0, relay)
    start = upstreams.now
    upstreams.send_requests(1.0, other_relay)
    assert HOSTS[0] not in upstreams.hosts_since(start)


def test_peers_are_notified_after_a_partition(relay: RelaySide) -> None:
    other_relay = RelaySide(fleet_peer=relay, number=2)
    upstreams = RespondingUpstreams.start(relay, other_relay)
    upstreams.run_for(LINKED_SECONDS)
    upstreams.links.cut = True
    upstreams.run_for(LINKED_SECONDS)
    relay.store.unreachable = True
    upstreams.extra_headers[HOSTS[0]] = LEAVING_HEADER
    upstreams.send_requests(1.0, relay)
    upstreams.links.cut = False
    upstreams.run_for(LINKED_SECONDS)
    start = upstreams.now
    upstreams.send_requests(1.0, other_relay)
    assert HOSTS[0] not in upstreams.hosts_since(start)


def test_a_new_instance_is_notified(relay: RelaySide) -> None:
    upstreams = RespondingUpstreams.start(relay)
    upstreams.extra_headers[HOSTS[0]] = LEAVING_HEADER
    upstreams.send_requests(1.0, relay)
    started = RelaySide(fleet_peer=relay, number=2)
    started.start()
    upstreams.run_for(LINKED_SECONDS)
    start = upstreams.now
    upstreams.send_requests(1.0, started)
    assert HOSTS[0] not in upstreams.hosts_since(start)


def test_a_new_incarnation_gets_requests(relay: RelaySide) -> None:
    upstreams = RespondingUpstreams.start(relay, hosts=HOSTS[:1], born=1)
    upstreams.extra_headers[HOSTS[0]] = LEAVING_HEADER
    upstreams.send_requests(1.0, relay)
    assert len(upstreams.arrivals) == 1
    start_new_incarnation(relay, HOSTS[0])
    upstreams.extra_headers.clear()
    upstreams.send_requests(LONG_SECONDS, relay)
    assert len(upstreams.arrivals) > 1
    assert relay.responses()[-1].startswith(SERVED)


def test_a_late_response_only_briefly_affects_the_next_incarnation(
    relay: RelaySide,
) -> None:
    """The new incarnation gets requests once it has written its row again."""
    upstreams = RespondingUpstreams.start(relay, hosts=HOSTS[:1], born=1)
    relay.connect_caller(HELD_PATH)
    upstreams.run_for(0.1)
    start_new_incarnation(relay, HOSTS[0])
    # Less than the time after which a silent upstream is abandoned.
    upstreams.run_for(0.25)
    assert [row["born"] for row in relay.relay.describe()["upstreams"]] == [
        1,
        2,
    ]
    upstreams.extra_headers[HOSTS[0]] = LEAVING_HEADER
    upstreams.answer_held()
    upstreams.extra_headers.clear()
    upstreams.run_for(HEARTBEAT_SECONDS)
    start_new_incarnation(relay, HOSTS[0])
    upstreams.run_for(1.0)
    upstreams.send_requests(1.0, relay)
    assert all(response.startswith(SERVED) for response in relay.responses())


def test_the_leaving_incarnation_may_be_newer_than_the_listed_one(
    relay: RelaySide,
) -> None:
    upstreams = RespondingUpstreams.start(relay, hosts=HOSTS[:2], born=1)
    relay.store.unreachable = True
    upstreams.extra_headers[HOSTS[0]] = LEAVING_HEADER
    upstreams.send_requests(1.0, relay)
    start_new_incarnation(relay, HOSTS[0])
    relay.store.unreachable = False
    start = upstreams.now
    upstreams.send_requests(LONG_SECONDS, relay)
    assert upstreams.hosts_since(start) == {HOSTS[1]}
    start_new_incarnation(relay, HOSTS[0])
    upstreams.extra_headers.clear()
    upstreams.rejecting.add(HOSTS[1])
    upstreams.send_requests(LONG_SECONDS, relay)
    assert HOSTS[0] in upstreams.hosts_since(start)


def start_new_incarnation(relay: RelaySide, host: str) -> None:
    """Write the row of an upstream's new incarnation, at its start or later."""
    relay.store.put_upstream(host, f"{host}:{PORT}", born=2)

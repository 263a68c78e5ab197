"""An instance sends no requests to upstreams that have asked it to back off.

Guards against choosing an upstream that rejects everything as the least loaded.
"""

from __future__ import annotations

import pytest

from .conftest import STEP_SECONDS, RelaySide
from .responding import HELD_PATH, HOSTS, PORT, RespondingUpstreams

REJECTING = HOSTS[:2]
SERVED = b"HTTP/1.1 200"
BACKOFF_SECONDS = 3.0
HEARTBEAT_SECONDS = 1.2
# Time within which instances that start together have links to each other.
LINKED_SECONDS = 5.0
BACKOFF_HEADER = b"backoff: 3\r\n"


def reject_with_backoff(upstreams: RespondingUpstreams, *hosts: str) -> None:
    """Make upstreams reject all requests and ask for a back-off."""
    upstreams.rejecting.update(hosts)
    for host in hosts:
        upstreams.extra_headers[host] = BACKOFF_HEADER


def test_an_upstream_in_backoff_gets_no_requests(relay: RelaySide) -> None:
    upstreams = RespondingUpstreams.start(relay)
    reject_with_backoff(upstreams, *REJECTING)
    upstreams.send_requests(0.5, relay)
    assert set(REJECTING) <= upstreams.hosts_since(0)
    start = upstreams.now
    upstreams.send_requests(BACKOFF_SECONDS - 1.0, relay)
    assert upstreams.hosts_since(start) == set(HOSTS[2:])
    assert b"pondquay_upstreams_in_backoff 2.0" in relay.relay._render_metrics()
    assert all(response.startswith(SERVED) for response in relay.responses())


def test_an_upstream_is_used_again_after_its_backoff(relay: RelaySide) -> None:
    upstreams = RespondingUpstreams.start(relay)
    reject_with_backoff(upstreams, HOSTS[0])
    upstreams.send_requests(0.1, relay)
    upstreams.rejecting.clear()
    upstreams.run_for(BACKOFF_SECONDS)
    start = upstreams.now
    upstreams.send_requests(0.1, relay)
    assert HOSTS[0] in upstreams.hosts_since(start)


def test_the_longest_backoff_applies(relay: RelaySide) -> None:
    """The later of two concurrent responses asks for a shorter time."""
    upstreams = RespondingUpstreams.start(relay, hosts=HOSTS[:1])
    relay.connect_caller(HELD_PATH)
    relay.connect_caller(HELD_PATH)
    upstreams.run_for(0.1)
    upstreams.rejecting.add(HOSTS[0])
    upstreams.extra_headers[HOSTS[0]] = BACKOFF_HEADER
    upstreams.answer_first_held()
    upstreams.extra_headers[HOSTS[0]] = b"backoff: 1\r\n"
    upstreams.answer_held()
    start = upstreams.now
    upstreams.send_requests(BACKOFF_SECONDS - 0.1, relay)
    assert upstreams.hosts_since(start) == set()


def test_refusals_give_the_end_of_the_shortest_backoff(
    relay: RelaySide,
) -> None:
    upstreams = RespondingUpstreams.start(relay)
    reject_with_backoff(upstreams, *HOSTS)
    upstreams.extra_headers[HOSTS[3]] = b"backoff: 2\r\n"
    upstreams.send_requests(1.0, relay)
    assert sorted(host for _, host in upstreams.arrivals) == sorted(HOSTS)
    rejected_at = next(at for at, host in upstreams.arrivals if host == HOSTS[3])
    relay.connect_caller("/read/x")
    assert relay.responses()[-1].startswith(b"HTTP/1.1 503")
    remaining = rejected_at + 2.0 - upstreams.now
    assert relay.refusals[-1] == pytest.approx(remaining)
    upstreams.rejecting.clear()
    upstreams.run_for(remaining + STEP_SECONDS)
    relay.connect_caller("/read/x")
    upstreams.serve()
    assert relay.responses()[-1].startswith(SERVED)


def test_a_running_request_completes_during_backoff(relay: RelaySide) -> None:
    upstreams = RespondingUpstreams.start(relay, hosts=HOSTS[:1])
    relay.connect_caller(HELD_PATH)
    upstreams.run_for(0.1)
    reject_with_backoff(upstreams, HOSTS[0])
    upstreams.send_requests(0.1, relay)
    upstreams.rejecting.clear()
    upstreams.answer_held()
    assert relay.responses()[0].endswith(b"ok")


def test_a_backoff_does_not_apply_to_other_instances(relay: RelaySide) -> None:
    other_relay = RelaySide(fleet_peer=relay, number=2)
    upstreams = RespondingUpstreams.start(relay, other_relay, hosts=HOSTS[:1])
    upstreams.run_for(LINKED_SECONDS)
    reject_with_backoff(upstreams, HOSTS[0])
    upstreams.send_requests(0.1, relay)
    upstreams.rejecting.clear()
    other_relay.connect_caller("/read/x")
    upstreams.run_for(0.1)
    assert other_relay.responses()[-1].startswith(SERVED)


def test_a_rejection_without_backoff_is_retried(relay: RelaySide) -> None:
    upstreams = RespondingUpstreams.start(relay, hosts=HOSTS[:1])
    upstreams.rejecting.add(HOSTS[0])
    upstreams.send_requests(0.1, relay)
    upstreams.rejecting.clear()
    upstreams.send_requests(0.1, relay)
    assert relay.responses()[-1].startswith(SERVED)


def test_upstreams_that_reject_without_backoff_get_few_requests(
    relay: RelaySide,
) -> None:
    upstreams = RespondingUpstreams.start(relay)
    upstreams.rejecting.update(REJECTING)
    upstreams.send_requests(LINKED_SECONDS, relay)
    rejected = sum(upstreams.count_since(0, host) for host in REJECTING)
    # Each is tried three times, then after 0.5, 1, 2 and 4 s.
    assert rejected <= len(REJECTING) * (3 + 4)
    # Until their circuits open, more requests may be rejected than may be retried. Each
    # circuit opens after three rejections.
    refused = [not response.startswith(SERVED) for response in relay.responses()]
    assert sum(refused) <= len(REJECTING) * 3
    assert not any(refused[3 * len(HOSTS) :])


def test_a_backoff_ends_with_its_incarnation(relay: RelaySide) -> None:
    """The row is written once more by the incarnation that asked, then by the next."""
    upstreams = RespondingUpstreams.start(relay, hosts=HOSTS[:1], born=1)
    reject_with_backoff(upstreams, HOSTS[0])
    upstreams.extra_headers[HOSTS[0]] = b"backoff: 30\r\n"
    upstreams.send_requests(0.1, relay)
    for born in (1, 2):
        upstreams.run_for(HEARTBEAT_SECONDS)
        relay.store.put_upstream(HOSTS[0], f"{HOSTS[0]}:{PORT}", born=born)
    upstreams.rejecting.clear()
    upstreams.run_for(1.0)
    relay.connect_caller("/read/x")
    upstreams.run_for(0.1)
    assert relay.responses()[-1].startswith(SERVED)


def test_a_backoff_may_come_from_an_unlisted_incarnation(
    relay: RelaySide,
) -> None:
    """An upstream restarts under its name while the table is unreachable.

    Guards against recording its back-off for the earlier incarnation only.
    """
    upstreams = RespondingUpstreams.start(relay, hosts=HOSTS[:2], born=1)
    relay.store.unreachable = True
    reject_with_backoff(upstreams, HOSTS[0])
    upstreams.send_requests(0.1, relay)
    start = upstreams.now
    relay.store.put_upstream(HOSTS[0], f"{HOSTS[0]}:{PORT}", born=2)
    relay.store.unreachable = False
    upstreams.send_requests(BACKOFF_SECONDS - 0.5, relay)
    assert relay.relay.describe()["upstreams"][-1]["born"] == 2
    assert upstreams.hosts_since(start) == {HOSTS[1]}
    upstreams.rejecting = {HOSTS[1]}
    upstreams.send_requests(1.0, relay)
    assert HOSTS[0] in upstreams.hosts_since(start)


def test_a_new_incarnation_may_reject_a_request_sent_to_the_earlier_one(
    relay: RelaySide,
) -> None:
    upstreams = RespondingUpstreams.start(relay, hosts=HOSTS[:2], born=1)
    relay.connect_caller(HELD_PATH)
    upstreams.run_for(0.1)
    (host,) = upstreams.list_held_hosts()
    relay.store.put_upstream(host, f"{host}:{PORT}", born=2)
    upstreams.run_for(0.25)
    reject_with_backoff(upstreams, host)
    upstreams.answer_held()
    upstreams.run_for(0.1)
    start = upstreams.now
    upstreams.send_requests(BACKOFF_SECONDS - 0.5, relay)
    assert host not in upstreams.hosts_since(start)


def test_a_row_that_reappears_does_not_end_the_backoff(relay: RelaySide) -> None:
    upstreams = RespondingUpstreams.start(relay, hosts=HOSTS[:2])
    reject_with_backoff(upstreams, HOSTS[0])
    upstreams.extra_headers[HOSTS[0]] = b"backoff: 30\r\n"
    upstreams.send_requests(0.1, relay)
    relay.store.delete_upstream(HOSTS[0])
    upstreams.run_for(LINKED_SECONDS)
    relay.store.put_upstream(HOSTS[0], f"{HOSTS[0]}:{PORT}")
    start = upstreams.now
    upstreams.send_requests(LINKED_SECONDS, relay)
    assert upstreams.hosts_since(start) == {HOSTS[1]}

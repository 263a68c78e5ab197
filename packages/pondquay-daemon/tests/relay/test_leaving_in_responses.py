"""An upstream got requests for seconds after it had said in an answer that it leaves.

Seen: while the table was away for 13 s, two instances passed on an answer of an
upstream that said so, and sent it further requests 4.8 and 8.8 s later.

How it came about: an upstream says that it leaves in its row and in all its answers.
Its row could not be written, so nobody learnt of it before the table was back.

The cause: an answer was taken for the request alone. Whatever it said of its upstream,
but for coldness and another upstream's address, nobody read. Proved here: a relay in
memory, whose table is away, before upstreams of which one says so in its answers.
"""

from __future__ import annotations

from .conftest import RelaySide
from .responding import HELD_PATH, HOSTS, PORT, RespondingUpstreams

LEAVING = b"leaving: 1\r\n"
SERVED = b"HTTP/1.1 200"
# Seconds in which instances that were started together have linked to each other.
LINKED_SECONDS = 5.0
HEARTBEAT_SECONDS = 1.2
# Seconds: more than any span of the story.
LONG = 9.0


def test_one_that_says_so_in_an_outage_gets_nothing_more(relay: RelaySide) -> None:
    upstreams = RespondingUpstreams.start(relay)
    relay.store.unreachable = True
    upstreams.extra_headers[HOSTS[0]] = LEAVING
    upstreams.send_requests(1.0, relay)
    assert HOSTS[0] in upstreams.hosts_since(0)
    since = upstreams.now
    upstreams.send_requests(LONG, relay)
    assert upstreams.hosts_since(since) == set(HOSTS[1:])
    assert all(one.startswith(SERVED) for one in relay.responses())


def test_one_that_says_so_as_it_turns_away_gets_nothing_more(relay: RelaySide) -> None:
    upstreams = RespondingUpstreams.start(relay)
    upstreams.extra_headers[HOSTS[0]] = LEAVING
    upstreams.rejecting.add(HOSTS[0])
    upstreams.send_requests(1.0, relay)
    assert upstreams.count_since(0, HOSTS[0]) == 1
    assert all(one.startswith(SERVED) for one in relay.responses())


def test_what_runs_there_ends_there(relay: RelaySide) -> None:
    upstreams = RespondingUpstreams.start(relay)
    relay.connect_caller(HELD_PATH)
    upstreams.run_for(0.1)
    (host,) = upstreams.list_held_hosts()
    upstreams.extra_headers[host] = LEAVING
    # The first is held there, so one of another host is the least loaded.
    upstreams.rejecting.update(set(HOSTS) - {host})
    upstreams.send_requests(0.1, relay)
    assert host in upstreams.hosts_since(0.0)
    upstreams.answer_held()
    assert relay.responses()[0].endswith(b"ok")


def test_where_all_leave_callers_are_refused_at_once(relay: RelaySide) -> None:
    upstreams = RespondingUpstreams.start(relay)
    for host in HOSTS:
        upstreams.extra_headers[host] = LEAVING
    upstreams.send_requests(1.0, relay)
    assert len(upstreams.arrivals) == len(HOSTS)
    relay.connect_caller("/read/x")
    assert relay.responses()[-1].startswith(b"HTTP/1.1 503")


def test_peers_hear_of_it(relay: RelaySide) -> None:
    other = RelaySide(fleet_peer=relay, number=2)
    upstreams = RespondingUpstreams.start(relay, other)
    upstreams.run_for(LINKED_SECONDS)
    relay.store.unreachable = True
    upstreams.extra_headers[HOSTS[0]] = LEAVING
    upstreams.send_requests(1.0, relay)
    since = upstreams.now
    upstreams.send_requests(1.0, other)
    assert HOSTS[0] not in upstreams.hosts_since(since)


def test_peers_hear_of_it_after_a_cut(relay: RelaySide) -> None:
    other = RelaySide(fleet_peer=relay, number=2)
    upstreams = RespondingUpstreams.start(relay, other)
    upstreams.run_for(LINKED_SECONDS)
    upstreams.links.cut = True
    upstreams.run_for(LINKED_SECONDS)
    relay.store.unreachable = True
    upstreams.extra_headers[HOSTS[0]] = LEAVING
    upstreams.send_requests(1.0, relay)
    upstreams.links.cut = False
    upstreams.run_for(LINKED_SECONDS)
    since = upstreams.now
    upstreams.send_requests(1.0, other)
    assert HOSTS[0] not in upstreams.hosts_since(since)


def test_an_instance_that_has_just_started_hears_of_it(relay: RelaySide) -> None:
    upstreams = RespondingUpstreams.start(relay)
    upstreams.extra_headers[HOSTS[0]] = LEAVING
    upstreams.send_requests(1.0, relay)
    started = RelaySide(fleet_peer=relay, number=2)
    started.start()
    upstreams.run_for(LINKED_SECONDS)
    since = upstreams.now
    upstreams.send_requests(1.0, started)
    assert HOSTS[0] not in upstreams.hosts_since(since)


def test_a_new_life_under_its_name_gets_work(relay: RelaySide) -> None:
    upstreams = RespondingUpstreams.start(relay, hosts=HOSTS[:1], born=1)
    upstreams.extra_headers[HOSTS[0]] = LEAVING
    upstreams.send_requests(1.0, relay)
    assert len(upstreams.arrivals) == 1
    start_new_incarnation(relay, HOSTS[0])
    upstreams.extra_headers.clear()
    upstreams.send_requests(LONG, relay)
    assert len(upstreams.arrivals) > 1
    assert relay.responses()[-1].startswith(SERVED)


def test_a_late_answer_of_the_life_before_says_little_of_the_new_one(
    relay: RelaySide,
) -> None:
    """It may be the new one's, which is used once it has written its row again."""
    upstreams = RespondingUpstreams.start(relay, hosts=HOSTS[:1], born=1)
    relay.connect_caller(HELD_PATH)
    upstreams.run_for(0.1)
    start_new_incarnation(relay, HOSTS[0])
    # Less than the time after which a silent upstream is left.
    upstreams.run_for(0.25)
    assert [one["born"] for one in relay.relay.describe()["upstreams"]] == [1, 2]
    upstreams.extra_headers[HOSTS[0]] = LEAVING
    upstreams.answer_held()
    upstreams.extra_headers.clear()
    upstreams.run_for(HEARTBEAT_SECONDS)
    start_new_incarnation(relay, HOSTS[0])
    upstreams.run_for(1.0)
    upstreams.send_requests(1.0, relay)
    assert all(one.startswith(SERVED) for one in relay.responses())


def test_a_life_that_is_not_listed_yet_may_be_the_one_that_leaves(
    relay: RelaySide,
) -> None:
    upstreams = RespondingUpstreams.start(relay, hosts=HOSTS[:2], born=1)
    relay.store.unreachable = True
    upstreams.extra_headers[HOSTS[0]] = LEAVING
    upstreams.send_requests(1.0, relay)
    start_new_incarnation(relay, HOSTS[0])
    relay.store.unreachable = False
    since = upstreams.now
    upstreams.send_requests(LONG, relay)
    assert upstreams.hosts_since(since) == {HOSTS[1]}
    start_new_incarnation(relay, HOSTS[0])
    upstreams.extra_headers.clear()
    upstreams.rejecting.add(HOSTS[1])
    upstreams.send_requests(LONG, relay)
    assert HOSTS[0] in upstreams.hosts_since(since)


def start_new_incarnation(relay: RelaySide, host: str) -> None:
    """Have an upstream start again under its name, or write its row once more."""
    relay.store.put_upstream(host, f"{host}:{PORT}", born=2)

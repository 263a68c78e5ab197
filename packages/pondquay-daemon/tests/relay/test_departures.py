"""An upstream whose row was removed gets no requests, even if all others are missing.

An idle table must not make the list of upstreams appear outdated.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .conftest import RelaySide

# Longer than any timeout in these tests and than a poll of any table.
WAIT_SECONDS = 6.0


def test_a_removed_upstream_gets_no_requests_when_all_others_are_missing(
    relay: RelaySide,
) -> None:
    relay.store.put_upstream("left", "10.0.0.1:80")
    relay.store.put_upstream("last", "10.0.0.2:80")
    relay.start()
    relay.store.delete_upstream("left")
    relay.run_for(WAIT_SECONDS)
    relay.store.delete_upstream("last")
    assert relay.send_requests(WAIT_SECONDS) == {"10.0.0.2"}
    assert relay.responses()[-1].startswith(b"HTTP/1.1 503")


def test_upstreams_removed_in_an_outage_are_tried_until_they_are_listed(
    relay: RelaySide,
) -> None:
    relay.store.put_upstream("alive", "10.0.0.1:80")
    relay.start()
    relay.clock.advance(WAIT_SECONDS)
    relay.store.unreachable = True
    relay.run_for(WAIT_SECONDS)
    relay.store.delete_upstream("alive")
    relay.store.unreachable = False
    called = relay.send_requests(WAIT_SECONDS / 6)
    assert called == {"10.0.0.1"}
    relay.store.put_upstream("alive", "10.0.0.1:80")
    assert relay.send_requests(WAIT_SECONDS) == {"10.0.0.1"}


def test_an_unknown_route_is_not_found_while_the_table_is_idle(
    relay: RelaySide,
) -> None:
    relay.start()
    relay.send_requests(WAIT_SECONDS, path="/unknown/")
    assert {response[9:12] for response in relay.responses()} == {b"404"}

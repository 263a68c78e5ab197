"""Upstreams in an evacuated failure domain get no requests until it is restored.

Instances without access to the table receive evacuations from their peers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.evacuations import Evacuation

if TYPE_CHECKING:
    from .conftest import RelaySide

# Longer than a poll of any table.
WAIT_SECONDS = 3.0
# A version higher than any in the table.
HIGH_VERSION = 1_000_000
HALL, YARD = "10.0.0.1", "10.0.0.2"


def start_with_two_domains(relay: RelaySide) -> None:
    relay.store.put_upstream("hall-1", f"{HALL}:80")
    relay.store.put_upstream("yard-1", f"{YARD}:80", domain="yard")
    relay.start()
    assert relay.send_requests(WAIT_SECONDS) == {HALL, YARD}


def test_an_evacuated_domain_gets_no_requests_even_if_all_others_fail(
    relay: RelaySide,
) -> None:
    start_with_two_domains(relay)
    relay.store.evacuate_domain("hall")
    relay.run_for(WAIT_SECONDS)
    assert relay.send_requests(WAIT_SECONDS) == {YARD}


def test_a_starting_relay_knows_evacuated_domains_before_it_serves(
    relay: RelaySide,
) -> None:
    relay.store.put_upstream("hall-1", f"{HALL}:80")
    relay.store.evacuate_domain("hall")
    relay.start()
    assert relay.send_requests(WAIT_SECONDS) == set()
    assert relay.responses()[-1].startswith(b"HTTP/1.1 503")
    assert b"not emptied" in relay.responses()[-1]


def test_a_restored_domain_is_used_again(relay: RelaySide) -> None:
    start_with_two_domains(relay)
    relay.store.evacuate_domain("hall")
    relay.run_for(WAIT_SECONDS)
    relay.store.restore_domain("hall")
    relay.run_for(WAIT_SECONDS)
    assert HALL in relay.send_requests(WAIT_SECONDS)


def test_an_instance_without_the_table_applies_evacuations_from_peers(
    relay: RelaySide,
) -> None:
    start_with_two_domains(relay)
    relay.store.unreachable = True
    relay.relay.peer_dispatcher.receive_evacuation(
        Evacuation("hall", HIGH_VERSION, evacuated=True)
    )
    relay.run_for(WAIT_SECONDS)
    assert relay.send_requests(WAIT_SECONDS) == {YARD}
    relay.relay.peer_dispatcher.receive_evacuation(
        Evacuation("hall", HIGH_VERSION - 1, evacuated=False)
    )
    assert relay.send_requests(WAIT_SECONDS) == {YARD}
    relay.relay.peer_dispatcher.receive_evacuation(
        Evacuation("hall", HIGH_VERSION + 1, evacuated=False)
    )
    assert HALL in relay.send_requests(WAIT_SECONDS)


def test_requests_are_refused_at_once_if_all_domains_are_evacuated(
    relay: RelaySide,
) -> None:
    start_with_two_domains(relay)
    relay.store.evacuate_domain("hall")
    relay.store.evacuate_domain("yard")
    relay.run_for(WAIT_SECONDS)
    assert relay.send_request() == set()
    assert relay.responses()[-1].startswith(b"HTTP/1.1 503")

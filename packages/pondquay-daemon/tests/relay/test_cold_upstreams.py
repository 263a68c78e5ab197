"""A domain whose upstreams are cold: it gets its work over seconds, not at once.

The load: 50 requests a second without pause at a whole relay, with one upstream in each
of two domains; the relay is alone, so it is the only sender to a cold one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .conftest import COLD_SECONDS, STEP_SECONDS

if TYPE_CHECKING:
    from .conftest import RelaySide

HALL, YARD = "10.0.0.1", "10.0.0.2"
# Seconds: more than a poll of any table.
LONG = 3.0


def ask(relay: RelaySide, seconds: float) -> list[str]:
    """Send a request after each step, all answered at once; return who was called."""
    called = []
    for _ in range(round(seconds / STEP_SECONDS)):
        relay.connect_caller("/read/x")
        relay.clock.advance(STEP_SECONDS)
        called += relay.answer_calls(())
    return called


def start_with(relay: RelaySide, *, cold: float) -> None:
    relay.store.put_upstream("hall-1", f"{HALL}:80", cold=cold)
    relay.store.put_upstream("yard-1", f"{YARD}:80", domain="yard")
    relay.start()


def test_one_that_has_just_started_gets_one_request_a_second(relay: RelaySide) -> None:
    start_with(relay, cold=COLD_SECONDS)
    called = ask(relay, COLD_SECONDS)
    assert called.count(HALL) <= 1 + COLD_SECONDS
    assert HALL in ask(relay, LONG)
    assert ask(relay, 1.0).count(HALL) > 1


def test_a_domain_that_was_taken_back_counts_as_cold_at_first(relay: RelaySide) -> None:
    start_with(relay, cold=0.0)
    relay.run_for(LONG)
    relay.store.evacuate_domain("hall")
    assert HALL not in ask(relay, LONG)[10:]
    relay.store.restore_domain("hall")
    called = ask(relay, COLD_SECONDS)
    assert 1 <= called.count(HALL) <= 1 + COLD_SECONDS
    assert ask(relay, 1.0).count(HALL) > 1


def test_where_all_are_cold_what_they_do_not_bear_is_refused(relay: RelaySide) -> None:
    relay.store.put_upstream("hall-1", f"{HALL}:80", cold=COLD_SECONDS)
    relay.start()
    called = ask(relay, COLD_SECONDS - STEP_SECONDS)
    assert 1 <= called.count(HALL) <= COLD_SECONDS
    assert b"warm" in relay.responses()[-1]

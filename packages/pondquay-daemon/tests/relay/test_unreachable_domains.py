"""A failure domain whose upstreams go dark together, and one request after the other.

The load: 24 upstreams of the relay's own domain stop answering, as in a cut or when the
domain loses power for some seconds; three in another domain are sound. Each connection
that does not come costs a caller half a second. Judged one by one, the 24 cost as many
callers each a try, and a caller that met three in a row was refused while others could
have served it.
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

DARK = [f"10.0.0.{number}" for number in range(1, 25)]
SOUND = [f"10.0.1.{number}" for number in range(1, 4)]
# Seconds: more than three connections that do not come.
LONG = 2.0
STEP = 0.02


def start(relay: RelaySide) -> None:
    for host in DARK:
        relay.store.put_upstream(host, f"{host}:80")
    for host in SOUND:
        relay.store.put_upstream(host, f"{host}:80", domain="yard")
    relay.start()
    relay.run_for(LONG)


def ask(relay: RelaySide, seconds: float, dark: list[str]) -> list[str]:
    """Let a caller ask at each step; return the hosts that were called."""
    called = []
    for _ in range(round(seconds / STEP)):
        relay.connect_caller("/read/x")
        relay.clock.advance(STEP)
        called += relay.answer_calls(dark)
    return called


def settle(relay: RelaySide, dark: list[str]) -> list[str]:
    """Let all that is under way end; return the hosts that were called for it."""
    called = []
    for _ in range(round(LONG / STEP)):
        relay.clock.advance(STEP)
        called += relay.answer_calls(dark)
    return called


def test_a_request_goes_to_another_domain_after_a_connection_that_fails(
    relay: RelaySide,
) -> None:
    start(relay)
    relay.connect_caller("/read/x")
    relay.clock.advance(STEP)
    called = relay.answer_calls(DARK) + settle(relay, DARK)
    assert [host in DARK for host in called] == [True, False]
    assert relay.responses()[-1].startswith(b"HTTP/1.1 200")


def test_a_dark_domain_costs_few_callers_a_connection(relay: RelaySide) -> None:
    start(relay)
    ask(relay, LONG, DARK)
    called = ask(relay, LONG, DARK)
    dark = sum(host in DARK for host in called)
    # Each second the domain is tried for as long as a connection may take.
    assert dark <= len(called) / 2
    settle(relay, DARK)
    assert all(one.startswith(b"HTTP/1.1 200") for one in relay.responses())


def test_a_domain_that_answers_again_is_used_again(relay: RelaySide) -> None:
    start(relay)
    ask(relay, LONG, DARK)
    ask(relay, 2 * LONG, [])
    assert set(ask(relay, LONG, [])) & set(DARK)


def test_what_reaches_nobody_is_refused(relay: RelaySide) -> None:
    start(relay)
    relay.connect_caller("/read/x")
    settle(relay, DARK + SOUND)
    assert relay.responses()[-1].startswith(b"HTTP/1.1 503")


def test_one_that_fails_again_and_again_does_not_make_its_domain_dark() -> None:
    reach = DomainReach()
    for number in range(10):
        reach.note_failed("hall", "u1", number)
    assert not reach.is_unreachable("hall", 9.0)


def test_what_is_heard_between_two_failures_shows_that_the_domain_is_there() -> None:
    reach = DomainReach()
    reach.note_failed("hall", "u1", 0.0)
    reach.note_response("hall")
    reach.note_failed("hall", "u2", 0.0)
    assert not reach.is_unreachable("hall", 0.0)
    reach.note_failed("hall", f"u{UNREACHABLE_UPSTREAMS + 1}", 0.0)
    assert reach.is_unreachable("hall", 0.0)
    assert not reach.is_unreachable("yard", 0.0)
    assert not reach.is_unreachable("hall", UNREACHABLE_SECONDS)


def test_upstreams_that_ended_do_not_make_their_domain_dark(relay: RelaySide) -> None:
    """Three of four ended; their host refuses connections, and the fourth serves."""
    for number in range(1, 5):
        relay.store.put_upstream(f"u{number}", f"10.0.0.{number}:80", domain="a")
    relay.start()
    ended = {f"10.0.0.{number}" for number in range(1, 4)}
    for _ in range(6):
        relay.connect_caller("/read/x")
        relay.refuse_calls(ended)
    assert {one[9:12] for one in relay.responses()} == {b"200"}

"""Requests that share a part of their prompts, which crashes each engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from pondquay.routing.crashes import CRASHES_TO_BLOCK, TRIAL_DELAYS_SECONDS

from .conftest import STEP_SECONDS, RelaySide
from .crashingparts import (
    BORNE_CRASHES,
    CONTACT_SECONDS,
    CRASHING_PART,
    FIRST_PART,
    MAX_LATE_REQUESTS,
    OTHER_CRASHING_PART,
    RESTART_SECONDS,
    CrashingFleet,
    Ending,
)
from .partitions import HOSTS

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

DOMAINS = ("a", "a", "a", "b", "b", "b", "c", "c")
# Time between sound requests, and between those with the crashing part.
SOUND_INTERVAL = 0.11
CRASHING_INTERVAL = 0.4
BEFORE_SECONDS = 8.0
CRASHING_SECONDS = 40.0
# Least fraction, of what began before, that begins while requests crash engines.
MIN_BEGUN_FRACTION = 0.5
PARTS_PER_CALLER = 5


def make_sound(random: Random) -> list[str]:
    """Return the shared parts of a sound request of the same caller."""
    return [FIRST_PART, f"own-{random.randrange(PARTS_PER_CALLER)}"]


def make_crashing_second(random: Random) -> list[str]:
    return [FIRST_PART, CRASHING_PART]


def make_crashing_first(random: Random) -> list[str]:
    return [CRASHING_PART, f"own-{random.randrange(PARTS_PER_CALLER)}"]


def make_crashing_third(random: Random) -> list[str]:
    return [*make_sound(random), CRASHING_PART]


def make_crashing_alone(random: Random) -> list[str]:
    return [CRASHING_PART]


def make_crashing_anywhere(random: Random) -> list[str]:
    makers = (make_crashing_first, make_crashing_second, make_crashing_third)
    return random.choice(makers)(random)


PLACES = {
    "first": make_crashing_first,
    "second": make_crashing_second,
    "third": make_crashing_third,
    "alone": make_crashing_alone,
    "anywhere": make_crashing_anywhere,
}


def run_crashes(
    fleet: CrashingFleet, make_crashing: Callable[[Random], list[str]]
) -> tuple[float, float]:
    """Let sound requests run alone, then beside those with the crashing part.

    :returns: the fractions of the sound requests that began, before and beside them
    """
    start = fleet.clock.seconds()
    fleet.send_for(BEFORE_SECONDS, {SOUND_INTERVAL: make_sound})
    fleet.send_for(
        CRASHING_SECONDS,
        {SOUND_INTERVAL: make_sound, CRASHING_INTERVAL: make_crashing},
    )
    fleet.run_for(CONTACT_SECONDS)
    before = fleet.find_begun_fraction(start, start + BEFORE_SECONDS, FIRST_PART)
    learned_at = fleet.crashes[CRASHES_TO_BLOCK - 1] + 2 * CONTACT_SECONDS
    end = fleet.clock.seconds()
    return before, fleet.find_begun_fraction(learned_at, end, FIRST_PART)


# Guards against requests that crash engine after engine, as each is new and only a part
# of its prompt is known; and against refusals of sound requests that share the rest.
@pytest.mark.parametrize("place", PLACES)
def test_a_part_that_crashes_engines_is_refused_and_what_shares_the_rest_is_not(
    place: str,
) -> None:
    fleet = CrashingFleet.start(DOMAINS)
    before, beside = run_crashes(fleet, PLACES[place])
    assert fleet.count_late_requests() <= MAX_LATE_REQUESTS
    assert beside >= MIN_BEGUN_FRACTION * before


# Guards against a part that is never found, since engines crash under it before a byte
# of their response arrives.
@pytest.mark.parametrize("place", PLACES)
def test_a_part_that_crashes_engines_before_their_response_begins_is_refused(
    place: str,
) -> None:
    fleet = CrashingFleet.start(DOMAINS)
    fleet.late_heads = True
    before, beside = run_crashes(fleet, PLACES[place])
    assert fleet.count_late_requests() <= MAX_LATE_REQUESTS
    assert beside >= MIN_BEGUN_FRACTION * before


# Guards against blame on parts of requests that only waited at engines which ended
# together for another reason.
def test_no_waiting_request_is_refused_because_engines_end_together() -> None:
    fleet = CrashingFleet.start(DOMAINS)
    fleet.late_heads = True
    fleet.send_for(BEFORE_SECONDS, {SOUND_INTERVAL: make_sound})
    for _ in range(4):
        fleet.full.update(HOSTS)
        fleet.send_for(1.0, {SOUND_INTERVAL: make_sound})
        for host in HOSTS[: len(HOSTS) // 2]:
            fleet.crash(host)
        fleet.full.clear()
        fleet.send_for(2 * RESTART_SECONDS, {SOUND_INTERVAL: make_sound})
    refusals = [
        call
        for call in fleet.calls
        if b"a part of this prompt" in call.transport.value()
    ]
    assert refusals == []


# Guards against responses that end with their connection as their engine crashes, and
# that count as complete, which would clear the part that crashed it.
@pytest.mark.parametrize("ending", [Ending.EMPTY, Ending.WITHIN_EVENT])
def test_a_response_without_a_whole_event_that_ends_with_its_connection_is_broken_off(
    ending: Ending,
) -> None:
    fleet = CrashingFleet.start(DOMAINS)
    fleet.ending = ending
    before, beside = run_crashes(fleet, make_crashing_second)
    assert len(fleet.crash_arrivals) <= BORNE_CRASHES + MAX_LATE_REQUESTS
    assert beside >= MIN_BEGUN_FRACTION * before
    assert not any(call.completed and not call.begun for call in fleet.calls)


# Guards against requests that crash engines at which they had waited since before their
# part was refused, and against callers that wait for that.
def test_requests_that_wait_at_engines_are_withdrawn_once_their_part_is_refused() -> (
    None
):
    fleet = CrashingFleet.start(DOMAINS)
    fleet.full.update(HOSTS[: len(HOSTS) // 2])
    while len(fleet.crashes) < CRASHES_TO_BLOCK:
        relay = fleet.random.choice(fleet.relays)
        fleet.send(relay, CRASHING_PART)
        fleet.run_for(STEP_SECONDS)
    assert fleet.count_waiting() > 0
    fleet.run_for(0.2)
    assert fleet.count_waiting() == 0
    fleet.full.clear()
    fleet.run_for(CONTACT_SECONDS)
    assert len(fleet.crashes) <= BORNE_CRASHES
    assert all(call.transport.value() for call in fleet.calls)


# Guards against a part that crashes engines through instances that are cut off from
# each other, though all of them reach the table.
def test_instances_without_links_learn_of_the_part_from_the_table() -> None:
    fleet = CrashingFleet.start(DOMAINS)
    fleet.links.cut = True
    before, beside = run_crashes(fleet, make_crashing_first)
    assert fleet.count_late_requests() <= MAX_LATE_REQUESTS
    assert beside >= MIN_BEGUN_FRACTION * before


# Guards against refusals of all that a caller sends, while no part was served before.
@pytest.mark.parametrize("late_heads", [False, True])
@pytest.mark.parametrize("place", PLACES)
def test_parts_are_told_apart_though_none_was_served_before(
    place: str, late_heads: bool
) -> None:
    fleet = CrashingFleet.start(DOMAINS)
    fleet.late_heads = late_heads
    fleet.send_for(
        CRASHING_SECONDS / 2,
        {SOUND_INTERVAL: make_sound, CRASHING_INTERVAL: PLACES[place]},
    )
    assert fleet.count_late_requests() <= MAX_LATE_REQUESTS
    learned_at = fleet.crashes[CRASHES_TO_BLOCK - 1] + 2 * CONTACT_SECONDS
    end = fleet.clock.seconds() - CONTACT_SECONDS
    begun = fleet.find_begun_fraction(learned_at, end, FIRST_PART)
    assert begun >= MIN_BEGUN_FRACTION


# Guards against blame on sound parts while engines crash for other reasons as well.
@pytest.mark.parametrize("late_heads", [False, True])
def test_sound_requests_are_served_while_engines_crash_for_other_reasons_too(
    late_heads: bool,
) -> None:
    fleet = CrashingFleet.start(DOMAINS)
    fleet.late_heads = late_heads
    fleet.send_for(BEFORE_SECONDS, {SOUND_INTERVAL: make_sound})
    since = fleet.clock.seconds()
    for _ in range(10):
        fleet.send_for(
            RESTART_SECONDS / 2,
            {SOUND_INTERVAL: make_sound, CRASHING_INTERVAL: make_crashing_second},
        )
        fleet.crash(next(host for host in HOSTS if host not in fleet.stopped))
    fleet.run_for(CONTACT_SECONDS)
    assert len(fleet.crash_arrivals) <= BORNE_CRASHES + MAX_LATE_REQUESTS
    end = fleet.clock.seconds()
    begun = fleet.find_begun_fraction(since + 2 * CONTACT_SECONDS, end, FIRST_PART)
    assert begun >= MIN_BEGUN_FRACTION


def crash_engines(fleet: CrashingFleet) -> None:
    """Send requests with the part, one at a time, until the part is refused."""
    for _ in range(2 * CRASHES_TO_BLOCK):
        fleet.send(fleet.relays[0], *make_crashing_first(fleet.random))
        fleet.run_for(1)
    assert CRASHES_TO_BLOCK <= len(fleet.crashes) <= BORNE_CRASHES


# Guards against a part that crashes engines through an instance that was replaced.
@pytest.mark.parametrize("is_alone", [False, True])
def test_an_instance_that_has_just_started_refuses_the_part(is_alone: bool) -> None:
    """It receives the report from a peer, or from the table if there are no peers."""
    fleet = CrashingFleet.start(DOMAINS[:2])
    crash_engines(fleet)
    fleet.run_for(RESTART_SECONDS)
    crashes = len(fleet.crashes)
    fleet.links.cut = is_alone
    started = RelaySide(fleet_peer=fleet.relays[0], number=9)
    fleet.relays.append(started)
    started.start()
    fleet.run_for(CONTACT_SECONDS)
    fleet.send(started, "another", CRASHING_PART)
    fleet.run_for(1)
    assert started.responses()[-1].startswith(b"HTTP/1.1 503")
    assert len(fleet.crashes) == crashes


# Guards against a part that stays refused after engines were mended.
def test_a_part_that_engines_bear_again_is_served_after_a_trial() -> None:
    fleet = CrashingFleet.start(DOMAINS)
    crash_engines(fleet)
    fleet.sound = True
    fleet.send_for(TRIAL_DELAYS_SECONDS[0] + 5.0, {0.5: make_crashing_second})
    since = fleet.clock.seconds()
    fleet.send_for(3.0, {0.5: make_crashing_second})
    fleet.run_for(CONTACT_SECONDS)
    assert all(call.begun for call in fleet.calls if call.sent_at >= since)


# Guards against answers that seem to have run, to requests that were refused unsent.
def test_refused_requests_get_503_with_the_time_until_the_trial() -> None:
    fleet = CrashingFleet.start(DOMAINS[:1])
    crash_engines(fleet)
    (relay,) = fleet.relays
    call = fleet.send(relay, *make_crashing_second(fleet.random))
    fleet.run_for(0.1)
    assert call.transport.value().startswith(b"HTTP/1.1 503")
    retry_after = relay.refusals[-1]
    assert retry_after is not None
    assert 1.0 <= retry_after <= TRIAL_DELAYS_SECONDS[0]


def make_two_at_once(random: Random) -> list[str]:
    """Return a prompt with one of two crashing parts, or both."""
    both = [CRASHING_PART, OTHER_CRASHING_PART]
    return [FIRST_PART, *random.choice([both[:1], both[1:], both])]


# Guards against one crashing part that hides another one.
@pytest.mark.parametrize("late_heads", [False, True])
def test_two_parts_that_crash_engines_at_once_are_both_refused(
    late_heads: bool,
) -> None:
    fleet = CrashingFleet.start(DOMAINS)
    fleet.late_heads = late_heads
    _, beside = run_crashes(fleet, make_two_at_once)
    for arrivals in fleet.arrivals_by_part.values():
        assert arrivals <= BORNE_CRASHES + MAX_LATE_REQUESTS
    assert beside >= MIN_BEGUN_FRACTION


# Guards against a part that hides among hundreds of others.
def test_a_part_among_hundreds_of_others_is_refused() -> None:
    fleet = CrashingFleet.start(DOMAINS)
    fleet.send_for(BEFORE_SECONDS, {SOUND_INTERVAL: make_sound})

    def make_long(random: Random) -> list[str]:
        others = [f"long-{random.randrange(400)}" for _ in range(200)]
        return [FIRST_PART, *others, CRASHING_PART]

    sends = {SOUND_INTERVAL: make_sound, CRASHING_INTERVAL: make_long}
    fleet.send_for(BEFORE_SECONDS, sends)
    assert fleet.arrivals_by_part[CRASHING_PART] <= BORNE_CRASHES + MAX_LATE_REQUESTS


# Guards against a caller all of whose requests have the part, and others beside it.
def test_a_caller_all_of_whose_requests_have_the_part_is_refused_alone() -> None:
    fleet = CrashingFleet.start(DOMAINS)
    sends = {SOUND_INTERVAL: make_sound, CRASHING_INTERVAL: make_crashing_alone}
    fleet.send_for(2 * BEFORE_SECONDS, sends)
    assert len(fleet.crash_arrivals) <= BORNE_CRASHES + MAX_LATE_REQUESTS
    end = fleet.clock.seconds() - CONTACT_SECONDS
    since = fleet.crashes[CRASHES_TO_BLOCK - 1] + 2 * CONTACT_SECONDS
    assert fleet.find_begun_fraction(since, end, FIRST_PART) >= MIN_BEGUN_FRACTION


# Guards against blame on shared parts for a last part, which is the request's own.
def test_a_last_part_that_crashes_engines_is_refused_with_its_request_only() -> None:
    fleet = CrashingFleet.start(DOMAINS[:1])
    (relay,) = fleet.relays
    headers = {"attempt": "a", "prompt": f"{FIRST_PART},{CRASHING_PART}"}
    for _ in range(2 * CRASHES_TO_BLOCK):
        relay.connect_caller("/stream/same", headers=headers)
        fleet.run_for(1)
    assert len(fleet.crashes) <= BORNE_CRASHES
    assert relay.responses()[-1].startswith(b"HTTP/1.1 503")
    call = fleet.send(relay, FIRST_PART, "sound")
    fleet.run_for(2)
    assert call.begun

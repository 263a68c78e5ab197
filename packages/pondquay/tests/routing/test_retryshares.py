from __future__ import annotations

from functools import partial

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pondquay.routing.retryshares import RetryShare

RATIO, EXTRA, WINDOW = 0.2, 54.0, 10.0
MAX_INSTANCES = 16
REQUESTS = 400
attempt_lists = st.lists(
    st.tuples(
        st.integers(0, MAX_INSTANCES - 1),
        st.booleans(),
        st.floats(0, 1.5),
    ),
    max_size=300,
)


@given(attempt_lists, st.integers(0, MAX_INSTANCES))
def test_the_sum_over_all_instances_is_bounded_in_every_window(
    attempts: list[tuple[int, bool, float]], known: int
) -> None:
    shares = [
        RetryShare(RATIO, EXTRA, WINDOW, lambda: known) for _ in range(MAX_INSTANCES)
    ]
    first: list[float] = []
    further: list[float] = []
    now = 0.0
    for instance, is_first, pause in attempts:
        now += pause
        if is_first:
            shares[instance].note_first("judge", now, now)
            first.append(now)
        elif use(shares[instance], "judge", now):
            further.append(now)
    for end in further:
        begin = end - WINDOW
        retries = sum(begin <= at <= end for at in further)
        requests = sum(begin <= at <= end for at in first)
        earlier = sum(begin - WINDOW <= at < begin for at in first)
        assert retries <= RATIO * max(requests, earlier) + EXTRA


def use(share: RetryShare, service: str, now: float) -> bool:
    """Return whether a retry is left; it is used, and arrives at once."""
    retry = share.spend(service, now)
    if retry is None:
        return False
    retry.until = now
    return True


def find_excess(first: list[float], further: list[float], extra: float) -> float:
    """Return by how much the retries of any window exceed what is allowed, at most 0.

    The requests of a window are those of it, of the previous one, or of the one that
    begins half a window earlier, whichever are most.
    """
    excess = 0.0
    for begin in {begin for at in further for begin in (at, at - WINDOW)}:
        retries = sum(begin <= at <= begin + WINDOW for at in further)
        requests = max(
            sum(begin - shift <= at <= begin - shift + WINDOW for at in first)
            for shift in (0.0, WINDOW / 2, WINDOW)
        )
        excess = max(excess, retries - RATIO * requests - extra)
    return excess


# Guards against repeats beyond the fleet's fraction while all callers move to other
# instances, or all instances are replaced: those that had the callers and those that
# have them now may use the fractions of two windows.
@pytest.mark.parametrize("moved_at", [11.0, 11.6, 13.0])
def test_moved_callers_do_not_bring_the_fractions_of_two_windows(
    moved_at: float,
) -> None:
    shares = [RetryShare(RATIO, 0.0, WINDOW, lambda: 8) for _ in range(16)]
    first: list[float] = []
    further: list[float] = []
    for number in range(3 * REQUESTS):
        now = number * WINDOW / REQUESTS
        share = shares[number % 8 + (8 if now >= moved_at else 0)]
        share.note_first("judge", now, now)
        first.append(now)
        if now >= WINDOW:
            while use(share, "judge", now):
                further.append(now)
    assert find_excess(first, further, 0.0) <= 0.0


# Guards against repeats beyond the fleet's fraction for any move of callers, any burst
# and any end of instances, also while requests are counted and retries arrive late.
@given(
    st.lists(
        st.tuples(
            st.integers(0, 3),
            st.sampled_from([0, 3, 40]),
            st.booleans(),
            st.sampled_from([0.0, 0.4, 4.9, 9.5, 9.9]) | st.floats(0, WINDOW),
            st.floats(0, 0.5),
            st.floats(0, 0.5),
        ),
        max_size=25,
    )
)
def test_the_fraction_holds_for_any_move_of_callers(
    phases: list[tuple[int, int, bool, float, float, float]],
) -> None:
    shares = [RetryShare(RATIO, 0.0, WINDOW, lambda: 8) for _ in range(MAX_INSTANCES)]
    first: list[float] = []
    further: list[float] = []
    now = 0.0
    for instance, requests, retries, pause, waiting, delay in phases:
        share = shares[instance]
        for _ in range(requests):
            share.note_first("judge", now, now)
            first.append(now - waiting)
        while retries and use(share, "judge", now):
            further.append(now + delay)
        now += pause
    assert find_excess(first, further, 0.0) <= 0.0


# Guards against fewer retries than callers are due: the bound leaves nearly the whole
# fraction while requests keep coming.
def test_steady_requests_may_use_most_of_the_fraction() -> None:
    share = RetryShare(RATIO, 0.0, WINDOW, lambda: 8)
    used = 0
    for number in range(4 * REQUESTS):
        now = number * WINDOW / REQUESTS
        share.note_first("judge", now, now)
        used += now >= 2 * WINDOW and use(share, "judge", now)
    assert used >= 0.9 * RATIO * 2 * REQUESTS


# Guards against memory that grows as long as no upstream fails.
def test_requests_without_retries_are_forgotten() -> None:
    share = RetryShare(RATIO, 0.0, WINDOW, lambda: 8)
    for number in range(100 * REQUESTS):
        now = number * WINDOW / REQUESTS
        share.note_first("judge", now, now)
    assert share.count_kept("judge") <= 5 * REQUESTS


def test_each_service_has_its_own_share() -> None:
    share = RetryShare(0.0, 16.0, WINDOW, lambda: 3)
    assert use(share, "judge", 0.0)
    assert not use(share, "judge", 1.0)
    assert use(share, "board", 1.0)
    assert use(share, "judge", WINDOW + 0.1)


def test_a_retry_that_is_given_back_can_be_used_again() -> None:
    share = RetryShare(0.0, 16.0, WINDOW, lambda: 3)
    retry = share.spend("judge", 0.0)
    assert retry is not None
    assert not share.can_spend("judge", 1.0)
    share.give_back("judge", retry)
    assert share.can_spend("judge", 1.0)
    assert use(share, "judge", 1.0)
    assert not use(share, "judge", 2.0)


# Guards against repeats beyond the fleet's share, as each is made some time after its
# retry was reserved, or read by its upstream some time after it was sent.
def test_a_retry_counts_until_it_can_arrive_no_more() -> None:
    share = RetryShare(0.0, 16.0, WINDOW, lambda: 3)
    retry = share.spend("judge", 0.0)
    assert retry is not None
    assert not use(share, "judge", WINDOW + 0.1)
    retry.until = 5.0
    assert not use(share, "judge", WINDOW + 0.1)
    assert use(share, "judge", WINDOW + 5.1)


# Guards against repeats beyond the fleet's share as retries that were reserved while
# requests came are used after these have ceased.
def test_a_reserved_retry_needs_requests_when_it_is_used() -> None:
    share = RetryShare(RATIO, 0.0, WINDOW, lambda: 3)
    for _ in range(20):
        share.note_first("judge", 0.0, 0.0)
    retry, other = share.spend("judge", 0.0), share.spend("judge", 0.0)
    assert retry is not None and other is not None
    assert share.confirm("judge", retry, 0.5)
    assert share.confirm("judge", retry, 8.0)
    assert not share.confirm("judge", other, 10.0)
    assert share.measure("judge", 10.0).retries <= 1


# Guards against repeats beyond the fleet's share while upstreams stand still: they read
# late what they were sent, also when it was given up long before.
@given(
    st.lists(
        st.tuples(st.sampled_from([0, 3, 40]), st.floats(0, 9), st.floats(0, 6)),
        min_size=2,
        max_size=25,
    )
)
def test_retries_that_are_read_late_count_when_they_are_read(
    phases: list[tuple[int, float, float]],
) -> None:
    share = RetryShare(RATIO, 54.0, WINDOW, lambda: 8)
    first: list[float] = []
    further: list[float] = []
    now = 0.0
    for requests, pause, delay in phases:
        for _ in range(requests):
            share.note_first("judge", now, now)
            first.append(now)
        while (retry := share.spend("judge", now)) is not None:
            retry.until = now + delay
            further.append(retry.until)
        now += pause
    assert find_excess(first, further, 54.0) <= 0.0


@given(st.integers(1, 400))
def test_a_large_fleet_does_not_exceed_the_fixed_number(instances: int) -> None:
    share = RetryShare(0.0, EXTRA, WINDOW, lambda: instances)
    taken = sum(use(share, "judge", 0.0) for _ in range(int(EXTRA) + 1))
    assert taken * instances <= EXTRA


def test_the_fixed_number_is_not_used_before_the_fleet_is_known() -> None:
    share = RetryShare(0.2, EXTRA, WINDOW, lambda: 0)
    assert not use(share, "judge", 0.0)


# Guards against repeats beyond the fleet's share while instances are replaced.
@given(
    st.integers(1, 400),
    st.lists(st.floats(0, 1.5 * WINDOW), max_size=4),
    st.sampled_from([EXTRA, 202.0, 1000.0]),
)
def test_replaced_instances_do_not_use_the_fixed_number_again(
    instances: int, lifetimes: list[float], extra: float
) -> None:
    taken: list[tuple[float, int]] = []
    now = 0.0
    for number, lifetime in enumerate([*lifetimes, 0.0]):
        usable_from = now + WINDOW if number else now
        share = RetryShare(0.0, extra, WINDOW, lambda: instances, usable_from)
        for at in (now, now + lifetime):
            retries = sum(use(share, "judge", at) for _ in range(int(extra) + 1))
            taken.append((at, retries * instances))
        now += lifetime
    for end, _ in taken:
        in_window = sum(number for at, number in taken if end - WINDOW <= at <= end)
        assert in_window <= extra


# Guards against repeats beyond the fleet's share while instances leave, since each that
# stays knows of fewer and takes a larger share.
@pytest.mark.parametrize(("before", "after"), [(30, 20), (30, 12), (300, 30)])
def test_instances_that_leave_hand_on_nothing_that_they_used(
    before: int, after: int
) -> None:
    known = [before]
    shares = [RetryShare(0.0, 1000.0, WINDOW, lambda: known[0]) for _ in range(before)]
    taken = 0
    for share in shares:
        while use(share, "judge", 0.0):
            taken += 1
    known[0] = after
    for share in shares[:after]:
        while use(share, "judge", WINDOW / 2):
            taken += 1
    assert taken <= 1000


# Guards against repeats beyond the fleet's share while a fleet starts, and each
# instance reads a list of those that have joined before.
@pytest.mark.parametrize("instances", [30, 300])
def test_a_starting_fleet_does_not_exceed_the_fixed_number(instances: int) -> None:
    taken = {0.0: 0, WINDOW: 0}
    for joined in range(1, instances + 1):
        known = [joined]
        share = RetryShare(0.0, 1000.0, WINDOW, partial(known.__getitem__, 0), WINDOW)
        for at, count in ((0.0, joined), (WINDOW, instances)):
            known[0] = count
            while use(share, "judge", at):
                taken[at] += 1
    assert taken[0.0] == 0
    assert 0 < taken[WINDOW] <= 1000

from __future__ import annotations

import pytest

from pondquay.routing.permitcache import MIN_PAUSE_SECONDS, PermitCache


def test_a_permit_is_used_once_and_in_time() -> None:
    cache = PermitCache()
    cache.add(2, until=1.0, pause=5.0, now=0.0)
    assert cache.take(0.5)
    assert cache.take(0.9)
    assert not cache.take(0.9)
    cache.add(1, until=2.0, pause=5.0, now=1.0)
    assert not cache.take(2.0)


def test_nothing_is_asked_in_a_pause() -> None:
    cache = PermitCache()
    assert cache.can_supply(0.0)
    cache.add(0, until=0.0, pause=3.0, now=0.0)
    assert not cache.can_supply(2.9)
    assert cache.can_supply(3.0)
    cache.add(0, until=0.0, pause=3.0, now=3.0)
    cache.reset()
    assert cache.can_supply(3.1)


def test_as_many_are_wanted_as_are_needed_until_the_next_ask() -> None:
    cache = PermitCache()
    assert cache.count_needed() == 1
    for number in range(300):
        cache.note_demand(number * 0.01)
    needed = MIN_PAUSE_SECONDS / 0.01
    assert needed <= cache.count_needed() <= needed + 1
    cache.note_demand(60.0)
    assert cache.count_needed() == 1


def test_refused_callers_are_told_to_come_one_after_the_other() -> None:
    cache = PermitCache()
    cache.add(0, until=0.0, pause=2.0, now=0.0)
    assert [cache.plan_retry(0.0) for _ in range(3)] == [2.0, 4.0, 6.0]
    assert cache.plan_retry(1.0) == pytest.approx(4.0)
    cache.add(1, until=3.0, pause=2.0, now=2.0)
    assert cache.plan_retry(2.0) == 2.0

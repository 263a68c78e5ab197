"""The pace of upstreams relative to their service."""

from __future__ import annotations

import pytest

from pondquay.addresses import Address
from pondquay.routing.knownupstreams import KnownUpstream
from pondquay.routing.pace import Pace, RobustAverage
from pondquay.routing.servicepaces import (
    MIN_RATIO,
    REFRESH_SECONDS,
    PaceTable,
    ServicePace,
)
from pondquay.routing.upstreamrecords import UpstreamRecord

USUAL = 1e-5


def observe(average: RobustAverage, value: float, since: float, seconds: float) -> None:
    """Record a value periodically."""
    for number in range(round(2 * seconds)):
        average.note(value, since + number / 2)


def test_a_new_incarnation_has_the_pace_of_its_service() -> None:
    known, new = Pace(), Pace()
    observe(known.reading, USUAL, 0.0, 10.0)
    observe(known.events, USUAL, 0.0, 10.0)
    service = ServicePace({"known": known, "new": new}, 10.0)
    for name in ("new", "not measured yet"):
        relative = service.find(name)
        assert (relative.slowness, relative.share) == (1.0, 1.0)
        assert relative.seconds_per_token == pytest.approx(USUAL)


def test_if_all_upstreams_are_slow_none_is_slower_than_the_mean() -> None:
    paces = {str(number): Pace() for number in range(3)}
    for pace in paces.values():
        observe(pace.reading, 10 * USUAL, 0.0, 10.0)
        observe(pace.events, 10 * USUAL, 0.0, 10.0)
    service = ServicePace(paces, 10.0)
    assert [service.find(name).slowness for name in paces] == pytest.approx([1.0] * 3)
    assert service.count_slow() == 0


def test_a_slow_upstream_is_the_first_for_fewer_prefixes() -> None:
    paces = {str(number): Pace() for number in range(3)}
    for pace in paces.values():
        observe(pace.reading, USUAL, 0.0, 10.0)
    observe(paces["1"].reading, 2 * USUAL, 10.0, 20.0)
    service = ServicePace(paces, 30.0)
    assert service.find("0").share == 1
    assert service.find("1").share <= 0.5
    assert service.count_slow() == 1


def test_the_pace_of_a_service_is_measured_periodically() -> None:
    record = UpstreamRecord("u1", "judge", Address("10.0.0.1", 80), "a", 6)
    upstream = KnownUpstream(record, 1)
    table = PaceTable()
    assert table.measure([upstream], 0.0) is None
    upstream.pace.reading.note(USUAL, 0.0)
    first = table.measure([upstream], 0.0)
    assert first is not None
    assert table.measure([upstream], 0.9 * REFRESH_SECONDS) is first
    upstream.pace.reading.note(2 * USUAL, 0.2)
    second = table.measure([upstream], REFRESH_SECONDS)
    assert second is not None
    assert second.find("u1").seconds_per_token > first.find("u1").seconds_per_token


# An instance that read its events late took an upstream for thirty times as quick.
def test_an_upstream_that_seems_very_quick_is_not_the_first_for_more() -> None:
    paces = {str(number): Pace() for number in range(3)}
    for pace in paces.values():
        observe(pace.reading, USUAL, 0.0, 10.0)
        observe(pace.events, USUAL, 0.0, 10.0)
    observe(paces["1"].reading, USUAL / 100, 10.0, 60.0)
    observe(paces["1"].events, USUAL / 100, 10.0, 60.0)
    quick = ServicePace(paces, 70.0).find("1")
    assert (quick.slowness, quick.share) == (MIN_RATIO, 1.0)
    assert quick.seconds_per_token == pytest.approx(MIN_RATIO * USUAL)

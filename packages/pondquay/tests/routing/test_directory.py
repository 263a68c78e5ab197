from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.addresses import Address
from pondquay.routing.directory import UpstreamDirectory
from pondquay.routing.knownupstreams import KnownUpstream
from pondquay.routing.listwatch import (
    LAPSE_SECONDS,
    MISSING_GRACE_SECONDS,
    RETURN_SECONDS,
)
from pondquay.routing.upstreamrecords import Departure, UpstreamRecord

if TYPE_CHECKING:
    import pytest

now = [100.0]


def record(name: str, *, leaving: bool = False) -> UpstreamRecord:
    return UpstreamRecord(
        name, "judge", Address(f"10.0.0.{len(name)}", 80), "a", 4, leaving
    )


def names(directory: UpstreamDirectory) -> list[str]:
    return sorted(one.name for one in directory.candidates("judge"))


def test_one_that_leaves_gets_no_work_whatever_is_heard_later() -> None:
    directory = UpstreamDirectory(lambda: now[0])
    directory.put(record("u1"), 1)
    directory.put(record("u2"), 2)
    directory.put(record("u1", leaving=True), 3)
    directory.put(record("u1"), 4)
    assert names(directory) == ["u2"]


def test_a_peer_may_be_the_first_to_hear_that_one_leaves() -> None:
    directory = UpstreamDirectory(lambda: now[0])
    directory.put(record("u1"), 1)
    assert directory.note_leaving("u1")
    assert not directory.note_leaving("u1")
    assert names(directory) == []


def test_one_that_vanished_is_not_used_while_others_are_there() -> None:
    directory = UpstreamDirectory(lambda: now[0])
    directory.put(record("u1"), 1)
    directory.put(record("u2"), 2)
    directory.remove("u1", 3)
    assert names(directory) == ["u2"]


def follow(time: list[float], *upstreams: str) -> UpstreamDirectory:
    """Return what is known of a list that has been followed for long."""
    directory = UpstreamDirectory(lambda: time[0])
    directory.note_synced()
    for number, name in enumerate(upstreams, 1):
        directory.put(record(name), number)
    time[0] += RETURN_SECONDS
    return directory


def interrupt(directory: UpstreamDirectory, time: list[float], seconds: float) -> None:
    directory.note_disconnected()
    time[0] += seconds
    directory.note_synced()


def test_where_all_have_vanished_they_are_still_tried_for_a_moment() -> None:
    time = [100.0]
    directory = follow(time, "u1")
    directory.remove("u1", 2)
    assert names(directory) == ["u1"]
    time[0] += MISSING_GRACE_SECONDS
    assert names(directory) == []


def test_one_that_vanished_from_a_followed_list_stays_gone_in_later_trouble() -> None:
    time = [100.0]
    directory = follow(time, "u1")
    directory.remove("u1", 2)
    directory.note_disconnected()
    assert names(directory) == ["u1"]
    time[0] += MISSING_GRACE_SECONDS
    assert names(directory) == []
    directory.note_synced()
    assert names(directory) == []


def test_rows_that_lapsed_in_an_outage_have_time_to_come_back() -> None:
    time = [100.0]
    directory = follow(time, "u1", "u2")
    interrupt(directory, time, 5.0)
    directory.replace({}, at=9)
    time[0] += RETURN_SECONDS - 0.1
    assert names(directory) == ["u1", "u2"]
    directory.put(record("u2"), 10)
    assert names(directory) == ["u2"]
    time[0] += 0.1
    directory.put(record("u2", leaving=True), 11)
    assert names(directory) == []


def test_an_outage_that_comes_again_too_soon_leaves_them_more_time() -> None:
    time = [100.0]
    directory = follow(time, "u1")
    interrupt(directory, time, 5.0)
    directory.replace({}, at=9)
    time[0] += RETURN_SECONDS / 2
    directory.note_disconnected()
    time[0] += 5.0
    assert names(directory) == ["u1"]
    directory.note_synced()
    time[0] += RETURN_SECONDS
    assert names(directory) == []
    directory.note_disconnected()
    assert names(directory) == []


def test_a_short_interruption_makes_no_row_lapse() -> None:
    time = [100.0]
    directory = follow(time, "u1")
    interrupt(directory, time, LAPSE_SECONDS / 2)
    directory.remove("u1", 2)
    time[0] += MISSING_GRACE_SECONDS
    assert names(directory) == []


def test_a_newer_row_brings_one_back_that_had_only_lapsed() -> None:
    time = [100.0]
    directory = follow(time, "u1")
    directory.remove("u1", 2)
    time[0] += MISSING_GRACE_SECONDS
    directory.put(record("u1"), 3)
    assert names(directory) == ["u1"]


def test_one_that_is_heard_to_leave_before_it_is_known_gets_no_work() -> None:
    directory = UpstreamDirectory(lambda: now[0])
    directory.note_leaving("u1")
    directory.put(record("u1"), 1)
    assert names(directory) == []


def test_a_peer_tells_that_a_row_is_gone_while_the_list_is_away() -> None:
    time = [100.0]
    directory = follow(time, "u1", "u2")
    directory.note_disconnected()
    assert directory.receive(Departure("u1", 3))
    assert not directory.receive(Departure("u1", 3))
    assert names(directory) == ["u2"]
    directory.receive(Departure("u2"))
    time[0] += MISSING_GRACE_SECONDS
    assert names(directory) == []


def test_news_that_a_row_is_gone_is_older_than_a_newer_row() -> None:
    time = [100.0]
    directory = follow(time, "u1")
    directory.put(record("u1"), 9)
    assert not directory.receive(Departure("u1", 8))
    assert names(directory) == ["u1"]
    directory.receive(Departure("u1", 10))
    directory.put(record("u1"), 11)
    time[0] += MISSING_GRACE_SECONDS
    assert names(directory) == ["u1"]
    assert directory.departures() == []


def test_only_a_row_that_cannot_have_lapsed_is_news_for_others() -> None:
    time = [100.0]
    directory = follow(time, "u1", "u2")
    interrupt(directory, time, 5.0)
    directory.remove("u1", 8)
    assert directory.departures() == []
    time[0] += RETURN_SECONDS
    directory.remove("u2", 9)
    assert directory.departures() == [Departure("u2", 9)]


def test_what_has_left_and_runs_nothing_is_forgotten() -> None:
    time = [100.0]
    directory = follow(time, "u1", "u2", "u3")
    busy = directory.find("u2")
    assert busy is not None
    busy.running = 1
    directory.remove("u1", 7)
    directory.remove("u2", 8)
    time[0] += MISSING_GRACE_SECONDS
    directory.remove("u3", 9)
    assert sorted(one.name for one in directory.all()) == ["u2", "u3"]


def test_many_rows_that_go_at_once_are_not_walked_through_for_each(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """2,500 rows that lapsed in one outage held an instance up for 0.9 s."""
    asked = []
    has_departed = KnownUpstream.has_departed
    monkeypatch.setattr(
        KnownUpstream,
        "has_departed",
        lambda one, now: asked.append(one) or has_departed(one, now),
    )
    time = [100.0]
    upstreams = [f"u{number}" for number in range(50)]
    directory = follow(time, *upstreams)
    directory.replace({}, at=90)
    for name in upstreams:
        directory.receive(Departure(name, 91))
    assert len(asked) <= 2 * len(upstreams)


def test_a_list_that_lags_removes_nothing_newer() -> None:
    directory = UpstreamDirectory(lambda: now[0])
    directory.put(record("u1"), 1)
    directory.put(record("u2"), 7)
    directory.replace({"u1": (record("u1"), 1)}, at=5)
    assert names(directory) == ["u1", "u2"]


def test_a_list_that_lags_brings_nothing_back() -> None:
    directory = UpstreamDirectory(lambda: now[0])
    directory.put(record("u1"), 1)
    directory.put(record("u2"), 2)
    directory.remove("u1", 6)
    directory.replace({"u1": (record("u1"), 1), "u2": (record("u2"), 2)}, at=3)
    assert names(directory) == ["u2"]


def test_the_whole_list_removes_what_it_no_longer_has() -> None:
    directory = UpstreamDirectory(lambda: now[0])
    directory.put(record("u1"), 1)
    directory.put(record("u2"), 2)
    directory.replace({"u2": (record("u2"), 2)}, at=9)
    assert names(directory) == ["u2"]

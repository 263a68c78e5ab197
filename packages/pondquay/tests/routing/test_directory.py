from __future__ import annotations

from pondquay.routing.directory import (
    VANISHED_SECONDS,
    UpstreamDirectory,
    UpstreamRecord,
)

now = [100.0]


def record(name: str, *, leaving: bool = False) -> UpstreamRecord:
    return UpstreamRecord(name, "judge", f"10.0.0.{len(name)}:80", "a", 4, leaving)


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


def test_where_all_have_vanished_they_are_still_tried_for_a_moment() -> None:
    time = [100.0]
    directory = UpstreamDirectory(lambda: time[0])
    directory.put(record("u1"), 1)
    directory.remove("u1", 2)
    assert names(directory) == ["u1"]
    time[0] += VANISHED_SECONDS
    assert names(directory) == []
    assert directory.candidates("judge", current=False)


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

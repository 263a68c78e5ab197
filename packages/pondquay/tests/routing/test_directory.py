from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from pondquay.addresses import Address
from pondquay.routing.directory import UpstreamDirectory
from pondquay.routing.knownupstreams import KnownUpstream
from pondquay.routing.listwatch import (
    MIN_ROW_EXPIRY_SECONDS,
    MISSING_GRACE_SECONDS,
    ROW_RECOVERY_SECONDS,
)
from pondquay.routing.upstreamrecords import Departure, UpstreamRecord

if TYPE_CHECKING:
    import pytest

now = [100.0]


def make_record(name: str, *, leaving: bool = False) -> UpstreamRecord:
    return UpstreamRecord(
        name, "judge", Address(f"10.0.0.{len(name)}", 80), "a", 4, leaving
    )


def list_candidates(directory: UpstreamDirectory) -> list[str]:
    return sorted(upstream.name for upstream in directory.candidates("judge"))


def test_an_announced_departure_is_final() -> None:
    directory = UpstreamDirectory(lambda: now[0])
    directory.put(make_record("u1"), 1)
    directory.put(make_record("u2"), 2)
    directory.put(make_record("u1", leaving=True), 3)
    directory.put(make_record("u1"), 4)
    assert list_candidates(directory) == ["u2"]


def test_a_repeated_departure_is_not_new() -> None:
    directory = UpstreamDirectory(lambda: now[0])
    directory.put(make_record("u1"), 1)
    assert directory.note_leaving("u1")
    assert not directory.note_leaving("u1")
    assert list_candidates(directory) == []


def test_an_upstream_with_a_missing_row_is_not_used_while_there_are_others() -> None:
    directory = UpstreamDirectory(lambda: now[0])
    directory.put(make_record("u1"), 1)
    directory.put(make_record("u2"), 2)
    directory.remove("u1", 3)
    assert list_candidates(directory) == ["u2"]


# Guards against streams that break off while the only upstreams of their version have
# lost their rows in an outage of the list's store.
def test_an_upstream_with_a_missing_row_is_used_for_streams_of_its_version() -> None:
    directory = UpstreamDirectory(lambda: now[0])
    directory.put(replace(make_record("u1"), software="v1"), 1)
    directory.put(replace(make_record("u2"), software="v2"), 2)
    directory.remove("u1", 3)
    found = [upstream.name for upstream in directory.candidates("judge", "v1")]
    assert found == ["u1"]


def make_synced(time: list[float], *upstreams: str) -> UpstreamDirectory:
    """Return a directory whose list has been synced for a long time."""
    directory = UpstreamDirectory(lambda: time[0])
    directory.note_synced()
    for number, name in enumerate(upstreams, 1):
        directory.put(make_record(name), number)
    time[0] += ROW_RECOVERY_SECONDS
    return directory


def interrupt(directory: UpstreamDirectory, time: list[float], seconds: float) -> None:
    directory.note_disconnected()
    time[0] += seconds
    directory.note_synced()


def test_upstreams_are_used_for_a_grace_period_if_all_rows_are_missing() -> None:
    time = [100.0]
    directory = make_synced(time, "u1")
    directory.remove("u1", 2)
    assert list_candidates(directory) == ["u1"]
    time[0] += MISSING_GRACE_SECONDS
    assert list_candidates(directory) == []


def test_an_outage_does_not_revoke_an_earlier_departure() -> None:
    time = [100.0]
    directory = make_synced(time, "u1")
    directory.remove("u1", 2)
    directory.note_disconnected()
    assert list_candidates(directory) == ["u1"]
    time[0] += MISSING_GRACE_SECONDS
    assert list_candidates(directory) == []
    directory.note_synced()
    assert list_candidates(directory) == []


def test_rows_that_expired_in_an_outage_have_time_to_return() -> None:
    time = [100.0]
    directory = make_synced(time, "u1", "u2")
    interrupt(directory, time, 5.0)
    directory.replace({}, at=9)
    time[0] += ROW_RECOVERY_SECONDS - 0.1
    assert list_candidates(directory) == ["u1", "u2"]
    directory.put(make_record("u2"), 10)
    assert list_candidates(directory) == ["u2"]
    time[0] += 0.1
    directory.put(make_record("u2", leaving=True), 11)
    assert list_candidates(directory) == []


def test_a_second_outage_extends_the_time_for_rows_to_return() -> None:
    time = [100.0]
    directory = make_synced(time, "u1")
    interrupt(directory, time, 5.0)
    directory.replace({}, at=9)
    time[0] += ROW_RECOVERY_SECONDS / 2
    directory.note_disconnected()
    time[0] += 5.0
    assert list_candidates(directory) == ["u1"]
    directory.note_synced()
    time[0] += ROW_RECOVERY_SECONDS
    assert list_candidates(directory) == []
    directory.note_disconnected()
    assert list_candidates(directory) == []


def test_no_row_expires_in_a_short_interruption() -> None:
    time = [100.0]
    directory = make_synced(time, "u1")
    interrupt(directory, time, MIN_ROW_EXPIRY_SECONDS / 2)
    directory.remove("u1", 2)
    time[0] += MISSING_GRACE_SECONDS
    assert list_candidates(directory) == []


def test_a_newer_row_restores_an_upstream_whose_row_had_expired() -> None:
    time = [100.0]
    directory = make_synced(time, "u1")
    directory.remove("u1", 2)
    time[0] += MISSING_GRACE_SECONDS
    directory.put(make_record("u1"), 3)
    assert list_candidates(directory) == ["u1"]


def test_a_departure_announced_before_its_row_is_read_applies() -> None:
    directory = UpstreamDirectory(lambda: now[0])
    directory.note_leaving("u1")
    directory.put(make_record("u1"), 1)
    assert list_candidates(directory) == []


def test_departures_from_peers_apply_while_the_list_is_unavailable() -> None:
    time = [100.0]
    directory = make_synced(time, "u1", "u2")
    directory.note_disconnected()
    assert directory.receive(Departure("u1", 3))
    assert not directory.receive(Departure("u1", 3))
    assert list_candidates(directory) == ["u2"]
    directory.receive(Departure("u2"))
    time[0] += MISSING_GRACE_SECONDS
    assert list_candidates(directory) == []


def test_a_newer_row_revokes_the_departure_of_a_missing_row() -> None:
    time = [100.0]
    directory = make_synced(time, "u1")
    directory.put(make_record("u1"), 9)
    assert not directory.receive(Departure("u1", 8))
    assert list_candidates(directory) == ["u1"]
    directory.receive(Departure("u1", 10))
    directory.put(make_record("u1"), 11)
    time[0] += MISSING_GRACE_SECONDS
    assert list_candidates(directory) == ["u1"]
    assert directory.departures() == []


def test_removed_rows_that_may_have_expired_are_not_reported_as_departures() -> None:
    time = [100.0]
    directory = make_synced(time, "u1", "u2")
    interrupt(directory, time, 5.0)
    directory.remove("u1", 8)
    assert directory.departures() == []
    time[0] += ROW_RECOVERY_SECONDS
    directory.remove("u2", 9)
    assert directory.departures() == [Departure("u2", 9)]


def test_departed_upstreams_without_requests_are_forgotten() -> None:
    time = [100.0]
    directory = make_synced(time, "u1", "u2", "u3")
    busy = directory.find("u2")
    assert busy is not None
    busy.running = 1
    directory.remove("u1", 7)
    directory.remove("u2", 8)
    time[0] += MISSING_GRACE_SECONDS
    directory.remove("u3", 9)
    assert sorted(upstream.name for upstream in directory.all()) == ["u2", "u3"]


def test_the_removal_of_many_rows_takes_linear_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A scan of all upstreams for each removed row would block the instance."""
    checked = []
    has_departed = KnownUpstream.has_departed
    monkeypatch.setattr(
        KnownUpstream,
        "has_departed",
        lambda upstream, now: checked.append(upstream) or has_departed(upstream, now),
    )
    time = [100.0]
    upstreams = [f"u{number}" for number in range(50)]
    directory = make_synced(time, *upstreams)
    directory.replace({}, at=90)
    for name in upstreams:
        directory.receive(Departure(name, 91))
    assert len(checked) <= 2 * len(upstreams)


def test_an_old_snapshot_removes_no_newer_row() -> None:
    directory = UpstreamDirectory(lambda: now[0])
    directory.put(make_record("u1"), 1)
    directory.put(make_record("u2"), 7)
    directory.replace({"u1": (make_record("u1"), 1)}, at=5)
    assert list_candidates(directory) == ["u1", "u2"]


def test_an_old_snapshot_restores_no_removed_row() -> None:
    directory = UpstreamDirectory(lambda: now[0])
    directory.put(make_record("u1"), 1)
    directory.put(make_record("u2"), 2)
    directory.remove("u1", 6)
    directory.replace(
        {"u1": (make_record("u1"), 1), "u2": (make_record("u2"), 2)}, at=3
    )
    assert list_candidates(directory) == ["u2"]


def test_a_snapshot_removes_rows_that_it_does_not_contain() -> None:
    directory = UpstreamDirectory(lambda: now[0])
    directory.put(make_record("u1"), 1)
    directory.put(make_record("u2"), 2)
    directory.replace({"u2": (make_record("u2"), 2)}, at=9)
    assert list_candidates(directory) == ["u2"]

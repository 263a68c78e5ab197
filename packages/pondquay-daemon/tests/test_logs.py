from __future__ import annotations

import io
import json
import os
from collections import Counter
from typing import Any

import pytest
from eliot import add_destinations, remove_destination
from hypothesis import given
from hypothesis import strategies as st

from pondquay_daemon.logbudget import (
    MAX_EVENT_LINES_PER_SECOND,
    MAX_PENDING_BYTES,
    MAX_TOTAL_LINES_PER_SECOND,
    LineBudget,
    LineOutput,
)
from pondquay_daemon.logs import Level, LineWriter, format_event, log_event


class Clock:
    """A monotonic clock that the test advances."""

    now = 10.0

    def __call__(self) -> float:
        return self.now


def make_event(event: str, level: Level = Level.INFO, **fields: object) -> Any:
    return {"message_type": event, "level": int(level), "timestamp": 1.0, **fields}


def write(
    writer: LineWriter, count: int, event: str, level: Level = Level.INFO
) -> None:
    for _ in range(count):
        writer(make_event(event, level))


@given(st.lists(st.tuples(st.sampled_from("abcdefgh"), st.booleans()), max_size=2000))
def test_lines_per_second_stay_within_the_budget(
    events: list[tuple[str, bool]],
) -> None:
    budget = LineBudget()
    written = [
        event for event in events if budget.acquire(event[0], 5.0, failure=event[1])
    ]
    assert all(
        count <= MAX_EVENT_LINES_PER_SECOND for count in Counter(written).values()
    )
    assert len(written) <= 2 * MAX_TOTAL_LINES_PER_SECOND
    suppressed = sum(budget.total_suppressed.values())
    assert len(written) + suppressed == len(events)


def test_many_successes_do_not_suppress_a_failure() -> None:
    clock, stream = Clock(), io.StringIO()
    writer = LineWriter(Level.INFO, stream, clock)
    for number in range(10):
        write(writer, 200, f"success-{number}")
    write(writer, 1, "failure", Level.WARNING)
    assert "event=failure" in stream.getvalue()


def test_suppressed_lines_are_reported_once_for_each_event() -> None:
    clock, stream = Clock(), io.StringIO()
    writer = LineWriter(Level.INFO, stream, clock)
    write(writer, MAX_EVENT_LINES_PER_SECOND + 7, "busy")
    assert "lines-left-out" not in stream.getvalue()
    clock.now += 1
    write(writer, 2, "next")
    lines = [
        line for line in stream.getvalue().splitlines() if "lines-left-out" in line
    ]
    assert lines == ["time=1.000 level=warning event=lines-left-out kind=busy count=7"]


def test_a_slow_reader_does_not_block_the_writer() -> None:
    read_descriptor, write_descriptor = os.pipe()
    with (
        os.fdopen(read_descriptor, "rb") as reader,
        os.fdopen(write_descriptor, "w") as stream,
    ):
        output = LineOutput(stream)
        line = "x" * 1023 + "\n"
        accepted = sum(output.write(line) for _ in range(4 * MAX_PENDING_BYTES // 1024))
        assert accepted < 4 * MAX_PENDING_BYTES // 1024
        first = reader.read(1024)
        assert first.decode() == line, "lines must be complete and in order"


def test_a_closed_reader_does_not_stop_the_writer() -> None:
    read_descriptor, write_descriptor = os.pipe()
    os.close(read_descriptor)
    with os.fdopen(write_descriptor, "w") as stream:
        assert LineOutput(stream).write("line\n")


@pytest.mark.parametrize(("level", "written"), [(Level.INFO, 0), (Level.ERROR, 1)])
def test_events_below_the_level_are_not_written(level: Level, written: int) -> None:
    stream = io.StringIO()
    write(LineWriter(Level.WARNING, stream, Clock()), 1, "event", level)
    assert stream.getvalue().count("event=event") == written


@given(st.text())
def test_a_value_is_quoted_unless_it_is_plain(value: str) -> None:
    line = format_event(make_event("sent", Level.WARNING, key=value))
    start, _, text = line.partition(" key=")
    assert start == "time=1.000 level=warning event=sent"
    assert not set(line) & set("\n\r\t")
    assert (json.loads(text) if text.startswith('"') else text) == value


def test_a_logged_event_is_written_with_its_time_and_level() -> None:
    # The first destination of the process also gets the events that were logged before
    # it, which could use up the writer's budget of lines.
    earlier: list[object] = []
    add_destinations(earlier.append)
    remove_destination(earlier.append)
    stream = io.StringIO()
    writer = LineWriter(Level.INFO, stream)
    add_destinations(writer)
    try:
        log_event("tested", instance="a", message_type="b")
        log_event("tested", Level.DEBUG, instance="b")
    finally:
        remove_destination(writer)
    (line,) = stream.getvalue().splitlines()
    assert line.startswith("time=")
    assert line.endswith(" level=info event=tested instance=a")

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pondquay.streamevents import (
    MAX_PENDING_BYTES,
    MAX_UNNUMBERED_BYTES,
    EventReader,
    StreamOrderError,
)


def event(number: int) -> bytes:
    return f"id: {number}\ndata: piece {number}\n\n".encode()


@given(st.integers(0, 20), st.lists(st.integers(1, 30), max_size=40))
def test_events_are_complete_regardless_of_chunk_boundaries(
    count: int, cuts: list[int]
) -> None:
    stream = b"".join(event(number) for number in range(1, count + 1))
    reader, out, remaining = EventReader(), b"", stream
    for cut in [*cuts, len(stream)]:
        complete = reader.feed(remaining[:cut])
        assert not complete or complete.endswith(b"\n\n")
        out, remaining = out + complete, remaining[cut:]
    assert out == stream
    assert reader.count == count
    assert not reader.partial


@pytest.mark.parametrize("numbers", [[1, 3], [1, 1], [2], [1, 2, 1]])
def test_missing_or_repeated_event_raises(numbers: list[int]) -> None:
    with pytest.raises(StreamOrderError):
        EventReader().feed(b"".join(event(number) for number in numbers))


def test_stream_resumes_after_partial_event_is_discarded() -> None:
    reader = EventReader(last=4)
    assert reader.feed(event(5) + b"id: 6\nda") == event(5)
    reader.discard_partial()
    assert reader.feed(event(6)) == event(6)


def test_event_id_may_follow_other_lines() -> None:
    data = b"x-versions: 2\nid: 1\ndata: a\n\n"
    assert EventReader().feed(data) == data


# Guards against streams that go on after an event that their caller has not received.
def test_events_that_arrive_with_an_invalid_one_do_not_count() -> None:
    reader = EventReader()
    assert reader.feed(event(1)) == event(1)
    with pytest.raises(StreamOrderError):
        reader.feed(event(2) + event(3) + event(9))
    assert (reader.last, reader.count) == (1, 1)
    reader.discard_partial()
    assert reader.feed(event(2)) == event(2)


# Guards against a byte at the border of two reads that hides the end of an event.
def test_an_event_up_to_the_limit_is_read_byte_by_byte() -> None:
    data = b"id: 1\ndata: ".ljust(MAX_PENDING_BYTES - 1, b"x") + b"\n"
    reader = EventReader()
    for position in range(len(data)):
        assert reader.feed(data[position : position + 1]) == b""
    assert reader.pending_bytes == MAX_PENDING_BYTES
    assert reader.feed(b"\n") == data + b"\n"
    assert reader.pending_bytes == 0


# Guards against memory that grows with an event that does not end.
@pytest.mark.parametrize("before", [b"", event(1)])
def test_an_event_beyond_the_limit_raises(before: bytes) -> None:
    reader = EventReader()
    with pytest.raises(StreamOrderError):
        reader.feed(before + b"x" * (MAX_PENDING_BYTES + 1))
    reader.discard_partial()
    assert reader.feed(event(1)) == event(1)


# Guards against comments without end that are forwarded in place of events.
def test_events_without_a_number_are_limited_between_numbered_events() -> None:
    comment = b":".ljust(MAX_UNNUMBERED_BYTES // 2 - 2, b"x") + b"\n\n"
    reader = EventReader()
    for number in range(1, 4):
        assert reader.feed(comment) == comment
        assert reader.feed(comment) == comment
        assert reader.feed(event(number)) == event(number)
    reader.feed(comment)
    reader.feed(comment)
    with pytest.raises(StreamOrderError):
        reader.feed(b":\n\n")
    reader.discard_partial()
    assert reader.feed(comment) == comment


# Guards against events that nobody has paid for.
def test_more_events_than_allowed_raise_also_after_an_interruption() -> None:
    reader = EventReader(last=7, max_count=3)
    assert reader.feed(event(8) + event(9))
    reader.discard_partial()
    with pytest.raises(StreamOrderError):
        reader.feed(event(10) + event(11))
    assert (reader.last, reader.count) == (9, 2)
    assert reader.feed(event(10)) == event(10)
    with pytest.raises(StreamOrderError):
        reader.feed(event(11))

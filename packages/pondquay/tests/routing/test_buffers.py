from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pondquay.routing.buffers import (
    DEFAULT_LIMIT_BYTES,
    MIN_LIMIT_BYTES,
    Buffer,
    BufferPool,
    Content,
    choose_limit,
)

if TYPE_CHECKING:
    from random import Random

MEGABYTE = 1 << 20


@dataclass
class Connections:
    """Connections of one instance, by name.

    :ivar broken: names of those that were broken off, in order
    """

    pool: BufferPool
    buffers: dict[str, Buffer] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)

    def open(
        self,
        name: str,
        unread_since: float | None = None,
        content: Content = Content.RESPONSE,
    ) -> None:
        self.buffers[name] = self.pool.open(lambda: self.break_off(name), content)
        self.buffers[name].unread_since = unread_since

    def break_off(self, name: str) -> None:
        self.broken.append(name)
        self.buffers[name].resize(0)


def test_callers_that_read_nothing_the_longest_give_way_first() -> None:
    """Load: many callers that read nothing."""
    callers = Connections(BufferPool(8 * MEGABYTE))
    for number in range(40):
        callers.open(str(number), unread_since=float(number))
        callers.buffers[str(number)].resize(MEGABYTE)
    assert callers.broken == [str(number) for number in range(32)]
    assert callers.pool.total == 8 * MEGABYTE
    assert callers.pool.discarded == 32


def test_callers_that_read_do_not_pay_for_one_that_does_not() -> None:
    """Load: one slow caller among quick ones."""
    callers = Connections(BufferPool(4 * MEGABYTE))
    callers.open("slow", unread_since=1.0)
    callers.buffers["slow"].resize(MEGABYTE)
    for number in range(8):
        callers.open(str(number))
        callers.buffers[str(number)].resize(MEGABYTE)
    assert callers.broken == ["slow"]


def test_a_stream_gives_way_after_plain_responses() -> None:
    callers = Connections(BufferPool(2 * MEGABYTE))
    callers.open("stream", unread_since=1.0, content=Content.STREAM)
    callers.open("response", unread_since=2.0)
    callers.buffers["stream"].resize(MEGABYTE)
    callers.buffers["response"].resize(MEGABYTE)
    callers.open("late", unread_since=3.0)
    callers.buffers["late"].resize(MEGABYTE // 2)
    assert callers.broken == ["response"]


def test_accepted_work_never_gives_way() -> None:
    """Load: an upstream that reads long bodies slowly."""
    pool = BufferPool(MEGABYTE)
    bodies = [pool.open_work() for _ in range(4)]
    for body in bodies:
        body.unread_since = 0.0
        body.resize(MEGABYTE)
    assert pool.total == 4 * MEGABYTE
    assert not pool.discarded


def test_reading_waits_until_there_is_room() -> None:
    pool = BufferPool(MEGABYTE)
    first, second = pool.open_work(), pool.open_work()
    first.resize(2 * MEGABYTE)
    second.resize(1)
    assert pool.may_grow(first)
    assert not pool.may_grow(second)
    woken: list[bool] = []
    pool.wait_for_room(second, lambda: woken.append(True))
    first.resize(MEGABYTE)
    assert not woken
    first.resize(0)
    assert woken == [True]
    second.resize(2)
    assert woken == [True]


def test_one_buffer_at_a_time_grows_beyond_the_limit() -> None:
    pool = BufferPool(MEGABYTE)
    buffers = [pool.open_work() for _ in range(4)]
    for buffer in buffers:
        buffer.resize(MEGABYTE)
    assert [pool.may_grow(buffer) for buffer in buffers] == [True, False, False, False]
    woken: list[int] = []
    for number in (2, 1, 3):
        pool.wait_for_room(buffers[number], partial(woken.append, number))
    pool.stop_waiting(buffers[2])
    buffers[0].resize(0)
    assert woken == [1]
    assert pool.count_waiting() == 1
    buffers[3].resize(0)
    assert pool.count_waiting() == 0
    buffers[1].resize(0)
    assert woken == [1]


@dataclass
class Body:
    """A body that is read piece by piece, while it may grow."""

    pool: BufferPool
    length: int
    waits: bool = False

    def __post_init__(self) -> None:
        self.buffer = self.pool.open_work()

    def read(self) -> None:
        """Read a piece, and free all of them once the body is complete."""
        self.buffer.resize(self.buffer.size + 1)
        if self.buffer.size == self.length:
            self.buffer.resize(0)
            self.length = 0
        elif not self.pool.may_grow(self.buffer):
            self.waits = True
            self.pool.wait_for_room(self.buffer, self.wake)

    def wake(self) -> None:
        self.waits = False


# Guards against bodies that fill the room together and wait for each other for good.
@given(
    st.integers(1, 30),
    st.lists(st.integers(1, 40), min_size=1, max_size=12),
    st.randoms(use_true_random=False),
)
def test_all_bodies_are_read_within_one_body_beyond_the_limit(
    limit: int, lengths: list[int], random: Random
) -> None:
    pool = BufferPool(limit)
    bodies = [Body(pool, length) for length in lengths]
    while unread := [body for body in bodies if body.length]:
        readable = [body for body in unread if not body.waits]
        assert readable
        random.choice(readable).read()
        # A body that is woken since there is room may read one piece too many.
        assert pool.total <= limit + max(lengths) + len(bodies)
    assert pool.total == 0


@pytest.mark.parametrize(
    ("memory", "limit"),
    [
        (None, DEFAULT_LIMIT_BYTES),
        (0, DEFAULT_LIMIT_BYTES),
        (10 * MEGABYTE, MIN_LIMIT_BYTES),
        (500 * MEGABYTE, 50 * MEGABYTE),
    ],
)
def test_the_limit_follows_the_memory_of_the_instance(
    memory: float | None, limit: int
) -> None:
    assert choose_limit(memory) == limit


@given(
    st.lists(
        st.tuples(
            st.integers(0, 400),
            st.none() | st.floats(0, 10),
            st.sampled_from(list(Content)),
        ),
        max_size=30,
    )
)
def test_the_total_exceeds_the_limit_only_by_what_may_not_give_way(
    sizes: list[tuple[int, float | None, Content]],
) -> None:
    callers = Connections(BufferPool(1000))
    for number, (size, unread_since, content) in enumerate(sizes):
        callers.open(str(number), unread_since, content)
        callers.buffers[str(number)].resize(size)
    kept = sum(buffer.size for buffer in callers.buffers.values())
    assert callers.pool.total == kept
    firm = sum(
        buffer.size for buffer in callers.buffers.values() if not buffer.may_give_way
    )
    assert kept <= max(1000, firm)
    assert all(callers.buffers[name].may_give_way for name in callers.broken)

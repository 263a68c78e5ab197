from __future__ import annotations

from pondquay.routing.pauses import HALF_LIFE_SECONDS, PauseRecord

ALLOWED = 0.3
SLOW = 0.35
READING = 0.2
IDLE = 0.02


def test_streams_that_pause_too_long_show_it() -> None:
    record = PauseRecord()
    for pause in (IDLE, SLOW, READING, SLOW):
        record.note(pause, ALLOWED, 10.0)
    assert record.breaks_streams(10.0)


def test_pauses_that_are_allowed_do_no_harm() -> None:
    record = PauseRecord()
    for _ in range(100):
        record.note(READING, ALLOWED, 10.0)
    assert not record.breaks_streams(10.0)


def test_a_few_among_many_do_no_harm() -> None:
    record = PauseRecord()
    for number in range(60):
        record.note(SLOW if number % 20 == 0 else READING, ALLOWED, 10.0)
    assert not record.breaks_streams(10.0)


def test_one_long_pause_is_no_verdict() -> None:
    record = PauseRecord()
    record.note(SLOW, ALLOWED, 10.0)
    assert not record.breaks_streams(10.0)


def test_pauses_without_reading_do_not_hide_the_long_ones() -> None:
    record = PauseRecord()
    for _ in range(1000):
        record.note(IDLE, ALLOWED, 10.0)
    for _ in range(2):
        record.note(SLOW, ALLOWED, 10.0)
    assert record.breaks_streams(10.0)


def test_what_was_long_ago_is_forgotten() -> None:
    record = PauseRecord()
    for _ in range(3):
        record.note(SLOW, ALLOWED, 10.0)
    assert record.breaks_streams(10.0)
    assert not record.breaks_streams(10.0 + 2 * HALF_LIFE_SECONDS)

from __future__ import annotations

from pondquay.routing.pauses import HALF_LIFE_SECONDS, PauseRecord

ALLOWED = 0.3
EXCESSIVE = 0.35
PREFILL = 0.2
IDLE = 0.02


def test_excessive_pauses_are_detected() -> None:
    record = PauseRecord()
    for pause in (IDLE, EXCESSIVE, PREFILL, EXCESSIVE):
        record.note(pause, ALLOWED, 10.0)
    assert record.are_excessive(10.0)


def test_allowed_pauses_do_not_count() -> None:
    record = PauseRecord()
    for _ in range(100):
        record.note(PREFILL, ALLOWED, 10.0)
    assert not record.are_excessive(10.0)


def test_a_small_fraction_of_excessive_pauses_is_tolerated() -> None:
    record = PauseRecord()
    for number in range(60):
        record.note(EXCESSIVE if number % 20 == 0 else PREFILL, ALLOWED, 10.0)
    assert not record.are_excessive(10.0)


def test_a_single_excessive_pause_is_tolerated() -> None:
    record = PauseRecord()
    record.note(EXCESSIVE, ALLOWED, 10.0)
    assert not record.are_excessive(10.0)


def test_pauses_without_prefill_do_not_hide_excessive_pauses() -> None:
    record = PauseRecord()
    for _ in range(1000):
        record.note(IDLE, ALLOWED, 10.0)
    for _ in range(2):
        record.note(EXCESSIVE, ALLOWED, 10.0)
    assert record.are_excessive(10.0)


def test_old_pauses_decay() -> None:
    record = PauseRecord()
    for _ in range(3):
        record.note(EXCESSIVE, ALLOWED, 10.0)
    assert record.are_excessive(10.0)
    assert not record.are_excessive(10.0 + 2 * HALF_LIFE_SECONDS)

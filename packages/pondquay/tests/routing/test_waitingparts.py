"""Parts of requests whose response had not begun when their upstream crashed."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from pondquay.routing.crashes import CRASHES_TO_BLOCK
from pondquay.routing.partcrashes import PartCrashes
from pondquay.routing.waitingparts import SIMULTANEOUS_SECONDS, WaitingPartCrashes

BAD, SOUND = b"bad", b"sound"


@dataclass
class Instance:
    """The evidence of both kinds at one instance."""

    now: float = 0.0
    begun: PartCrashes = field(init=False)
    waiting: WaitingPartCrashes = field(init=False)

    def __post_init__(self) -> None:
        self.begun = PartCrashes(lambda: self.now, lambda part: True)
        self.waiting = WaitingPartCrashes(
            lambda: self.now, lambda part: True, self.begun
        )

    def crash(self, *parts: bytes, seconds: float = 1.0) -> None:
        """Crash upstreams under waiting parts, one after another.

        :param seconds: time after each crash
        """
        for number in range(CRASHES_TO_BLOCK):
            for part in self.waiting.select_suspects(parts):
                self.waiting.history.note_crash(part, f"u{number}")
            self.now += seconds


@pytest.fixture
def instance() -> Instance:
    """Return an instance without evidence."""
    return Instance()


# Guards against a part that is never refused, since engines crash before they respond.
def test_a_part_that_waits_at_each_crash_is_refused(instance: Instance) -> None:
    instance.crash(BAD)
    assert instance.waiting.check([BAD]) is not None
    assert instance.waiting.check([SOUND]) is None


# Guards against refusals of what many requests share that wait, as a system prompt.
def test_a_part_that_was_served_is_not_suspected(instance: Instance) -> None:
    instance.begun.note_served([SOUND])
    instance.crash(SOUND)
    assert instance.waiting.history.empty


# Guards against blame by reports of peers that have not served the part.
def test_a_part_that_was_served_here_is_not_blamed_for_reports(
    instance: Instance,
) -> None:
    instance.crash(SOUND)
    instance.begun.note_served([SOUND])
    assert instance.waiting.check([SOUND]) is None


# Guards against refusals after several upstreams of a host or domain have ended.
def test_upstreams_that_end_together_count_as_one_crash(instance: Instance) -> None:
    instance.crash(BAD, seconds=SIMULTANEOUS_SECONDS / CRASHES_TO_BLOCK)
    assert instance.waiting.check([BAD]) is None


# Guards against blame on requests that only waited where another one was being written.
def test_crashes_of_a_part_that_was_being_written_do_not_count(
    instance: Instance,
) -> None:
    instance.crash(SOUND)
    assert instance.waiting.check([SOUND]) is not None
    for number in range(CRASHES_TO_BLOCK):
        instance.begun.history.note_crash(BAD, f"u{number}")
    assert instance.waiting.check([SOUND]) is None


# Guards against a part that stays refused at other instances after it was served.
def test_a_completed_run_clears_the_part(instance: Instance) -> None:
    instance.crash(BAD)
    other = Instance()
    other.crash(BAD)
    for report in instance.waiting.note_served([BAD]):
        other.waiting.history.receive(report)
    assert instance.waiting.check([BAD]) is None
    assert other.waiting.check([BAD]) is None

"""Loops of tasks."""

from __future__ import annotations

from twisted.internet.task import Clock

from pondquay_daemon.tasks import Task

SECONDS = 2.0


class Counter(Task):
    """A task that counts its steps."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.steps = 0

    async def step(self) -> None:
        """Count a step."""
        self.steps += 1


def test_a_delayed_loop_begins_after_its_delay() -> None:
    clock = Clock()
    with Counter(clock) as counter:
        counter.repeat(SECONDS, counter.step, SECONDS / 2)
        assert counter.steps == 0
        clock.advance(SECONDS / 2)
        assert counter.steps == 1
        clock.advance(SECONDS)
        assert counter.steps == 2


# Guards against a loop that begins after its task has stopped.
def test_a_delayed_loop_of_a_stopped_task_never_begins() -> None:
    clock = Clock()
    counter = Counter(clock)
    with counter:
        counter.repeat(SECONDS, counter.step, SECONDS / 2)
    clock.advance(SECONDS)
    assert counter.steps == 0
    assert not clock.getDelayedCalls()

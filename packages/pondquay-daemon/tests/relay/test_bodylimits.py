from __future__ import annotations

from twisted.internet.task import Clock

from pondquay_daemon.relay.bodylimits import BodyLimits

MAX_SECONDS = 0.3
MAX_BYTES = 1 << 20
# As much as is read from a socket at once.
PART = bytes(1 << 16)


class LimitedBody:
    """A body whose parts are read one in each turn of the loop."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.exceeded = 0
        self.limits = BodyLimits(self.clock, MAX_BYTES, MAX_SECONDS, self._count)

    def _count(self) -> None:
        self.exceeded += 1

    def turn(self, part: bytes = b"") -> None:
        """Run the calls that are due, but none that they schedule; read a part."""
        due = [call for call in self.clock.calls if call.getTime() <= self.now]
        for call in due:
            self.clock.calls.remove(call)
            call.called = 1
            call.func(*call.args, **call.kw)
        if part:
            self.limits.add(part)

    @property
    def now(self) -> float:
        """The current time, in seconds."""
        seconds: float = self.clock.seconds()
        return seconds


# Guards against a body that is given up although its rest waits unread after a stall.
def test_a_body_that_waits_during_a_stall_is_read() -> None:
    body = LimitedBody()
    body.clock.rightNow += 2 * MAX_SECONDS
    for _ in range(4):
        body.turn(PART)
    assert body.exceeded == 0
    body.limits.stop()
    body.turn()
    assert body.exceeded == 0


def test_a_body_that_does_not_go_on_exceeds_its_time() -> None:
    body = LimitedBody()
    body.clock.rightNow += MAX_SECONDS
    for _ in range(3):
        body.turn()
    assert body.exceeded == 1


def test_a_body_that_is_too_long_exceeds_its_limit_once() -> None:
    body = LimitedBody()
    body.limits.add(bytes(MAX_BYTES))
    assert body.exceeded == 0
    body.limits.add(PART)
    body.limits.add(PART)
    body.clock.advance(2 * MAX_SECONDS)
    assert body.exceeded == 1

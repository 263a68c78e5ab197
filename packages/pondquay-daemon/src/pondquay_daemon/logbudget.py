"""How many log lines a process writes, and how, so that logs never hold it up."""

from __future__ import annotations

import os
import stat
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from typing import TextIO

# Lines a second of one kind of event, and of all events that are alike in whether they
# tell of a failure. Failures have a budget of their own, so that successes never crowd
# them out.
MAX_OF_KIND = 100
MAX_OF_ALL = 300
# What waits for a slow reader; beyond it lines are left out.
MAX_PENDING_BYTES = 1 << 18


class LineBudget:
    """Decides which lines are written, and counts those that are not."""

    def __init__(self) -> None:
        self._second = 0
        self._kinds: Counter[str] = Counter()
        self._all: Counter[bool] = Counter()
        self._left_out: Counter[str] = Counter()
        self.total_suppressed: Counter[str] = Counter()

    def take(self, event: str, now: float, *, failure: bool) -> bool:
        """Tell whether a line may be written.

        :param event: the kind of the line
        :param now: seconds on a steady clock
        :param failure: whether it tells of a failure
        """
        if int(now) != self._second:
            self._second = int(now)
            self._kinds.clear()
            self._all.clear()
        within = self._kinds[event] < MAX_OF_KIND and self._all[failure] < MAX_OF_ALL
        if not within:
            self.leave_out(event)
            return False
        self._kinds[event] += 1
        self._all[failure] += 1
        return True

    def leave_out(self, event: str) -> None:
        """Count a line that is not written."""
        self._left_out[event] += 1
        self.total_suppressed[event] += 1

    def take_left_out(self, now: float) -> dict[str, int]:
        """Return what earlier seconds left out, by kind, once."""
        if int(now) == self._second or not self._left_out:
            return {}
        left_out = dict(self._left_out)
        self._left_out.clear()
        return left_out


class LineOutput:
    """Writes lines to a stream and never waits for the stream's reader.

    :param stream: a pipe is switched to writes that do not block
    """

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self._pipe = _find_pipe(stream)
        self._pending = bytearray()
        if self._pipe is not None:
            os.set_blocking(self._pipe, False)

    def write(self, line: str) -> bool:
        """Write a line, or keep it for later; tell whether it was not left out."""
        if self._pipe is None:
            self._stream.write(line)
            self._stream.flush()
            return True
        data = line.encode()
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self._flush(self._pipe)
            return False
        self._pending += data
        self._flush(self._pipe)
        return True

    def _flush(self, pipe: int) -> None:
        try:
            written = os.write(pipe, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # Nobody will ever read what waits.
            self._pending.clear()
            return
        del self._pending[:written]


def _find_pipe(stream: TextIO) -> int | None:
    """Return the descriptor of a stream if it is a pipe or a socket."""
    try:
        descriptor = stream.fileno()
        mode = os.fstat(descriptor).st_mode
    except (OSError, ValueError):
        return None
    return descriptor if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode) else None

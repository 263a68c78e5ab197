"""Rate-limited, non-blocking output of log lines."""

from __future__ import annotations

import os
import stat
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from typing import TextIO

# The total applies to failures and to other events separately, so that many successes
# never suppress a failure.
MAX_EVENT_LINES_PER_SECOND = 100
MAX_TOTAL_LINES_PER_SECOND = 300
# Buffer for a slow reader; lines beyond it are dropped.
MAX_PENDING_BYTES = 1 << 18


class LineBudget:
    """Limits the lines per second and counts the suppressed ones.

    :ivar total_suppressed: number of suppressed lines since start, by event
    """

    def __init__(self) -> None:
        self._second = 0
        self._by_event: Counter[str] = Counter()
        self._by_failure: Counter[bool] = Counter()
        self._suppressed: Counter[str] = Counter()
        self.total_suppressed: Counter[str] = Counter()

    def acquire(self, event: str, now: float, *, failure: bool) -> bool:
        """Return whether a line may be written, and count it.

        :param event: name of the event
        :param now: seconds on a monotonic clock
        :param failure: whether the event reports a failure
        """
        if int(now) != self._second:
            self._second = int(now)
            self._by_event.clear()
            self._by_failure.clear()
        allowed = (
            self._by_event[event] < MAX_EVENT_LINES_PER_SECOND
            and self._by_failure[failure] < MAX_TOTAL_LINES_PER_SECOND
        )
        if not allowed:
            self.count_suppressed(event)
            return False
        self._by_event[event] += 1
        self._by_failure[failure] += 1
        return True

    def count_suppressed(self, event: str) -> None:
        """Count a suppressed line."""
        self._suppressed[event] += 1
        self.total_suppressed[event] += 1

    def pop_suppressed(self, now: float) -> dict[str, int]:
        """Return and reset the number of suppressed lines, by event.

        The result is empty during the second of the latest call of ``acquire``.
        """
        if int(now) == self._second or not self._suppressed:
            return {}
        suppressed = dict(self._suppressed)
        self._suppressed.clear()
        return suppressed


class LineOutput:
    """Writes lines to a stream without blocking on a pipe or a socket.

    :param stream: set to non-blocking mode if it is a pipe or a socket
    """

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self._pipe = _find_pipe(stream)
        self._pending = bytearray()
        if self._pipe is not None:
            os.set_blocking(self._pipe, False)

    def write(self, line: str) -> bool:
        """Write or buffer a line; return ``False`` if it is dropped."""
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
            # The reader closed the pipe.
            self._pending.clear()
            return
        del self._pending[:written]


def _find_pipe(stream: TextIO) -> int | None:
    """Return the file descriptor of a stream that is a pipe or a socket."""
    try:
        descriptor = stream.fileno()
        mode = os.fstat(descriptor).st_mode
    except (OSError, ValueError):
        return None
    return descriptor if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode) else None

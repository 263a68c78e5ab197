"""Detection of stalls, during which the process was suspended or did not run.

The relay's clock includes the time for which the host was suspended, so timeouts that
expired meanwhile fire at once when it resumes. Until the store has confirmed the known
state again, the instance reports to the load balancer that it is not ready.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.tasks import Task

if TYPE_CHECKING:
    from collections.abc import Sequence

    from twisted.internet.interfaces import IReactorTime

    from pondquay_daemon.relay.feeds import TableFeed

TICK_SECONDS = 0.25
# A longer time between two ticks counts as a stall. A poll of the store takes about as
# long, so updates may be this late without a stall as well.
STALL_SECONDS = 1.5


class StallMonitor(Task):
    """Detects stalls and checks whether the store has responded since the last one.

    :param feeds: feeds that have to be confirmed after a stall
    """

    def __init__(self, clock: IReactorTime, feeds: Sequence[TableFeed]) -> None:
        super().__init__(clock)
        self._feeds = feeds
        self._last_tick_at: float | None = None
        self._resumed_at = 0.0

    def start(self) -> None:
        """Start checking periodically."""
        self.repeat(TICK_SECONDS, self._tick)

    @property
    def confirmed(self) -> bool:
        """Whether all feeds have been confirmed since the last stall."""
        self._detect_stall()
        now = self.clock.seconds()
        ages = [feed.age() for feed in self._feeds]
        return all(age is not None and now - age >= self._resumed_at for age in ages)

    async def _tick(self) -> None:
        self._detect_stall()
        self._last_tick_at = self.clock.seconds()

    def _detect_stall(self) -> None:
        """Record and log the end of a stall, also before the delayed tick runs."""
        now = self.clock.seconds()
        if self._last_tick_at is None or now - self._last_tick_at <= STALL_SECONDS:
            return
        seconds = now - self._last_tick_at
        self._last_tick_at = self._resumed_at = now
        log_event("stood-still", Level.WARNING, seconds=round(seconds, 2))

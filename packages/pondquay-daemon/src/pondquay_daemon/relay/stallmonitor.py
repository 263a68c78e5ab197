"""Detection of stalls, during which the process was suspended or did not run.

The relay's clock counts the time for which a host was suspended, so everything that is
due by then, such as timeouts, takes effect at once. Until the store has confirmed the
known state again, the instance reports to the load balancer that it is not ready.
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
# A tick that comes later than this after the previous one counts as a stall.
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
        """Record the end of a stall, also if called before the late tick."""
        now = self.clock.seconds()
        if self._last_tick_at is None or now - self._last_tick_at <= STALL_SECONDS:
            return
        seconds = now - self._last_tick_at
        self._last_tick_at = self._resumed_at = now
        log_event("stood-still", Level.WARNING, seconds=round(seconds, 2))

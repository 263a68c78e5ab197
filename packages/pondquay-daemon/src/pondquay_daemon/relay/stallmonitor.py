"""Noticing that the process stood still: frozen, suspended with its host, or stalled.

The relay's clock counts the time for which a host was suspended, so everything that is
due by then is due on waking: time-outs, the ages of what the store and peers said, and
what is said of them. What is left to do is to tell callers' balancer: until the store
has been asked anew, the instance says that it is not ready.
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
# A tick that is later than this, in seconds, is taken for standing still. It is about
# what a poll of the store takes, so news may be as late as this without it as well.
STILL_SECONDS = 1.5


class StallMonitor(Task):
    """Tells whether the store was heard since the process last stood still.

    :param feeds: what has to be confirmed
    """

    def __init__(self, clock: IReactorTime, feeds: Sequence[TableFeed]) -> None:
        super().__init__(clock)
        self._feeds = feeds
        self._ticked: float | None = None
        self._woken = 0.0

    def start(self) -> None:
        """Begin to watch."""
        self.repeat(TICK_SECONDS, self._tick)

    @property
    def confirmed(self) -> bool:
        """Whether all that is followed was confirmed since."""
        self._notice()
        now = self.clock.seconds()
        ages = [feed.age() for feed in self._feeds]
        return all(age is not None and now - age >= self._woken for age in ages)

    async def _tick(self) -> None:
        self._notice()
        self._ticked = self.clock.seconds()

    def _notice(self) -> None:
        """Note the end of standing still, also before the tick that is late."""
        now = self.clock.seconds()
        if self._ticked is None or now - self._ticked <= STILL_SECONDS:
            return
        seconds = now - self._ticked
        self._ticked = self._woken = now
        log_event("stood-still", Level.WARNING, seconds=round(seconds, 2))

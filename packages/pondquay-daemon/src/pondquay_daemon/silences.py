"""Waits for the platform's table that end early while it is silent."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, Any, TypeVar

from pondquay_daemon.tasks import wait_at_most

if TYPE_CHECKING:
    from collections.abc import Iterator

    from twisted.internet.defer import Deferred
    from twisted.internet.interfaces import IReactorTime

T = TypeVar("T")
# Silence after which the table is taken to hang.
MAX_SILENCE_SECONDS = 0.5
# Wait for a table that is taken to hang, so that a request notices its return.
MIN_WAIT_SECONDS = 0.2


class SilenceMeter:
    """Measures for how long the table has left all calls without a response.

    :param timeout: seconds after which a call without a response fails; a request waits
        as long at most
    """

    def __init__(self, clock: IReactorTime, timeout: float) -> None:
        self._clock = clock
        self._timeout = timeout
        self._max_silence = min(MAX_SILENCE_SECONDS, timeout)
        self._running = 0
        self._silent_since: float | None = None

    @contextmanager
    def watch(self) -> Iterator[None]:
        """Watch a call; an error that is reported soon counts as a response."""
        began_at = self._clock.seconds()
        if self._silent_since is None:
            self._silent_since = began_at
        self._running += 1
        responded = False
        try:
            yield
            responded = True
        finally:
            self._running -= 1
            now = self._clock.seconds()
            if responded or now - began_at < self._max_silence:
                self._silent_since = now if self._running else None

    def measure(self) -> float:
        """Return the seconds for which calls have had no response."""
        if self._silent_since is None:
            return 0.0
        return self._clock.seconds() - self._silent_since

    def plan_deadline(self) -> float:
        """Return the time, in seconds, until which a request may wait from now on."""
        return self._clock.seconds() + self._timeout

    async def wait(self, deferred: Deferred[T], deadline: float) -> T | None:
        """Wait for a result that needs calls; return ``None`` if there is none in time.

        The wait ends early if the table hangs. The deferred isn't cancelled.

        :param deadline: time in seconds, from ``plan_deadline``
        """
        result: Deferred[Any] = deferred
        while True:
            left = max(0.0, deadline - self._clock.seconds())
            patience = max(MIN_WAIT_SECONDS, self._max_silence - self.measure())
            found: T | None = await wait_at_most(
                result, min(left, patience), self._clock, None
            )
            hangs = self.measure() >= self._max_silence
            if found is not None or hangs or self._clock.seconds() >= deadline:
                return found

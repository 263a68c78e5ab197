"""Reads that several callers share."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

from twisted.internet.defer import Deferred

from pondquay_daemon.tasks import sleep, spawn

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from twisted.internet.interfaces import IReactorTime

T = TypeVar("T")


class SharedRead(Generic[T]):
    """Reads a value for all callers that have asked for it before the read begins.

    :param read: reads the value; returns ``None`` on failure
    :param min_pause: minimum time between the beginnings of two reads, in seconds
    """

    def __init__(
        self,
        clock: IReactorTime,
        read: Callable[[], Coroutine[Deferred[Any], Any, T | None]],
        min_pause: float,
    ) -> None:
        self._clock = clock
        self._read = read
        self._min_pause = min_pause
        self._waiting: list[Deferred[T | None]] = []
        self._is_reading = False
        self._next_at = 0.0

    def read(self) -> Deferred[T | None]:
        """Return the result of a read that begins after this call."""
        waiter: Deferred[T | None] = Deferred()
        self._waiting.append(waiter)
        if not self._is_reading:
            spawn(self._run(), type(self).__name__)
        return waiter

    async def _run(self) -> None:
        self._is_reading = True
        try:
            while self._waiting:
                await sleep(
                    max(0.0, self._next_at - self._clock.seconds()), self._clock
                )
                self._next_at = self._clock.seconds() + self._min_pause
                await self._read_once()
        finally:
            self._is_reading = False

    async def _read_once(self) -> None:
        waiting, self._waiting = self._waiting, []
        result = None
        try:
            result = await self._read()
        finally:
            for waiter in waiting:
                waiter.callback(result)

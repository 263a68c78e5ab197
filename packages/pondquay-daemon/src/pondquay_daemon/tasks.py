"""Tasks, which own their state and sockets and are used as context managers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeout
from twisted.internet.task import LoopingCall

from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.readtimers import ReadTimer

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from types import TracebackType

    from twisted.internet.interfaces import IDelayedCall, IReactorTime
    from twisted.python.failure import Failure

    from pondquay_daemon.readtimers import ReadCounter

T = TypeVar("T")


class Task:
    """Base of all tasks; leaving the context stops a task's loops."""

    def __init__(self, clock: IReactorTime) -> None:
        self.clock = clock
        self._loops: list[LoopingCall] = []
        self._delayed: list[IDelayedCall] = []

    def __enter__(self) -> Task:
        """Return the task."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop all loops."""
        for call in self._delayed:
            if call.active():
                call.cancel()
        self._delayed.clear()
        for loop in self._loops:
            if loop.running:
                loop.stop()
        self._loops.clear()

    def repeat(
        self,
        seconds: float,
        step: Callable[[], Coroutine[Deferred[Any], Any, None]],
        delay: float = 0.0,
    ) -> None:
        """Run a step periodically; errors don't end the loop.

        :param delay: seconds until the first run
        """

        def run() -> Deferred[None]:
            return spawn(step(), type(self).__name__)

        loop = LoopingCall(run)
        loop.clock = self.clock
        self._loops.append(loop)
        if delay:
            self._delayed.append(self.clock.callLater(delay, loop.start, seconds))
        else:
            loop.start(seconds)


def spawn(coroutine: Coroutine[Deferred[Any], Any, None], owner: str) -> Deferred[None]:
    """Run a coroutine in the background and log its errors.

    :param owner: name of the task for the log
    """
    deferred = Deferred.fromCoroutine(coroutine)
    deferred.addErrback(_log_failure, owner)
    return deferred


def _log_failure(failure: Failure, owner: str) -> None:
    if failure.check(CancelledError):
        return
    log_event(
        "task-failed",
        Level.ERROR,
        task=owner,
        error=repr(failure.value),
        trace=failure.getTraceback(),
    )


async def wait_at_most(
    deferred: Deferred[T], seconds: float, clock: IReactorTime, default: T
) -> T:
    """Wait for a result, or return a default after a timeout.

    A result that has arrived by then is read first. The given deferred isn't cancelled
    and may still fire later.
    """
    waiter: Deferred[T] = Deferred()

    def forward(result: T) -> T:
        if not waiter.called:
            waiter.callback(result)
        return result

    deferred.addCallback(forward)
    timer = ReadTimer(clock, seconds, lambda: forward(default))
    try:
        return await waiter
    finally:
        timer.cancel()


async def finish_within(
    seconds: float,
    clock: IReactorTime,
    coroutine: Coroutine[Deferred[Any], Any, T],
    reads: ReadCounter | None = None,
) -> T:
    """Return the result of a coroutine; cancel what it waits for after a timeout.

    What has arrived by then is read first. What the coroutine makes of the cancellation
    is the result.

    :param reads: counts reads of what the coroutine waits for, if it takes several
    :raises TimeoutError: if it makes nothing of the cancellation
    """
    running = Deferred.fromCoroutine(coroutine)
    timer = ReadTimer(clock, seconds, running.cancel, reads)
    try:
        return await running
    except CancelledError as error:
        if timer.active():
            raise
        raise DeferredTimeout(f"not finished within {seconds} s") from error
    finally:
        timer.cancel()


async def read_arrived(clock: IReactorTime) -> None:
    """Wait until the event loop has read what had arrived at each socket."""
    # The first wait may end in the same turn, before sockets are read.
    for _ in range(2):
        await sleep(0, clock)


async def sleep(seconds: float, clock: IReactorTime) -> None:
    """Wait for a number of seconds."""
    deferred: Deferred[None] = Deferred()
    clock.callLater(seconds, deferred.callback, None)
    await deferred

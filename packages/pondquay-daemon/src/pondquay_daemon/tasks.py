"""Tasks: each owns its state and sockets and is entered and left as a context."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import LoopingCall

from pondquay_daemon.logs import Level, log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from types import TracebackType

    from twisted.internet.interfaces import IReactorTime
    from twisted.python.failure import Failure

T = TypeVar("T")


class Task:
    """Base of all tasks: what they start repeats until they are left."""

    def __init__(self, clock: IReactorTime) -> None:
        self.clock = clock
        self._loops: list[LoopingCall] = []

    def __enter__(self) -> Task:
        """Begin to work."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop everything that repeats."""
        for loop in self._loops:
            if loop.running:
                loop.stop()
        self._loops.clear()

    def repeat(
        self, seconds: float, step: Callable[[], Coroutine[Deferred[Any], Any, None]]
    ) -> None:
        """Run a step now and then again and again; an error ends no loop."""

        def run() -> Deferred[None]:
            return spawn(step(), type(self).__name__)

        loop = LoopingCall(run)
        loop.clock = self.clock
        self._loops.append(loop)
        loop.start(seconds)


def spawn(coroutine: Coroutine[Deferred[Any], Any, None], owner: str) -> Deferred[None]:
    """Run a coroutine by itself; an error is logged."""
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
    """Wait for a result, or take a default after some seconds.

    The deferred given is left as it is, so others may still fire it.
    """
    waiter: Deferred[T] = Deferred()

    def pass_on(result: T) -> T:
        if not waiter.called:
            waiter.callback(result)
        return result

    deferred.addCallback(pass_on)
    timer = clock.callLater(seconds, pass_on, default)
    try:
        return await waiter
    finally:
        if timer.active():
            timer.cancel()


async def sleep(seconds: float, clock: IReactorTime) -> None:
    """Wait for some seconds."""
    deferred: Deferred[None] = Deferred()
    clock.callLater(seconds, deferred.callback, None)
    await deferred

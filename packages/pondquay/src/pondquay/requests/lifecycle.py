"""The life of one request, which decides what its caller may be told.

The machine has no way to dispatch a request a second time that is not repeatable and
may have run, and no way to call one "not run" that may have run.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from automat import TypeMachineBuilder


class Outcome(StrEnum):
    """What is known of a request."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RequestLifecycle(Protocol):
    """What can happen to a request."""

    def dispatch(self) -> None:
        """Be about to write it to an upstream."""

    def mark_not_run(self) -> None:
        """Learn that this attempt certainly did not run."""

    def mark_unknown(self) -> None:
        """Lose sight of an attempt that may have run."""

    def finish(self) -> None:
        """Have its whole answer."""

    def outcome(self) -> Outcome:
        """Tell what is known of it."""


@dataclass(slots=True)
class _Core:
    """The machine keeps all its state in its states."""


def _build(*, repeatable: bool) -> TypeMachineBuilder[RequestLifecycle, _Core]:
    builder = TypeMachineBuilder(RequestLifecycle, _Core)
    waiting = builder.state("waiting")
    running = builder.state("running")
    lost = builder.state("lost")
    running_again = builder.state("running_again")
    done = builder.state("done")

    waiting.upon(RequestLifecycle.dispatch).to(running).returns(None)
    running.upon(RequestLifecycle.mark_not_run).to(waiting).returns(None)
    running.upon(RequestLifecycle.mark_unknown).to(lost).returns(None)
    running.upon(RequestLifecycle.finish).to(done).returns(None)
    if repeatable:
        lost.upon(RequestLifecycle.dispatch).to(running_again).returns(None)
        running_again.upon(RequestLifecycle.mark_not_run).to(lost).returns(None)
        running_again.upon(RequestLifecycle.mark_unknown).to(lost).returns(None)
        running_again.upon(RequestLifecycle.finish).to(done).returns(None)

    for state in (running, lost, running_again):
        state.upon(RequestLifecycle.outcome).loop().returns(Outcome.UNKNOWN)
    waiting.upon(RequestLifecycle.outcome).loop().returns(Outcome.NOT_RUN)
    done.upon(RequestLifecycle.outcome).loop().returns(Outcome.DONE)
    return builder


_BUILD_REPEATABLE = _build(repeatable=True).build()
_BUILD_ONCE = _build(repeatable=False).build()


def create_lifecycle(*, repeatable: bool) -> RequestLifecycle:
    """Return the life of a new request.

    :param repeatable: whether it may be dispatched again after an attempt that may
        have run
    """
    build = _BUILD_REPEATABLE if repeatable else _BUILD_ONCE
    return build(_Core())

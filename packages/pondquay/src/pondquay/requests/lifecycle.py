"""The lifecycle of a request, which determines the outcome reported to its caller.

The state machine prevents a second dispatch of a request that is not repeatable and may
have run, and never returns ``NOT_RUN`` for a request that may have run.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from automat import TypeMachineBuilder


class Outcome(StrEnum):
    """Whether a request ran, as far as this is known."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RequestLifecycle(Protocol):
    """The events of a request and its outcome."""

    def dispatch(self) -> None:
        """Record that the request is about to be sent to an upstream."""

    def mark_not_run(self) -> None:
        """Record that the current attempt certainly did not run."""

    def mark_unknown(self) -> None:
        """Record that the current attempt may have run."""

    def finish(self) -> None:
        """Record that the complete response was received."""

    def outcome(self) -> Outcome:
        """Return the outcome as far as it is known."""


@dataclass(slots=True)
class _Core:
    """Empty data object that ``TypeMachineBuilder`` requires."""


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
_BUILD_UNREPEATABLE = _build(repeatable=False).build()


def create_lifecycle(*, repeatable: bool) -> RequestLifecycle:
    """Return the lifecycle of a new request.

    :param repeatable: whether the request may be dispatched again after an attempt
        that may have run
    """
    build = _BUILD_REPEATABLE if repeatable else _BUILD_UNREPEATABLE
    return build(_Core())

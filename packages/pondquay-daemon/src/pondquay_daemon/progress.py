"""The progress of one request, and refusals of failed requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pondquay.requests.lifecycle import Outcome
from pondquay_daemon.calls import Call, Refusal, RefusalCode
from pondquay_daemon.grants import BudgetRefusal

if TYPE_CHECKING:
    from pondquay.budgets.holdings import Attempt
    from pondquay.requests.lifecycle import RequestLifecycle
    from pondquay_daemon.upstreams import Placement

RETRY_SECONDS = 1
PLATFORM_RETRY_SECONDS = 2


@dataclass(slots=True)
class Progress:
    """Progress of one request.

    :param nonce: nonce of the request's claim, empty if there is none
    :param failed: names of upstreams that failed to serve the request
    :param attempts: number of attempts that failed
    """

    call: Call
    lifecycle: RequestLifecycle
    nonce: str = ""
    failed: set[str] = field(default_factory=set)
    attempts: int = 0

    def refusal(
        self, code: RefusalCode, message: str, retry_after: int | None = None
    ) -> Refusal:
        """Return a refusal with the request's outcome as far as it is known."""
        return Refusal(code, message, self.lifecycle.outcome(), retry_after)


@dataclass(slots=True)
class StartedAttempt:
    """An attempt with a placement and reserved tokens, ready to be dispatched."""

    placement: Placement
    attempt: Attempt


def refuse_budget(progress: Progress, reason: BudgetRefusal) -> Refusal:
    """Return the refusal of a request for which no tokens could be reserved."""
    if reason is BudgetRefusal.EXHAUSTED:
        return progress.refusal(
            RefusalCode.BUDGET_EXHAUSTED, "the prepaid budget cannot bear the request"
        )
    if reason is BudgetRefusal.HELD_ELSEWHERE:
        return progress.refusal(
            RefusalCode.TOKENS_HELD,
            "other instances or running requests hold the remaining tokens",
            RETRY_SECONDS,
        )
    return progress.refusal(
        RefusalCode.PLATFORM_UNREACHABLE,
        "no tokens are at hand and the platform does not answer",
        PLATFORM_RETRY_SECONDS,
    )


def refuse_unfinished(progress: Progress) -> Refusal:
    """Return the refusal of a request that ended without a complete response."""
    if progress.lifecycle.outcome() is Outcome.NOT_RUN:
        return progress.refusal(
            RefusalCode.UPSTREAM_FAILED, "no upstream took the request", RETRY_SECONDS
        )
    return progress.refusal(
        RefusalCode.OUTCOME_UNKNOWN, "the request may have run", RETRY_SECONDS
    )

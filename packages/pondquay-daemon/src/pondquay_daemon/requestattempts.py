"""Placement, reservation and clean-up common to all attempts of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure

from pondquay.requests.lifecycle import Outcome
from pondquay.routing.retries import RetryBudget
from pondquay_daemon.calls import Refusal, RefusalCode
from pondquay_daemon.errors import RefusedError
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.progress import RETRY_SECONDS, StartedAttempt, refuse_budget

if TYPE_CHECKING:
    from twisted.internet.interfaces import IReactorTime

    from pondquay_daemon.calls import Call
    from pondquay_daemon.grants import GrantTask
    from pondquay_daemon.progress import Progress
    from pondquay_daemon.upstreams import UpstreamRequirements, Upstreams

MAX_ATTEMPTS = 3


class Attempts:
    """Starts attempts, and cleans up after failed ones."""

    def __init__(
        self, clock: IReactorTime, grants: GrantTask, upstreams: Upstreams
    ) -> None:
        self._clock = clock
        self._grants = grants
        self._upstreams = upstreams
        self._retries = RetryBudget()

    def note_request(self) -> None:
        """Add to the retry budget for a new request."""
        self._retries.earn()

    async def start(
        self, progress: Progress, requirements: UpstreamRequirements
    ) -> StartedAttempt | Refusal:
        """Place an attempt at an upstream and reserve its maximum cost.

        :returns: a refusal if it cannot be placed or its cost cannot be reserved
        """
        call = progress.call
        if not self._upstreams.is_served(requirements):
            return progress.refusal(
                RefusalCode.UPSTREAM_FAILED,
                f"no upstream serves {requirements.target} now",
                RETRY_SECONDS,
            )
        placement = await self._upstreams.place(requirements, call.priority, call.wait)
        if placement is None:
            return progress.refusal(
                RefusalCode.OVER_CAPACITY, "no place came free in time", RETRY_SECONDS
            )
        reserved = await self._grants.reserve(
            call.request,
            requirements.work.tokens,
            placement.upstream.name,
            placement.upstream.boot,
        )
        if isinstance(reserved, Failure):
            self._upstreams.release(placement)
            return refuse_budget(progress, reserved.failure())
        return StartedAttempt(placement, reserved.unwrap())

    def may_try_again(self, progress: Progress) -> bool:
        """Count a failed attempt and return whether another one is allowed.

        An allowed attempt uses up one retry of the retry budget.
        """
        progress.attempts += 1
        if progress.attempts >= MAX_ATTEMPTS:
            return False
        if (
            progress.lifecycle.outcome() is Outcome.UNKNOWN
            and not progress.call.repeatable
        ):
            return False
        return self._retries.spend()

    def release(self, started: StartedAttempt) -> None:
        """Release the upstream's slot after an attempt has ended."""
        self._upstreams.release(started.placement)

    async def give_up_unstarted(
        self, progress: Progress, started: StartedAttempt, error: Exception
    ) -> None:
        """Record the failure of an attempt that did not run, and release its tokens."""
        self.log_failure(progress.call, started, error)
        upstream = started.placement.upstream
        if isinstance(error, RefusedError) and started.attempt.boot == upstream.boot:
            upstream.note_backoff(error.backoff, self._clock.seconds())
        self.avoid(progress, started)
        progress.lifecycle.mark_not_run()
        await self._grants.settle(started.attempt, None)

    def avoid(self, progress: Progress, started: StartedAttempt) -> None:
        """Record that an attempt's upstream failed.

        Further attempts of the request use it only if no other upstream can serve them.
        """
        upstream = started.placement.upstream
        progress.failed.add(upstream.name)
        upstream.circuit.fail(self._clock.seconds())

    def log_failure(
        self, call: Call, started: StartedAttempt, error: Exception
    ) -> None:
        """Log the failure of an attempt."""
        log_event(
            "attempt-failed",
            Level.WARNING,
            request=call.request,
            workspace=call.request.workspace,
            upstream=started.placement.upstream.name,
            error=error,
        )

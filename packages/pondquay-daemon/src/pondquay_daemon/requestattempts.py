"""What each attempt of a request needs, whatever runs it: a place, tokens, an end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure

from pondquay.requests.lifecycle import Outcome
from pondquay.routing.retries import RetryBudget
from pondquay_daemon.calls import Refusal, RefusalCode
from pondquay_daemon.errors import RefusedError
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.progress import RETRY_SECONDS, Started, refuse_budget

if TYPE_CHECKING:
    from twisted.internet.interfaces import IReactorTime

    from pondquay_daemon.calls import Call
    from pondquay_daemon.grants import GrantTask
    from pondquay_daemon.progress import Progress
    from pondquay_daemon.upstreams import Upstreams, Wish

MAX_ATTEMPTS = 3


class Attempts:
    """Begins attempts, and ends those that came to nothing."""

    def __init__(
        self, clock: IReactorTime, grants: GrantTask, upstreams: Upstreams
    ) -> None:
        self._clock = clock
        self._grants = grants
        self._upstreams = upstreams
        self._retries = RetryBudget()

    def note_request(self) -> None:
        """Count a request, which lets the instance make some further attempts."""
        self._retries.earn()

    async def start(self, progress: Progress, wish: Wish) -> Started | Refusal:
        """Take a place and reserve what the attempt can cost."""
        call = progress.call
        if not self._upstreams.is_served(wish):
            return progress.refusal(
                RefusalCode.UPSTREAM_FAILED,
                f"no upstream serves {wish.target} now",
                RETRY_SECONDS,
            )
        placement = await self._upstreams.place(wish, call.priority, call.wait)
        if placement is None:
            return progress.refusal(
                RefusalCode.OVER_CAPACITY, "no place came free in time", RETRY_SECONDS
            )
        reserved = await self._grants.reserve(
            call.request,
            wish.work.tokens,
            placement.upstream.name,
            placement.upstream.boot,
        )
        if isinstance(reserved, Failure):
            self._upstreams.release(placement)
            return refuse_budget(progress, reserved.failure())
        return Started(placement, reserved.unwrap())

    def may_try_again(self, progress: Progress) -> bool:
        """Decide whether another attempt is allowed and affordable."""
        progress.attempts += 1
        if progress.attempts >= MAX_ATTEMPTS:
            return False
        if (
            progress.lifecycle.outcome() is Outcome.UNKNOWN
            and not progress.call.repeatable
        ):
            return False
        return self._retries.spend()

    def release(self, started: Started) -> None:
        """Give back the place of an attempt that has ended."""
        self._upstreams.release(started.placement)

    async def give_up_unstarted(
        self, progress: Progress, started: Started, error: Exception
    ) -> None:
        """Give back all that was taken for an attempt that certainly did not run."""
        self.log_failure(progress.call, started, error)
        upstream = started.placement.upstream
        if isinstance(error, RefusedError) and started.attempt.boot == upstream.boot:
            upstream.note_backoff(error.backoff, self._clock.seconds())
        self.avoid(progress, started)
        progress.lifecycle.mark_not_run()
        await self._grants.settle(started.attempt, None)

    def avoid(self, progress: Progress, started: Started) -> None:
        """Have an upstream that failed get no further attempt of this request."""
        upstream = started.placement.upstream
        progress.failed.add(upstream.name)
        upstream.circuit.fail(self._clock.seconds())

    def log_failure(self, call: Call, started: Started, error: Exception) -> None:
        """Log why an attempt has failed."""
        log_event(
            "attempt-failed",
            Level.WARNING,
            request=call.request,
            workspace=call.request.workspace,
            upstream=started.placement.upstream.name,
            error=error,
        )

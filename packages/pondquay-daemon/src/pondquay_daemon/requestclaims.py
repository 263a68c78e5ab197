"""The claim task: claims and releases requests that may not be repeated."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from pondquay.claims.programs import (
    AlreadyClaimed,
    Claimed,
    ClaimUnknown,
    Released,
    claim_request,
    finish_claim,
    release_claim,
)
from pondquay.requests.lifecycle import Outcome
from pondquay_daemon.calls import Refusal, RefusalCode
from pondquay_daemon.progress import PLATFORM_RETRY_SECONDS
from pondquay_daemon.tasks import Task, spawn

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IReactorTime

    from pondquay.claims.programs import ClaimOutcome
    from pondquay.names import RequestName
    from pondquay_daemon.platform import Platform
    from pondquay_daemon.progress import Progress

RELEASE_INTERVAL_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class StaleClaim:
    """A claim that may be stored although its request did not run."""

    request: RequestName
    nonce: str


class ClaimTask(Task):
    """Owns the claims of one instance.

    :param instance: identifier of the instance's incarnation
    :param next_number: returns a number that is unique within the incarnation
    """

    def __init__(
        self,
        clock: IReactorTime,
        instance: str,
        platform: Platform,
        next_number: Callable[[], int],
    ) -> None:
        super().__init__(clock)
        self._instance = instance
        self._platform = platform
        self._next_number = next_number
        self._stale_claims: list[StaleClaim] = []

    def start(self) -> None:
        """Start to release stale claims."""
        self.repeat(RELEASE_INTERVAL_SECONDS, self.release_stale_claims)

    async def claim(self, progress: Progress) -> Refusal | None:
        """Claim a request that may not be repeated; return a refusal on failure."""
        call = progress.call
        if call.repeatable:
            return None
        progress.nonce = f"{self._instance}/{self._next_number()}"
        match await self._write_claim(progress):
            case Claimed():
                return None
            case AlreadyClaimed(row):
                progress.nonce = ""
                code = RefusalCode.REQUEST_RUNNING
                if row.finished:
                    code = RefusalCode.REQUEST_RAN
                return Refusal(code, "this key was used before", Outcome.UNKNOWN)
            case ClaimUnknown():
                self._mark_stale(progress)
        progress.nonce = ""
        return progress.refusal(
            RefusalCode.PLATFORM_UNREACHABLE,
            "the request cannot be claimed now",
            PLATFORM_RETRY_SECONDS,
        )

    async def _write_claim(self, progress: Progress) -> ClaimOutcome | None:
        """Write a claim; return ``None`` if the table doesn't respond in time.

        The request is then refused, and a claim that the table may have stored is
        released later.
        """
        request, nonce = progress.call.request, progress.nonce
        program = claim_request(request, self._instance, nonce)
        claiming: Deferred[ClaimOutcome | None] = Deferred.fromCoroutine(
            self._platform.run(program)
        )
        silence = self._platform.silence
        outcome = await silence.wait(claiming, silence.plan_deadline())
        if outcome is None:
            claim = StaleClaim(request, nonce)
            claiming.addCallback(self._note_late_outcome, claim)
        return outcome

    def _note_late_outcome(
        self, outcome: ClaimOutcome | None, claim: StaleClaim
    ) -> None:
        if isinstance(outcome, Claimed | ClaimUnknown):
            self._stale_claims.append(claim)

    def _mark_stale(self, progress: Progress) -> None:
        self._stale_claims.append(StaleClaim(progress.call.request, progress.nonce))

    async def end(self, progress: Progress) -> None:
        """Finish the claim of a request that is done, or release one that did not run.

        The claim of a request with an unknown outcome remains.
        """
        if not progress.nonce:
            return
        outcome = progress.lifecycle.outcome()
        if outcome is Outcome.DONE:
            await self._platform.run(
                finish_claim(progress.call.request, progress.nonce)
            )
        elif outcome is Outcome.NOT_RUN:
            self._mark_stale(progress)
            # The caller's response doesn't wait for the table.
            spawn(self.release_stale_claims(), "ClaimTask")

    async def release_stale_claims(self) -> None:
        """Release the claims of requests that did not run."""
        for claim in list(self._stale_claims):
            released = await self._platform.run(
                release_claim(claim.request, claim.nonce)
            )
            if isinstance(released, Released) and claim in self._stale_claims:
                self._stale_claims.remove(claim)

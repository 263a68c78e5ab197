"""The claim task: claims of requests that may not be repeated, and their release."""

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
from pondquay_daemon.tasks import Task, spawn, wait_at_most

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IReactorTime

    from pondquay.claims.programs import ClaimOutcome
    from pondquay.names import RequestName
    from pondquay_daemon.platform import Platform
    from pondquay_daemon.progress import Progress

RELEASE_SECONDS = 1.0
# A request waits no longer than this for the table to take its claim.
CLAIM_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class DoubtfulClaim:
    """A claim that may stand though its request did not run."""

    request: RequestName
    nonce: str


class ClaimTask(Task):
    """Owns the claims of one instance.

    :param instance: this life of the instance
    :param next_number: returns a number that this life has not used
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
        self._doubtful: list[DoubtfulClaim] = []

    def start(self) -> None:
        """Release doubtful claims from now on."""
        self.repeat(RELEASE_SECONDS, self.release_doubtful)

    async def claim(self, progress: Progress) -> Refusal | None:
        """Claim a request that may not be repeated before anything else is done."""
        call = progress.call
        if call.repeatable:
            return None
        progress.nonce = f"{self._instance}/{self._next_number()}"
        match await self._write(progress):
            case Claimed():
                return None
            case AlreadyClaimed(row):
                progress.nonce = ""
                code = RefusalCode.REQUEST_RUNNING
                if row.finished:
                    code = RefusalCode.REQUEST_RAN
                return Refusal(code, "this key was used before", Outcome.UNKNOWN)
            case ClaimUnknown():
                self._doubt(progress)
        progress.nonce = ""
        return progress.refusal(
            RefusalCode.PLATFORM_UNREACHABLE,
            "the request cannot be claimed now",
            PLATFORM_RETRY_SECONDS,
        )

    async def _write(self, progress: Progress) -> ClaimOutcome | None:
        """Write a claim; ``None`` if the table takes too long for the caller.

        The request is refused then, and the claim is released once it is known.
        """
        request, nonce = progress.call.request, progress.nonce
        program = claim_request(request, self._instance, nonce)
        claiming: Deferred[ClaimOutcome | None] = Deferred.fromCoroutine(
            self._platform.run(program)
        )
        outcome = await wait_at_most(claiming, CLAIM_SECONDS, self.clock, None)
        if outcome is None:
            claim = DoubtfulClaim(request, nonce)
            claiming.addCallback(self._note_late, claim)
        return outcome

    def _note_late(self, outcome: ClaimOutcome | None, claim: DoubtfulClaim) -> None:
        if isinstance(outcome, Claimed | ClaimUnknown):
            self._doubtful.append(claim)

    def _doubt(self, progress: Progress) -> None:
        self._doubtful.append(DoubtfulClaim(progress.call.request, progress.nonce))

    async def end(self, progress: Progress) -> None:
        """Note how a claimed request ended, or release its claim if it did not run."""
        if not progress.nonce:
            return
        outcome = progress.lifecycle.outcome()
        if outcome is Outcome.DONE:
            await self._platform.run(
                finish_claim(progress.call.request, progress.nonce)
            )
        elif outcome is Outcome.NOT_RUN:
            self._doubt(progress)
            # The caller is told at once, also where the table does not answer.
            spawn(self.release_doubtful(), "ClaimTask")

    async def release_doubtful(self) -> None:
        """Release claims on requests that certainly did not run."""
        for claim in list(self._doubtful):
            released = await self._platform.run(
                release_claim(claim.request, claim.nonce)
            )
            if isinstance(released, Released) and claim in self._doubtful:
                self._doubtful.remove(claim)

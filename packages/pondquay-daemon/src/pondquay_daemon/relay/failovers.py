"""Moves of requests from silent upstreams to others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_daemon.relay.silences import SilenceDecision
from pondquay_daemon.tasks import sleep, spawn

if TYPE_CHECKING:
    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay_daemon.relay.admission import Admission
    from pondquay_daemon.relay.attempts import Attempt
    from pondquay_daemon.relay.components import RelayComponents
    from pondquay_daemon.relay.crashpermits import CrashPermit
    from pondquay_daemon.relay.reservations import Reservation
    from pondquay_daemon.relay.retrying import RetryPermit
    from pondquay_daemon.relay.silences import SilenceRecord
    from pondquay_daemon.relay.upstreamsearch import UpstreamSearch

# Multiple of a route's objective after which a silent upstream is abandoned if the
# request is repeatable.
SILENCE_TIMEOUT_OBJECTIVES = 2.0
MIN_SILENCE_SECONDS = 0.3
# Multiple of the objective before which a silent upstream is not abandoned if it
# responds to other requests.
BUSY_TIMEOUT_OBJECTIVES = 3.0


class Failover:
    """Moves one request from a silent upstream to another.

    The upstream may go on at any time, so it is left only once everything that the
    request needs elsewhere is held: tokens, an upstream with its permit, and a retry.
    Otherwise the request waits on, and the upstream is left after a later period. If
    one is left, a second retry is held until the other upstream responds, with which a
    stream that has begun can return.

    :param deadline: time by which the caller needs the response, in seconds
    """

    def __init__(
        self,
        components: RelayComponents,
        admission: Admission,
        deadline: float,
        reservation: Reservation,
        retry_permit: RetryPermit,
        crash_permit: CrashPermit,
        search: UpstreamSearch,
        silences: SilenceRecord,
    ) -> None:
        self._components = components
        self._clock = components.clock
        self._route = admission.route
        self._output_tokens = admission.metadata.output_tokens
        self._deadline = deadline
        self._reservation = reservation
        self._retry_permit = retry_permit
        self._crash_permit = crash_permit
        self._search = search
        self._silences = silences
        self._is_preparing = False
        # Whether the preparation has not waited for anything yet.
        self._is_first_step = False

    def watch(
        self, attempt: Attempt, upstream: KnownUpstream, attempts_left: int
    ) -> None:
        """End an attempt once its upstream is silent and the request can go on.

        :param attempts_left: further attempts that the route allows
        """
        timeout = SILENCE_TIMEOUT_OBJECTIVES * self._route.objective
        began_at = self._clock.seconds()

        def on_silent() -> None:
            if self._is_preparing:
                return
            if self._is_busy(upstream, began_at):
                self._note(upstream, SilenceDecision.BUSY, attempts_left)
                return
            self._is_first_step = True
            spawn(self._prepare(attempt, upstream, attempts_left), "Failover")
            self._is_first_step = False

        attempt.watch_silence(max(MIN_SILENCE_SECONDS, timeout), on_silent)

    def _is_busy(self, upstream: KnownUpstream, began_at: float) -> bool:
        """Return whether an upstream responds to other requests.

        It is abandoned later, as a retry elsewhere would repeat the prefill and add
        load.
        """
        now = self._clock.seconds()
        objective = self._route.objective
        if now - upstream.last_seen_at >= max(MIN_SILENCE_SECONDS, objective):
            return False
        return now - began_at < BUSY_TIMEOUT_OBJECTIVES * objective

    async def _prepare(
        self, attempt: Attempt, upstream: KnownUpstream, attempts_left: int
    ) -> None:
        """Obtain what the request needs elsewhere, then leave the upstream."""
        self._is_preparing = True
        try:
            decision = await self._hold_all(attempt, upstream)
        finally:
            self._is_preparing = False
        self._note(upstream, decision, attempts_left)
        if decision is SilenceDecision.LEFT:
            attempt.leave()

    async def _hold_all(
        self, attempt: Attempt, upstream: KnownUpstream
    ) -> SilenceDecision:
        """Hold everything that the request needs elsewhere, or nothing."""
        hindrance = self._find_hindrance()
        if hindrance is not None:
            return hindrance
        if not await self._reservation.prepare(self._output_tokens):
            return SilenceDecision.NO_TOKENS
        decision = await self._hold_upstream(attempt, upstream)
        if decision is not SilenceDecision.LEFT:
            self._reservation.release_prepared()
        return decision

    async def _hold_upstream(
        self, attempt: Attempt, upstream: KnownUpstream
    ) -> SilenceDecision:
        """Hold another upstream, its permit and a retry, or nothing."""
        choice = await self._search.find_alternative()
        if choice is None:
            return SilenceDecision.NO_ALTERNATIVE
        if not self._is_first_step:
            # What has arrived meanwhile is read before the decision.
            await sleep(0, self._clock)
        if not attempt.silent:
            return SilenceDecision.WENT_ON
        hindrance = self._find_hindrance()
        if hindrance is not None:
            return hindrance
        if not self._search.hold(choice):
            return SilenceDecision.NO_ALTERNATIVE
        self._retry_permit.reserve()
        if self._search.note_left(upstream):
            self._retry_permit.reserve_return()
        return SilenceDecision.LEFT

    def _find_hindrance(self) -> SilenceDecision | None:
        """Return why the request cannot go on elsewhere, as far as is known."""
        if self._deadline - self._clock.seconds() < self._route.objective:
            return SilenceDecision.NO_TIME
        if not self._crash_permit.may_run_again():
            return SilenceDecision.BLOCKED
        if not self._search.has_alternative():
            return SilenceDecision.NO_ALTERNATIVE
        if not self._retry_permit.can_reserve():
            return SilenceDecision.NO_RETRY
        return None

    def _note(
        self, upstream: KnownUpstream, decision: SilenceDecision, attempts_left: int
    ) -> None:
        self._silences.note(
            upstream,
            decision,
            attempts_left=attempts_left,
            seconds_left=self._deadline - self._clock.seconds(),
            has_alternative=self._search.has_alternative(),
        )

"""Runs one request: reserves tokens, tries upstreams and responds to the caller."""

from __future__ import annotations

from itertools import pairwise
from traceback import format_exc
from typing import TYPE_CHECKING

from pondquay.routing.prompts import describe_prompt
from pondquay.routing.streamorigins import StreamOrigin
from pondquay.streamevents import EventReader
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.readtimers import ReadTimer
from pondquay_daemon.relay.admission import (
    RETRY_SOON_SECONDS,
    UNAVAILABLE,
    Refusal,
    send_refusal,
)
from pondquay_daemon.relay.crashpermits import CrashPermit
from pondquay_daemon.relay.failovers import Failover
from pondquay_daemon.relay.flowcontrol import RECENT_SECONDS
from pondquay_daemon.relay.heads import drop_connection_headers
from pondquay_daemon.relay.outcomerecorder import OutcomeRecorder
from pondquay_daemon.relay.outcomes import (
    NOT_RUN_STATUSES,
    SUCCESS_STATUSES,
    Answered,
    Lost,
    NotRun,
    PassedOn,
    Stopped,
    Streamed,
    Unsent,
    describe_cause,
)
from pondquay_daemon.relay.reservations import Reservation
from pondquay_daemon.relay.retrying import RetryPermit
from pondquay_daemon.relay.sending import RequestJob, RequestSender
from pondquay_daemon.relay.silences import SilenceRecord
from pondquay_daemon.relay.streamprogress import StreamProgress
from pondquay_daemon.relay.upstreamsearch import UpstreamSearch

if TYPE_CHECKING:
    from pondquay.routes.entities import Service
    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay_daemon.relay.admission import Admission
    from pondquay_daemon.relay.components import RelayComponents
    from pondquay_daemon.relay.handlers import CallerResponse
    from pondquay_daemon.relay.messages import RequestHead
    from pondquay_daemon.relay.outcomes import Outcome

BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
# Connections that may fail before a request is refused, unless a healthy upstream is
# left to try. Nothing was sent on them, so they do not count as attempts.
MAX_CONNECT_FAILURES = 3
# Outcomes of requests that end without a plain response, as metric labels.
NO_RESPONSE = "none"
STREAMED = "stream"
BROKEN = "broken"
SERVED = frozenset({STREAMED, "200"})


class RequestRun:
    """Runs one admitted request to its end."""

    def __init__(
        self,
        components: RelayComponents,
        admission: Admission,
        service: Service | None,
        head: RequestHead,
        body: bytes,
        response: CallerResponse,
    ) -> None:
        self._components = components
        self._metadata = admission.metadata
        self._stream = admission.stream
        self._route = admission.route
        self._service = admission.service
        self._workspace = admission.workspace
        self._response = response
        self._stop_reason = ""
        self._stop_retry_after = RETRY_SOON_SECONDS
        self._may_have_run = False
        self._is_refused = False
        self._outcome = ""
        self._status = NO_RESPONSE
        self._reservation = Reservation(
            components.accounts,
            admission.metadata,
            admission.route,
            admission.workspace,
            service,
        )
        self._progress: StreamProgress | None = None
        if self._route.streaming:
            reader = EventReader(
                last=self._metadata.last_event,
                max_count=self._reservation.find_max_events(),
            )
            self._progress = StreamProgress(
                reader, admission.software, self._note_stream_begun
            )
        self._deadline = response.arrived_at + admission.seconds
        shares_prompts = service is not None and service.shares_prompts
        job = RequestJob(
            admission, head, body, response, shares_prompts, self._deadline
        )
        self._crash_permit = CrashPermit(
            components.crashes, admission, head, body, self._on_refused
        )
        self._retry_permit = RetryPermit(
            components, admission.service, admission.metadata.attempt
        )
        self._place = components.queues.make_place(admission, self._deadline)
        self._silences = SilenceRecord(
            components, admission, self._reservation, self._progress
        )
        self._search = UpstreamSearch(
            components, admission, self._progress, shares_prompts=shares_prompts
        )
        failover = Failover(
            components,
            admission,
            self._deadline,
            self._reservation,
            self._retry_permit,
            self._crash_permit,
            self._search,
            self._silences,
        )
        self._sender = RequestSender(
            components,
            job,
            self._progress,
            self._search,
            failover,
            self._reserve_retry,
            self._retry_permit.note_response,
        )
        self._recorder = OutcomeRecorder(
            components, admission, self._crash_permit, self._place, self._search
        )

    async def run(self) -> None:
        """Serve the request or refuse it."""
        self._response.on_disconnect = self._on_disconnect
        remaining = self._deadline - self._components.clock.seconds()
        self._timeout = self._start_timeout(max(0.0, remaining))
        try:
            with self._crash_permit:
                refusal = await self._serve()
            if refusal is not None and not self._is_refused:
                self._refuse(refusal)
        except Exception as error:
            log_event(
                "request-failed",
                Level.ERROR,
                request=self._metadata.attempt,
                error=repr(error),
                trace=format_exc(),
            )
            self._may_have_run = self._may_have_run or bool(self._sender.sent_to)
            self._refuse(self._make_refusal("internal error"))
        finally:
            self._timeout.cancel()
            self._place.leave()
            self._reservation.settle_all()
            self._retry_permit.release()
            self._components.streams.note_ended(
                self._stream, complete=self._status == STREAMED
            )
            self._log_end()

    def withdraw(self, refusal: Refusal) -> None:
        """Send the request to no further upstream, unless its response has begun."""
        if not self._response.started:
            self._note_stop(refusal.reason, refusal.retry_after)

    def refuse_unbegun(self, refusal: Refusal) -> None:
        """Refuse the request, unless its response has begun.

        Its caller is told if it may have run.
        """
        if self._response.started or not self._response.open:
            return
        self._stop(refusal.reason, refusal.retry_after)
        # Without an attempt in progress, what it waits for may end too late.
        if self._response.open:
            self._refuse(self._make_stop_refusal())
            self._is_refused = True

    async def _serve(self) -> Refusal | None:
        """Serve the request, or return a refusal."""
        refusal = self._crash_permit.take()
        if refusal is None:
            refusal = await self._place.enter()
        if self._stop_reason:
            refusal = self._make_stop_refusal()
        if refusal is None:
            refusal = await self._reservation.reserve(self._metadata.max_tokens)
        if refusal is None:
            refusal = await self._try_upstreams()
        return refusal

    def _start_timeout(self, seconds: float) -> ReadTimer:
        return ReadTimer(self._components.clock, seconds, self._on_timeout)

    def _on_timeout(self) -> None:
        if self._sender.waits_for_caller:
            self._timeout = self._start_timeout(RECENT_SECONDS)
            return
        self._stop("timeout")

    def _on_disconnect(self) -> None:
        # A plain request that may not be repeated is completed once it is being sent.
        streaming, repeatable = self._route.streaming, self._route.repeatable
        sender = self._sender
        if not sender.running or streaming or repeatable or sender.passing_on:
            self._stop("caller disconnected")

    def _on_refused(self, refusal: Refusal) -> None:
        """Withdraw the request, unless its response has begun."""
        if not self._sender.began:
            self._stop(refusal.reason, refusal.retry_after)

    def _stop(self, reason: str, retry_after: float | None = None) -> None:
        self._note_stop(reason, retry_after)
        self._place.cancel()
        self._sender.stop()

    def _note_stop(self, reason: str, retry_after: float | None) -> None:
        if not self._stop_reason:
            self._stop_reason = reason
            self._stop_retry_after = retry_after or RETRY_SOON_SECONDS

    def _log_end(self) -> None:
        workspace = "" if self._workspace is None else self._workspace.name
        response, progress = self._response, self._progress
        seconds = self._components.clock.seconds() - response.arrived_at
        first = (
            None
            if response.began_at is None
            else response.began_at - response.arrived_at
        )
        self._components.metrics.note_end(self._status, seconds, first)
        self._count_continued()
        self._silences.note_end(
            served=self._status in SERVED, stopped=bool(self._stop_reason)
        )
        log_event(
            "request-ended",
            Level.INFO if self._status in SERVED else Level.WARNING,
            request=self._metadata.attempt,
            route=self._route.name,
            service=self._service,
            workspace=workspace,
            upstreams=",".join(self._sender.sent_to),
            left=self._silences.left,
            outcome=self._outcome,
            tokens=self._reservation.used,
            bound=self._metadata.max_tokens,
            first=-1 if first is None else round(first, 3),
            pause=0 if progress is None else round(progress.longest_pause, 3),
            first_attempt=self._metadata.first_attempt,
            after=self._metadata.last_event,
            prompt=describe_prompt(self._metadata.prefix),
            parts="" if progress is None else progress.describe_parts(),
            seconds=round(seconds, 3),
        )

    def _note_stream_begun(self, software: str) -> None:
        """Let the fleet know at which version its stream goes on if it breaks."""
        if self._route.resumable:
            origin = StreamOrigin(self._service, software)
            self._components.streams.note_started(self._stream, origin)

    def _count_continued(self) -> None:
        """Count how often its stream went on at another upstream."""
        if self._progress is None:
            return
        continued = self._components.metrics.streams_continued
        for before, after in pairwise(self._progress.parts):
            is_same = before.software == after.software
            continued.labels("same" if is_same else "other").inc()

    async def _try_upstreams(self) -> Refusal | None:
        """Send the request until it is served or no further attempt is allowed.

        :returns: a refusal if it was not served
        """
        # Why the request is sent again, empty until it has been sent.
        cause = ""
        # Only sends after which the request may have run count against the route's
        # attempts. Each send but the first uses a retry.
        runs = 0
        connect_failures = 0
        self._retry_permit.note_first(self._response.arrived_at)
        while not self._stop_reason:
            elsewhere = self._may_go_elsewhere(runs, connect_failures)
            upstream = await self._choose_upstream(cause, elsewhere=elsewhere)
            if self._stop_reason:
                break
            if isinstance(upstream, Refusal):
                return upstream
            attempts_left = max(0, self._route.attempts - runs - 1)
            outcome = await self._sender.send(upstream, attempts_left)
            self._record_outcome(upstream, outcome)
            if isinstance(outcome, Unsent):
                connect_failures += self._counts_as_failure(outcome)
                can_return = self._search.can_return()
                if self._should_stop_connecting(connect_failures) and not can_return:
                    return self._make_refusal("no connection")
                continue
            cause = describe_cause(outcome)
            if self._deliver(outcome, last=not attempts_left):
                return None
            if not isinstance(outcome, NotRun):
                runs += 1
            refusal = await self._prepare_retry(outcome, runs)
            if refusal is not None:
                return refusal
        return self._make_stop_refusal()

    def _may_go_elsewhere(self, runs: int, connect_failures: int) -> bool:
        """Return whether the request may be sent to an upstream that was not tried.

        :param runs: attempts that may have run
        """
        if runs >= self._route.attempts:
            return False
        is_returning = self._search.can_return()
        return not (is_returning and self._should_stop_connecting(connect_failures))

    async def _choose_upstream(
        self, cause: str, *, elsewhere: bool
    ) -> KnownUpstream | Refusal:
        """Return the upstream to try next, or a refusal.

        :param cause: why the request is sent again, empty if it was not sent before
        :param elsewhere: whether it may be sent to an upstream that was not tried
        """
        refusal = self._crash_permit.check_send()
        if refusal is not None:
            return self._make_refusal(refusal.reason, refusal.retry_after)
        upstream = await self._search.choose() if elsewhere else None
        if upstream is None:
            upstream = await self._search.choose_left()
        if upstream is None:
            no_upstream = self._search.explain_no_upstream()
            return self._make_refusal(
                no_upstream.reason, no_upstream.retry_after or RETRY_SOON_SECONDS
            )
        if cause and not self._retry_permit.take(upstream.name, cause):
            return self._make_refusal("no retries left")
        return upstream

    def _counts_as_failure(self, unsent: Unsent) -> bool:
        """Return whether a failed connection is not this instance's own failure."""
        return unsent.refused or not self._components.overload.overloaded

    def _should_stop_connecting(self, connect_failures: int) -> bool:
        """Return whether to give up connecting.

        While a healthy upstream is left, only the caller's deadline limits the number
        of failed connections.
        """
        if connect_failures < MAX_CONNECT_FAILURES:
            return False
        avoids_unreachable = self._components.policy.leave_dark
        return not avoids_unreachable or not self._search.has_alternative()

    def _reserve_retry(self) -> bool:
        """Reserve a retry if another upstream may serve the request."""
        return self._search.has_alternative() and self._retry_permit.reserve()

    def _record_outcome(self, upstream: KnownUpstream, outcome: Outcome) -> None:
        if isinstance(outcome, Stopped):
            # Without an earlier reason, too little time was left for the attempt.
            self._stop_reason = self._stop_reason or "timeout"
        self._recorder.record(upstream, outcome)
        self._retry_permit.note_outcome(outcome)

    def _deliver(self, outcome: Outcome, *, last: bool) -> bool:
        """Finish the caller's response, if the outcome allows it.

        :returns: whether the response is finished
        """
        if isinstance(outcome, Streamed):
            self._reservation.settle_stream(outcome.events)
            self._outcome = "streamed"
            self._status = STREAMED
            self._response.finish()
            return True
        if isinstance(outcome, Answered):
            return self._deliver_response(outcome, last=last)
        if isinstance(outcome, PassedOn):
            self._may_have_run = True
            self._outcome = f"passed-on-{outcome.status}"
            self._status = str(outcome.status)
            self._response.finish()
            return True
        if isinstance(outcome, Lost) or (isinstance(outcome, Stopped) and outcome.sent):
            self._may_have_run = True
        return False

    def _deliver_response(self, outcome: Answered, *, last: bool) -> bool:
        status = outcome.head.status
        self._may_have_run = True
        if self._progress is not None and self._progress.started:
            return False
        if status in NOT_RUN_STATUSES:
            return False
        may_repeat = (
            status not in SUCCESS_STATUSES and self._route.repeatable and not last
        )
        if may_repeat and self._reserve_retry():
            return False
        headers = drop_connection_headers(outcome.head.headers)
        self._outcome = f"answered-{status}"
        self._status = str(status)
        self._response.send_complete(status, headers, outcome.body)
        return True

    async def _prepare_retry(self, outcome: Outcome, runs: int) -> Refusal | None:
        """Prepare a further attempt, or return a refusal.

        :param runs: attempts that may have run
        """
        if self._stop_reason:
            return self._make_stop_refusal()
        # A return to an upstream that was left tries no further one.
        if runs >= self._route.attempts and not self._search.can_return():
            return self._make_refusal("attempts used up")
        if not self._may_have_run:
            return None
        if not self._route.repeatable:
            return self._make_refusal("may have run")
        if self._progress is None and self._response.started:
            return self._make_refusal("broke after its beginning was forwarded")
        if not isinstance(outcome, Lost | Answered):
            return None
        if isinstance(outcome, Lost):
            await self._crash_permit.wait_for_check()
        refusal = await self._reservation.reserve(self._metadata.output_tokens)
        # A plain refusal for lack of tokens would imply that nothing ran.
        return None if refusal is None else self._make_refusal(refusal.reason)

    def _make_refusal(
        self, reason: str, retry_after: float | None = RETRY_SOON_SECONDS
    ) -> Refusal:
        if not self._may_have_run:
            self._reservation.settle(0)
            return Refusal(UNAVAILABLE, reason, retry_after)
        status = GATEWAY_TIMEOUT if self._stop_reason == "timeout" else BAD_GATEWAY
        return Refusal(status, reason)

    def _make_stop_refusal(self) -> Refusal:
        return self._make_refusal(self._stop_reason, self._stop_retry_after)

    def _refuse(self, refusal: Refusal) -> None:
        self._outcome = f"refused-{refusal.status}: {refusal.reason}"
        self._status = BROKEN if self._response.started else str(refusal.status)
        if self._response.started:
            self._response.abort()
            return
        send_refusal(
            self._components.border, self._response, self._metadata.attempt, refusal
        )

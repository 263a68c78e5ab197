"""One request's way: what it may cost, how often it is tried, what is answered."""

from __future__ import annotations

from traceback import format_exc
from typing import TYPE_CHECKING

from pondquay.streamevents import EventReader
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.admission import (
    SOON,
    UNAVAILABLE,
    Refusal,
    send_refusal,
)
from pondquay_daemon.relay.attempts import (
    PROMISES,
    SUCCESS,
    Answered,
    Lost,
    NotRun,
    Stopped,
    Streamed,
    StreamProgress,
    Unsent,
)
from pondquay_daemon.relay.crashmonitor import ContentPermit
from pondquay_daemon.relay.heads import drop_connection_headers
from pondquay_daemon.relay.reservations import Reservation
from pondquay_daemon.relay.retrying import RetryPermit
from pondquay_daemon.relay.sending import RequestJob, RequestSender

if TYPE_CHECKING:
    from twisted.internet.interfaces import IDelayedCall

    from pondquay.routes.entities import Service
    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay_daemon.relay.admission import Admission
    from pondquay_daemon.relay.attempts import Outcome
    from pondquay_daemon.relay.components import RelayComponents
    from pondquay_daemon.relay.ingress import CallerResponse
    from pondquay_daemon.relay.messages import RequestHead

SERVER_ERROR = 500
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
# Connections that may fail before a request is refused, unless a sound upstream is
# left; nothing was sent on them.
MAX_CONNECT_FAILURES = 3
# How a request ended, where it was not a status.
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
        self._route = admission.route
        self._workspace = admission.workspace
        self._response = response
        self._stopped = ""
        self._may_have_run = False
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
            reader = EventReader(last=self._metadata.last_event)
            self._progress = StreamProgress(reader)
        seconds = self._route.timeout
        if self._metadata.deadline is not None:
            seconds = min(seconds, self._metadata.deadline)
        self._until = response.arrived + seconds
        shares_prompts = service is not None and service.shares_prompts
        job = RequestJob(admission, head, body, response, shares_prompts, self._until)
        owner = "" if self._workspace is None else self._workspace.name
        self._permit = ContentPermit(
            components.crashes, owner, admission.route.host, head, body
        )
        self._retries = RetryPermit(
            components, admission.service, admission.metadata.attempt
        )
        self._sender = RequestSender(components, job, self._progress, self._may_leave)

    async def run(self) -> None:
        """Serve the request or refuse it."""
        self._response.on_gone = self._note_gone
        timer = self._start_timer()
        try:
            refusal = self._permit.take()
            if refusal is None:
                refusal = await self._reservation.reserve(self._metadata.max_tokens)
            if refusal is None:
                refusal = await self._try_upstreams()
            if refusal is not None:
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
            self._refuse(self._give_up("internal error"))
        finally:
            if timer.active():
                timer.cancel()
            self._reservation.settle_all()
            self._log_end()

    def _start_timer(self) -> IDelayedCall:
        seconds = max(0.0, self._until - self._components.clock.seconds())
        return self._components.clock.callLater(seconds, self._note_timeout)

    def _note_timeout(self) -> None:
        self._stop("timeout")

    def _note_gone(self) -> None:
        streaming, repeatable = self._route.streaming, self._route.repeatable
        if not self._sender.running or streaming or repeatable:
            self._stop("caller gone")

    def _stop(self, why: str) -> None:
        self._stopped = self._stopped or why
        self._sender.stop()

    def _log_end(self) -> None:
        workspace = "" if self._workspace is None else self._workspace.name
        response, progress = self._response, self._progress
        seconds = self._components.clock.seconds() - response.arrived
        first = None if response.began is None else response.began - response.arrived
        self._components.metrics.note_end(self._status, seconds, first)
        log_event(
            "request-ended",
            Level.INFO if self._status in SERVED else Level.WARNING,
            request=self._metadata.attempt,
            route=self._route.name,
            workspace=workspace,
            upstreams=",".join(self._sender.sent_to),
            outcome=self._outcome,
            tokens=self._reservation.used,
            bound=self._metadata.max_tokens,
            first=-1 if first is None else round(first, 3),
            pause=0 if progress is None else round(progress.longest_pause, 3),
            seconds=round(seconds, 3),
        )

    async def _try_upstreams(self) -> Refusal | None:
        """Send the request until it is answered, or no further attempt is allowed."""
        sends = 0
        # Only these count against the route's attempts: an upstream that turned the
        # request away did not run it. Every send counts against the retry share.
        runs = 0
        connect_failures = 0
        self._retries.note_first()
        while not self._stopped:
            upstream = await self._choose(sends)
            if self._stopped:
                break
            if isinstance(upstream, Refusal):
                return upstream
            last = runs + 1 >= self._route.attempts
            outcome = await self._sender.send(upstream, last=last)
            self._observe(upstream, outcome)
            if isinstance(outcome, Unsent):
                connect_failures += 1
                if self._is_out_of_reach(connect_failures):
                    return self._give_up("no connection")
                continue
            sends += 1
            if self._finish(outcome, last=last):
                return None
            if not isinstance(outcome, NotRun):
                runs += 1
            if runs >= self._route.attempts:
                return self._give_up("attempts used up")
            refusal = await self._prepare_again(outcome)
            if refusal is not None:
                return refusal
        return self._give_up(self._stopped)

    async def _choose(self, sends: int) -> KnownUpstream | Refusal:
        """Return the upstream to try next, or why the request is not sent."""
        refusal = self._permit.recheck(sends)
        if refusal is not None:
            return self._give_up(refusal.reason, refusal.retry_after)
        upstream = await self._sender.place()
        if upstream is None:
            none = self._sender.explain_no_upstream()
            return self._give_up(none.reason, none.retry_after or SOON)
        if sends and not self._retries.take():
            return self._give_up("no retries left")
        return upstream

    def _is_out_of_reach(self, connect_failures: int) -> bool:
        """Tell whether no further connection is worth trying.

        A refused one costs a millisecond, one that does not come half a second, so only
        the callers' time bounds them while an upstream is left that should answer.
        """
        if connect_failures < MAX_CONNECT_FAILURES:
            return False
        leaves_dark = self._components.policy.leave_dark
        return not leaves_dark or not self._sender.has_other()

    def _may_leave(self) -> bool:
        """Take a retry, if another upstream may serve the request."""
        return self._retries.hold_for_other(self._sender.tried)

    def _observe(self, upstream: KnownUpstream, outcome: Outcome) -> None:
        """Learn from what came of an attempt."""
        now = self._components.clock.seconds()
        self._components.metrics.attempts.labels(type(outcome).__name__.lower()).inc()
        if isinstance(outcome, Stopped):
            # Where nobody stopped it, too little time was left to send it.
            self._stopped = self._stopped or "timeout"
        elif isinstance(outcome, NotRun) and outcome.misdirected:
            record = upstream.record
            self._components.directory.note_leaving(record.name, record.born)
        elif isinstance(outcome, NotRun):
            # One that turns everything away runs nothing, so it seems the least loaded.
            upstream.circuit.fail(now)
        elif isinstance(outcome, Unsent):
            self._components.placement.note_unreached(upstream, refused=outcome.refused)
            if not outcome.refused:
                self._sender.unreached.add(upstream.record.domain)
        elif isinstance(outcome, Lost):
            upstream.circuit.fail(now)
            self._suspect(upstream, outcome, now)
        elif isinstance(outcome, Answered | Streamed):
            upstream.circuit.succeed()
            if isinstance(outcome, Streamed) or outcome.head.status < SERVER_ERROR:
                self._permit.note_served()
        if not isinstance(outcome, Answered | Streamed | Stopped):
            lost = isinstance(outcome, Lost)
            log_event(
                "attempt-failed",
                Level.WARNING,
                request=self._metadata.attempt,
                content=self._permit.content.hex() if lost else "",
                upstream=upstream.name,
                outcome=outcome,
            )

    def _suspect(self, upstream: KnownUpstream, lost: Lost, now: float) -> None:
        """Take in that the upstream may have crashed under this request.

        One that answers others is busy and has not ended.
        """
        if not self._components.policy.refuse_crashing:
            return
        if lost.broken or now - upstream.last_seen_at >= self._route.objective:
            self._permit.note_broken(upstream, lost.streamed)

    def _finish(self, outcome: Outcome, *, last: bool) -> bool:
        """Give the caller its final answer, if this outcome is one."""
        if isinstance(outcome, Streamed):
            self._reservation.settle_stream(outcome.events)
            self._outcome = "streamed"
            self._status = STREAMED
            self._response.finish()
            return True
        if isinstance(outcome, Answered):
            return self._finish_answered(outcome, last=last)
        if isinstance(outcome, Lost) or (isinstance(outcome, Stopped) and outcome.sent):
            self._may_have_run = True
        return False

    def _finish_answered(self, outcome: Answered, *, last: bool) -> bool:
        status = outcome.head.status
        self._may_have_run = True
        if self._progress is not None and self._progress.started:
            return False
        if status in PROMISES:
            return False
        may_repeat = status not in SUCCESS and self._route.repeatable and not last
        if may_repeat and self._may_leave():
            return False
        headers = drop_connection_headers(outcome.head.headers)
        self._outcome = f"answered-{status}"
        self._status = str(status)
        self._response.send_complete(status, headers, outcome.body)
        return True

    async def _prepare_again(self, outcome: Outcome) -> Refusal | None:
        """Make ready for a further attempt, or say why there is none."""
        if not self._may_have_run:
            return None
        if not self._route.repeatable:
            return self._give_up("may have run")
        if not isinstance(outcome, Lost | Answered):
            return None
        if isinstance(outcome, Lost):
            await self._permit.wait_for_check()
        refusal = await self._reservation.reserve(self._metadata.output_tokens)
        # A refusal for want of tokens says that nothing ran, which is no longer true.
        return None if refusal is None else self._give_up(refusal.reason)

    def _give_up(self, why: str, retry_after: float | None = SOON) -> Refusal:
        if not self._may_have_run:
            self._reservation.settle(0)
            return Refusal(UNAVAILABLE, why, retry_after)
        status = GATEWAY_TIMEOUT if self._stopped == "timeout" else BAD_GATEWAY
        return Refusal(status, why)

    def _refuse(self, refusal: Refusal) -> None:
        self._outcome = f"refused-{refusal.status}: {refusal.reason}"
        self._status = BROKEN if self._response.started else str(refusal.status)
        if self._response.started:
            self._response.break_off()
            return
        send_refusal(
            self._components.border, self._response, self._metadata.attempt, refusal
        )

"""One request's way: who asks, where it goes, what it may cost, what it is told."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.streamevents import EventReader
from pondquay_daemon.addresses import Address
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
    Attempt,
    Lost,
    NotRun,
    Stopped,
    Streamed,
    StreamProgress,
    Unsent,
)
from pondquay_daemon.relay.heads import drop_connection_headers
from pondquay_daemon.relay.messages import Dispatch
from pondquay_daemon.relay.readings import PromptReading
from pondquay_daemon.relay.reservations import Reservation

if TYPE_CHECKING:
    from twisted.internet.interfaces import IDelayedCall

    from pondquay.routes.entities import Service
    from pondquay.routing.directory import KnownUpstream
    from pondquay_daemon.relay.admission import Admission
    from pondquay_daemon.relay.attempts import Outcome
    from pondquay_daemon.relay.ingress import CallerAnswer
    from pondquay_daemon.relay.messages import RequestHead
    from pondquay_daemon.relay.parts import RelayParts

BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504

# Connections that may fail before a request is refused; nothing was sent on them.
MOST_CONNECT_FAILURES = 3
# An upstream that says nothing for this many objectives is given up, where the request
# may run again.
SILENT_OBJECTIVES = 2.0
LEAST_SILENT_SECONDS = 0.3
# One that answers other requests meanwhile is given up after this many.
BUSY_OBJECTIVES = 3.0
LEAST_REMAINING_SECONDS = 0.01
# Routes' priorities are below this, and tenants' come ahead of them.
ROUTE_PRIORITIES = 3
# How a request ended, where it was not a status.
NO_ANSWER = "none"
STREAMED = "stream"
BROKEN = "broken"
SERVED = frozenset({STREAMED, "200"})
MOST_URGENCY = 9


class RequestRun:
    """Runs one admitted request to its end."""

    def __init__(
        self,
        parts: RelayParts,
        admission: Admission,
        service: Service | None,
        head: RequestHead,
        body: bytes,
        answer: CallerAnswer,
    ) -> None:
        self._parts = parts
        self._marks = admission.marks
        self._route = admission.route
        self._workspace = admission.workspace
        self._service_name = admission.service
        self._shares_prompts = service is not None and service.shares_prompts
        self._head = head
        self._body = body
        self._answer = answer
        self._attempt: Attempt | None = None
        self._stopped = ""
        self._may_have_run = False
        self._reservation = Reservation(
            parts.accounts,
            admission.marks,
            admission.route,
            admission.workspace,
            service,
            parts.policy,
        )
        self._sent_to: list[str] = []
        self._outcome = ""
        self._status = NO_ANSWER
        self._retry_taken = False
        self._tried: set[str] = set()
        self._progress: StreamProgress | None = None
        if self._route.streaming:
            reader = EventReader(last=self._marks.last_event)
            self._progress = StreamProgress(reader)
        seconds = self._route.timeout
        if self._marks.deadline is not None:
            seconds = min(seconds, self._marks.deadline)
        self._until = answer.arrived + seconds

    async def run(self) -> None:
        """Serve the request or refuse it."""
        self._answer.on_gone = self._note_gone
        timer = self._start_timer()
        try:
            refusal = await self._reservation.reserve(self._marks.most_tokens)
            if refusal is None:
                refusal = await self._try_upstreams()
            if refusal is not None:
                self._refuse(refusal)
        except Exception as error:
            log_event(
                "request-failed",
                Level.ERROR,
                request=self._marks.attempt,
                error=repr(error),
            )
            self._may_have_run = self._may_have_run or bool(self._sent_to)
            self._refuse(self._give_up("internal error"))
        finally:
            if timer.active():
                timer.cancel()
            self._reservation.settle_all()
            self._log_end()

    def _start_timer(self) -> IDelayedCall:
        seconds = max(0.0, self._until - self._parts.clock.seconds())
        return self._parts.clock.callLater(seconds, self._note_timeout)

    def _note_timeout(self) -> None:
        self._stop("timeout")

    def _note_gone(self) -> None:
        if self._attempt is None or self._route.streaming or self._route.repeatable:
            self._stop("caller gone")

    def _stop(self, why: str) -> None:
        self._stopped = self._stopped or why
        if self._attempt is not None:
            self._attempt.stop()

    def _log_end(self) -> None:
        workspace = "" if self._workspace is None else self._workspace.name
        answer, progress = self._answer, self._progress
        seconds = self._parts.clock.seconds() - answer.arrived
        first = None if answer.began is None else answer.began - answer.arrived
        self._parts.metrics.note_end(self._status, seconds, first)
        log_event(
            "request-ended",
            Level.INFO if self._status in SERVED else Level.WARNING,
            request=self._marks.attempt,
            route=self._route.name,
            workspace=workspace,
            upstreams=",".join(self._sent_to),
            outcome=self._outcome,
            tokens=self._reservation.used,
            bound=self._marks.most_tokens,
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
        now = self._parts.clock.seconds()
        self._parts.retries.note_first(self._service_name, now)
        while not self._stopped:
            upstream = self._place()
            if upstream is None:
                return self._give_up("no upstream")
            if sends and not self._take_retry():
                return self._give_up("no retries left")
            last = runs + 1 >= self._route.attempts
            outcome = await self._send(upstream, last=last)
            self._observe(upstream, outcome)
            if isinstance(outcome, Unsent):
                connect_failures += 1
                if connect_failures >= MOST_CONNECT_FAILURES:
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

    def _place(self) -> KnownUpstream | None:
        parts, prefix = self._parts, self._marks.prefix
        chosen = parts.placement.choose(self._service_name, prefix, self._tried)
        if chosen is None:
            return None
        age = parts.list_age()
        log_event(
            "upstream-chosen",
            request=self._marks.attempt,
            upstream=chosen.name,
            service=self._service_name,
            running=chosen.running,
            reading=chosen.prompts.own,
            waiting=chosen.prompts.waiting,
            failures=chosen.circuit.failures,
            tried=len(self._tried),
            list_age=-1 if age is None else round(age, 2),
        )
        return chosen

    def _take_retry(self) -> bool:
        """Take a further attempt from this instance's share, unless one was taken."""
        if self._retry_taken:
            self._retry_taken = False
            return True
        now = self._parts.clock.seconds()
        granted = self._parts.retries.spend(self._service_name, now)
        self._parts.metrics.retries.labels("yes" if granted else "no").inc()
        log_event(
            "retry-decided",
            request=self._marks.attempt,
            service=self._service_name,
            granted=granted,
        )
        return granted

    async def _send(self, upstream: KnownUpstream, *, last: bool) -> Outcome:
        parts = self._parts
        remaining = self._until - parts.clock.seconds()
        if remaining < LEAST_REMAINING_SECONDS:
            self._stopped = self._stopped or "timeout"
            return Stopped(sent=False)
        source = self._find_source(upstream)
        dispatch = Dispatch(
            upstream.name,
            remaining,
            None if self._workspace is None else self._workspace.name,
            self._urgency(),
            self._resume_after(),
            None if source is None else source.record.address,
        )
        headers = drop_connection_headers(self._head.headers)
        headers = parts.border.write_request(headers, dispatch)
        self._tried.add(upstream.name)
        self._sent_to.append(upstream.name)
        reading = PromptReading(parts, upstream, self._marks.prefix, source)
        attempt = self._make_attempt(upstream, reading)
        leaves_silent = parts.policy.leave_silent
        if leaves_silent and self._route.repeatable and not last:
            self._watch_silence(attempt, upstream)
        self._attempt = attempt
        try:
            with reading:
                return await attempt.run(
                    parts.pool,
                    Address.parse(upstream.record.address),
                    (self._head.method, self._head.target, headers, self._body),
                )
        finally:
            self._attempt = None

    def _make_attempt(self, upstream: KnownUpstream, reading: PromptReading) -> Attempt:
        return Attempt(
            self._parts.clock,
            self._parts.border,
            self._marks.attempt,
            self._answer,
            self._progress,
            reading.note_heard,
            lambda pause: self._note_pause(upstream, pause),
        )

    def _watch_silence(self, attempt: Attempt, upstream: KnownUpstream) -> None:
        patience = SILENT_OBJECTIVES * self._route.objective
        patience = max(LEAST_SILENT_SECONDS, patience)
        began = self._parts.clock.seconds()
        attempt.give_up_after(patience, lambda: self._may_leave_silent(upstream, began))

    def _find_source(self, upstream: KnownUpstream) -> KnownUpstream | None:
        if not self._shares_prompts:
            return None
        source = self._parts.placement.find_source(upstream, self._marks.prefix)
        if source is not None:
            log_event(
                "prompt-copied",
                request=self._marks.attempt,
                upstream=upstream.name,
                source=source.name,
            )
        return source

    def _urgency(self) -> int:
        if not self._parts.policy.urgency:
            return 0
        route = min(self._route.priority, ROUTE_PRIORITIES - 1)
        if self._workspace is None or self._workspace.priority is None:
            return min(MOST_URGENCY, route)
        return min(MOST_URGENCY, self._workspace.priority * ROUTE_PRIORITIES + route)

    def _resume_after(self) -> int | None:
        if self._progress is None or not self._progress.started:
            return None
        return self._progress.reader.last

    def _note_pause(self, upstream: KnownUpstream, pause: float) -> None:
        if self._route.pause is not None:
            now = self._parts.clock.seconds()
            upstream.pauses.note(pause, self._route.pause, now)

    def _may_leave_silent(self, upstream: KnownUpstream, began: float) -> bool:
        """Decide whether to leave an upstream that says nothing to this request.

        One that answers others is busy, not dead: to leave it would have the prompt
        read once more elsewhere and add to the load. It is left only much later.
        """
        now = self._parts.clock.seconds()
        objective = self._route.objective
        dead = now - upstream.heard >= max(LEAST_SILENT_SECONDS, objective)
        if not dead and now - began < BUSY_OBJECTIVES * objective:
            return False
        return self._may_leave()

    def _may_leave(self) -> bool:
        """Take a retry, if another upstream may serve the request."""
        if not self._parts.placement.has_other(self._service_name, self._tried):
            return False
        self._retry_taken = self._retry_taken or self._take_retry()
        return self._retry_taken

    def _observe(self, upstream: KnownUpstream, outcome: Outcome) -> None:
        """Learn about the upstream from what came of an attempt."""
        now = self._parts.clock.seconds()
        self._parts.metrics.attempts.labels(type(outcome).__name__.lower()).inc()
        if isinstance(outcome, NotRun) and outcome.misdirected:
            self._parts.directory.note_leaving(upstream.name)
        elif isinstance(outcome, Unsent):
            upstream.circuit.trip(now)
        elif isinstance(outcome, Lost):
            upstream.circuit.fail(now)
        elif isinstance(outcome, Answered | Streamed):
            upstream.circuit.succeed()
        if not isinstance(outcome, Answered | Streamed | Stopped):
            log_event(
                "attempt-failed",
                Level.WARNING,
                request=self._marks.attempt,
                upstream=upstream.name,
                outcome=outcome,
            )

    def _finish(self, outcome: Outcome, *, last: bool) -> bool:
        """Give the caller its final answer, if this outcome is one."""
        if isinstance(outcome, Streamed):
            self._reservation.settle_stream(outcome.events)
            self._outcome = "streamed"
            self._status = STREAMED
            self._answer.finish()
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
        self._answer.send_whole(status, headers, outcome.body)
        return True

    async def _prepare_again(self, outcome: Outcome) -> Refusal | None:
        """Make ready for a further attempt, or say why there is none."""
        if not self._may_have_run:
            return None
        if not self._route.repeatable:
            return self._give_up("may have run")
        if not isinstance(outcome, Lost | Answered):
            return None
        refusal = await self._reservation.reserve(self._marks.output_tokens)
        # A refusal for want of tokens says that nothing ran, which is no longer true.
        return None if refusal is None else self._give_up(refusal.reason)

    def _give_up(self, why: str) -> Refusal:
        if not self._may_have_run:
            self._reservation.settle(0)
            return Refusal(UNAVAILABLE, why, SOON)
        status = GATEWAY_TIMEOUT if self._stopped == "timeout" else BAD_GATEWAY
        return Refusal(status, why)

    def _refuse(self, refusal: Refusal) -> None:
        self._outcome = f"refused-{refusal.status}: {refusal.reason}"
        self._status = BROKEN if self._answer.started else str(refusal.status)
        if self._answer.started:
            self._answer.break_off()
            return
        send_refusal(self._parts.border, self._answer, self._marks.attempt, refusal)

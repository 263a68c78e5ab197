"""Sending one request to upstreams: where, with which headers, for how long."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondquay_daemon.logs import log_event
from pondquay_daemon.relay.attempts import Attempt, Stopped
from pondquay_daemon.relay.contacts import UpstreamContact
from pondquay_daemon.relay.heads import drop_connection_headers
from pondquay_daemon.relay.messages import Dispatch
from pondquay_daemon.relay.permits import WAIT_SECONDS, describe_rate
from pondquay_daemon.relay.readings import PromptReading

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay_daemon.relay.admission import Admission
    from pondquay_daemon.relay.attempts import Outcome, StreamProgress
    from pondquay_daemon.relay.ingress import CallerAnswer
    from pondquay_daemon.relay.messages import RequestHead
    from pondquay_daemon.relay.parts import RelayParts
    from pondquay_daemon.relay.placement import NoUpstream

# An upstream that says nothing for this many objectives is given up, where the request
# may run again.
SILENT_OBJECTIVES = 2.0
LEAST_SILENT_SECONDS = 0.3
# One that answers other requests meanwhile is given up after this many.
BUSY_OBJECTIVES = 3.0
LEAST_REMAINING_SECONDS = 0.01
# Routes' priorities are below this, and tenants' come ahead of them.
ROUTE_PRIORITIES = 3
MOST_URGENCY = 9


@dataclass(frozen=True, slots=True)
class RequestJob:
    """What is to be sent, for whom and until when.

    :param shares_prompts: whether upstreams may copy what others have read of a prompt
    :param until: when the caller's answer must be there, in seconds
    """

    admission: Admission
    head: RequestHead
    body: bytes
    answer: CallerAnswer
    shares_prompts: bool
    until: float


class RequestSender:
    """Sends one request, to one upstream after the other.

    :param progress: how far its stream has come, ``None`` if it has none
    :param may_leave: takes a further attempt, so that a silent upstream may be left
    :ivar tried: upstreams that it was sent to
    :ivar sent_to: the same in order
    :ivar unreached: domains of upstreams to which there was no connection
    """

    def __init__(
        self,
        parts: RelayParts,
        job: RequestJob,
        progress: StreamProgress | None,
        may_leave: Callable[[], bool],
    ) -> None:
        self._parts = parts
        self._job = job
        self._marks = job.admission.marks
        self._route = job.admission.route
        self._workspace = job.admission.workspace
        self._progress = progress
        self._may_leave = may_leave
        self._attempt: Attempt | None = None
        self.tried: set[str] = set()
        self.sent_to: list[str] = []
        self.unreached: set[str] = set()

    @property
    def running(self) -> bool:
        """Whether an attempt is under way."""
        return self._attempt is not None

    def stop(self) -> None:
        """End the attempt that is under way."""
        if self._attempt is not None:
            self._attempt.stop()

    async def place(self) -> KnownUpstream | None:
        """Return the upstream to try next, ``None`` if there is none."""
        parts, service = self._parts, self._job.admission.service
        passed_over: set[str] = set()
        until = parts.clock.seconds() + WAIT_SECONDS
        while True:
            chosen = parts.placement.choose(
                service,
                self._marks.prefix,
                self.tried | passed_over,
                self.unreached,
            )
            if chosen is None:
                return None
            if await parts.permits.take(chosen, until):
                self._log_chosen(chosen)
                return chosen
            passed_over.add(chosen.name)

    def _log_chosen(self, chosen: KnownUpstream) -> None:
        parts, service = self._parts, self._job.admission.service
        age = parts.list_age()
        gone = chosen.vanished
        log_event(
            "upstream-chosen",
            request=self._marks.attempt,
            upstream=chosen.name,
            service=service,
            running=chosen.running,
            reading=chosen.prompts.own,
            waiting=chosen.prompts.waiting,
            failures=chosen.circuit.failures,
            tried=len(self.tried),
            list_age=-1 if age is None else round(age, 2),
            gone=-1 if gone is None else round(parts.clock.seconds() - gone, 2),
            cold=round(max(0.0, chosen.cold_until - parts.clock.seconds()), 2),
            limit=describe_rate(chosen.limit.rate),
            emptied=parts.directory.evacuations.describe(),
        )

    def has_other(self) -> bool:
        """Tell whether a sound upstream is left that was not tried."""
        service = self._job.admission.service
        return self._parts.placement.has_other(service, self.tried)

    def explain_no_upstream(self) -> NoUpstream:
        """Return why there is none to try."""
        service = self._job.admission.service
        return self._parts.placement.explain_none(service, self.tried)

    async def send(self, upstream: KnownUpstream, *, last: bool) -> Outcome:
        """Send the request and return what came of it.

        :param last: no other upstream may be tried after this one
        """
        job, parts = self._job, self._parts
        remaining = job.until - parts.clock.seconds()
        if remaining < LEAST_REMAINING_SECONDS:
            return Stopped(sent=False)
        source = self._find_source(upstream)
        headers = self._write_headers(upstream, remaining, source)
        self.tried.add(upstream.name)
        self.sent_to.append(upstream.name)
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
                    upstream.record.address,
                    (job.head.method, job.head.target, headers, job.body),
                )
        finally:
            self._attempt = None

    def _write_headers(
        self, upstream: KnownUpstream, remaining: float, source: KnownUpstream | None
    ) -> list[tuple[bytes, bytes]]:
        dispatch = Dispatch(
            upstream.record.name,
            remaining,
            None if self._workspace is None else self._workspace.name,
            self._urgency(),
            self._resume_after(),
            None if source is None else str(source.record.address),
        )
        headers = drop_connection_headers(self._job.head.headers)
        return self._parts.border.write_request(headers, dispatch)

    def _make_attempt(self, upstream: KnownUpstream, reading: PromptReading) -> Attempt:
        return Attempt(
            self._parts.clock,
            self._parts.border,
            self._marks.attempt,
            self._job.answer,
            self._progress,
            UpstreamContact(self._parts, upstream, reading, self._route.pause),
        )

    def _find_source(self, upstream: KnownUpstream) -> KnownUpstream | None:
        if not self._job.shares_prompts:
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

    def _watch_silence(self, attempt: Attempt, upstream: KnownUpstream) -> None:
        patience = SILENT_OBJECTIVES * self._route.objective
        patience = max(LEAST_SILENT_SECONDS, patience)
        began = self._parts.clock.seconds()
        attempt.give_up_after(patience, lambda: self._may_leave_silent(upstream, began))

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

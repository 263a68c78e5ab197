"""Sending one request to upstreams: where, with which headers, for how long."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondquay_daemon.logs import log_event
from pondquay_daemon.relay.attempts import Attempt, Stopped
from pondquay_daemon.relay.heads import drop_connection_headers
from pondquay_daemon.relay.messages import Dispatch
from pondquay_daemon.relay.observers import UpstreamContact
from pondquay_daemon.relay.permits import PERMIT_WAIT_SECONDS, describe_rate
from pondquay_daemon.relay.prefills import Prefill

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay_daemon.relay.admission import Admission
    from pondquay_daemon.relay.attempts import Outcome, StreamProgress
    from pondquay_daemon.relay.components import RelayComponents
    from pondquay_daemon.relay.ingress import CallerResponse
    from pondquay_daemon.relay.messages import RequestHead
    from pondquay_daemon.relay.placement import NoUpstream

# An upstream that says nothing for this many objectives is given up, where the request
# may run again.
SILENT_OBJECTIVES = 2.0
MIN_SILENT_SECONDS = 0.3
# One that answers other requests meanwhile is given up after this many.
BUSY_OBJECTIVES = 3.0
MIN_REMAINING_SECONDS = 0.01
# Routes' priorities are below this, and tenants' come ahead of them.
ROUTE_PRIORITIES = 3
MAX_URGENCY = 9


@dataclass(frozen=True, slots=True)
class RequestJob:
    """What is to be sent, for whom and until when.

    :param shares_prompts: whether upstreams may copy what others have read of a prompt
    :param until: when the caller's answer must be there, in seconds
    """

    admission: Admission
    head: RequestHead
    body: bytes
    response: CallerResponse
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
        components: RelayComponents,
        job: RequestJob,
        progress: StreamProgress | None,
        may_leave: Callable[[], bool],
    ) -> None:
        self._components = components
        self._job = job
        self._metadata = job.admission.metadata
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
        components, service = self._components, self._job.admission.service
        passed_over: set[str] = set()
        until = components.clock.seconds() + PERMIT_WAIT_SECONDS
        while True:
            chosen = components.placement.choose(
                service,
                self._metadata.prefix,
                self.tried | passed_over,
                self.unreached,
            )
            if chosen is None:
                return None
            if await components.permits.take(chosen, until):
                self._log_chosen(chosen)
                return chosen
            passed_over.add(chosen.name)

    def _log_chosen(self, chosen: KnownUpstream) -> None:
        components, service = self._components, self._job.admission.service
        age = components.list_age()
        gone = chosen.missing_since
        log_event(
            "upstream-chosen",
            request=self._metadata.attempt,
            upstream=chosen.name,
            service=service,
            running=chosen.running,
            reading=chosen.prompts.own,
            waiting=chosen.prompts.waiting,
            failures=chosen.circuit.failures,
            tried=len(self.tried),
            list_age=-1 if age is None else round(age, 2),
            gone=-1 if gone is None else round(components.clock.seconds() - gone, 2),
            cold=round(max(0.0, chosen.cold_until - components.clock.seconds()), 2),
            limit=describe_rate(chosen.limit.rate),
            emptied=components.directory.evacuations.describe(),
        )

    def has_other(self) -> bool:
        """Tell whether a sound upstream is left that was not tried."""
        service = self._job.admission.service
        return self._components.placement.has_other(service, self.tried)

    def explain_no_upstream(self) -> NoUpstream:
        """Return why there is none to try."""
        service = self._job.admission.service
        return self._components.placement.explain_none(service, self.tried)

    async def send(self, upstream: KnownUpstream, *, last: bool) -> Outcome:
        """Send the request and return what came of it.

        :param last: no other upstream may be tried after this one
        """
        job, components = self._job, self._components
        remaining = job.until - components.clock.seconds()
        if remaining < MIN_REMAINING_SECONDS:
            return Stopped(sent=False)
        source = self._find_source(upstream)
        headers = self._write_headers(upstream, remaining, source)
        self.tried.add(upstream.name)
        self.sent_to.append(upstream.name)
        prefill = Prefill(components, upstream, self._metadata.prefix, source)
        attempt = self._make_attempt(upstream, prefill)
        leaves_silent = components.policy.leave_silent
        if leaves_silent and self._route.repeatable and not last:
            self._watch_silence(attempt, upstream)
        self._attempt = attempt
        try:
            with prefill:
                return await attempt.run(
                    components.pool,
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
        return self._components.border.write_request(headers, dispatch)

    def _make_attempt(self, upstream: KnownUpstream, prefill: Prefill) -> Attempt:
        return Attempt(
            self._components.clock,
            self._components.border,
            self._metadata.attempt,
            self._job.response,
            self._progress,
            UpstreamContact(self._components, upstream, prefill, self._route.pause),
        )

    def _find_source(self, upstream: KnownUpstream) -> KnownUpstream | None:
        if not self._job.shares_prompts:
            return None
        source = self._components.placement.find_source(upstream, self._metadata.prefix)
        if source is not None:
            log_event(
                "prompt-copied",
                request=self._metadata.attempt,
                upstream=upstream.name,
                source=source.name,
            )
        return source

    def _urgency(self) -> int:
        if not self._components.policy.urgency:
            return 0
        route = min(self._route.priority, ROUTE_PRIORITIES - 1)
        if self._workspace is None or self._workspace.priority is None:
            return min(MAX_URGENCY, route)
        return min(MAX_URGENCY, self._workspace.priority * ROUTE_PRIORITIES + route)

    def _resume_after(self) -> int | None:
        if self._progress is None or not self._progress.started:
            return None
        return self._progress.reader.last

    def _watch_silence(self, attempt: Attempt, upstream: KnownUpstream) -> None:
        patience = SILENT_OBJECTIVES * self._route.objective
        patience = max(MIN_SILENT_SECONDS, patience)
        began = self._components.clock.seconds()
        attempt.give_up_after(patience, lambda: self._may_leave_silent(upstream, began))

    def _may_leave_silent(self, upstream: KnownUpstream, began: float) -> bool:
        """Decide whether to leave an upstream that says nothing to this request.

        One that answers others is busy, not dead: to leave it would have the prompt
        read once more elsewhere and add to the load. It is left only much later.
        """
        now = self._components.clock.seconds()
        objective = self._route.objective
        dead = now - upstream.last_seen_at >= max(MIN_SILENT_SECONDS, objective)
        if not dead and now - began < BUSY_OBJECTIVES * objective:
            return False
        return self._may_leave()

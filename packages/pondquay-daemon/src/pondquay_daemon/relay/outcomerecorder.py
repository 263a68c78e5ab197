"""Records what the outcomes of attempts show of upstreams and of the request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.prompts import describe_prompt
from pondquay.routing.rejections import draw_pause
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.outcomes import (
    Answered,
    Lost,
    NotRun,
    PassedOn,
    Stopped,
    Streamed,
    Unsent,
)

if TYPE_CHECKING:
    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay_daemon.relay.admission import Admission
    from pondquay_daemon.relay.components import RelayComponents
    from pondquay_daemon.relay.crashpermits import CrashPermit
    from pondquay_daemon.relay.fairqueues import Place
    from pondquay_daemon.relay.outcomes import Outcome
    from pondquay_daemon.relay.upstreamsearch import UpstreamSearch

SERVER_ERROR = 500


class OutcomeRecorder:
    """Records the outcomes of one request's attempts.

    :param place: its place in the queue of the service
    :param search: learns the domains in which the request could not connect
    """

    def __init__(
        self,
        components: RelayComponents,
        admission: Admission,
        crash_permit: CrashPermit,
        place: Place,
        search: UpstreamSearch,
    ) -> None:
        self._components = components
        self._metadata = admission.metadata
        self._route = admission.route
        self._crash_permit = crash_permit
        self._place = place
        self._search = search

    def record(self, upstream: KnownUpstream, outcome: Outcome) -> None:
        """Record the outcome of an attempt."""
        now = self._components.clock.seconds()
        self._components.metrics.attempts.labels(type(outcome).__name__.lower()).inc()
        if may_have_run(outcome):
            self._crash_permit.note_run()
        if isinstance(outcome, NotRun):
            self._record_rejection(upstream, outcome, now)
        elif isinstance(outcome, Unsent):
            self._record_connect_failure(upstream, refused=outcome.refused)
        elif isinstance(outcome, Lost) and outcome.is_of_upstream:
            upstream.circuit.fail(now)
            self._note_possible_crash(upstream, outcome, now)
        elif isinstance(outcome, Answered | PassedOn | Streamed):
            upstream.circuit.succeed()
            if is_served(outcome):
                self._place.note_served()
                self._crash_permit.note_served()
        if isinstance(outcome, Lost):
            self._components.metrics.lost.labels(outcome.stage).inc()
        if not isinstance(outcome, Answered | PassedOn | Streamed | Stopped):
            lost = isinstance(outcome, Lost)
            log_event(
                "attempt-failed",
                Level.WARNING,
                request=self._metadata.attempt,
                content=self._crash_permit.content.hex() if lost else "",
                prompt=describe_prompt(self._metadata.prefix) if lost else "",
                upstream=upstream.name,
                outcome=outcome,
            )

    def _record_rejection(
        self, upstream: KnownUpstream, outcome: NotRun, now: float
    ) -> None:
        if outcome.misdirected:
            record = upstream.record
            self._components.directory.note_leaving(record.name, record.born)
            return
        # An upstream that rejects everything would otherwise seem the least loaded.
        upstream.circuit.fail(now)
        if is_full(upstream, now):
            self._place.note_rejected()
            self._spare_upstream(upstream, now)

    def _spare_upstream(self, upstream: KnownUpstream, now: float) -> None:
        """Send an upstream nothing for a while if it must not reject many requests."""
        if upstream.rejection_bound is None:
            return
        components = self._components
        pause = draw_pause(
            upstream.rejection_bound, components.count_instances(), components.random
        )
        upstream.note_backoff(pause, now)
        log_event("upstream-spared", upstream=upstream.name, seconds=round(pause, 2))

    def _record_connect_failure(
        self, upstream: KnownUpstream, *, refused: bool
    ) -> None:
        """Record a failed connection, unless this instance is the likely cause."""
        if self._components.overload.note_connect_failure(upstream, refused=refused):
            return
        self._components.placement.note_connect_failure(upstream, refused=refused)
        if not refused:
            self._search.unreachable_domains.add(upstream.record.domain)

    def _note_possible_crash(
        self, upstream: KnownUpstream, lost: Lost, now: float
    ) -> None:
        """Report that this request may have crashed the upstream.

        A silent upstream that responds to other requests is considered busy.
        """
        if not self._components.policy.refuse_crashing:
            return
        if lost.broken or now - upstream.last_seen_at >= self._route.objective:
            self._crash_permit.note_lost(upstream, lost)


def may_have_run(outcome: Outcome) -> bool:
    """Return whether an upstream may have run the request."""
    if isinstance(outcome, Stopped):
        return outcome.sent
    return not isinstance(outcome, Unsent | NotRun)


def is_served(outcome: Answered | PassedOn | Streamed) -> bool:
    """Return whether an upstream served the request, rather than failed it."""
    if isinstance(outcome, Answered):
        return outcome.head.status < SERVER_ERROR
    return isinstance(outcome, Streamed) or outcome.status < SERVER_ERROR


def is_full(upstream: KnownUpstream, now: float) -> bool:
    """Return whether an upstream that rejects a request gives no other reason."""
    if upstream.has_departed(now) or upstream.in_backoff(now):
        return False
    return not upstream.is_limited() and now >= upstream.cold_until

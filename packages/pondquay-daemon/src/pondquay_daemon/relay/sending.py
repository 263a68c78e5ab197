"""Sends one request to upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondquay.routing.expected import Target
from pondquay_daemon.logs import log_event
from pondquay_daemon.relay.attempts import Attempt
from pondquay_daemon.relay.heads import drop_connection_headers
from pondquay_daemon.relay.messages import Dispatch
from pondquay_daemon.relay.observers import UpstreamObserver
from pondquay_daemon.relay.outcomes import Stopped
from pondquay_daemon.relay.permits import PERMIT_WAIT_SECONDS, describe_rate
from pondquay_daemon.relay.prefills import Prefill
from pondquay_daemon.relay.silences import SilenceDecision

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay.routes.entities import Route, RoutedWorkspace
    from pondquay.routing.expected import Choice
    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay_daemon.relay.admission import Admission
    from pondquay_daemon.relay.components import RelayComponents
    from pondquay_daemon.relay.handlers import CallerResponse
    from pondquay_daemon.relay.messages import RequestHead
    from pondquay_daemon.relay.outcomes import Outcome
    from pondquay_daemon.relay.placement import NoUpstream
    from pondquay_daemon.relay.silences import SilenceRecord
    from pondquay_daemon.relay.streamprogress import StreamProgress

# Multiple of a route's objective after which a silent upstream is abandoned if the
# request is repeatable.
SILENCE_TIMEOUT_OBJECTIVES = 2.0
MIN_SILENCE_SECONDS = 0.3
# Multiple of the objective before which a silent upstream is not abandoned if it
# responds to other requests.
BUSY_TIMEOUT_OBJECTIVES = 3.0
# A request is not sent if less time is left until its deadline.
MIN_REMAINING_SECONDS = 0.01
# Number of route priorities. The priority of a workspace outranks that of a route.
ROUTE_PRIORITIES = 3
MAX_URGENCY = 9


@dataclass(frozen=True, slots=True)
class RequestJob:
    """A request to be sent.

    :param shares_prompts: whether upstreams may copy cached prompt parts
    :param deadline: time by which the caller needs the response, in seconds
    """

    admission: Admission
    head: RequestHead
    body: bytes
    response: CallerResponse
    shares_prompts: bool
    deadline: float


class RequestSender:
    """Sends one request to upstreams, one after another.

    :param progress: progress of its stream, ``None`` if it has none
    :param may_retry: reserves a retry, so that a silent upstream may be abandoned;
        returns whether it did
    :param silences: records the decisions on silent upstreams
    :ivar tried: names of the upstreams that were tried
    :ivar sent_to: the same names, in the order of the attempts
    :ivar unreachable_domains: domains in which it could not connect
    """

    def __init__(
        self,
        components: RelayComponents,
        job: RequestJob,
        progress: StreamProgress | None,
        may_retry: Callable[[], bool],
        silences: SilenceRecord,
    ) -> None:
        self._components = components
        self._job = job
        self._metadata = job.admission.metadata
        self._route = job.admission.route
        self._workspace = job.admission.workspace
        self._progress = progress
        self._may_retry = may_retry
        self._silences = silences
        self._attempt: Attempt | None = None
        self.tried: set[str] = set()
        self.sent_to: list[str] = []
        self.unreachable_domains: set[str] = set()

    @property
    def running(self) -> bool:
        """Whether an attempt is in progress."""
        return self._attempt is not None

    @property
    def began(self) -> bool:
        """Whether the attempt in progress has the head of a response."""
        return self._attempt is not None and self._attempt.began

    @property
    def passing_on(self) -> bool:
        """Whether a plain response is forwarded as it arrives."""
        return self._attempt is not None and self._attempt.passing_on

    @property
    def waits_for_caller(self) -> bool:
        """Whether only the caller delays the end of a plain response."""
        return self._attempt is not None and self._attempt.waits_for_caller

    def stop(self) -> None:
        """End the attempt in progress."""
        if self._attempt is not None:
            self._attempt.stop()

    async def choose_upstream(self) -> KnownUpstream | None:
        """Return the upstream to try next, ``None`` if there is none."""
        components, service = self._components, self._job.admission.service
        without_permit: set[str] = set()
        wait_until = components.clock.seconds() + PERMIT_WAIT_SECONDS
        while True:
            choice = components.placement.choose(
                service,
                self._metadata.prefix,
                Target(self._route.objective, self._route.pause),
                self.tried | without_permit,
                self.unreachable_domains,
                software=self._software,
                copies=self._job.shares_prompts,
            )
            if choice is None:
                return None
            chosen = choice.upstream
            if await components.permits.take(chosen, wait_until):
                components.metrics.placements.labels(choice.reason.value).inc()
                self._log_chosen(choice)
                return chosen
            without_permit.add(chosen.name)

    def _log_chosen(self, choice: Choice) -> None:
        chosen = choice.upstream
        components, service = self._components, self._job.admission.service
        age = components.list_age()
        missing_since = chosen.missing_since
        # reading: prompt tokens of this instance that wait for prefill; waiting: those
        # of all instances; gone: seconds since the row went missing, -1 if listed;
        # fleet_running: estimated requests of all instances; pace: 1 is usual, more is
        # slower.
        log_event(
            "upstream-chosen",
            request=self._metadata.attempt,
            upstream=chosen.name,
            service=service,
            software=chosen.record.software,
            running=chosen.running,
            fleet_running=round(components.activity.count_running(chosen), 1),
            pace=round(choice.slowness, 2),
            why=choice.reason.value,
            reading=chosen.prompts.own,
            waiting=chosen.prompts.waiting,
            failures=chosen.circuit.failures,
            tried=len(self.tried),
            list_age=-1 if age is None else round(age, 2),
            gone=-1
            if missing_since is None
            else round(components.clock.seconds() - missing_since, 2),
            cold=round(max(0.0, chosen.cold_until - components.clock.seconds()), 2),
            limit=describe_rate(chosen.limit.rate),
            emptied=components.directory.evacuations.describe(),
        )

    def has_alternative(self) -> bool:
        """Return whether another healthy upstream can be tried."""
        service = self._job.admission.service
        return self._components.placement.has_alternative(
            service, self._software, self.tried
        )

    def explain_no_upstream(self) -> NoUpstream:
        """Return why there is no upstream to try."""
        service = self._job.admission.service
        return self._components.placement.explain_no_upstream(
            service, self._software, self.tried
        )

    @property
    def _software(self) -> str | None:
        """The only software version at which its stream may go on, or ``None``."""
        return None if self._progress is None else self._progress.software

    async def send(self, upstream: KnownUpstream, attempts_left: int) -> Outcome:
        """Send the request and return the outcome.

        :param attempts_left: further attempts that the route allows if the request may
            have run
        """
        job, components = self._job, self._components
        remaining = job.deadline - components.clock.seconds()
        if remaining < MIN_REMAINING_SECONDS:
            return Stopped(sent=False)
        source = self._find_source(upstream)
        headers = self._write_headers(upstream, remaining, source)
        self.tried.add(upstream.name)
        self.sent_to.append(upstream.name)
        if self._progress is not None:
            self._progress.begin_attempt(upstream.record.software)
        prefill = Prefill(components, upstream, self._metadata.prefix, source)
        attempt = self._make_attempt(upstream, prefill)
        if self._route.repeatable and attempts_left:
            attempt.watch_failure(self._may_retry)
            if components.policy.leave_silent:
                self._watch_silence(attempt, upstream, attempts_left)
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
            UpstreamObserver(self._components, upstream, prefill, self._route.pause),
            self._components.buffers.open_work(),
        )

    def _find_source(self, upstream: KnownUpstream) -> KnownUpstream | None:
        if not self._job.shares_prompts:
            return None
        source = self._components.placement.find_copy_source(
            upstream, self._metadata.prefix
        )
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
        return find_urgency(self._route, self._workspace)

    def _resume_after(self) -> int | None:
        if self._progress is None or not self._progress.started:
            return None
        return self._progress.reader.last

    def _watch_silence(
        self, attempt: Attempt, upstream: KnownUpstream, attempts_left: int
    ) -> None:
        timeout = SILENCE_TIMEOUT_OBJECTIVES * self._route.objective
        timeout = max(MIN_SILENCE_SECONDS, timeout)
        began = self._components.clock.seconds()

        def may_abandon() -> bool:
            decision = self._decide_on_silence(upstream, began)
            self._silences.note(
                upstream,
                decision,
                attempts_left=attempts_left,
                seconds_left=self._job.deadline - self._components.clock.seconds(),
                has_alternative=self.has_alternative(),
            )
            return decision is SilenceDecision.LEFT

        attempt.watch_silence(timeout, may_abandon)

    def _decide_on_silence(
        self, upstream: KnownUpstream, began: float
    ) -> SilenceDecision:
        """Decide whether to abandon an upstream that is silent on this request.

        An upstream that responds to other requests is busy. It is abandoned later, as a
        retry elsewhere would repeat the prefill and add load.
        """
        now = self._components.clock.seconds()
        objective = self._route.objective
        unresponsive = now - upstream.last_seen_at >= max(
            MIN_SILENCE_SECONDS, objective
        )
        if not unresponsive and now - began < BUSY_TIMEOUT_OBJECTIVES * objective:
            return SilenceDecision.BUSY
        if not self.has_alternative():
            return SilenceDecision.NO_ALTERNATIVE
        if not self._may_retry():
            return SilenceDecision.NO_RETRY
        return SilenceDecision.LEFT


def find_urgency(route: Route, workspace: RoutedWorkspace | None) -> int:
    """Return the urgency of a request, 0 is the most urgent."""
    priority = min(route.priority, ROUTE_PRIORITIES - 1)
    if workspace is None or workspace.priority is None:
        return min(MAX_URGENCY, priority)
    return min(MAX_URGENCY, workspace.priority * ROUTE_PRIORITIES + priority)

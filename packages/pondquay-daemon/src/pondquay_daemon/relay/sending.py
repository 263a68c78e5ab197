"""Sends one request to upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondquay_daemon.logs import log_event
from pondquay_daemon.relay.attempts import Attempt
from pondquay_daemon.relay.heads import drop_connection_headers
from pondquay_daemon.relay.messages import Dispatch
from pondquay_daemon.relay.observers import UpstreamObserver
from pondquay_daemon.relay.outcomes import Stopped
from pondquay_daemon.relay.prefills import Prefill

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay.routes.entities import Route, RoutedWorkspace
    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay_daemon.relay.admission import Admission
    from pondquay_daemon.relay.components import RelayComponents
    from pondquay_daemon.relay.failovers import Failover
    from pondquay_daemon.relay.handlers import CallerResponse
    from pondquay_daemon.relay.messages import RequestHead
    from pondquay_daemon.relay.outcomes import Outcome
    from pondquay_daemon.relay.streamprogress import StreamProgress
    from pondquay_daemon.relay.upstreamsearch import UpstreamSearch

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
    :param search: learns the upstreams that were tried
    :param failover: leaves silent upstreams
    :param may_retry: reserves a retry, so that an upstream may be abandoned whose
        failure does not end; returns whether it did
    :param note_response: called when an upstream responds
    :ivar sent_to: names of the upstreams that were tried, in order
    """

    def __init__(
        self,
        components: RelayComponents,
        job: RequestJob,
        progress: StreamProgress | None,
        search: UpstreamSearch,
        failover: Failover,
        may_retry: Callable[[], bool],
        note_response: Callable[[], None],
    ) -> None:
        self._components = components
        self._job = job
        self._metadata = job.admission.metadata
        self._route = job.admission.route
        self._workspace = job.admission.workspace
        self._progress = progress
        self._may_retry = may_retry
        self._note_response = note_response
        self._search = search
        self._failover = failover
        self._attempt: Attempt | None = None
        self.sent_to: list[str] = []

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
        self._search.tried.add(upstream.name)
        self.sent_to.append(upstream.name)
        if self._progress is not None:
            self._progress.begin_attempt(upstream.record.software)
        prefill = Prefill(components, upstream, self._metadata.prefix, source)
        attempt = self._make_attempt(upstream, prefill)
        if self._route.repeatable and attempts_left:
            attempt.watch_failure(self._may_retry)
            if components.policy.leave_silent:
                self._failover.watch(attempt, upstream, attempts_left)
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
            UpstreamObserver(
                self._components,
                upstream,
                prefill,
                self._route.pause,
                self._note_response,
            ),
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


def find_urgency(route: Route, workspace: RoutedWorkspace | None) -> int:
    """Return the urgency of a request, 0 is the most urgent."""
    priority = min(route.priority, ROUTE_PRIORITIES - 1)
    if workspace is None or workspace.priority is None:
        return min(MAX_URGENCY, priority)
    return min(MAX_URGENCY, workspace.priority * ROUTE_PRIORITIES + priority)

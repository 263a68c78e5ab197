"""Records what became of upstreams that were silent on one request."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from pondquay_daemon.logs import log_event

if TYPE_CHECKING:
    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay_daemon.relay.admission import Admission
    from pondquay_daemon.relay.components import RelayComponents
    from pondquay_daemon.relay.reservations import Reservation
    from pondquay_daemon.relay.streamprogress import StreamProgress


class SilenceDecision(StrEnum):
    """Whether a silent upstream is left, or why the request waits on.

    ``BUSY``: the upstream responds to other requests;
    ``WENT_ON``: it has sent something during the preparations;
    ``BLOCKED``: the request must not be sent again, as upstreams crashed under it;
    ``NO_TIME``: too little time is left for another upstream.
    """

    LEFT = "left"
    BUSY = "busy"
    WENT_ON = "went-on"
    BLOCKED = "blocked"
    NO_TIME = "no-time"
    NO_TOKENS = "no-tokens"
    NO_ALTERNATIVE = "no-alternative"
    NO_RETRY = "no-retry"


class SilenceRecord:
    """Logs and counts the decisions on upstreams that were silent on one request.

    :param progress: progress of its stream, ``None`` if it has none
    :ivar left: number of upstreams that were left
    """

    def __init__(
        self,
        components: RelayComponents,
        admission: Admission,
        reservation: Reservation,
        progress: StreamProgress | None,
    ) -> None:
        self._components = components
        self._metadata = admission.metadata
        self._reservation = reservation
        self._progress = progress
        self._latest: tuple[str, SilenceDecision] | None = None
        self.left = 0

    def note(
        self,
        upstream: KnownUpstream,
        decision: SilenceDecision,
        *,
        attempts_left: int,
        seconds_left: float,
        has_alternative: bool,
    ) -> None:
        """Record a decision; one that repeats the previous one is not logged.

        :param attempts_left: further attempts that the route allows
        :param seconds_left: seconds until the request's deadline
        """
        self.left += decision is SilenceDecision.LEFT
        self._components.metrics.silences.labels(decision.value).inc()
        if self._latest == (upstream.name, decision):
            return
        self._latest = (upstream.name, decision)
        progress = self._progress
        # events: events of its stream so far; software: the version at which it may go
        # on; silent: seconds since anything was received from the upstream, -1 if
        # nothing was.
        log_event(
            "upstream-silent",
            request=self._metadata.attempt,
            upstream=upstream.name,
            decision=decision.value,
            events=0 if progress is None else progress.reader.count,
            software="" if progress is None else progress.software or "",
            attempts_left=attempts_left,
            seconds_left=round(seconds_left, 3),
            alternative=has_alternative,
            tokens=self._reservation.reserved,
            silent=self._measure_silence(upstream),
        )

    def _measure_silence(self, upstream: KnownUpstream) -> float:
        if not upstream.last_seen_at:
            return -1
        return round(self._components.clock.seconds() - upstream.last_seen_at, 3)

    def note_end(self, *, served: bool, stopped: bool) -> None:
        """Count a request that has left a silent upstream by its end.

        :param stopped: whether its caller left or its time was over
        """
        if not self.left:
            return
        end = "served" if served else "stopped" if stopped else "failed"
        self._components.metrics.left_requests.labels(end).inc()

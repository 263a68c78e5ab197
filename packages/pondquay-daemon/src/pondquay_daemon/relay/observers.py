"""Records what an attempt observes of its upstream in the relay's components."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.pace import normalize_interval
from pondquay.routing.upstreamrecords import Departure
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.dialing import CONNECT_SECONDS
from pondquay_daemon.relay.upstreamlisteners import UpstreamListener

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay_daemon.relay.components import RelayComponents
    from pondquay_daemon.relay.messages import UpstreamSignals
    from pondquay_daemon.relay.prefills import Prefill


# Source of a departure, for the logs.
FROM_RESPONSE = "answer"
# Intervals between events of which the mean is one observation of the pace. An instance
# that reads late finds several events at once, so single intervals say nothing.
OBSERVED_INTERVALS = 8


class UpstreamObserver(UpstreamListener):
    """Observes one attempt's upstream.

    :param upstream: the incarnation to which the request is sent
    :param prefill: the attempt's prompt at the upstream
    :param max_pause: seconds that the route allows between two events of a stream,
        ``None`` where it sets no limit
    :param note_response: called when the upstream responds
    """

    def __init__(
        self,
        components: RelayComponents,
        upstream: KnownUpstream,
        prefill: Prefill,
        max_pause: float | None,
        note_response: Callable[[], None],
    ) -> None:
        self._components = components
        self._upstream = upstream
        self._prefill = prefill
        self._max_pause = max_pause
        self._note_response = note_response
        self._sent_at = components.clock.seconds()
        # Intervals since the last observation of the pace, and their sum.
        self._intervals = 0
        self._streamed = 0.0

    def on_data(self) -> None:
        """Note that the upstream is reachable."""
        self._prefill.note_response()

    def on_response(self) -> None:
        """Note that the upstream has prefilled the prompt, since it responds."""
        self._prefill.note_prefilled()
        self._note_response()

    def on_pause(self, seconds: float) -> None:
        """Record a pause between two events."""
        if self._max_pause is not None:
            now = self._components.clock.seconds()
            self._upstream.pauses.note(seconds, self._max_pause, now)
        self._streamed += seconds
        self._intervals += 1
        if self._intervals == OBSERVED_INTERVALS:
            self._note_interval()

    def _note_interval(self) -> None:
        activity = self._components.activity
        running = activity.count_running(self._upstream)
        pace = normalize_interval(self._streamed / OBSERVED_INTERVALS, running)
        self._streamed, self._intervals = 0.0, 0
        activity.note_interval(self._upstream, pace)

    def on_signals(self, signals: UpstreamSignals, *, tunnelled: bool) -> None:
        """Apply the upstream's cold time, back-off, rate limit and departure."""
        now = self._components.clock.seconds()
        if signals.cold:
            self._upstream.note_cold(signals.cold, now)
        if signals.backoff:
            directory = self._components.directory
            directory.note_backoff(
                self._upstream, signals.backoff, self._latest_delivery(now)
            )
            log_event(
                "upstream-backoff",
                upstream=self._upstream.name,
                seconds=signals.backoff,
            )
            if tunnelled:
                self._components.announce_backoff(self._upstream.name, signals.backoff)
        if signals.tells_limit:
            self._components.permits.note_response_limit(
                self._upstream, signals.limit, self._sent_at, self._latest_delivery(now)
            )
        else:
            log_event("limit-malformed", Level.WARNING, upstream=self._upstream.name)
        if signals.rejection_bound != self._upstream.rejection_bound:
            self._note_rejection_bound(signals.rejection_bound)
        if signals.leaving:
            self._note_leaving(self._latest_delivery(now))

    def _note_rejection_bound(self, bound: float | None) -> None:
        self._upstream.rejection_bound = bound
        log_event(
            "upstream-rejection-bound",
            upstream=self._upstream.name,
            bound="none" if bound is None else bound,
        )

    def _latest_delivery(self, now: float) -> float:
        """Return the latest time, in seconds, at which the request can have arrived."""
        return min(now, self._sent_at + CONNECT_SECONDS)

    def _note_leaving(self, delivered_at: float) -> None:
        """Note that the upstream is leaving, and announce it to peers.

        While the table is unreachable, the upstream's row cannot show this. Without the
        announcement, each peer would notice it only in a response to its own request.
        """
        record = self._upstream.record
        directory = self._components.directory
        if not directory.note_announced_leaving(self._upstream, delivered_at):
            return
        log_event("upstream-leaves", upstream=self._upstream.name, source=FROM_RESPONSE)
        self._components.announce_departure(Departure(record.name, None, record.born))

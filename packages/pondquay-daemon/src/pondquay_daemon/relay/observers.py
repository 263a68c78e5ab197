"""What an attempt tells of its upstream, handed to the parts that go by it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.upstreamrecords import Departure
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.attempts import UpstreamListener
from pondquay_daemon.relay.egress import CONNECT_SECONDS

if TYPE_CHECKING:
    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay_daemon.relay.components import RelayComponents
    from pondquay_daemon.relay.messages import UpstreamSignals
    from pondquay_daemon.relay.prefills import Prefill


# Where the news came from, for the logs.
FROM_RESPONSE = "answer"


class UpstreamContact(UpstreamListener):
    """One attempt's upstream, in the life to which the request was sent.

    :param prefill: the attempt's prompt there
    :param max_pause: seconds between two events at which a stream is in time still,
        ``None`` where the route gives no such bound
    """

    def __init__(
        self,
        components: RelayComponents,
        upstream: KnownUpstream,
        prefill: Prefill,
        max_pause: float | None,
    ) -> None:
        self._components = components
        self._upstream = upstream
        self._prefill = prefill
        self._max_pause = max_pause
        self._placed_at = components.clock.seconds()

    def on_data(self) -> None:
        """Learn that something came from it."""
        self._prefill.note_response()

    def on_response(self) -> None:
        """Learn that it answers the request, so that it has read its prompt."""
        self._prefill.note_prefilled()

    def on_pause(self, seconds: float) -> None:
        """Learn how long two events of the attempt lay apart."""
        if self._max_pause is not None:
            now = self._components.clock.seconds()
            self._upstream.pauses.note(seconds, self._max_pause, now)

    def on_signals(self, signals: UpstreamSignals) -> None:
        """Take in what the upstream says of itself."""
        now = self._components.clock.seconds()
        if signals.cold:
            self._upstream.note_cold(signals.cold, now)
        if signals.backoff:
            directory = self._components.directory
            directory.note_backoff(
                self._upstream, signals.backoff, self._reached_by(now)
            )
            log_event(
                "upstream-backoff",
                upstream=self._upstream.name,
                seconds=signals.backoff,
            )
        if signals.tells_limit:
            self._components.permits.note_response_limit(
                self._upstream, signals.limit, self._placed_at, self._reached_by(now)
            )
        else:
            log_event("limit-malformed", Level.WARNING, upstream=self._upstream.name)
        if signals.leaving:
            self._note_leaving(self._reached_by(now))

    def _reached_by(self, now: float) -> float:
        """Return by when the request has reached the upstream, in seconds."""
        return min(now, self._placed_at + CONNECT_SECONDS)

    def _note_leaving(self, delivered_at: float) -> None:
        """Take in that it leaves, and tell peers.

        While the table is away no row says so. Each instance that is not told finds
        out by a request of its own, which may still run there when the upstream ends.
        """
        record = self._upstream.record
        directory = self._components.directory
        if not directory.note_announced_leaving(self._upstream, delivered_at):
            return
        log_event("upstream-leaves", upstream=self._upstream.name, source=FROM_RESPONSE)
        self._components.announce_departure(Departure(record.name, None, record.born))

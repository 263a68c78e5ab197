"""What an attempt tells of its upstream, handed to the parts that go by it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.upstreamrecords import Departure
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.attempts import UpstreamListener
from pondquay_daemon.relay.egress import CONNECT_SECONDS

if TYPE_CHECKING:
    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay_daemon.relay.messages import UpstreamSigns
    from pondquay_daemon.relay.parts import RelayParts
    from pondquay_daemon.relay.readings import PromptReading


# Where the news came from, for the logs.
FROM_ANSWER = "answer"


class UpstreamContact(UpstreamListener):
    """One attempt's upstream, in the life to which the request was sent.

    :param reading: the attempt's prompt there
    :param most_pause: seconds between two events at which a stream is in time still,
        ``None`` where the route gives no such bound
    """

    def __init__(
        self,
        parts: RelayParts,
        upstream: KnownUpstream,
        reading: PromptReading,
        most_pause: float | None,
    ) -> None:
        self._parts = parts
        self._upstream = upstream
        self._reading = reading
        self._most_pause = most_pause
        self._placed_at = parts.clock.seconds()

    def heard(self) -> None:
        """Learn that something came from it."""
        self._reading.note_heard()

    def answers(self) -> None:
        """Learn that it answers the request, so that it has read its prompt."""
        self._reading.note_read()

    def paused(self, seconds: float) -> None:
        """Learn how long two events of the attempt lay apart."""
        if self._most_pause is not None:
            now = self._parts.clock.seconds()
            self._upstream.pauses.note(seconds, self._most_pause, now)

    def said(self, signs: UpstreamSigns) -> None:
        """Take in what the upstream says of itself."""
        now = self._parts.clock.seconds()
        if signs.cold:
            self._upstream.note_cold(signs.cold, now)
        if signs.backoff:
            directory = self._parts.directory
            directory.note_backoff(self._upstream, signs.backoff, self._reached_by(now))
            log_event(
                "upstream-backoff", upstream=self._upstream.name, seconds=signs.backoff
            )
        if signs.tells_limit:
            self._parts.permits.note_named(
                self._upstream, signs.limit, self._placed_at, self._reached_by(now)
            )
        else:
            log_event("limit-malformed", Level.WARNING, upstream=self._upstream.name)
        if signs.leaving:
            self._note_leaving(self._reached_by(now))

    def _reached_by(self, now: float) -> float:
        """Return by when the request has reached the upstream, in seconds."""
        return min(now, self._placed_at + CONNECT_SECONDS)

    def _note_leaving(self, reached_by: float) -> None:
        """Take in that it leaves, and tell peers.

        While the table is away no row says so. Each instance that is not told finds
        out by a request of its own, which may still run there when the upstream ends.
        """
        record = self._upstream.record
        directory = self._parts.directory
        if not directory.note_said_leaving(self._upstream, reached_by):
            return
        log_event("upstream-leaves", upstream=self._upstream.name, source=FROM_ANSWER)
        self._parts.announce_departure(Departure(record.name, None, record.born))

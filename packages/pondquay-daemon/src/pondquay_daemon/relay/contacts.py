"""What an attempt tells of its upstream, handed to the parts that go by it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_daemon.logs import log_event
from pondquay_daemon.relay.attempts import UpstreamListener

if TYPE_CHECKING:
    from pondquay.routing.directory import KnownUpstream
    from pondquay_daemon.relay.messages import UpstreamSigns
    from pondquay_daemon.relay.parts import RelayParts
    from pondquay_daemon.relay.readings import PromptReading


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

    def heard(self) -> None:
        """Learn that something came from it."""
        self._reading.note_heard()

    def paused(self, seconds: float) -> None:
        """Learn how long two events of the attempt lay apart."""
        if self._most_pause is not None:
            now = self._parts.clock.seconds()
            self._upstream.pauses.note(seconds, self._most_pause, now)

    def signed(self, signs: UpstreamSigns) -> None:
        """Take in what the upstream says of itself."""
        upstream = self._upstream
        log_event("upstream-said", upstream=upstream.name, signs=signs)
        if signs.cold:
            upstream.note_cold(signs.cold, self._parts.clock.seconds())

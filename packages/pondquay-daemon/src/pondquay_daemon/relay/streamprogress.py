"""What a caller has received of a stream."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay.streamevents import EventReader


@dataclass(slots=True)
class StreamPart:
    """The events of a stream that one attempt brought.

    :param software: version of the upstream's software
    :param events: number of numbered events
    """

    software: str
    events: int = 0


@dataclass(slots=True)
class StreamProgress:
    """What a caller has received of a stream, over all attempts.

    :param begun_at: software version at which a stream began that the caller takes up,
        ``None`` if it begins now
    :param on_begun: called with the software version before the first event of the
        response is forwarded
    :ivar started: whether the response's head was sent
    :ivar longest_pause: longest time between two events so far, in seconds
    :ivar parts: what each attempt brought, without those that brought nothing
    """

    reader: EventReader
    begun_at: str | None = None
    on_begun: Callable[[str], None] | None = None
    started: bool = False
    longest_pause: float = 0.0
    parts: list[StreamPart] = field(default_factory=list)
    _last_event_at: float | None = None
    _next_part: StreamPart = field(default_factory=lambda: StreamPart(""))

    @property
    def software(self) -> str | None:
        """The only software version at which it may go on, ``None`` if it has no event.

        What different versions generate for a request does not fit together.
        """
        if self.begun_at is None and self.parts:
            return self.parts[0].software
        return self.begun_at

    def begin_attempt(self, software: str) -> None:
        """Count further events as those of another upstream.

        :param software: version of its software
        """
        self._next_part = StreamPart(software)

    def read(self, data: bytes) -> bytes:
        """Return the events that are complete now, and count them.

        :raises StreamOrderError: if an event does not follow the previous event
        """
        before = self.reader.count
        events = self.reader.feed(data)
        if events:
            self._next_part.events += self.reader.count - before
            self._note_part(self._next_part)
        return events

    def _note_part(self, part: StreamPart) -> None:
        if self.parts and self.parts[-1] is part:
            return
        self.parts.append(part)
        if len(self.parts) == 1 and self.on_begun is not None:
            self.on_begun(part.software)

    def note_events(self, now: float) -> float | None:
        """Record the arrival of events.

        :returns: seconds since the previous ones, ``None`` if these are the first
        """
        previous, self._last_event_at = self._last_event_at, now
        if previous is None:
            return None
        pause = now - previous
        self.longest_pause = max(self.longest_pause, pause)
        return pause

    def restart_pause(self) -> None:
        """Measure no pause until the next events.

        Used after the caller has stopped reading, which is no pause of an upstream.
        """
        self._last_event_at = None

    def describe_parts(self) -> str:
        """Return the version and number of events of each part, for the log."""
        return ",".join(f"{part.software}:{part.events}" for part in self.parts)

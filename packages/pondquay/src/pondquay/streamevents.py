"""Whole events of an event stream, in order."""

from __future__ import annotations

from dataclasses import dataclass, field

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
MAX_PENDING_BYTES = 1 << 20


class StreamOrderError(Exception):
    """A stream does not go on where it should."""


def read_event_id(event: bytes) -> int | None:
    """Return the number of an event, ``None`` if it bears none."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None


@dataclass(slots=True)
class EventReader:
    """Cuts the bytes of a stream into events and checks that none is missing.

    :param last: number of the last event that was passed on
    """

    last: int = 0
    count: int = 0
    _pending: bytes = field(default=b"")

    @property
    def partial(self) -> bool:
        """Whether bytes of an event that is not whole have come."""
        return bool(self._pending)

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that have come, without a partial one at the end.

        :raises StreamOrderError: if an event is missing, repeated or of another stream
        """
        pending = self._pending + data
        end = pending.rfind(EVENT_END)
        if end < 0:
            if len(pending) > MAX_PENDING_BYTES:
                raise StreamOrderError("an event without an end")
            self._pending = pending
            return b""
        whole = pending[: end + len(EVENT_END)]
        self._pending = pending[end + len(EVENT_END) :]
        for event in whole.split(EVENT_END)[:-1]:
            self._check(event)
        return whole

    def discard_partial(self) -> None:
        """Forget a partial event, since its stream has broken."""
        self._pending = b""

    def _check(self, event: bytes) -> None:
        number = read_event_id(event)
        if number is None:
            return
        if number != self.last + 1:
            raise StreamOrderError(f"event {number} after {self.last}")
        self.last = number
        self.count += 1

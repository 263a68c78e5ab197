"""Parser that splits an event stream into events and checks their order."""

from __future__ import annotations

from dataclasses import dataclass, field

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
MAX_PENDING_BYTES = 1 << 20


class StreamOrderError(Exception):
    """An event of a stream is missing, repeated, out of order or too long."""


def read_event_id(event: bytes) -> int | None:
    """Return the number in an event's ``id`` field, or ``None`` if it has none."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None


@dataclass(slots=True)
class EventReader:
    """Splits a byte stream into events and checks that their numbers are consecutive.

    Events without a number are accepted anywhere.

    :param last: number of the last numbered event
    :param count: number of numbered events that were read
    """

    last: int = 0
    count: int = 0
    _pending: bytes = field(default=b"")

    @property
    def partial(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._pending)

    def feed(self, data: bytes) -> bytes:
        """Return all events that are complete now; buffer an incomplete event.

        If one is invalid, none of them is returned or counted.

        :raises StreamOrderError: if an event does not follow the previous event, or if
            more than ``MAX_PENDING_BYTES`` contain no complete event
        """
        pending = self._pending + data
        end = pending.rfind(EVENT_END)
        if end < 0:
            if len(pending) > MAX_PENDING_BYTES:
                raise StreamOrderError("an incomplete event exceeds the buffer limit")
            self._pending = pending
            return b""
        complete = pending[: end + len(EVENT_END)]
        self._pending = pending[end + len(EVENT_END) :]
        numbers = self._read_numbers(complete)
        self.last += len(numbers)
        self.count += len(numbers)
        return complete

    def discard_partial(self) -> None:
        """Discard an incomplete event after its stream was interrupted."""
        self._pending = b""

    def _read_numbers(self, events: bytes) -> list[int]:
        """Return the numbers of complete events, which follow the last event.

        :raises StreamOrderError: if an event does not follow the previous event
        """
        read = map(read_event_id, events.split(EVENT_END)[:-1])
        numbers = [number for number in read if number is not None]
        for expected, number in enumerate(numbers, self.last + 1):
            if number != expected:
                raise StreamOrderError(f"event {number} follows event {expected - 1}")
        return numbers

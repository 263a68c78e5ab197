"""Parser that splits an event stream into events and checks their order."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
# Bytes of an incomplete event, which holds the text of a few tokens.
MAX_PENDING_BYTES = 64 << 10
# Bytes of comments and other events without a number between numbered events.
MAX_UNNUMBERED_BYTES = 64 << 10
# A status line outside of the value of a field, which only another response brings.
_STATUS_LINE = re.compile(rb"^[^:\n]*HTTP/[0-9]\.[0-9] [0-9]{3}", re.MULTILINE)


class StreamOrderError(Exception):
    """An event of a stream is missing, repeated, out of order or too long.

    Or there are more events than the stream may have.
    """


def read_event_id(event: bytes) -> int | None:
    """Return the number in an event's ``id`` field, or ``None`` if it has none.

    :raises StreamOrderError: if it has several, as events of two streams are joined
    """
    ids = [line for line in event.split(b"\n") if line.startswith(ID_FIELD)]
    if len(ids) > 1:
        raise StreamOrderError("an event with several numbers")
    text = ids[0][len(ID_FIELD) :].strip() if ids else b""
    return int(text) if text.isdigit() else None


@dataclass(slots=True)
class EventReader:
    """Splits a byte stream into events and checks that their numbers are consecutive.

    Events without a number are accepted anywhere.

    :param last: number of the last numbered event
    :param count: number of numbered events that were read
    :param max_count: maximum of ``count``, ``None`` if there is none
    """

    last: int = 0
    count: int = 0
    max_count: int | None = None
    _pending: bytearray = field(default_factory=bytearray)
    # Bytes of complete events since the last numbered one.
    _unnumbered: int = 0

    @property
    def partial(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._pending)

    @property
    def pending_bytes(self) -> int:
        """Number of bytes of the incomplete event in the buffer."""
        return len(self._pending)

    def feed(self, data: bytes) -> bytes:
        """Return all events that are complete now; buffer an incomplete event.

        If one is invalid, none of them is returned or counted.

        :raises StreamOrderError: if an event does not follow the previous event, if
            there are too many, if another response begins, or if more than
            ``MAX_PENDING_BYTES`` contain no complete event, or
            ``MAX_UNNUMBERED_BYTES`` none with a number
        """
        complete = self._take_complete(data)
        if len(self._pending) > MAX_PENDING_BYTES:
            raise StreamOrderError("an incomplete event exceeds the buffer limit")
        if not complete:
            return b""
        if _STATUS_LINE.search(complete):
            raise StreamOrderError("another response within the stream")
        numbers = self._read_numbers(complete)
        self._unnumbered = 0 if numbers else self._unnumbered + len(complete)
        if self._unnumbered > MAX_UNNUMBERED_BYTES:
            raise StreamOrderError("events without a number exceed the limit")
        self.last += len(numbers)
        self.count += len(numbers)
        return complete

    def discard_partial(self) -> None:
        """Discard an incomplete event after its stream was interrupted."""
        self._pending.clear()
        self._unnumbered = 0

    def _take_complete(self, data: bytes) -> bytes:
        """Add bytes to the buffer, and remove the complete events from it."""
        if not self._pending and data.endswith(EVENT_END):
            return data
        # What was searched before holds at most the first byte of an event's end.
        searched = max(0, len(self._pending) - len(EVENT_END) + 1)
        self._pending += data
        found = self._pending.rfind(EVENT_END, searched)
        if found < 0:
            return b""
        end = found + len(EVENT_END)
        complete = bytes(self._pending[:end])
        del self._pending[:end]
        return complete

    def _read_numbers(self, events: bytes) -> list[int]:
        """Return the numbers of complete events, which follow the last event.

        :raises StreamOrderError: if an event does not follow the previous event, or if
            there are too many
        """
        read = map(read_event_id, events.split(EVENT_END)[:-1])
        numbers = [number for number in read if number is not None]
        for expected, number in enumerate(numbers, self.last + 1):
            if number != expected:
                raise StreamOrderError(f"event {number} follows event {expected - 1}")
        if self.max_count is not None and self.count + len(numbers) > self.max_count:
            raise StreamOrderError(f"more than {self.max_count} events")
        return numbers

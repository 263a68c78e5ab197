"""Callers of resumable streams, which they take up at other relays until they end."""

from __future__ import annotations

import re
import time
from dataclasses import dataclass, field
from enum import StrEnum
from http.client import HTTPConnection, HTTPException
from itertools import count
from random import Random
from threading import Event, Thread
from typing import TYPE_CHECKING

from pondquay_standins.processes import HOST
from pondquay_standins.routedfleet import (
    DEFAULT_PARTS,
    HOST_NAME,
    format_parts,
    read_body,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

ROUTE = "audit"
EVENTS = 30
PROMPT_TOKENS = 100
TOKENS_PER_EVENT = 3
CALL_SECONDS = 20.0
# For how long a caller tries to take a stream up, from the first response, and at most.
TAKE_UP_SECONDS = 4.0
MAX_TAKE_UP_SECONDS = 30.0
RETRY_SECONDS = 0.1
OK = 200
NO_RESPONSE = 0
EVENT = re.compile(rb"id: (\d+)\nevent: (\S+)\ndata: piece \d+ of (\S+)\n\n")


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """An event of a stream.

    :ivar software: version of the software that made it
    :ivar label: label of the run that made it
    """

    number: int
    software: str
    label: str


def read_labelled_events(body: bytes) -> list[StreamEvent]:
    """Return the complete events of a response."""
    return [
        StreamEvent(int(number), software.decode(), label.decode())
        for number, software, label in EVENT.findall(body)
    ]


@dataclass(frozen=True, slots=True)
class StreamResponse:
    """What a caller received for one request of a stream.

    :ivar status: status of the response, ``NO_RESPONSE`` if there was none
    """

    relay: str
    status: int
    complete: bool
    events: Sequence[StreamEvent]


class TakeUpOutcome(StrEnum):
    """What became of a stream that its caller took up after it broke off."""

    CONTINUED = "continued"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


@dataclass(slots=True)
class ResumedStream:
    """A stream over all requests that its caller sent for it.

    :ivar attempt: the request that began it
    :ivar outcomes: one for each time that it was taken up
    """

    attempt: str
    responses: list[StreamResponse] = field(default_factory=list)
    outcomes: list[TakeUpOutcome] = field(default_factory=list)

    @property
    def events(self) -> list[StreamEvent]:
        """All received events."""
        return [event for response in self.responses for event in response.events]

    @property
    def last_event(self) -> int:
        """Number of the last received event, 0 if there is none."""
        events = self.events
        return events[-1].number if events else 0

    @property
    def is_broken(self) -> bool:
        """Whether it broke off after some events."""
        last = self.responses[-1]
        return last.status == OK and not last.complete and self.last_event > 0

    @property
    def is_joined(self) -> bool:
        """Whether it has events of several software versions."""
        return len({event.software for event in self.events}) > 1

    @property
    def is_misordered(self) -> bool:
        """Whether events are missing or repeated, or it was ended too early."""
        numbers = [event.number for event in self.events]
        is_ended = any(
            response.status == OK and response.complete for response in self.responses
        )
        return numbers != list(range(1, len(numbers) + 1)) or (
            is_ended and len(numbers) != EVENTS
        )

    def __str__(self) -> str:
        runs: dict[tuple[str, str], list[int]] = {}
        for event in self.events:
            runs.setdefault((event.software, event.label), []).append(event.number)
        parts = ", ".join(
            f"{numbers[0]}-{numbers[-1]} by {software} ({label})"
            for (software, label), numbers in runs.items()
        )
        relays = " ".join(response.relay for response in self.responses)
        return f"{self.attempt}: {parts}; asked {relays}"


@dataclass
class ResumingCaller:
    """A thread that requests one stream at a time and takes it up when it breaks off.

    Each try goes to another relay than the last. After ``stop`` it begins no further
    stream.

    :param list_relays: returns the names and ports of all relays
    :ivar streams: all streams that it began
    """

    name: str
    seed: int
    list_relays: Callable[[], Sequence[tuple[str, int]]]
    streams: list[ResumedStream] = field(default_factory=list)
    _stopping: Event = field(default_factory=Event)
    _thread: Thread | None = None

    def start(self) -> None:
        """Start to send requests."""
        self._thread = Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Ask it to begin no further stream."""
        self._stopping.set()

    def join(self) -> None:
        """Wait until its last stream has ended, or cannot be taken up."""
        assert self._thread is not None
        self._thread.join()

    def _run(self) -> None:
        random = Random(self.seed)
        for number in count():
            if self._stopping.is_set():
                return
            stream = ResumedStream(f"{self.name}-{number}")
            self.streams.append(stream)
            response = self._send(stream, stream.attempt, random)
            while stream.is_broken:
                outcome = self._take_up(stream, random)
                stream.outcomes.append(outcome)
                if outcome is not TakeUpOutcome.CONTINUED:
                    break
            if response.status != OK:
                self._stopping.wait(RETRY_SECONDS)

    def _take_up(self, stream: ResumedStream, random: Random) -> TakeUpOutcome:
        """Send requests until the stream goes on, or for some seconds."""
        until = time.monotonic() + MAX_TAKE_UP_SECONDS
        outcome = TakeUpOutcome.UNANSWERED
        while time.monotonic() < until:
            attempt = f"{stream.attempt}.{len(stream.responses)}"
            response = self._send(stream, attempt, random)
            if response.status == OK and (response.events or response.complete):
                return TakeUpOutcome.CONTINUED
            if response.status not in (OK, NO_RESPONSE):
                if outcome is TakeUpOutcome.UNANSWERED:
                    until = min(until, time.monotonic() + TAKE_UP_SECONDS)
                outcome = TakeUpOutcome.REFUSED
            time.sleep(RETRY_SECONDS)
        return outcome

    def _send(
        self, stream: ResumedStream, attempt: str, random: Random
    ) -> StreamResponse:
        """Send a request to another relay than the last, and read its response."""
        last = stream.responses[-1].relay if stream.responses else ""
        relay, port = random.choice(
            [endpoint for endpoint in self.list_relays() if endpoint[0] != last]
        )
        connection = HTTPConnection(HOST, port, timeout=CALL_SECONDS)
        status, body, complete = NO_RESPONSE, b"", False
        try:
            connection.request(
                "POST",
                f"/{ROUTE}/x",
                body=b"body",
                headers=make_headers(stream, attempt),
            )
            response = connection.getresponse()
            status = response.status
            body, complete = read_body(response)
        except (OSError, HTTPException):
            complete = False
        finally:
            connection.close()
        events = read_labelled_events(body) if status == OK else []
        received = StreamResponse(relay, status, complete, events)
        stream.responses.append(received)
        return received


def make_headers(stream: ResumedStream, attempt: str) -> dict[str, str]:
    """Return the headers of a request that begins a stream or takes it up."""
    headers = {
        "Host": HOST_NAME,
        "X-Pondquay-Attempt-Id": attempt,
        "Authorization": "Bearer key-1",
        "X-Pondquay-Token-Usage": f"{PROMPT_TOKENS},{TOKENS_PER_EVENT * EVENTS}",
        "X-Pondquay-Prefix-Hash": format_parts(DEFAULT_PARTS, PROMPT_TOKENS),
        "X-Test-Events": str(EVENTS),
        "X-Test-Label": "1",
    }
    if stream.last_event:
        headers["Last-Event-Id"] = str(stream.last_event)
        headers["Resumes"] = stream.attempt
    return headers

"""Stand-ins for the platform's replicas, with simulated faults.

They write HTTP responses to the transport themselves, so that faults can break them at
any byte.
"""

from __future__ import annotations

import math
import time
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from typing import TYPE_CHECKING, Any, cast

import h11
from twisted.internet.protocol import Factory, Protocol, connectionDone

from pondquay_standins.floods import ENDLESS_REFUSALS, ENDLESS_RESPONSES, Flood
from pondquay_standins.replicafaults import ReplicaFault
from pondquay_standins.replicarecords import (
    CRASH_PATH_MARKER,
    CRASHING_PART_PREFIX,
    DEFAULT_SOFTWARE,
    PADDING,
    Arrival,
    Run,
    format_event,
    read_part_names,
)
from pondquay_standins.silences import Silence, SilenceKind
from pondquay_standins.web import reactor

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

    from twisted.python.failure import Failure

    from pondquay_standins.floods import EndlessResponse

EVENT_INTERVAL_SECONDS = 0.01
RESPONSE_DELAY_SECONDS = 0.01
SLOW_RESPONSE_DELAY_SECONDS = 0.75

MEMORY_HEADERS = (
    "X-Pondquay-Kv-Hold",
    "X-Pondquay-Pin-Ms",
    "X-Pondquay-Kv-Backup",
    "Kv-From",
)


@dataclass(slots=True)
class Replica:
    """An incarnation of a replica.

    :ivar born: start time, in milliseconds of the wall clock
    :ivar software: version of its software, which each event of a stream names
    :ivar sequence: number of times that the replica's row was written
    :ivar leaving: whether all responses announce that the replica leaves
    :ivar backoff: seconds of ``Retry-After`` with which all requests are rejected, 0 to
        accept them
    :ivar limit: rate limit in all responses, in requests per second, ``None`` for none
    :ivar delay_factor: factor of all delays, above 1 for a slow replica
    :ivar numbers: numbers of its connections
    :ivar unframed: number of responses without a length
    :ivar endless: number of responses without an end
    :ivar silence: which connections are silent now
    :ivar on_crash: callback for a crash of the replica
    """

    name: str
    service: str
    zone: str
    fault: ReplicaFault = ReplicaFault.NONE
    born: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    software: str = DEFAULT_SOFTWARE
    sequence: int = 0
    leaving: bool = False
    backoff: int = 0
    limit: float | None = None
    delay_factor: float = 1.0
    runs: list[Run] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    connections: set[ReplicaConnection] = field(default_factory=set)
    unframed: int = 0
    numbers: Iterator[int] = field(default_factory=count)
    endless: int = 0
    silence: SilenceKind = SilenceKind.NONE
    on_crash: Callable[[], None] | None = None

    def fall_silent(self, kind: SilenceKind) -> None:
        """Begin a silence, or end it if the kind is ``none``."""
        self.silence = kind
        for connection in list(self.connections):
            connection.follow_silence()

    def crash(self) -> None:
        """Abort all connections and running requests, as a crashing process does."""
        for connection in list(self.connections):
            connection.abort()
        if self.on_crash is not None:
            self.on_crash()


class ReplicaConnection(Protocol):
    """A connection to a replica."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._http = h11.Connection(h11.SERVER)
        self._request: h11.Request | None = None
        self._body = b""
        self._run: Run | None = None
        self._timer: Any = None
        # The refusal of an earlier request, which is sent again late.
        self._refusal = b""
        self._refusal_timer: Any = None
        self._number = next(replica.numbers)
        self._silence = Silence()
        self._reads = True
        self._has_waited = False

    def connectionMade(self) -> None:
        """Add the connection to those of the replica."""
        self._replica.connections.add(self)
        self.follow_silence()

    def follow_silence(self) -> None:
        """Fall silent or go on, as the replica does."""
        kind = self._replica.silence
        if kind is SilenceKind.NONE:
            self._go_on()
        elif kind is not SilenceKind.PARTIAL or self._number % 2 == 0:
            self._silence.is_silent = True
            if kind is SilenceKind.STOPPED and self._reads:
                self._reads = False
                cast("Any", self.transport).pauseProducing()

    def _go_on(self) -> None:
        """Send what was held back and read what has arrived."""
        self._silence.end()
        if not self._reads:
            self._reads = self._has_waited = True
            cast("Any", self.transport).resumeProducing()
            # The transport reads in the next iteration of the reactor.
            reactor.callLater(0, reactor.callLater, 0, self._end_waiting)

    def _end_waiting(self) -> None:
        self._has_waited = False

    def abort(self) -> None:
        """Abort the connection because the replica crashed."""
        if self._run is not None and self._run.ended == "running":
            self._run.ended = "crashed"
        cast("Any", self.transport).abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes and start complete requests."""
        self._http.receive_data(data)
        self._read()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Stop the response and record an unfinished run as dropped."""
        self._replica.connections.discard(self)
        self._silence.discard()
        for timer in (self._timer, self._refusal_timer):
            if timer is not None and timer.active():
                timer.cancel()
        if self._run is not None and self._run.ended == "running":
            self._run.ended = "dropped"

    def _read(self) -> None:
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self._request, self._body = event, b""
            elif isinstance(event, h11.Data):
                self._body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._start_request()
                return
            else:
                self._silence.perform(self._close)
                return

    def _header(self, name: str) -> str:
        assert self._request is not None
        for key, value in self._request.headers:
            if key == name.lower().encode():
                return value.decode()
        return ""

    def _read_deadline(self) -> float | None:
        milliseconds = self._header("X-Pondquay-Deadline-Ms")
        return int(milliseconds) / 1000 if milliseconds else None

    def _start_request(self) -> None:
        replica = self._replica
        expected = self._header("X-Pondquay-Expect-Replica")
        if expected and expected != replica.name:
            headers = [*self._echo(), ("X-Pondquay-Replica-Id", replica.name)]
            self._send_complete(421, headers, b"")
            return
        self._record_arrival()
        if replica.fault is ReplicaFault.FULL or replica.backoff:
            self._reject()
            return
        if replica.fault is ReplicaFault.LATE_REFUSAL and not self._refusal:
            self._refusal = self._reject()
            return
        if replica.fault is ReplicaFault.ENDLESS_REFUSAL:
            not_run = ("X-Pondquay-Not-Executed", "1")
            self._begin_flood(ENDLESS_REFUSALS, [*self._echo(), not_run])
            return
        self._run_request()

    def _begin_flood(
        self, kinds: Sequence[EndlessResponse], headers: list[tuple[str, str]]
    ) -> None:
        """Send a response without an end, of the next of some kinds."""
        response = kinds[self._replica.endless % len(kinds)]
        self._replica.endless += 1
        if self._run is not None:
            self._run.endless = True
        self._write(response.begin(headers))
        self._silence.perform(partial(self._flood, response))

    def _flood(self, response: EndlessResponse) -> None:
        transport = cast("Any", self.transport)
        transport.registerProducer(Flood(transport, response), False)

    def _run_request(self) -> None:
        replica = self._replica
        assert self._request is not None
        self._run = Run(
            self._header("X-Pondquay-Attempt-Id"),
            replica.name,
            self._header("X-Pondquay-Tenant"),
            self._request.target.decode(),
            self._body.decode("latin-1"),
            int(self._header("Last-Event-Id") or 0) + 1,
            self._header("Kv-Fetch"),
            [name for name in MEMORY_HEADERS if self._header(name)],
            read_part_names(self._header("X-Pondquay-Prefix-Hash")),
        )
        if self._header("X-Test-Label"):
            self._run.label = f"{replica.name}.{replica.born}.{len(replica.runs)}"
        replica.runs.append(self._run)
        if replica.fault is ReplicaFault.ENDLESS:
            self._begin_flood(ENDLESS_RESPONSES, self._attempt_headers())
            return
        if CRASH_PATH_MARKER in self._run.target:
            replica.crash()
            return
        slow = replica.fault is ReplicaFault.SLOW
        seconds = SLOW_RESPONSE_DELAY_SECONDS if slow else RESPONSE_DELAY_SECONDS
        seconds *= replica.delay_factor
        self._timer = self._call_later(seconds, partial(self._respond, self._run))
        if self._refusal:
            self._refusal_timer = self._call_later(
                seconds / 2, partial(self._write, self._refusal)
            )

    def _call_later(self, seconds: float, action: Callable[[], None]) -> Any:
        """Schedule an action, which waits while the replica is stopped.

        :returns: the scheduled call
        """
        return reactor.callLater(seconds, self._run_timed, action)

    def _run_timed(self, action: Callable[[], None]) -> None:
        if self._reads:
            action()
        else:
            self._silence.perform(action)

    def _record_arrival(self) -> None:
        replica = self._replica
        arrival = Arrival(
            self._header("X-Pondquay-Attempt-Id"),
            replica.name,
            replica.born,
            time.monotonic(),
            replica.leaving,
            replica.backoff,
            replica.limit,
            waited=self._has_waited,
            deadline=self._read_deadline(),
        )
        replica.arrivals.append(arrival)
        if self._silence.is_silent:
            arrival.held_seconds = math.inf
            self._silence.perform(partial(_end_holding, arrival))

    def _reject(self) -> bytes:
        """Reject a request without running it.

        :returns: the response
        """
        headers = [*self._echo(), ("X-Pondquay-Not-Executed", "1")]
        if self._replica.backoff:
            headers.append(("Retry-After", str(self._replica.backoff)))
        return self._send_complete(503, headers, b"")

    def _respond(self, run: Run) -> None:
        fault = self._replica.fault
        if fault is ReplicaFault.HANG:
            return
        if fault is ReplicaFault.LOSE_ANSWER:
            run.ended = "answer lost"
            self._silence.perform(self._reset)
            return
        last_event = int(self._header("X-Test-Events") or 0)
        if fault is ReplicaFault.UNFRAMED and not self._header("X-Test-Bytes"):
            self._send_unframed(run, last_event)
            return
        if last_event:
            self._send_head()
            if any(part.startswith(CRASHING_PART_PREFIX) for part in run.parts):
                # The head leaves before the connection is aborted.
                self._timer = self._call_later(
                    EVENT_INTERVAL_SECONDS, self._replica.crash
                )
                return
            self._send_events(run, last_event, run.first)
            return
        status = 500 if fault is ReplicaFault.ERROR else 200
        run.ended = str(status)
        body = f"{run.replica}:{run.attempt}".encode()
        body = body.ljust(int(self._header("X-Test-Bytes") or 0), PADDING)
        self._send_complete(status, self._attempt_headers(), body)

    def _send_unframed(self, run: Run, last_event: int) -> None:
        """Send a response without a length, and end or reset the connection."""
        self._replica.unframed += 1
        is_reset = self._replica.unframed % 2 == 0
        pieces = [
            format_event(number, self._replica.software)
            for number in range(run.first, last_event + 1)
        ] or [f"{run.replica}:".encode(), run.attempt.encode()]
        sent = pieces[: len(pieces) // 2] if is_reset else pieces
        run.events = len(sent) if last_event else 0
        run.ended = "cut" if is_reset else "200"
        headers = [*self._attempt_headers(), *self._state_headers()]
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
        head = f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode()
        data = head + b"".join(sent)
        self._silence.perform(partial(self._send_last, data, is_reset))

    def _send_last(self, data: bytes, is_reset: bool) -> None:
        """Send the last bytes of the connection and end it."""
        # The transport would discard what it has not sent before a reset.
        with suppress(OSError):
            cast("Any", self.transport).getHandle().sendall(data)
        if is_reset:
            self._reset()
        else:
            self._close()

    def _close(self) -> None:
        cast("Any", self.transport).loseConnection()

    def _reset(self) -> None:
        cast("Any", self.transport).abortConnection()

    def _echo(self) -> list[tuple[str, str]]:
        """Return the header that names the request to which a response belongs."""
        return [("X-Pondquay-Attempt-Id", self._header("X-Pondquay-Attempt-Id"))]

    def _attempt_headers(self) -> list[tuple[str, str]]:
        fault = self._replica.fault
        assert self._run is not None
        attempt = "another" if fault is ReplicaFault.FOREIGN else self._run.attempt
        headers = [("X-Pondquay-Attempt-Id", attempt)]
        if fault is not ReplicaFault.UNSIGNED:
            headers.append(
                ("X-Pondquay-Replica-Signature", f"sig.{self._replica.name}")
            )
        return headers

    def _state_headers(self) -> list[tuple[str, str]]:
        """Return the headers with the replica's state, which every response has."""
        headers = []
        if self._replica.leaving:
            headers.append(("Server-Leaving", "1"))
        if self._replica.limit is not None:
            headers.append(("Server-Limit", str(self._replica.limit)))
        return headers

    def _send_head(self) -> None:
        content_type = ("Content-Type", "text/event-stream")
        headers = [*self._attempt_headers(), *self._state_headers(), content_type]
        self._write(self._http.send(h11.Response(status_code=200, headers=headers)))

    def _send_events(self, run: Run, last_event: int, number: int) -> None:
        """Send an event, and each later one after a delay.

        :param number: number of the event
        """
        if number > last_event:
            run.ended = "200"
            self._write(self._http.send(h11.EndOfMessage()))
            self._read_next()
            return
        if self._replica.fault is ReplicaFault.CUT and number - run.first >= 2:
            run.ended = "cut"
            self._write(self._http.send(h11.Data(data=b"id: 9")))
            self._silence.perform(self._reset)
            return
        data = format_event(number, self._replica.software, run.label)
        self._write(self._http.send(h11.Data(data=data)))
        self._silence.perform(partial(_count_event, run))
        self._timer = self._call_later(
            EVENT_INTERVAL_SECONDS * self._replica.delay_factor,
            partial(self._send_events, run, last_event, number + 1),
        )

    def _send_complete(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> bytes:
        """Send a response with a length, and return it."""
        length = ("Content-Length", str(len(body)))
        all_headers = [*headers, *self._state_headers(), length]
        response = h11.Response(status_code=status, headers=all_headers)
        out = self._http.send(response) or b""
        out += self._http.send(h11.Data(data=body)) or b""
        out += self._http.send(h11.EndOfMessage()) or b""
        self._write(out * 2 if self._replica.fault is ReplicaFault.SURPLUS else out)
        self._read_next()
        return out

    def _read_next(self) -> None:
        self._http.start_next_cycle()
        self._read()

    def _write(self, data: bytes | None) -> None:
        self._silence.perform(partial(self._write_now, data or b""))

    def _write_now(self, data: bytes) -> None:
        cast("Any", self.transport).write(data)


def _count_event(run: Run) -> None:
    run.events += 1


def _end_holding(arrival: Arrival) -> None:
    arrival.held_seconds = time.monotonic() - arrival.at


class ReplicaFactory(Factory):
    """Creates the connections of a replica."""

    noisy = False

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    def buildProtocol(self, addr: object) -> ReplicaConnection:
        """Return the protocol of a new connection."""
        return ReplicaConnection(self._replica)

"""Stand-ins for the platform's replicas: byte by byte, with faults on demand."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Any, cast

import h11
from twisted.internet.protocol import Factory, Protocol, connectionDone

from pondquay_standins.web import reactor

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

EVENT_SECONDS = 0.01
WORK_SECONDS = 0.01
SLOW_SECONDS = 0.75
# What is part of the path of a request that crashes whatever begins to run it.
CRASHING = "crashing"


class ReplicaFault(StrEnum):
    """What a replica does wrong."""

    NONE = "none"
    FULL = "full"
    ERROR = "error"
    HANG = "hang"
    SLOW = "slow"
    LOSE_ANSWER = "lose-answer"
    CUT = "cut"
    UNSIGNED = "unsigned"
    FOREIGN = "foreign"
    SURPLUS = "surplus"


MEMORY_ORDERS = (
    "X-Pondquay-Kv-Hold",
    "X-Pondquay-Pin-Ms",
    "X-Pondquay-Kv-Backup",
    "Kv-From",
)


@dataclass(slots=True)
class Run:
    """A request that a replica began to work on.

    :param first: number of its first event
    :param copied_from: address of the replica that it was to copy the prompt from
    :param orders: other headers of the platform by which a replica's memory is steered
    :param events: how many it sent
    """

    attempt: str
    replica: str
    tenant: str
    target: str
    body: str
    first: int
    copied_from: str
    orders: list[str]
    events: int = 0
    ended: str = "running"


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a replica, whether it ran or not.

    :param born: tells the replica's life
    :param at: when, in seconds of the clock that all processes of a host share
    :param leaving: whether the answer said that the replica leaves
    :param backoff: seconds for which the answer asked for no request, 0 if it did not
    :param limit: requests a second that the answer named, ``None`` if it named none
    """

    attempt: str
    replica: str
    born: int
    at: float
    leaving: bool
    backoff: int
    limit: float | None = None


@dataclass(slots=True)
class Replica:
    """One replica, in one life.

    :param born: when this life began, in milliseconds of the time of day
    :param sequence: how often it wrote its row
    :param leaving: whether it says in all its answers that it leaves
    :param backoff: seconds without a request that it asks for as it turns all away; 0
        while it does not
    :param limit: requests a second that it names in all its answers, ``None`` for none
    :param on_crash: called once a request has crashed it
    """

    name: str
    service: str
    zone: str
    fault: ReplicaFault = ReplicaFault.NONE
    born: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    sequence: int = 0
    leaving: bool = False
    backoff: int = 0
    limit: float | None = None
    runs: list[Run] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    connections: set[ReplicaConnection] = field(default_factory=set)
    on_crash: Callable[[], None] | None = None

    def crash(self) -> None:
        """End at once, with all that runs here."""
        for connection in list(self.connections):
            connection.abort()
        if self.on_crash is not None:
            self.on_crash()


class ReplicaConnection(Protocol):
    """One connection of a replica."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._http = h11.Connection(h11.SERVER)
        self._request: h11.Request | None = None
        self._body = b""
        self._run: Run | None = None
        self._timer: Any = None

    def connectionMade(self) -> None:
        """Be among the replica's connections."""
        self._replica.connections.add(self)

    def abort(self) -> None:
        """End with the replica."""
        if self._run is not None and self._run.ended == "running":
            self._run.ended = "crashed"
        cast("Any", self.transport).abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Take bytes of a request."""
        self._http.receive_data(data)
        self._read()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Drop the request that runs, as most replicas do."""
        self._replica.connections.discard(self)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
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
                self._begin()
                return
            else:
                cast("Any", self.transport).loseConnection()
                return

    def _header(self, name: str) -> str:
        assert self._request is not None
        for one, value in self._request.headers:
            if one == name.lower().encode():
                return value.decode()
        return ""

    def _begin(self) -> None:
        replica = self._replica
        expected = self._header("X-Pondquay-Expect-Replica")
        if expected and expected != replica.name:
            self._send_whole(421, [("X-Pondquay-Replica-Id", replica.name)], b"")
            return
        self._note_arrival()
        if replica.fault is ReplicaFault.FULL or replica.backoff:
            self._turn_away()
            return
        assert self._request is not None
        self._run = Run(
            self._header("X-Pondquay-Attempt-Id"),
            replica.name,
            self._header("X-Pondquay-Tenant"),
            self._request.target.decode(),
            self._body.decode("latin-1"),
            int(self._header("Last-Event-Id") or 0) + 1,
            self._header("Kv-Fetch"),
            [name for name in MEMORY_ORDERS if self._header(name)],
        )
        replica.runs.append(self._run)
        if CRASHING in self._run.target:
            replica.crash()
            return
        slow = replica.fault is ReplicaFault.SLOW
        seconds = SLOW_SECONDS if slow else WORK_SECONDS
        self._timer = reactor.callLater(seconds, self._work, self._run)

    def _note_arrival(self) -> None:
        replica = self._replica
        arrival = Arrival(
            self._header("X-Pondquay-Attempt-Id"),
            replica.name,
            replica.born,
            time.monotonic(),
            replica.leaving,
            replica.backoff,
            replica.limit,
        )
        replica.arrivals.append(arrival)

    def _turn_away(self) -> None:
        headers = [("X-Pondquay-Not-Executed", "1")]
        if self._replica.backoff:
            headers.append(("Retry-After", str(self._replica.backoff)))
        self._send_whole(503, headers, b"")

    def _work(self, run: Run) -> None:
        fault = self._replica.fault
        if fault is ReplicaFault.HANG:
            return
        if fault is ReplicaFault.LOSE_ANSWER:
            run.ended = "answer lost"
            cast("Any", self.transport).abortConnection()
            return
        last = int(self._header("X-Test-Events") or 0)
        if last:
            self._send_head()
            self._send_events(run, last)
            return
        status = 500 if fault is ReplicaFault.ERROR else 200
        run.ended = str(status)
        body = f"{run.replica}:{run.attempt}".encode()
        self._send_whole(status, self._metadata(), body)

    def _metadata(self) -> list[tuple[str, str]]:
        fault = self._replica.fault
        assert self._run is not None
        attempt = "another" if fault is ReplicaFault.FOREIGN else self._run.attempt
        metadata = [("X-Pondquay-Attempt-Id", attempt)]
        if fault is not ReplicaFault.UNSIGNED:
            metadata.append(
                ("X-Pondquay-Replica-Signature", f"sig.{self._replica.name}")
            )
        return metadata

    def _own_marks(self) -> list[tuple[str, str]]:
        """Return what stands in all its answers."""
        metadata = []
        if self._replica.leaving:
            metadata.append(("Server-Leaving", "1"))
        if self._replica.limit is not None:
            metadata.append(("Server-Limit", str(self._replica.limit)))
        return metadata

    def _send_head(self) -> None:
        kind = ("Content-Type", "text/event-stream")
        headers = [*self._metadata(), *self._own_marks(), kind]
        self._write(self._http.send(h11.Response(status_code=200, headers=headers)))

    def _send_events(self, run: Run, last: int) -> None:
        number = run.first + run.events
        if number > last:
            run.ended = "200"
            self._write(self._http.send(h11.EndOfMessage()))
            self._next()
            return
        if self._replica.fault is ReplicaFault.CUT and run.events >= 2:
            run.ended = "cut"
            self._write(self._http.send(h11.Data(data=b"id: 9")))
            cast("Any", self.transport).abortConnection()
            return
        data = f"id: {number}\ndata: piece {number}\n\n".encode()
        self._write(self._http.send(h11.Data(data=data)))
        run.events += 1
        self._timer = reactor.callLater(EVENT_SECONDS, self._send_events, run, last)

    def _send_whole(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        length = ("Content-Length", str(len(body)))
        all_headers = [*headers, *self._own_marks(), length]
        response = h11.Response(status_code=status, headers=all_headers)
        out = self._http.send(response) or b""
        out += self._http.send(h11.Data(data=body)) or b""
        out += self._http.send(h11.EndOfMessage()) or b""
        self._write(out * 2 if self._replica.fault is ReplicaFault.SURPLUS else out)
        self._next()

    def _next(self) -> None:
        self._http.start_next_cycle()
        self._read()

    def _write(self, data: bytes | None) -> None:
        cast("Any", self.transport).write(data or b"")


class ReplicaFactory(Factory):
    """Accepts a replica's connections."""

    noisy = False

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    def buildProtocol(self, addr: object) -> ReplicaConnection:
        """Return the protocol of a new connection."""
        return ReplicaConnection(self._replica)

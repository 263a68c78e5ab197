"""A fleet of relays in memory, in front of engines that crash under a prompt part."""

from __future__ import annotations

import re
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from itertools import count
from random import Random
from typing import TYPE_CHECKING, Any

from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from .conftest import STEP_SECONDS, CallerTransport, RelaySide
from .partitions import HOSTS, UPSTREAM_PORT, Connection, PartitionedFleet

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

CRASHING_PART = "bad"
OTHER_CRASHING_PART = "bad-2"
CRASHING_PARTS = frozenset({CRASHING_PART, OTHER_CRASHING_PART})
FIRST_PART = "first"
# Crashes after which requests with the crashing part must no longer be sent.
BORNE_CRASHES = 5
# Requests with the crashing part that may still be sent afterwards.
MAX_LATE_REQUESTS = 3
# Time in which all instances learn which part crashes engines.
CONTACT_SECONDS = 3.0
# Time between the start of a run and its first event, in which it may crash its engine.
START_SECONDS = 0.1
RESTART_SECONDS = 4.0
EVENTS = 30
# Requests that an engine runs at once; others wait there.
SLOTS = 6
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nattempt: %b\r\n\r\n"
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\nattempt: %b\r\n\r\n"


class Ending(Enum):
    """How the connections of an engine end that crashes.

    In the latter two its responses end with their connection, which a crash closes in
    an orderly way: before the first event, or within it.
    """

    RESET = "reset"
    EMPTY = "empty"
    WITHIN_EVENT = "within an event"


@dataclass(eq=False)
class Run:
    """A request at an engine.

    :ivar began_at: when it left the queue, ``None`` before
    """

    connection: Connection
    attempt: str
    parts: list[str]
    began_at: float | None = None
    events: int = 0


@dataclass(eq=False)
class Call:
    """A caller's request."""

    sent_at: float
    attempt: str
    parts: list[str]
    transport: CallerTransport = field(default_factory=CallerTransport)

    @property
    def begun(self) -> bool:
        """Whether its caller has received an event."""
        return b"id: 1\n" in self.transport.value()

    @property
    def completed(self) -> bool:
        """Whether its response has ended and seems complete."""
        return self.transport.value().endswith(b"0\r\n\r\n")

    @property
    def crashing(self) -> bool:
        return not CRASHING_PARTS.isdisjoint(self.parts)


@dataclass
class CrashingFleet(PartitionedFleet):
    """Relays and engines that crash as they begin to write an answer on one part.

    :ivar crashes: time of each crash
    :ivar crash_arrivals: when each request with the part reached an engine
    :ivar arrivals_by_part: requests with each crashing part that reached an engine
    :ivar random: draws the relays of requests, and whatever tests draw
    :ivar sound: whether engines no longer crash under the part
    :ivar full: engines that begin no run
    :ivar ending: how responses end if their engine crashes
    :ivar late_heads: whether engines send the head of a response with its first event
    """

    crashes: list[float] = field(default_factory=list)
    crash_arrivals: list[float] = field(default_factory=list)
    arrivals_by_part: Counter[str] = field(default_factory=Counter)
    calls: list[Call] = field(default_factory=list)
    sound: bool = False
    full: set[str] = field(default_factory=set)
    ending: Ending = Ending.RESET
    late_heads: bool = False
    random: Random = field(default_factory=lambda: Random(67))
    _numbers: Any = field(default_factory=lambda: count(1))
    _lives: Counter[str] = field(default_factory=Counter)
    _runs: dict[str, list[Run]] = field(
        default_factory=lambda: {host: [] for host in HOSTS}
    )
    _restarts_at: dict[str, float] = field(default_factory=dict)

    def send(self, relay: RelaySide, *parts: str) -> Call:
        """Send a request whose last part is its own."""
        number = next(self._numbers)
        call = Call(self.clock.seconds(), f"a{number}", [*parts, f"own-{number}"])
        self.calls.append(call)
        headers = {"attempt": call.attempt, "prompt": ",".join(call.parts)}
        relay.connect_caller(f"/stream/x?{number}", call.transport, headers)
        return call

    def send_for(
        self,
        seconds: float,
        every: dict[float, Callable[[Random], Iterable[str]]],
        relays: list[RelaySide] | None = None,
    ) -> None:
        """Send requests to random relays.

        :param every: makes the shared parts of requests that are sent every so many
            seconds
        """
        due = {interval: self.clock.seconds() for interval in every}
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end:
            for interval, make_parts in every.items():
                if self.clock.seconds() >= due[interval]:
                    due[interval] += interval
                    relay = self.random.choice(relays or self.relays)
                    self.send(relay, *make_parts(self.random))
            self.run_for(STEP_SECONDS)

    def crash(self, host: str) -> None:
        """End an engine with all requests there; it starts again under a new name."""
        self.crashes.append(self.clock.seconds())
        self.stopped.add(host)
        self._restarts_at[host] = self.clock.seconds() + RESTART_SECONDS
        if self.ending is Ending.WITHIN_EVENT:
            for run in self._runs[host]:
                if run.began_at is not None:
                    run.connection.protocol.dataReceived(b"id: %d\n" % (run.events + 1))
        self._runs[host].clear()
        for connection in self.connections:
            if connection.host == host:
                self._end_connection(connection)

    def count_waiting(self) -> int:
        """Count the requests with the part that wait at full engines."""
        return sum(
            CRASHING_PART in run.parts for host in self.full for run in self._runs[host]
        )

    def count_late_requests(self) -> int:
        """Count the arrivals of the part that came too late after the fifth crash."""
        if len(self.crashes) < BORNE_CRASHES:
            return 0
        last = self.crashes[BORNE_CRASHES - 1] + CONTACT_SECONDS
        return sum(arrived_at > last for arrived_at in self.crash_arrivals)

    def find_begun_fraction(self, since: float, until: float, part: str) -> float:
        """Return the fraction of the sound requests with a part that began."""
        begun = [
            call.begun
            for call in self.calls
            if since <= call.sent_at < until and not call.crashing
            if part in call.parts
        ]
        return sum(begun) / len(begun)

    def serve(self) -> None:
        """Restart engines that are due, and go on with all runs."""
        now = self.clock.seconds()
        for host in [due for due, at in self._restarts_at.items() if at <= now]:
            self._restart(host)
        super().serve()
        for host in HOSTS:
            self._continue_runs(host)
        self.links.pump()

    def _restart(self, host: str) -> None:
        del self._restarts_at[host]
        self.stopped.discard(host)
        store = self.relays[0].store
        store.delete_upstream(self._name(host))
        self._lives[host] += 1
        store.put_upstream(self._name(host), f"{host}:{UPSTREAM_PORT}")

    def _end_connection(self, connection: Connection) -> None:
        if self.ending is Ending.RESET:
            connection.lose()
        elif not connection.is_lost:
            connection.is_lost = True
            connection.protocol.connectionLost(Failure(ConnectionDone()))

    def _name(self, host: str) -> str:
        lives = self._lives[host]
        return f"{host}-{lives}" if lives else host

    def _respond(self, connection: Connection) -> None:
        request = connection.take_request()
        if not request:
            return
        parts = _find(request, b"prompt").split(",")
        crashing = CRASHING_PARTS.intersection(parts)
        if crashing:
            self.crash_arrivals.append(self.clock.seconds())
        self.arrivals_by_part.update(crashing)
        run = Run(connection, _find(request, b"attempt"), parts)
        self._runs[connection.host].append(run)

    def _continue_runs(self, host: str) -> None:
        runs = [run for run in self._runs[host] if not run.connection.is_lost]
        self._runs[host] = runs
        now = self.clock.seconds()
        for run in runs[:SLOTS]:
            if run.began_at is None:
                if host not in self.full:
                    self._begin(run, now)
            elif now - run.began_at < START_SECONDS:
                continue
            elif not (self.sound or CRASHING_PARTS.isdisjoint(run.parts)):
                self.crash(host)
                return
            else:
                self._send_event(run)

    def _begin(self, run: Run, now: float) -> None:
        run.began_at = now
        if not self.late_heads:
            self._send_head(run)

    def _send_head(self, run: Run) -> None:
        head = HEAD if self.ending is Ending.RESET else UNFRAMED_HEAD
        run.connection.protocol.dataReceived(head % run.attempt.encode())

    def _send_event(self, run: Run) -> None:
        if run.events == EVENTS:
            self._runs[run.connection.host].remove(run)
            if self.ending is Ending.RESET:
                run.connection.protocol.dataReceived(b"0\r\n\r\n")
            else:
                self._end_connection(run.connection)
            return
        if self.late_heads and not run.events:
            self._send_head(run)
        run.events += 1
        event = b"id: %d\ndata: x\n\n" % run.events
        if self.ending is Ending.RESET:
            event = b"%x\r\n%b\r\n" % (len(event), event)
        run.connection.protocol.dataReceived(event)


def _find(request: bytes, name: bytes) -> str:
    """Return the value of a request's header."""
    (value,) = re.findall(rb"\r\n%b: ([^\r]*)" % name, request)
    return str(value, "ascii")

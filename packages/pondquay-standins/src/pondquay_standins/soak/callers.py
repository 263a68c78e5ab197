"""Callers that send requests to all routes over persistent connections."""

from __future__ import annotations

import re
import time
from dataclasses import dataclass, field
from http.client import HTTPException
from random import Random
from threading import Event, Thread
from typing import TYPE_CHECKING

from pondquay_standins.processes import HOST
from pondquay_standins.routedfleet import (
    ENGINE_SERVICE,
    HOST_NAME,
    PLAIN_SERVICE,
    read_body,
)
from pondquay_standins.soak.connections import CallerConnection

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

CALL_TIMEOUT_SECONDS = 6.0
PAUSE_RANGE_SECONDS = (0.005, 0.06)
PROMPT_TOKENS = 100
# Tokens of a prompt that crashes replicas.
CRASHING_PROMPT_TOKENS = 10
TOKENS_PER_EVENT = 3
MAX_EVENTS = 20
ROUTES = ("audit", "review", "fetch", "write")
STREAMING_ROUTES = frozenset({"audit", "review"})
# Service of each route.
SERVICES = {
    "audit": ENGINE_SERVICE,
    "review": ENGINE_SERVICE,
    "fetch": PLAIN_SERVICE,
    "write": PLAIN_SERVICE,
}
# The streaming route whose broken streams may go on.
RESUMABLE_ROUTE = "audit"
# Routes whose requests may not be sent again once they may have run.
ROUTES_WITHOUT_RETRY = frozenset({"review", "write"})
API_KEY = "key-1"
OK = 200
# Status of a call without a response.
NO_RESPONSE = 0


EVENT = re.compile(rb"id: (\d+)\nevent: (\S+)\ndata: [^\n]*\n\n")


def read_events(body: bytes) -> list[tuple[int, str]]:
    """Return the number and the software version of each complete event."""
    return [(int(number), version.decode()) for number, version in EVENT.findall(body)]


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request to be sent.

    :param events: number of the last event of its stream, 0 for a plain request
    :param after: last event of the stream that the caller already has
    :param first_attempt: the attempt that began the stream that it takes up
    """

    attempt: str
    route: str
    events: int
    after: int = 0
    first_attempt: str = ""


@dataclass(frozen=True, slots=True)
class Call:
    """One request and the response that its caller received.

    :param attempt: the request's attempt ID
    :param relay: name of the relay that the request was sent to
    :param route: name of the route
    :param events: number of requested stream events, 0 for a plain request
    :param status: status of the response, ``NO_RESPONSE`` if there was none
    :param signature: the replica's signature in the response, empty if there is none
    :param complete: whether the entire response was received
    :param began: when the request was sent, in seconds of the monotonic clock
    :param ended: when the response ended or failed, on the same clock
    :param after: last event of the stream that the caller already had, 0 if it begins
    :param first_attempt: the attempt that began the stream that it takes up, empty if
        it begins one
    :param sent: whether the entire request was sent
    :param rested: for how long its connection had been at rest at most, in seconds
    :param error: why there is no response, empty if there is one
    """

    attempt: str
    relay: str
    route: str
    events: int
    status: int
    body: bytes
    signature: str
    complete: bool
    began: float
    ended: float
    after: int = 0
    first_attempt: str = ""
    sent: bool = True
    rested: float = 0.0
    error: str = ""

    @property
    def stream(self) -> str:
        """The attempt that began its stream."""
        return self.first_attempt or self.attempt

    @property
    def can_be_taken_up(self) -> bool:
        """Whether its stream broke off after some events."""
        is_broken = self.status == OK and not self.complete
        return self.route == RESUMABLE_ROUTE and is_broken and self.last_event > 0

    @property
    def last_event(self) -> int:
        """The last event that the caller has received, over all tries."""
        events = read_events(self.body)
        return events[-1][0] if events else self.after


@dataclass
class Caller:
    """A thread that sends one request at a time, each to a randomly chosen relay.

    A stream that breaks off is taken up by the next request.

    :param seed: seed of the caller's random choices
    :param list_endpoints: returns the names and ports of relays to connect to
    :ivar calls: all calls that have ended, in order
    """

    name: str
    seed: int
    list_endpoints: Callable[[], Sequence[tuple[str, int]]]
    calls: list[Call] = field(default_factory=list)
    _stopping: Event = field(default_factory=Event)
    _thread: Thread | None = None

    def start(self) -> None:
        """Start sending requests."""
        self._thread = Thread(target=self._run, daemon=True)
        self._thread.start()

    def request_stop(self) -> None:
        """Stop sending requests, without waiting for the last response."""
        self._stopping.set()

    def stop(self) -> None:
        """Stop sending requests and wait for the last response."""
        self.request_stop()
        assert self._thread is not None
        self._thread.join()

    def _run(self) -> None:
        random = Random(self.seed)
        connections: dict[tuple[str, int], CallerConnection] = {}
        number = 0
        broken: Call | None = None
        while not self._stopping.is_set():
            number += 1
            # Open connections stay in use after their relay stops accepting new ones.
            endpoint = random.choice([*self.list_endpoints(), *connections])
            connection = connections.get(endpoint)
            if connection is None:
                connection = CallerConnection(HOST, endpoint[1], CALL_TIMEOUT_SECONDS)
                connections[endpoint] = connection
            request = self._draw_request(f"{self.name}-{number}", broken, random)
            call = self._send(connection, endpoint[0], request)
            self.calls.append(call)
            broken = self._find_broken(call, broken)
            if not call.complete or call.status != OK:
                connection.close()
                connections.pop(endpoint)
            self._stopping.wait(random.uniform(*PAUSE_RANGE_SECONDS))

    def _find_broken(self, call: Call, previous: Call | None) -> Call | None:
        """Return the call whose stream the next request takes up, if there is one.

        :param previous: the call whose stream this one was to take up
        """
        return call if call.can_be_taken_up else None

    def _draw_request(
        self, attempt: str, broken: Call | None, random: Random
    ) -> PlannedRequest:
        """Return a request to a randomly chosen route, or one to take a stream up.

        :param broken: the previous call, if its stream can be taken up
        """
        if broken is not None:
            return PlannedRequest(
                attempt, broken.route, broken.events, broken.last_event, broken.stream
            )
        route = random.choice(ROUTES)
        events = random.randint(1, MAX_EVENTS) if route in STREAMING_ROUTES else 0
        return PlannedRequest(attempt, route, events)

    def _send(
        self, connection: CallerConnection, relay: str, request: PlannedRequest
    ) -> Call:
        """Send a request and read its response."""
        route = request.route
        headers = make_headers(request.attempt, request.events)
        if request.after:
            headers["Last-Event-Id"] = str(request.after)
            headers["Resumes"] = request.first_attempt
        began = time.monotonic()
        status, body, signature, complete = NO_RESPONSE, b"", "", False
        sent, rested, error = False, 0.0, ""
        try:
            connection.request("POST", f"/{route}/", body=b"body", headers=headers)
            rested = connection.send_whole()
            sent = True
            response = connection.getresponse()
            status = response.status
            signature = response.headers.get("X-Pondquay-Replica-Signature", "")
            body, complete = read_body(response)
        except (OSError, HTTPException) as exception:
            error = type(exception).__name__
            connection.close()
        ended = time.monotonic()
        connection.used_at = ended
        return Call(
            *(request.attempt, relay, route, request.events, status, body),
            *(signature, complete, began, ended),
            *(request.after, request.first_attempt),
            sent=sent,
            rested=rested,
            error=error,
        )


def make_headers(attempt: str, events: int) -> dict[str, str]:
    """Return the headers of a request.

    :param attempt: the request's attempt ID
    :param events: number of requested stream events, 0 for a plain request
    """
    headers = {
        "Host": HOST_NAME,
        "X-Pondquay-Attempt-Id": attempt,
        "Authorization": f"Bearer {API_KEY}",
    }
    if events:
        headers["X-Pondquay-Token-Usage"] = (
            f"{PROMPT_TOKENS},{TOKENS_PER_EVENT * events}"
        )
        headers["X-Pondquay-Prefix-Hash"] = f"aa:{PROMPT_TOKENS - 1},bb:1"
        headers["X-Test-Events"] = str(events)
    return headers

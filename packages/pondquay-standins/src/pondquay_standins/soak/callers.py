"""Callers that send requests to all routes over persistent connections."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from random import Random
from threading import Event, Thread
from typing import TYPE_CHECKING

from pondquay_standins.processes import HOST
from pondquay_standins.routedfleet import HOST_NAME, read_body

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

CALL_TIMEOUT_SECONDS = 6.0
PAUSE_RANGE_SECONDS = (0.005, 0.06)
PROMPT_TOKENS = 100
TOKENS_PER_EVENT = 3
MAX_EVENTS = 20
ROUTES = ("audit", "review", "fetch", "write")
STREAMING_ROUTES = frozenset({"audit", "review"})
API_KEY = "key-1"
# Status of a call without a response.
NO_RESPONSE = 0


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


@dataclass
class Caller:
    """A thread that sends one request at a time, each to a randomly chosen relay.

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
        connections: dict[tuple[str, int], HTTPConnection] = {}
        number = 0
        while not self._stopping.is_set():
            number += 1
            # Open connections stay in use after their relay stops accepting new ones.
            endpoint = random.choice([*self.list_endpoints(), *connections])
            connection = connections.get(endpoint)
            if connection is None:
                connection = HTTPConnection(
                    HOST, endpoint[1], timeout=CALL_TIMEOUT_SECONDS
                )
                connections[endpoint] = connection
            call = self._send(connection, endpoint[0], f"{self.name}-{number}", random)
            self.calls.append(call)
            if not call.complete or call.status != 200:
                connection.close()
                connections.pop(endpoint)
            self._stopping.wait(random.uniform(*PAUSE_RANGE_SECONDS))

    def _send(
        self, connection: HTTPConnection, relay: str, attempt: str, random: Random
    ) -> Call:
        """Send a request to a randomly chosen route and read its response."""
        route = random.choice(ROUTES)
        events = random.randint(1, MAX_EVENTS) if route in STREAMING_ROUTES else 0
        headers = make_headers(attempt, events)
        began = time.monotonic()
        status, body, signature, complete = NO_RESPONSE, b"", "", False
        try:
            connection.request("POST", f"/{route}/", body=b"body", headers=headers)
            response = connection.getresponse()
            status = response.status
            signature = response.headers.get("X-Pondquay-Replica-Signature", "")
            body, complete = read_body(response)
        except (OSError, HTTPException):
            connection.close()
        ended = time.monotonic()
        return Call(
            *(attempt, relay, route, events, status, body),
            *(signature, complete, began, ended),
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

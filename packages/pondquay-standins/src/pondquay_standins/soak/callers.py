"""Callers that send requests of every kind, on connections that they keep."""

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

CALL_SECONDS = 6.0
PAUSE_SECONDS = (0.005, 0.06)
PROMPT_TOKENS = 100
EVENT_TOKENS = 3
MAX_EVENTS = 20
ROUTES = ("audit", "review", "fetch", "write")
STREAMS = frozenset({"audit", "review"})
KEY = "key-1"
NO_RESPONSE = 0


@dataclass(frozen=True, slots=True)
class Call:
    """One request and what its caller got.

    :param relay: the instance that it was sent to
    :param events: that its stream was to have, 0 for a plain request
    :param status: of the answer, 0 if there was none
    :param complete: whether the answer came to its end
    :param began: when it was sent, in seconds
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
    """One caller: a thread that asks one relay after the other.

    :param ports: returns the relays that take connections, with their ports
    """

    name: str
    seed: int
    ports: Callable[[], Sequence[tuple[str, int]]]
    calls: list[Call] = field(default_factory=list)
    _stopping: Event = field(default_factory=Event)
    _thread: Thread | None = None

    def start(self) -> None:
        """Begin to send."""
        self._thread = Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Send nothing more, and wait for the last answer."""
        self._stopping.set()
        assert self._thread is not None
        self._thread.join()

    def _run(self) -> None:
        random = Random(self.seed)
        connections: dict[tuple[str, int], HTTPConnection] = {}
        number = 0
        while not self._stopping.is_set():
            number += 1
            # Open connections are used until their relay is gone.
            relay = random.choice([*self.ports(), *connections])
            connection = connections.get(relay)
            if connection is None:
                connection = HTTPConnection(HOST, relay[1], timeout=CALL_SECONDS)
                connections[relay] = connection
            call = self._ask(connection, relay[0], f"{self.name}-{number}", random)
            self.calls.append(call)
            if not call.complete or call.status != 200:
                connection.close()
                connections.pop(relay)
            self._stopping.wait(random.uniform(*PAUSE_SECONDS))

    def _ask(
        self, connection: HTTPConnection, relay: str, attempt: str, random: Random
    ) -> Call:
        route = random.choice(ROUTES)
        events = random.randint(1, MAX_EVENTS) if route in STREAMS else 0
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

    :param events: that its stream has, 0 for a plain request
    """
    headers = {
        "Host": HOST_NAME,
        "X-Pondquay-Attempt-Id": attempt,
        "Authorization": f"Bearer {KEY}",
    }
    if events:
        headers["X-Pondquay-Token-Usage"] = f"{PROMPT_TOKENS},{EVENT_TOKENS * events}"
        headers["X-Pondquay-Prefix-Hash"] = f"aa:{PROMPT_TOKENS - 1},bb:1"
        headers["X-Test-Events"] = str(events)
    return headers

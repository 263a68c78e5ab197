"""Callers of all kinds of routes, on kept connections and new ones."""

from __future__ import annotations

import re
import time
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from random import Random
from threading import Thread
from typing import TYPE_CHECKING, Any

from pondquay_standins.hostile.exchanges import format_body
from pondquay_standins.processes import HOST
from pondquay_standins.routedfleet import (
    ENGINE_SERVICE,
    HOST_NAME,
    PLAIN_SERVICE,
    read_body,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

CALL_SECONDS = 6.0
DEADLINE_MS = 1500
TIMEOUT_MS = 2000
MAX_PAUSE_SECONDS = 0.02
REFUSED_PAUSE_SECONDS = 0.15
NEW_CONNECTION_FRACTION = 0.25
SHORT_BODY_BYTES = 64
# Longer than what one call to a socket takes.
LONG_BODY_BYTES = 400_000
LONG_BODY_FRACTION = 0.15
MAX_EVENTS = 6
PROMPT_TOKENS = 100
PREPAID_TOKENS = 100_000_000
API_KEY = "key-1"
NO_RESPONSE = 0
UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class RoutePlan:
    """A route to which callers send requests.

    :ivar repeatable: whether its requests may run more than once
    :ivar attempts: replicas on which a request may run
    """

    name: str
    kind: str
    service: str
    attempts: int
    resumable: bool = False
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether its requests may run more than once."""
        return self.kind == "idempotent" or self.resumable

    @property
    def streaming(self) -> bool:
        """Whether its responses are streams."""
        return self.kind == "streaming"

    def format(self) -> dict[str, Any]:
        """Return the route as the operator writes it."""
        return {
            "name": self.name,
            "host": HOST_NAME,
            "path_prefix": f"/{self.name}/",
            "kind": self.kind,
            "timeout_ms": TIMEOUT_MS,
            "slo_ms": 300,
            "service": self.service,
            "attempts": self.attempts,
            "resumable": self.resumable,
            "public": self.public,
        }


ROUTES = (
    RoutePlan("fetch", "idempotent", PLAIN_SERVICE, 3),
    RoutePlan("fetch-once", "idempotent", PLAIN_SERVICE, 1),
    RoutePlan("write", "non_idempotent", PLAIN_SERVICE, 1),
    RoutePlan("write-thrice", "non_idempotent", PLAIN_SERVICE, 3),
    RoutePlan("open", "non_idempotent", PLAIN_SERVICE, 3, public=True),
    RoutePlan("review", "streaming", ENGINE_SERVICE, 1),
    RoutePlan("review-thrice", "streaming", ENGINE_SERVICE, 3),
    RoutePlan("audit", "streaming", ENGINE_SERVICE, 3, resumable=True),
)
EVENT = re.compile(rb"id: (\d+)\nevent: \S+\ndata: (\S+) (\d+)\n\n")


def make_configuration() -> dict[str, Any]:
    """Return a configuration with all routes."""
    services = [
        {
            "name": ENGINE_SERVICE,
            "health_path": "/healthz",
            "max_conns": 100,
            "engine": {"slots": 8, "stride": 3, "moves": True},
        },
        {"name": PLAIN_SERVICE, "health_path": "/healthz", "max_conns": 100},
    ]
    workspace = {"name": "moderators", "api_keys": [API_KEY], "prepaid": PREPAID_TOKENS}
    return {
        "version": 1,
        "routes": [route.format() for route in ROUTES],
        "services": services,
        "tenants": [workspace],
    }


@dataclass(frozen=True, slots=True)
class HostileCall:
    """A request and what its caller received.

    :ivar events: number of requested events, 0 for a plain request
    :ivar status: status of the response, ``NO_RESPONSE`` if there was none
    :ivar name: the request that the response names
    :ivar began: when it was sent, in seconds of the monotonic clock
    """

    attempt: str
    route: RoutePlan
    relay: str
    events: int
    status: int
    name: str
    signature: str
    body: bytes
    complete: bool
    began: float


@dataclass
class HostileCaller:
    """A thread that sends one request at a time.

    :param requests: number of requests that it sends
    :param list_relays: returns the names and ports of the relays to connect to
    :param routes: routes to which it sends requests
    :param is_mobile: whether it opens a new connection for each request, and sends
        no long bodies
    :ivar calls: all calls that have ended
    """

    name: str
    seed: int
    requests: int
    list_relays: Callable[[], Sequence[tuple[str, int]]]
    routes: Sequence[RoutePlan] = ROUTES
    is_mobile: bool = False
    calls: list[HostileCall] = field(default_factory=list)
    _thread: Thread | None = None

    def start(self) -> None:
        """Start to send requests."""
        self._thread = Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Send no further request, and wait for the last response."""
        self.requests = 0
        if self._thread is not None:
            self._thread.join()

    @property
    def running(self) -> bool:
        """Whether it has requests to send or waits for a response."""
        return self._thread is not None and self._thread.is_alive()

    def _run(self) -> None:
        random = Random(self.seed)
        kept: dict[tuple[str, int], HTTPConnection] = {}
        while (number := len(self.calls)) < self.requests:
            # A relay that stops is used as long as its connections stay open.
            endpoint = random.choice(sorted({*self.list_relays(), *kept}))
            connection = kept.pop(endpoint, None)
            if connection is not None and random.random() < NEW_CONNECTION_FRACTION:
                connection.close()
                connection = None
            connection = connection or HTTPConnection(
                HOST, endpoint[1], timeout=CALL_SECONDS
            )
            call = self._call(connection, endpoint[0], f"{self.name}-{number}", random)
            self.calls.append(call)
            if call.complete and not self.is_mobile:
                kept[endpoint] = connection
            else:
                connection.close()
            is_refused = call.status == UNAVAILABLE
            time.sleep(
                REFUSED_PAUSE_SECONDS
                if is_refused
                else random.uniform(0, MAX_PAUSE_SECONDS)
            )

    def _call(
        self, connection: HTTPConnection, relay: str, attempt: str, random: Random
    ) -> HostileCall:
        route = random.choice(self.routes)
        events = random.randint(1, MAX_EVENTS) if route.streaming else 0
        is_long = not self.is_mobile and random.random() < LONG_BODY_FRACTION
        size = LONG_BODY_BYTES if is_long else SHORT_BODY_BYTES
        headers = make_headers(attempt, route, events, size)
        began = time.monotonic()
        status, name, signature, body, complete = NO_RESPONSE, "", "", b"", False
        try:
            connection.request(
                "POST", f"/{route.name}/x", format_body(attempt, size), headers
            )
            response = connection.getresponse()
            status = response.status
            name = response.headers.get("X-Pondquay-Attempt-Id", "")
            signature = response.headers.get("X-Pondquay-Replica-Signature", "")
            body, complete = read_body(response)
        except (OSError, HTTPException):
            complete = False
        return HostileCall(
            *(attempt, route, relay, events, status, name, signature),
            *(body, complete, began),
        )


def make_headers(
    attempt: str, route: RoutePlan, events: int, size: int
) -> dict[str, str]:
    """Return the headers of a request.

    :param size: length of its body
    """
    headers = {
        "Host": HOST_NAME,
        "X-Pondquay-Attempt-Id": attempt,
        "X-Pondquay-Deadline-Ms": str(DEADLINE_MS),
        "X-Test-Body": str(size),
    }
    if not route.public:
        headers["Authorization"] = f"Bearer {API_KEY}"
    if events:
        headers["X-Pondquay-Token-Usage"] = f"{PROMPT_TOKENS},{events * 3}"
        headers["X-Pondquay-Prefix-Hash"] = f"aa:{PROMPT_TOKENS - 1},bb:1"
        headers["X-Test-Events"] = str(events)
    return headers

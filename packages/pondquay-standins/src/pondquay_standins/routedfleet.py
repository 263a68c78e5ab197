"""Relays in front of the stand-in platform, as separate processes, for tests."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
from base64 import b64decode
from contextlib import ExitStack
from dataclasses import dataclass
from functools import partial
from http.client import HTTPConnection, HTTPException, HTTPResponse
from pathlib import Path
from typing import TYPE_CHECKING, Any, Self

from pondquay_standins.processes import HOST, Process, call_http, pick_port, wait_until
from pondquay_standins.replicarecords import DEFAULT_SOFTWARE, Arrival

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from types import TracebackType

CALL_SECONDS = 10.0
HOST_NAME = "board.example"
ENGINE_SERVICE = "judge"
PLAIN_SERVICE = "board"
STOP_SECONDS = 4
# Names of the parts of a prompt; the last one is the request's own.
DEFAULT_PARTS = ("aa", "bb")
RETRY_RATIO = 0.2
# Timeout of all routes but ``review``.
DEFAULT_TIMEOUT_SECONDS = 2
# Log events of unexpected exceptions in a relay.
INTERNAL_ERROR_EVENTS = (
    "event=request-failed",
    "event=task-failed",
    "event=feed-failed",
)


@dataclass(slots=True)
class Relay:
    """A relay process and its ports."""

    name: str
    port: int
    ready_port: int
    peer_port: int
    reports_port: int
    tunnels_port: int
    settings: Path
    process: Process

    @property
    def ready(self) -> bool:
        """Whether the relay reports that it is ready.

        :raises OSError: if there is no response
        """
        url = f"http://{HOST}:{self.ready_port}/api/readyz"
        return call_http("GET", url).status == 200

    def fetch_report(self, path: str) -> str:
        """Return a report for operators, such as metrics or a dump."""
        url = f"http://{HOST}:{self.reports_port}{path}"
        return call_http("GET", url).body.decode()


@dataclass(frozen=True, slots=True)
class RelayResponse:
    """A response that a caller received.

    :ivar complete: whether the complete body was received
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    complete: bool


def format_parts(parts: Sequence[str], tokens: int) -> str:
    """Return the header of a prompt's parts, of which all but the first are short."""
    first, *others = parts
    sizes = [f"{first}:{tokens - len(others)}", *(f"{name}:1" for name in others)]
    return ",".join(sizes)


def make_configuration(
    version: int,
    prepaid: int = 1_000_000,
    review_seconds: int = 10,
    idle_seconds: float | None = None,
) -> dict[str, Any]:
    """Return a configuration with routes of every kind.

    :param prepaid: prepaid tokens of the workspace
    :param review_seconds: timeout of ``review``, the route that streams but does
        not resume
    :param idle_seconds: idle limit of callers' connections, ``None`` for the default
    """

    def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST_NAME,
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": DEFAULT_TIMEOUT_SECONDS * 1000,
            "slo_ms": 300,
            "service": service,
            "attempts": 2,
            **fields,
        }

    limits = (
        {} if idle_seconds is None else {"idle_timeout_ms": int(idle_seconds * 1000)}
    )
    return {
        "version": version,
        "limits": limits,
        "routes": [
            route("audit", "streaming", ENGINE_SERVICE, resumable=True),
            route(
                "review",
                "streaming",
                ENGINE_SERVICE,
                attempts=1,
                timeout_ms=review_seconds * 1000,
            ),
            route("fetch", "idempotent", PLAIN_SERVICE),
            route("write", "non_idempotent", PLAIN_SERVICE),
        ],
        "services": [
            {
                "name": ENGINE_SERVICE,
                "health_path": "/healthz",
                "max_conns": 100,
                "engine": {"slots": 8, "stride": 3, "moves": True},
            },
            {"name": PLAIN_SERVICE, "health_path": "/healthz", "max_conns": 100},
        ],
        "tenants": [
            {"name": "moderators", "api_keys": ["key-1", "key-2"], "prepaid": prepaid}
        ],
    }


class RoutedFleet:
    """The stand-in platform and relays in front of it.

    Attributes that configure relays take effect when a relay starts.

    :ivar stop_seconds: grace period of a planned stop
    :ivar daemon: module that runs a relay
    :ivar platform: module that runs the platform
    :ivar retry_extra: fixed number of retries of all relays, by window
    :ivar retry_window: length of the window in seconds; a relay uses none of the fixed
        number for so long after its start
    :ivar environments: additional environment variables by relay
    """

    def __init__(self) -> None:
        self._stack = ExitStack()
        self.store_port = pick_port()
        self.control_port = pick_port()
        self.stop_seconds = STOP_SECONDS
        self.daemon = "pondquay_daemon"
        self.platform = "pondquay_standins.routedplatform"
        self.retry_extra = 400
        self.retry_window = 0.2
        self.environments: dict[str, dict[str, str]] = {}
        self.relays: dict[str, Relay] = {}
        self.replica_ports: dict[str, int] = {}
        # Whether the system starts for the first time: no relay has started again.
        self._is_first_start = True
        self._attempts = 0

    def __enter__(self) -> Self:
        """Start the platform."""
        self.folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        self.spawn(
            "platform",
            self.platform,
            {},
            *("--store", str(self.store_port), "--control", str(self.control_port)),
        )
        wait_until(lambda: self.runs() == [], "the platform")
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill all processes.

        :raises AssertionError: if a relay logged an internal error and the context ends
            without an exception
        """
        with self._stack:
            errors = self.list_internal_errors()
        if errors and error is None:
            raise AssertionError(f"internal errors of relays: {errors}")

    def list_internal_errors(self) -> list[str]:
        """Return the log lines of unexpected exceptions in relays."""
        return [
            line
            for relay in self.relays.values()
            if relay.process.log.exists()
            for line in relay.process.log.read_text().splitlines()
            if any(event in line for event in INTERNAL_ERROR_EVENTS)
        ]

    def start_replicas(
        self, service: str, *names: str, software: str = DEFAULT_SOFTWARE
    ) -> None:
        """Start replicas of a service and add their rows to the store.

        :param software: version of their software
        """
        for name in names:
            self.replica_ports[name] = pick_port()
            self.control(
                "start",
                name=name,
                service=service,
                zone="a",
                port=self.replica_ports[name],
                software=software,
            )

    def configure(self, configuration: dict[str, Any]) -> None:
        """Write the configuration row, as operators do."""
        self.control("put", table="op", key="config", value=configuration)

    def start_relay(self, name: str, *, wait: bool = True) -> Relay:
        """Start a relay, or restart a known relay on its previous ports.

        :param wait: whether to wait until it is ready
        """
        known = self.relays.get(name)
        ports = [pick_port() for _ in range(5)]
        if known is not None:
            self._is_first_start = False
            ports = [
                known.port,
                known.ready_port,
                known.peer_port,
                known.tunnels_port,
                known.reports_port,
            ]
        settings = self.folder / f"{name}.toml"
        seeds = [f"{HOST}:{peer.peer_port}" for peer in self.relays.values()]
        *listening, reports = ports
        settings.write_text(self._format_settings(name, listening, seeds))
        process = self.spawn(
            name,
            self.daemon,
            {"PONDQUAY_SETTINGS": str(settings), **self.environments.get(name, {})},
            *("--border", "pondquay_platform.border", "--reports-port", str(reports)),
        )
        front, ready, control, tunnels = listening
        relay = Relay(name, front, ready, control, reports, tunnels, settings, process)
        self.relays[name] = relay
        if wait:
            wait_until(lambda: relay.ready, f"relay {name}")
        return relay

    def start_relays(self, *names: str) -> None:
        """Start relays at the same time, and wait until all are ready."""
        for name in names:
            self.start_relay(name, wait=False)
        for name in names:
            relay = self.relays[name]
            wait_until(partial(_is_ready, relay), f"relay {name}")

    def send_request(
        self,
        relay: Relay,
        path: str,
        *,
        method: str = "POST",
        tokens: tuple[int, int] | None = None,
        parts: Sequence[str] = DEFAULT_PARTS,
        events: int = 0,
        key: str = "key-1",
        attempt: str = "",
        deadline: float | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> RelayResponse:
        """Send a request as a caller does.

        :param tokens: prompt tokens and maximum output tokens
        :param parts: names of the prompt's parts
        :param events: number of events of the streamed response, 0 for a response
            that is not streamed
        :param deadline: seconds until the deadline
        :param headers: additional headers
        :raises OSError: if there is no response
        """
        self._attempts += 1
        sent = {
            "Host": HOST_NAME,
            "X-Pondquay-Attempt-Id": attempt or f"attempt-{self._attempts}",
            "Authorization": f"Bearer {key}",
            **(headers or {}),
        }
        if tokens is not None:
            sent["X-Pondquay-Token-Usage"] = f"{tokens[0]},{tokens[1]}"
            sent["X-Pondquay-Prefix-Hash"] = format_parts(parts, tokens[0])
        if events:
            sent["X-Test-Events"] = str(events)
        if deadline is not None:
            sent["X-Pondquay-Deadline-Ms"] = str(int(deadline * 1000))
        connection = HTTPConnection(HOST, relay.port, timeout=CALL_SECONDS)
        try:
            connection.request(method, path, body=b"body", headers=sent)
            return _read_response(connection)
        finally:
            connection.close()

    def find_store_port(self, relay: str) -> int:
        """Return the port to which a relay connects to reach the store."""
        return self.store_port

    def runs(self) -> list[dict[str, Any]]:
        """Return the runs of all replicas."""
        url = f"http://{HOST}:{self.control_port}/runs"
        found: list[dict[str, Any]] = call_http("GET", url).json()
        return found

    def arrivals(self) -> list[Arrival]:
        """Return the requests that reached replicas, whether they ran or not."""
        url = f"http://{HOST}:{self.control_port}/arrivals"
        found: list[dict[str, Any]] = call_http("GET", url).json()
        return [Arrival(**arrival) for arrival in found]

    def crashes(self) -> list[tuple[str, float]]:
        """Return the name of each replica that crashed, and when.

        :returns: the times in seconds of the monotonic clock
        """
        url = f"http://{HOST}:{self.control_port}/crashes"
        return [(name, at) for name, at in call_http("GET", url).json()]

    def rows(self, table: str) -> list[dict[str, Any]]:
        """Return the rows of a table."""
        url = f"http://{HOST}:{self.control_port}/rows/{table}"
        found: list[dict[str, Any]] = call_http("GET", url).json()
        return found

    def allotments(self, workspace: str) -> dict[str, Any]:
        """Return the allotment of a workspace, or an empty object if it has none."""
        for row in self.rows("allotments"):
            if row["key"] == workspace:
                value: dict[str, Any] = json.loads(b64decode(row["value"]))
                return value
        return {}

    def control(self, action: str, **fields: Any) -> None:
        """Carry out a control action on the platform."""
        call_http("POST", f"http://{HOST}:{self.control_port}/{action}", fields)

    def _format_settings(self, name: str, ports: list[int], seeds: list[str]) -> str:
        front, ready, control = (f"{HOST}:{port}" for port in ports[:3])
        return "\n".join(
            [
                f'node_name = "{name}"',
                f"bootstrap = {json.dumps(self._is_first_start)}",
                'zone = "a"',
                f"port_range = [{ports[3]}, {ports[3]}]",
                f"seeds = {json.dumps(seeds)}",
                "[listen]",
                f'front = "{front}"',
                f'ready = "{ready}"',
                f'control = "{control}"',
                "[bounds]",
                "config_ms = 2000",
                f"grace_s = {self.stop_seconds}",
                f"retry_ratio = {RETRY_RATIO}",
                f"retry_extra = {self.retry_extra}",
                f"retry_window_s = {self.retry_window}",
                "[platform]",
                f'address = "{HOST}:{self.find_store_port(name)}"',
            ]
        )

    def spawn(
        self, name: str, module: str, environment: dict[str, str], *arguments: str
    ) -> Process:
        """Start a Python module as a process, which is killed when the fleet ends."""
        log = self.folder / f"{name}.log"
        with log.open("ab") as out:
            popen = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=out,
                stderr=out,
                env={**os.environ, **environment},
            )
        process = Process(name, popen, log)
        self._stack.callback(process.kill)
        return process


def _is_ready(relay: Relay) -> bool:
    return relay.ready


def _read_response(connection: HTTPConnection) -> RelayResponse:
    response = connection.getresponse()
    body, complete = read_body(response)
    return RelayResponse(response.status, dict(response.headers), body, complete)


def read_body(response: HTTPResponse) -> tuple[bytes, bool]:
    """Return the body of a response, and whether it is complete."""
    # A response may have no end, and each join of bytes would copy all of it.
    body = bytearray()
    try:
        while piece := response.read1(65536):
            body += piece
        complete = response.length in (None, 0)
        # Closes the response, so that the connection can be reused.
        response.read()
    except (OSError, HTTPException):
        return bytes(body), False
    return bytes(body), complete

"""Helpers for processes, HTTP calls, waiting and ports."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request
from dataclasses import dataclass
from functools import cache
from itertools import count
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

READY_SECONDS = 30.0
POLL_SECONDS = 0.02
STOP_SECONDS = 15.0
CALL_SECONDS = 10.0
HOST = "127.0.0.1"
# Length of a simulated suspension of a relay's host.
SUSPENDED_SECONDS = 6.0
PORTS = range(10_000, 30_000)
PORT_BLOCKS = 20
PORTS_PER_BLOCK = len(PORTS) // PORT_BLOCKS


@dataclass(slots=True)
class Process:
    """A process of a fleet and its log file."""

    name: str
    popen: subprocess.Popen[bytes]
    log: Path

    @property
    def pid(self) -> int:
        """The process's id."""
        return self.popen.pid

    @property
    def ended(self) -> bool:
        """Whether the process has exited."""
        return self.popen.poll() is not None

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.popen.kill()
        self.popen.wait()

    def pause(self) -> None:
        """Suspend the process, unless it has exited."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process, unless it has exited."""
        self.popen.send_signal(signal.SIGCONT)

    def stop(self, seconds: float = STOP_SECONDS) -> int:
        """Terminate the process and return its exit status.

        :param seconds: grace period, after which the process is killed
        """
        if self.popen.poll() is None:
            self.popen.terminate()
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.popen.returncode


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status, body and headers of a response."""

    status: int
    body: bytes
    headers: dict[str, str]

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


def call_http(
    method: str,
    url: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    timeout: float = CALL_SECONDS,
) -> HttpResponse:
    """Make an HTTP call with an optional JSON body.

    :raises OSError: if there is no response
    """
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data, headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return HttpResponse(
                response.status, response.read(), dict(response.headers)
            )
    except urllib.error.HTTPError as error:
        return HttpResponse(error.code, error.read(), dict(error.headers))


def wait_until(
    check: Callable[[], bool], description: str, seconds: float = READY_SECONDS
) -> float:
    """Poll a condition until it holds.

    An ``OSError`` raised by the check means that the condition does not hold yet.

    :param description: what is awaited, for the error message
    :returns: the elapsed seconds
    :raises TimeoutError: if the condition does not hold in time
    """
    started_at = time.monotonic()
    while True:
        try:
            if check():
                return time.monotonic() - started_at
        except OSError:
            pass
        if time.monotonic() - started_at > seconds:
            raise TimeoutError(
                f"{description}: condition not met within {seconds:.0f} s"
            )
        time.sleep(POLL_SECONDS)


class PortPicker:
    """Picks ports from a block that no other picker uses.

    All blocks lie below the system's ephemeral range, so no outgoing connection takes a
    port between its choice and its use. The picker claims a block by keeping the first
    port of the block bound.
    """

    def __init__(self) -> None:
        self._claim = self._claim_block()
        self._picked = count()

    def _claim_block(self) -> socket.socket:
        for block in range(PORT_BLOCKS):
            claim = _bind(PORTS.start + block * PORTS_PER_BLOCK)
            if claim is not None:
                return claim
        raise RuntimeError(f"all {PORT_BLOCKS} blocks of ports are claimed")

    def pick(self) -> int:
        """Return the next free port of the block."""
        first = self._claim.getsockname()[1] + 1
        while True:
            port: int = first + next(self._picked) % (PORTS_PER_BLOCK - 1)
            probe = _bind(port)
            if probe is not None:
                probe.close()
                return port


def _bind(port: int) -> socket.socket | None:
    """Return a socket bound to a port, or ``None`` if the port is in use."""
    bound = socket.socket()
    try:
        bound.bind((HOST, port))
    except OSError:
        bound.close()
        return None
    return bound


@cache
def _make_picker() -> PortPicker:
    return PortPicker()


def pick_port() -> int:
    """Return a free port for a process that is about to start."""
    return _make_picker().pick()

"""Processes, HTTP calls and waiting, for the fleet and its tests."""

from __future__ import annotations

import json
import os
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
STEP_SECONDS = 0.02
STOP_SECONDS = 15.0
CALL_SECONDS = 10.0
HOST = "127.0.0.1"
PORTS = range(10_000, 30_000)
PORT_PARTS = 20
PORTS_A_PART = len(PORTS) // PORT_PARTS


@dataclass(slots=True)
class Process:
    """One process of the fleet, ended by its own id."""

    name: str
    popen: subprocess.Popen[bytes]
    log: Path

    @property
    def pid(self) -> int:
        """The process's id."""
        return self.popen.pid

    @property
    def ended(self) -> bool:
        """Whether the process is no more."""
        return self.popen.poll() is not None

    def kill(self) -> None:
        """End the process at once."""
        self.popen.kill()
        self.popen.wait()

    def pause(self) -> None:
        """Freeze the process."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        os.kill(self.pid, signal.SIGCONT)

    def stop(self, seconds: float = STOP_SECONDS) -> int:
        """Ask the process to stop and return its exit status."""
        if self.popen.poll() is None:
            self.popen.terminate()
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.popen.returncode


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """The answer to an HTTP call."""

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
    """Make one HTTP call.

    :raises OSError: if there is no answer
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
    check: Callable[[], bool], what: str, seconds: float = READY_SECONDS
) -> float:
    """Wait for a condition and return how many seconds it took.

    :raises TimeoutError: if it does not come to hold
    """
    begun = time.monotonic()
    while True:
        try:
            if check():
                return time.monotonic() - begun
        except OSError:
            pass
        if time.monotonic() - begun > seconds:
            raise TimeoutError(f"{what} did not come within {seconds:.0f} s")
        time.sleep(STEP_SECONDS)


class PortPicker:
    """Picks ports from a part of them that no other process picks from.

    Ports lie below the range from which the system takes those of outgoing
    connections, so none of these takes one before it is listened on. The first port of
    a part stays bound for as long as the process lives, which claims the part.
    """

    def __init__(self) -> None:
        self._claim = self._claim_part()
        self._picked = count()

    def _claim_part(self) -> socket.socket:
        for part in range(PORT_PARTS):
            claim = _bind(PORTS.start + part * PORTS_A_PART)
            if claim is not None:
                return claim
        raise RuntimeError(f"all {PORT_PARTS} parts of the ports are claimed")

    def pick(self) -> int:
        """Return a port that is free and that was not picked lately."""
        first = self._claim.getsockname()[1] + 1
        while True:
            port: int = first + next(self._picked) % (PORTS_A_PART - 1)
            probe = _bind(port)
            if probe is not None:
                probe.close()
                return port


def _bind(port: int) -> socket.socket | None:
    """Return a socket that has a port, ``None`` if the port is taken."""
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
    """Return a port for a process that this one is about to start."""
    return _make_picker().pick()

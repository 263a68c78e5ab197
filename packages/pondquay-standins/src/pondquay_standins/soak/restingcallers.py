"""Callers whose kept connections rest, within the idle limit, between requests."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from pondquay_standins.processes import HOST
from pondquay_standins.soak.callers import CALL_TIMEOUT_SECONDS, OK, Caller
from pondquay_standins.soak.connections import CallerConnection

if TYPE_CHECKING:
    from collections.abc import Callable

# The fraction of the idle limit for which callers let a connection rest.
MAX_REST_FRACTION = 0.8
MIN_REST_FRACTION = 0.02
POLL_SECONDS = 0.02
RETRY_SECONDS = 0.1


@dataclass
class RestingCaller(Caller):
    """A caller that uses one connection at a time and lets it rest between requests.

    It learns of a change of the idle limit at once: a connection that has rested for
    too long under the new limit is not used again.

    :param find_idle_limit: returns the newest idle limit, in seconds
    """

    find_idle_limit: Callable[[], float] = lambda: 0.0

    def _run(self) -> None:
        random = Random(self.seed)
        connection: CallerConnection | None = None
        relay, number = "", 0
        while not self._stopping.is_set():
            if connection is None:
                relay, port = random.choice(self.list_endpoints())
                connection = CallerConnection(HOST, port, CALL_TIMEOUT_SECONDS)
            number += 1
            request = self._draw_request(f"{self.name}-{number}", None, random)
            call = self._send(connection, relay, request)
            self.calls.append(call)
            is_kept = call.complete and call.status == OK
            if is_kept:
                self._rest(connection, random)
            else:
                self._stopping.wait(RETRY_SECONDS)
            if not is_kept or not self._may_reuse(connection):
                connection.close()
                connection = None

    def _rest(self, connection: CallerConnection, random: Random) -> None:
        """Let a connection rest for a part of the idle limit in force."""
        fraction = random.uniform(MIN_REST_FRACTION, MAX_REST_FRACTION)
        while connection.rested < fraction * self.find_idle_limit():
            if connection.sock is None or self._stopping.wait(POLL_SECONDS):
                return

    def _may_reuse(self, connection: CallerConnection) -> bool:
        return connection.rested <= MAX_REST_FRACTION * self.find_idle_limit()

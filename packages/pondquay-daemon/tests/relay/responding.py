"""Simulated upstreams that respond at once or when released, as the test chooses."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from .conftest import STEP_SECONDS, RelaySide, UpstreamEnd
from .links import RelayLinks

if TYPE_CHECKING:
    from collections.abc import Iterable

PORT = 80
HOSTS = tuple(f"10.0.0.{number}" for number in range(1, 7))
# Path of requests that upstreams hold until the test releases them.
HELD_PATH = "/read/held"
SERVED = b"HTTP/1.1 200 OK\r\n%bConnection: close\r\nContent-Length: 2\r\n\r\nok"
REJECTED = (
    b"HTTP/1.1 503 No\r\nnot-run: 1\r\n%bConnection: close\r\nContent-Length: 0\r\n\r\n"
)


@dataclass
class RespondingUpstreams:
    """Upstreams of relays that share a clock.

    :ivar extra_headers: further headers of a host's responses, by host
    :ivar rejecting: hosts that reject all requests
    :ivar arrivals: time and host of each request, in order
    """

    relays: list[RelaySide]
    extra_headers: dict[str, bytes] = field(default_factory=lambda: defaultdict(bytes))
    rejecting: set[str] = field(default_factory=set)
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    links: RelayLinks = field(default_factory=RelayLinks)
    _held_ends: dict[str, list[UpstreamEnd]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _accepted: int = 0

    @classmethod
    def start(
        cls, *relays: RelaySide, hosts: Iterable[str] = HOSTS, **row: Any
    ) -> RespondingUpstreams:
        """Start an upstream at each host, and the relays.

        :param row: further fields of the upstreams' rows
        """
        upstreams = cls(list(relays))
        for host in hosts:
            relays[0].store.put_upstream(host, f"{host}:{PORT}", **row)
        for relay in relays:
            relay.start()
        upstreams.run_for(1.0)
        return upstreams

    @property
    def now(self) -> float:
        """The current time in seconds."""
        seconds: float = self.relays[0].clock.seconds()
        return seconds

    def run_for(self, seconds: float) -> None:
        """Advance the clock, and serve requests at each step."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.relays[0].clock.advance(STEP_SECONDS)
            self.serve()

    def send_requests(
        self, seconds: float, relay: RelaySide, path: str = "/read/x"
    ) -> None:
        """Send a request to a relay at each step."""
        for _ in range(round(seconds / STEP_SECONDS)):
            relay.connect_caller(path)
            self.run_for(STEP_SECONDS)

    def hosts_since(self, time: float) -> set[str]:
        """Return the hosts that received requests after a time."""
        return {host for at, host in self.arrivals if at > time}

    def count_since(self, time: float, host: str) -> int:
        """Return the number of requests that a host received after a time."""
        return sum(at > time and host == receiver for at, receiver in self.arrivals)

    def answer_held(self) -> None:
        """Respond to all held requests."""
        while self._held_ends:
            self.answer_first_held()

    def answer_first_held(self) -> None:
        """Respond to the first held request."""
        host = next(iter(self._held_ends))
        end = self._held_ends[host].pop(0)
        if not self._held_ends[host]:
            del self._held_ends[host]
        self._respond(host, end)

    def list_held_hosts(self) -> list[str]:
        """Return the hosts that hold requests."""
        return list(self._held_ends)

    def serve(self) -> None:
        """Serve new requests, and deliver messages between relays."""
        clients = self.relays[0].clock.tcpClients
        while self._accepted < len(clients):
            host, port, factory, _, _ = clients[self._accepted]
            self._accepted += 1
            if port == PORT:
                self._accept(host, factory)
            else:
                servers = self.relays[0].clock.tcpServers
                self.links.open(servers, host, factory, port)
        self.links.pump()

    def _accept(self, host: str, factory: Any) -> None:
        end = UpstreamEnd.accept(factory)
        sent = end.transport.value()
        if not sent:
            return
        self.arrivals.append((self.now, host))
        if HELD_PATH.encode() in sent:
            self._held_ends[host].append(end)
            return
        self._respond(host, end)

    def _respond(self, host: str, end: UpstreamEnd) -> None:
        response = REJECTED if host in self.rejecting else SERVED
        end.send(response % self.extra_headers[host])

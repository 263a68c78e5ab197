"""A fleet whose ways to the store and to replicas go through the proxy."""

from __future__ import annotations

import time
from contextlib import suppress
from enum import StrEnum
from functools import partial
from http.client import HTTPException
from itertools import count, cycle
from typing import TYPE_CHECKING, Any

from pondquay_standins.processes import HOST, call_http, pick_port, wait_until
from pondquay_standins.routedfleet import (
    DEFAULT_TIMEOUT_SECONDS,
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    RoutedFleet,
    make_configuration,
)
from pondquay_standins.soak.proxies import ProxyFault

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pondquay_standins.routedfleet import Relay

RELAYS = ("r1", "r2", "r3")
REPLICAS = {
    "e1": ENGINE_SERVICE,
    "e2": ENGINE_SERVICE,
    "e3": ENGINE_SERVICE,
    "p1": PLAIN_SERVICE,
    "p2": PLAIN_SERVICE,
}
FIRST_PREPAID = 30_000
TOP_UP_TOKENS = 4_000
# Below what callers wait for an answer, and what a planned stop takes.
REVIEW_SECONDS = 3
# Between two tries of a caller that sends the same again.
RETRY_DELAY_SECONDS = 0.2
# After which a request of each route ends, as the configuration says.
ROUTE_SECONDS = {
    "audit": DEFAULT_TIMEOUT_SECONDS,
    "review": REVIEW_SECONDS,
    "fetch": DEFAULT_TIMEOUT_SECONDS,
    "write": DEFAULT_TIMEOUT_SECONDS,
}
# What another writer may put into the list of upstreams.
ODD_VALUES: tuple[Any, ...] = (
    "text",
    7,
    ["list"],
    None,
    {},
    {"service": PLAIN_SERVICE, "address": 80, "state": "ready"},
    {"service": {"name": PLAIN_SERVICE}, "address": f"{HOST}:1", "state": "resting"},
)


def _is_ready(relay: Relay) -> bool:
    return relay.ready


class RelayState(StrEnum):
    """What was done to a relay."""

    UP = "up"
    PAUSED = "paused"
    STOPPING = "stopping"
    GONE = "gone"


class SoakFleet(RoutedFleet):
    """Three relays before five replicas, with a proxy between all and the store.

    :ivar states: what was done to each relay
    :ivar drained: replicas that leave; their names never come back
    :ivar prepaid: tokens of the workspace now; they are only raised
    """

    def __init__(self) -> None:
        super().__init__()
        self._control = pick_port()
        self._store_lines = {name: pick_port() for name in RELAYS}
        self._replica_lines = {name: pick_port() for name in REPLICAS}
        self.drained: set[str] = set()
        self.states = dict.fromkeys(RELAYS, RelayState.UP)
        self.prepaid = FIRST_PREPAID
        self.version = 0
        self.daemon = "pondquay_standins.suspendable"
        self._foreign = count()

    def find_store_port(self, relay: str) -> int:
        """Return the proxy's port for a relay's calls of the store."""
        return self._store_lines[relay]

    def start(self) -> None:
        """Start the replicas, the proxy and the relays."""
        for name, service in REPLICAS.items():
            self.start_replicas(service, name)
        targets = {self._store_lines[name]: self.store_port for name in RELAYS}
        for name, port in self._replica_lines.items():
            targets[port] = self.replica_ports[name]
        maps = [f"{listen}:{target}" for listen, target in targets.items()]
        arguments = [part for one in maps for part in ("--map", one)]
        arguments += ["--control", str(self._control)]
        self.spawn("proxy", "pondquay_standins.soak.proxies", {}, *arguments)
        url = f"http://{HOST}:{self._control}/ready"
        wait_until(lambda: call_http("GET", url).status == 200, "the proxy")
        for name in REPLICAS:
            self.list_replica(name, "ready")
        self.configure_next(FIRST_PREPAID)
        for name in RELAYS:
            self.start_relay(name, wait=False)
        for relay in self.relays.values():
            wait_until(partial(_is_ready, relay), f"relay {relay.name}")

    def list_replica(self, name: str, state: str) -> None:
        """Write a replica's row, with the proxy's address."""
        self.control("list", name=name, port=self._replica_lines[name], state=state)

    def drain(self, name: str) -> None:
        """Let a replica say that it leaves, if it is not the last of its service."""
        if self._may_leave(name):
            self.drained.add(name)
            self.list_replica(name, "draining")

    def leave(self, name: str) -> None:
        """Let a replica leave without a word; it serves on."""
        if self._may_leave(name):
            self.drained.add(name)
            self.unlist_replica(name)

    def say_leaving(self, name: str) -> bool:
        """Let a replica say that it leaves in its answers alone; tell whether it may.

        It writes so into its row later.
        """
        if not self._may_leave(name):
            return False
        self.drained.add(name)
        self.control("say-leaving", name=name)
        return True

    def unlist_replica(self, name: str) -> None:
        """Delete a replica's row."""
        self.control("delete", table="servers", key=name)

    def end_lapse(self, name: str) -> None:
        """Have a replica whose row lapsed write it again."""
        if name not in self.drained:
            self.list_replica(name, "ready")

    def ask_again(self, path: str, seconds: float) -> None:
        """Have a caller send a request to one relay after the other for a while."""
        until = time.monotonic() + seconds
        relays = cycle(RELAYS)
        while time.monotonic() < until:
            with suppress(OSError, HTTPException):
                self.send_request(self.relays[next(relays)], path)
            time.sleep(RETRY_DELAY_SECONDS)

    def put_foreign_row(self) -> str:
        """Write a row that names no replica; return its key."""
        number = next(self._foreign)
        key = f"foreign-{number}"
        self._put_odd(key, number)
        return key

    def overwrite_row(self, name: str) -> None:
        """Write something else over a replica's row."""
        self._put_odd(name, next(self._foreign))

    def _put_odd(self, key: str, number: int) -> None:
        value = ODD_VALUES[number % len(ODD_VALUES)]
        self.control("put", table="servers", key=key, value=value)

    def list_remaining(self) -> list[str]:
        """Return the replicas that do not leave."""
        return [one for one in REPLICAS if one not in self.drained]

    def _may_leave(self, name: str) -> bool:
        """Tell whether another replica of its service remains."""
        service = REPLICAS[name]
        others = [one for one in self.list_remaining() if one != name]
        return any(REPLICAS[one] == service for one in others)

    def is_ready(self, name: str) -> bool:
        """Tell whether a relay says that it is ready."""
        try:
            return self.relays[name].ready
        except OSError:
            return False

    def configure_next(self, prepaid: int) -> None:
        """Write a newer configuration."""
        self.prepaid = prepaid
        self.version += 1
        self.configure(make_configuration(self.version, prepaid, REVIEW_SECONDS))

    def set_line_fault(self, name: str, fault: str) -> None:
        """Begin or end a fault on a relay's way to the store, or one to a replica."""
        ports = {**self._store_lines, **self._replica_lines}
        body = {"port": ports[name], "fault": fault}
        call_http("POST", f"http://{HOST}:{self._control}/fault", body)

    def end_line_faults(self) -> None:
        """End the faults of all lines."""
        for name in (*RELAYS, *REPLICAS):
            self.set_line_fault(name, ProxyFault.NONE.value)

    def open_ports(self) -> Sequence[tuple[str, int]]:
        """Return the relays to which a balancer sends connections, with their ports."""
        chosen = [
            (name, self.relays[name].port)
            for name, state in self.states.items()
            if state in (RelayState.UP, RelayState.PAUSED)
        ]
        return chosen or [(name, one.port) for name, one in self.relays.items()]

"""A fleet whose connections to the store and to replicas pass through a proxy."""

from __future__ import annotations

import time
from contextlib import suppress
from enum import StrEnum
from http.client import HTTPException
from itertools import count, cycle
from typing import TYPE_CHECKING, Any

from pondquay_standins.partitionable import PORTS_VARIABLE
from pondquay_standins.processes import HOST, call_http, pick_port, wait_until
from pondquay_standins.routedfleet import (
    DEFAULT_TIMEOUT_SECONDS,
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    RoutedFleet,
    make_configuration,
)
from pondquay_standins.soak.callers import CRASHING_PROMPT_TOKENS
from pondquay_standins.soak.proxies import ProxyFault

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pondquay_standins.soak.sizes import FleetSize

INITIAL_IDLE_SECONDS = 10.0
TOP_UP_TOKENS = 4_000
# Less than the callers' timeout and the time limit of a planned stop.
REVIEW_TIMEOUT_SECONDS = 3
RETRY_DELAY_SECONDS = 0.2
# Request timeouts of the routes, as in the configuration.
ROUTE_TIMEOUT_SECONDS = {
    "audit": DEFAULT_TIMEOUT_SECONDS,
    "review": REVIEW_TIMEOUT_SECONDS,
    "fetch": DEFAULT_TIMEOUT_SECONDS,
    "write": DEFAULT_TIMEOUT_SECONDS,
}
# Replicas at which a request may run, as in the configuration.
ROUTE_ATTEMPTS = {"audit": 2, "review": 1, "fetch": 2, "write": 2}
RETRY_WINDOW_SECONDS = 4.0
RETRY_EXTRA = 48
# Values of rows in the table of upstreams that do not describe an upstream.
MALFORMED_VALUES: tuple[Any, ...] = (
    "text",
    7,
    ["list"],
    None,
    {},
    {"service": PLAIN_SERVICE, "address": 80, "state": "ready"},
    {"service": {"name": PLAIN_SERVICE}, "address": f"{HOST}:1", "state": "resting"},
)


class RelayState(StrEnum):
    """The state that the soak has put a relay into."""

    UP = "up"
    SLOW = "slow"
    PAUSED = "paused"
    STOPPING = "stopping"
    KILLED = "gone"


class SoakFleet(RoutedFleet):
    """Relays, and a store and replicas behind a proxy.

    :param size: number of relays and replicas
    :ivar relay_names: the names of all relays
    :ivar services: the service of each replica
    :ivar states: the state of each relay
    :ivar preferred: relay that all callers choose while it is up, empty for any
    :ivar leaving: replicas that were made to leave; they do not return
    :ivar ended: replicas of ``leaving`` that do not run any more
    :ivar renewed: replicas that started again with another software version
    :ivar prepaid: current prepaid tokens of the workspace
    :ivar version: version of the newest configuration
    :ivar idle_seconds: idle limit of callers' connections by version
    """

    def __init__(self, size: FleetSize) -> None:
        super().__init__()
        self.size = size
        self.relay_names = size.relay_names
        self.services = size.services
        self._proxy_control_port = pick_port()
        self._store_proxy_ports = {name: pick_port() for name in self.relay_names}
        self._replica_proxy_ports = {name: pick_port() for name in self.services}
        self.leaving: set[str] = set()
        self.ended: set[str] = set()
        self.renewed: set[str] = set()
        self._successors: dict[str, str] = {}
        # Ports of the replica's proxy and of the replica, for the successor of each.
        self._spare_ports = {
            name: (pick_port(), pick_port())
            for name, service in self.services.items()
            if service == ENGINE_SERVICE
        }
        self._successor_numbers = count(2)
        self.states = dict.fromkeys(self.relay_names, RelayState.UP)
        self.preferred = ""
        self.prepaid = self.size.prepaid
        self.version = 0
        self.idle_seconds = {0: INITIAL_IDLE_SECONDS}
        self.daemon = "pondquay_standins.partitionable"
        self.retry_window, self.retry_extra = RETRY_WINDOW_SECONDS, RETRY_EXTRA
        for name in self.relay_names:
            self.set_environment(name, {})
        self._malformed_numbers = count()
        self._prompt_numbers = count()

    def set_environment(self, relay: str, variables: dict[str, str]) -> None:
        """Set further environment variables of a relay, from its next start on."""
        proxy_ports = [*self._replica_proxy_ports.values()]
        proxy_ports += [port for port, _ in self._spare_ports.values()]
        ports = ",".join(map(str, proxy_ports))
        self.environments[relay] = {PORTS_VARIABLE: ports, **variables}

    def find_store_port(self, relay: str) -> int:
        """Return the proxy port for a relay's connections to the store."""
        return self._store_proxy_ports[relay]

    def start(self) -> None:
        """Start the replicas, the proxy and the relays."""
        for name, service in self.services.items():
            self.start_replicas(service, name, software=self.size.software[name])
        targets = {
            self._store_proxy_ports[name]: self.store_port for name in self.relay_names
        }
        for name, port in self._replica_proxy_ports.items():
            targets[port] = self.replica_ports[name]
        targets.update(self._spare_ports.values())
        mappings = [f"{listen}:{target}" for listen, target in targets.items()]
        arguments = [
            argument for mapping in mappings for argument in ("--map", mapping)
        ]
        arguments += ["--control", str(self._proxy_control_port)]
        self.spawn("proxy", "pondquay_standins.soak.proxycommand", {}, *arguments)
        url = f"http://{HOST}:{self._proxy_control_port}/ready"
        wait_until(lambda: call_http("GET", url).status == 200, "the proxy")
        for name in self.services:
            self.write_row(name, "ready")
        self.configure_next(self.size.prepaid)
        self.start_relays(*self.relay_names)

    def write_row(self, name: str, state: str) -> None:
        """Write a running replica's row with the address of its proxy port."""
        if name in self.ended:
            return
        self.control(
            "list", name=name, port=self._replica_proxy_ports[name], state=state
        )

    def drain(self, name: str) -> None:
        """Mark a replica's row as draining, unless it is the last of its service."""
        if self._can_leave(name):
            self.leaving.add(name)
            self.write_row(name, "draining")

    def leave(self, name: str) -> None:
        """Delete a replica's row, unless it is the last of its service.

        The replica is not drained and continues to serve requests.
        """
        if self._can_leave(name):
            self.leaving.add(name)
            self.delete_row(name)

    def signal_leaving(self, name: str) -> bool:
        """Have a replica signal only in its responses that it is leaving.

        :returns: whether it leaves; the last replica of a service does not
        """
        if not self._can_leave(name):
            return False
        self.leaving.add(name)
        self.control("say-leaving", name=name)
        return True

    def find_successor(self, target: str) -> str:
        """Return the replica that has replaced one, or the target if there is none."""
        while target in self._successors:
            target = self._successors[target]
        return target

    def list_running(self, service: str) -> list[str]:
        """Return the replicas of a service that have not ended."""
        return [
            name
            for name, other in self.services.items()
            if other == service and name not in self.ended
        ]

    def renew(self, name: str, software: str) -> None:
        """Restart a replica under its name and address with another version."""
        self.renewed.add(name)
        self.control("end", name=name)
        self._start_replica(name, software)

    def succeed(self, name: str, software: str, *, at_address: bool) -> None:
        """Start a replica that replaces another one.

        :param at_address: whether it starts at the other's address, which has ended
        """
        successor = f"{name.partition('-')[0]}-{next(self._successor_numbers)}"
        ports = self._replica_proxy_ports[name], self.replica_ports[name]
        spare = self._spare_ports.pop(name)
        if not at_address:
            ports, spare = spare, ports
        self._successors[name] = successor
        self._spare_ports[successor] = spare
        self._replica_proxy_ports[successor], self.replica_ports[successor] = ports
        self.services[successor] = self.services[name]
        self._start_replica(successor, software)

    def end_replica(self, name: str) -> None:
        """End a replica for good and delete its row."""
        self.leaving.add(name)
        self.ended.add(name)
        self.control("end", name=name)
        self.delete_row(name)

    def _start_replica(self, name: str, software: str) -> None:
        self.control(
            "start",
            name=name,
            service=self.services[name],
            zone="a",
            port=self.replica_ports[name],
            listed_port=self._replica_proxy_ports[name],
            software=software,
        )

    def delete_row(self, key: str) -> None:
        """Delete a row from the table of upstreams."""
        self.control("delete", table="servers", key=key)

    def restore_row(self, name: str) -> None:
        """Write a replica's row again, unless the replica is leaving."""
        if name not in self.leaving:
            self.write_row(name, "ready")

    def send_repeatedly(self, path: str, seconds: float) -> None:
        """Send a request to each relay in turn, repeatedly, for some seconds."""
        until = time.monotonic() + seconds
        relays = cycle(self.relay_names)
        while time.monotonic() < until:
            with suppress(OSError, HTTPException):
                self.send_request(self.relays[next(relays)], path)
            time.sleep(RETRY_DELAY_SECONDS)

    def send_crashing_prompts(self, part: str, seconds: float) -> None:
        """Send new requests with a crashing part to each relay in turn."""
        until = time.monotonic() + seconds
        relays = cycle(self.relay_names)
        while time.monotonic() < until:
            number = next(self._prompt_numbers)
            parts = (f"a{number % 3}", part, f"c{number:x}")
            with suppress(OSError, HTTPException):
                self.send_request(
                    self.relays[next(relays)],
                    f"/audit/{number}",
                    tokens=(CRASHING_PROMPT_TOKENS, 3),
                    parts=parts,
                    events=1,
                )
            time.sleep(RETRY_DELAY_SECONDS)

    def put_foreign_row(self) -> str:
        """Add a malformed row that belongs to no replica, and return its key."""
        number = next(self._malformed_numbers)
        key = f"foreign-{number}"
        self._put_malformed(key, number)
        return key

    def overwrite_row(self, name: str) -> None:
        """Overwrite a replica's row with a malformed value."""
        self._put_malformed(name, next(self._malformed_numbers))

    def _put_malformed(self, key: str, number: int) -> None:
        value = MALFORMED_VALUES[number % len(MALFORMED_VALUES)]
        self.control("put", table="servers", key=key, value=value)

    def list_remaining(self) -> list[str]:
        """Return the replicas that are not leaving."""
        return [name for name in self.services if name not in self.leaving]

    def _can_leave(self, name: str) -> bool:
        """Return whether a replica runs and another of its service remains."""
        if name in self.ended:
            return False
        service = self.services[name]
        others = [other for other in self.list_remaining() if other != name]
        return any(self.services[other] == service for other in others)

    def is_ready(self, name: str) -> bool:
        """Return whether a relay reports that it is ready."""
        try:
            return self.relays[name].ready
        except OSError:
            return False

    @property
    def idle_limit(self) -> float:
        """The idle limit of the newest configuration, in seconds."""
        return self.idle_seconds[self.version]

    def configure_next(self, prepaid: int, idle_seconds: float | None = None) -> None:
        """Write the next version of the configuration.

        :param prepaid: prepaid tokens of the workspace
        :param idle_seconds: idle limit of callers' connections, ``None`` to keep it
        """
        idle_limit = self.idle_limit if idle_seconds is None else idle_seconds
        version = self.version + 1
        self.idle_seconds[version] = idle_limit
        self.prepaid, self.version = prepaid, version
        self.configure(
            make_configuration(version, prepaid, REVIEW_TIMEOUT_SECONDS, idle_limit)
        )

    def set_proxy_fault(self, name: str, fault: str) -> None:
        """Set or clear a fault of proxied connections.

        :param name: a replica, for connections to it, or a relay, for its connections
            to the store
        """
        ports = {**self._store_proxy_ports, **self._replica_proxy_ports}
        body = {"port": ports[name], "fault": fault}
        call_http("POST", f"http://{HOST}:{self._proxy_control_port}/fault", body)

    def clear_proxy_faults(self) -> None:
        """Clear the faults of all connections through the proxy."""
        for name in (*self.relay_names, *self.services):
            self.set_proxy_fault(name, ProxyFault.NONE.value)

    def list_endpoints(self) -> Sequence[tuple[str, int]]:
        """Return names and ports of the relays that a load balancer would use.

        If all are stopping or killed, return all of them.
        """
        chosen = [
            (name, self.relays[name].port)
            for name, state in self.states.items()
            if state in (RelayState.UP, RelayState.SLOW, RelayState.PAUSED)
        ]
        preferred = [endpoint for endpoint in chosen if endpoint[0] == self.preferred]
        chosen = preferred or chosen
        return chosen or [(name, relay.port) for name, relay in self.relays.items()]

"""Relays in front of replicas whose software versions follow one another."""

from __future__ import annotations

from functools import partial
from itertools import count
from typing import TYPE_CHECKING

from pondquay_standins.processes import pick_port, wait_until
from pondquay_standins.replicafaults import ReplicaFault
from pondquay_standins.routedfleet import (
    ENGINE_SERVICE,
    RoutedFleet,
    make_configuration,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from random import Random

    from pondquay_standins.routedfleet import Relay

RELAYS = ("r1", "r2", "r3", "r4")
REPLICAS = 4
PREPAID_TOKENS = 100_000_000
# Much longer than a stream, so that only what a run does breaks streams off.
TIMEOUT_SECONDS = 20
# Factor of the replicas' delays, with which a stream lasts for about 1.2 s.
PACE = 4.0


class ReleaseFleet(RoutedFleet):
    """Relays in front of replicas whose software versions follow one another.

    :param environment: extra environment variables of the relays
    :ivar serving: names of the running replicas
    """

    def __init__(self, random: Random, environment: Mapping[str, str]) -> None:
        super().__init__()
        self.serving: list[str] = []
        self._random = random
        self._numbers = count()
        self._versions = (f"v{number}" for number in count(1))
        self.environments = dict.fromkeys(RELAYS, dict(environment))

    def start(self) -> None:
        """Start relays; replicas are started before."""
        configuration = make_configuration(1, PREPAID_TOKENS)
        for route in configuration["routes"]:
            route["timeout_ms"] = TIMEOUT_SECONDS * 1000
        self.configure(configuration)
        self.start_relays(*RELAYS)

    def start_version(self, replicas: int = REPLICAS) -> list[str]:
        """Start new replicas of the next version, and return their names."""
        return self.start_at([pick_port() for _ in range(replicas)])

    def start_at(self, ports: Iterable[int]) -> list[str]:
        """Start new replicas of the next version at ports, and return their names."""
        software, names = next(self._versions), []
        for port in ports:
            names.append(name := f"e{next(self._numbers)}")
            self.replica_ports[name] = port
            self._start_replica(name, software)
        self.serving += names
        return names

    def renew(self, names: Iterable[str]) -> None:
        """Restart replicas under their names and addresses with the next version."""
        software = next(self._versions)
        for name in self._shuffle(names):
            self.control("end", name=name)
            self._start_replica(name, software)

    def announce(self, names: Iterable[str]) -> None:
        """Have replicas announce in their rows that they leave."""
        for name in self._shuffle(names):
            self.control(
                "list", name=name, port=self.replica_ports[name], state="draining"
            )

    def remove(self, names: Iterable[str]) -> None:
        """End replicas and delete their rows."""
        for name in self._shuffle(names):
            self.control("end", name=name)
            self.control("delete", table="servers", key=name)
            self.serving.remove(name)

    def end(self, names: Iterable[str]) -> None:
        """End replicas, whose rows stay until they are removed."""
        for name in self._shuffle(names):
            self.control("end", name=name)

    def break_off(self, names: Iterable[str]) -> None:
        """Have replicas break each stream off after some events."""
        for name in names:
            self.control("replica", name=name, fault=ReplicaFault.CUT.value)

    def kill_all(self) -> None:
        """Kill all relays at once."""
        for relay in self.relays.values():
            relay.process.popen.kill()
        for relay in self.relays.values():
            relay.process.kill()

    def restart_all(self) -> None:
        """Start all relays again, without waiting for them."""
        for name in self._shuffle(RELAYS):
            self.start_relay(name, wait=False)

    def wait_until_ready(self) -> None:
        """Wait until all relays are ready."""
        for relay in self.relays.values():
            wait_until(partial(_is_ready, relay), f"relay {relay.name}")

    def _start_replica(self, name: str, software: str) -> None:
        self.control(
            "start",
            name=name,
            service=ENGINE_SERVICE,
            zone="a",
            port=self.replica_ports[name],
            software=software,
            pace=PACE,
        )

    def _shuffle(self, names: Iterable[str]) -> list[str]:
        return self._random.sample(shuffled := list(names), len(shuffled))


def _is_ready(relay: Relay) -> bool:
    return relay.ready

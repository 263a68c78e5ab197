"""One run: relays in front of misbehaving replicas, and callers."""

from __future__ import annotations

import signal
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from signal import SIGUSR2
from typing import TYPE_CHECKING

from pondquay_standins.hostile.callers import HostileCaller, make_configuration
from pondquay_standins.hostile.checks import (
    RETRY_WINDOW_SECONDS,
    count_statuses,
    find_all,
)
from pondquay_standins.hostile.disturbances import FREEZE_SECONDS
from pondquay_standins.hostile.exchanges import Visit
from pondquay_standins.partitionable import PORTS_VARIABLE
from pondquay_standins.processes import HOST, call_http, pick_port, wait_until
from pondquay_standins.routedfleet import ENGINE_SERVICE, PLAIN_SERVICE, RoutedFleet

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pondquay_standins.hostile.callers import HostileCall
    from pondquay_standins.hostile.checks import Finding
    from pondquay_standins.routedfleet import Relay

RELAYS = ("r1", "r2")
CALLERS = 8
RETRY_EXTRA = 56
# Replicas of each service that misbehave; one more is sound. A replica that refuses is
# left alone for a while, so fewer would see few requests.
HOSTILE_REPLICAS = 6
SOUND = "sound"
SIGNAL_PAUSE_SECONDS = 0.5
STOP_SECONDS = 4
PAUSED_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class HostilePlan:
    """What a run does.

    :param behaviours: what the misbehaving replicas of a service do, in turn
    :param requests: number of requests that each caller sends
    :param cut_off: whether the first relay reaches replicas through gateways only
    :param signals: signals that the relays receive one after another
    :param environment: extra environment variables of the relays
    """

    behaviours: tuple[str, ...]
    seed: int
    requests: int
    cut_off: bool = False
    signals: tuple[str, ...] = ()
    environment: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HostileResult:
    """What a run found.

    :ivar memory: the most memory that a relay used, in MB
    :ivar tunnels: number of connections that relays opened for each other
    :ivar mismatched: number of responses that belonged to another request
    """

    plan: HostilePlan
    calls: list[HostileCall]
    visits: list[Visit]
    findings: list[Finding]
    memory: float
    errors: list[str]
    tunnels: int
    mismatched: int

    def __str__(self) -> str:
        plan = self.plan
        rules = dict(Counter(finding.rule for finding in self.findings))
        statuses = dict(sorted(count_statuses(self.calls).items()))
        ran = sum(visit.ran for visit in self.visits)
        words = [
            "+".join(plan.behaviours),
            *(["cut-off"] if plan.cut_off else []),
            *plan.signals,
            f"seed {plan.seed}:",
            f"{len(self.calls)} calls {statuses},",
            f"{len(self.visits)} arrivals, {ran} runs, {self.tunnels} tunnels,",
            f"{self.mismatched} mismatched, {self.memory:.0f} MB,",
            f"{len(self.errors)} errors, findings {rules}",
        ]
        return " ".join(words)


class HostileFleet(RoutedFleet):
    """Relays in front of replicas that misbehave."""

    def __init__(self) -> None:
        super().__init__()
        self.platform = "pondquay_standins.hostile.platform"
        self.retry_extra = RETRY_EXTRA
        self.retry_window = RETRY_WINDOW_SECONDS
        self.stop_seconds = STOP_SECONDS
        self.daemon = "pondquay_standins.partitionable"

    def start_hostile(self, name: str, service: str, behaviour: str, seed: int) -> None:
        """Start a replica and write its row to the store."""
        self.replica_ports[name] = pick_port()
        self.control(
            "hostile",
            name=name,
            service=service,
            behaviour=behaviour,
            port=self.replica_ports[name],
            seed=seed,
        )

    def visits(self) -> list[Visit]:
        """Return the requests that arrived at misbehaving replicas."""
        url = f"http://{HOST}:{self.control_port}/visits"
        return [Visit(**visit) for visit in call_http("GET", url).json()]


def run_plan(plan: HostilePlan) -> HostileResult:
    """Run callers against relays and misbehaving replicas, and check the outcome."""
    with HostileFleet() as fleet:
        for number, service in enumerate((ENGINE_SERVICE, PLAIN_SERVICE)):
            for index in range(HOSTILE_REPLICAS):
                seed = plan.seed * 10 + number * HOSTILE_REPLICAS + index
                name = f"{service}-{index}"
                behaviour = plan.behaviours[index % len(plan.behaviours)]
                fleet.start_hostile(name, service, behaviour, seed)
            fleet.start_hostile(f"{service}-sound", service, SOUND, plan.seed)
        fleet.configure(make_configuration())
        ports = ",".join(map(str, fleet.replica_ports.values()))
        for name in RELAYS:
            fleet.environments[name] = {PORTS_VARIABLE: ports, **plan.environment}
        fleet.start_relays(*RELAYS)
        for relay in fleet.relays.values():
            # A relay that is ready still refuses streams until it has tokens.
            wait_until(lambda: len(_holders(fleet)) == len(RELAYS), "tokens")
            wait_until(
                lambda relay=relay: (
                    "pondquay_peers 1.0" in relay.fetch_report("/metrics")
                ),  # type: ignore[misc]
                "links",
            )
        if plan.cut_off:
            fleet.relays[RELAYS[0]].process.popen.send_signal(SIGUSR2)
        calls = _call(fleet, plan)
        memory = max(_read_memory(relay.process.pid) for relay in fleet.relays.values())
        tunnels = sum(_count_tunnels(relay) for relay in fleet.relays.values())
        # What a replica has not read yet may still run.
        time.sleep(FREEZE_SECONDS)
        visits = fleet.visits()
        errors = fleet.list_internal_errors()
        logs = [relay.process.log.read_text() for relay in fleet.relays.values()]
        mismatched = sum(log.count("event=response-mismatched") for log in logs)
    findings = find_all(calls, visits, RETRY_EXTRA)
    return HostileResult(
        plan, calls, visits, findings, memory, errors, tunnels, mismatched
    )


def _holders(fleet: RoutedFleet) -> Mapping[str, object]:
    holders: Mapping[str, object] = fleet.allotments("moderators").get("holders", {})
    return holders


def _call(fleet: HostileFleet, plan: HostilePlan) -> list[HostileCall]:
    """Send requests for some time, and return the calls."""
    stopping: set[str] = set()

    def list_relays() -> list[tuple[str, int]]:
        return [
            (relay.name, relay.port)
            for relay in fleet.relays.values()
            if relay.name not in stopping
        ]

    callers = [
        HostileCaller(
            f"c{number}", plan.seed * 100 + number, plan.requests, list_relays
        )
        for number in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    signals = list(plan.signals)
    while any(caller.running for caller in callers):
        time.sleep(SIGNAL_PAUSE_SECONDS)
        if signals:
            # A relay that starts again is not cut off, so only its gateway ends.
            targets = RELAYS[1:] if plan.cut_off else RELAYS
            name = targets[len(signals) % len(targets)]
            _send_signal(fleet, name, signals.pop(0), stopping)
    return [call for caller in callers for call in caller.calls]


def _send_signal(
    fleet: HostileFleet, name: str, number: str, stopping: set[str]
) -> None:
    """Send a relay a signal, and start or resume it if it ends or stops with it."""
    process = fleet.relays[name].process
    if number == "SIGSTOP":
        process.pause()
        time.sleep(PAUSED_SECONDS)
        process.resume()
        return
    stopping.add(name)
    process.popen.send_signal(getattr(signal, number))
    if number != "SIGHUP":
        process.popen.wait()
        fleet.start_relay(name)
    stopping.discard(name)


def _count_tunnels(relay: Relay) -> int:
    """Return how many connections a relay has opened for its peers."""
    name = 'pondquay_tunnels_served_total{end="opened"} '
    lines = relay.fetch_report("/metrics").splitlines()
    return sum(int(float(line.split()[-1])) for line in lines if line.startswith(name))


def _read_memory(pid: int) -> float:
    """Return the most memory that a process has used, in MB."""
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / 1024
    return 0.0

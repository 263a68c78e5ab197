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
from pondquay_standins.hostile.checks import count_statuses, find_all
from pondquay_standins.hostile.exchanges import Visit
from pondquay_standins.partitionable import PORTS_VARIABLE
from pondquay_standins.processes import HOST, call_http, pick_port, wait_until
from pondquay_standins.routedfleet import ENGINE_SERVICE, PLAIN_SERVICE, RoutedFleet

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pondquay_standins.hostile.callers import HostileCall
    from pondquay_standins.hostile.checks import Finding

RELAYS = ("r1", "r2")
CALLERS = 8
RETRY_EXTRA = 56
# Replicas of each service that misbehave; one more is sound.
HOSTILE_REPLICAS = 2
SOUND = "sound"
SIGNAL_PAUSE_SECONDS = 1.0
STOP_SECONDS = 4


@dataclass(frozen=True, slots=True)
class HostilePlan:
    """What a run does.

    :param behaviour: what the misbehaving replicas do
    :param seconds: how long callers send requests
    :param cut_off: whether the first relay reaches replicas through gateways only
    :param signals: signals that the relays receive one after another
    :param environment: extra environment variables of the relays
    """

    behaviour: str
    seed: int
    seconds: float
    cut_off: bool = False
    signals: tuple[str, ...] = ()
    environment: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HostileResult:
    """What a run found.

    :ivar memory: the most memory that a relay used, in MB
    """

    plan: HostilePlan
    calls: list[HostileCall]
    visits: list[Visit]
    findings: list[Finding]
    memory: float
    errors: list[str]

    def __str__(self) -> str:
        rules = Counter(finding.rule for finding in self.findings)
        statuses = dict(sorted(count_statuses(self.calls).items()))
        ran = sum(visit.ran for visit in self.visits)
        return (
            f"{self.plan.behaviour} {'cut-off ' if self.plan.cut_off else ''}"
            f"{'+'.join(self.plan.signals)} seed {self.plan.seed}: "
            f"{len(self.calls)} calls {statuses}, {len(self.visits)} arrivals, "
            f"{ran} runs, {self.memory:.0f} MB, errors {len(self.errors)}, "
            f"findings {dict(rules)}"
        )


class HostileFleet(RoutedFleet):
    """Relays in front of replicas that misbehave."""

    def __init__(self) -> None:
        super().__init__()
        self.platform = "pondquay_standins.hostile.platform"
        self.retry_extra = RETRY_EXTRA
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
                fleet.start_hostile(name, service, plan.behaviour, seed)
            fleet.start_hostile(f"{service}-sound", service, SOUND, plan.seed)
        fleet.configure(make_configuration())
        ports = ",".join(map(str, fleet.replica_ports.values()))
        for name in RELAYS:
            fleet.environments[name] = {PORTS_VARIABLE: ports, **plan.environment}
            fleet.start_relay(name, wait=False)
        for relay in fleet.relays.values():
            wait_until(lambda relay=relay: relay.ready, f"relay {relay.name}")  # type: ignore[misc]
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
        visits = fleet.visits()
        errors = fleet.list_internal_errors()
    findings = find_all(calls, visits, RETRY_EXTRA)
    return HostileResult(plan, calls, visits, findings, memory, errors)


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
        HostileCaller(f"c{number}", plan.seed * 100 + number, list_relays)
        for number in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    until = time.monotonic() + plan.seconds
    signals = list(plan.signals)
    while time.monotonic() < until:
        time.sleep(min(SIGNAL_PAUSE_SECONDS, max(0.0, until - time.monotonic())))
        if signals:
            name = RELAYS[len(signals) % len(RELAYS)]
            _send_signal(fleet, name, signals.pop(0), stopping)
    for caller in callers:
        caller.request_stop()
    for caller in callers:
        caller.join()
    return [call for caller in callers for call in caller.calls]


def _send_signal(
    fleet: HostileFleet, name: str, number: str, stopping: set[str]
) -> None:
    """Send a relay a signal, and start it again if it ends with it."""
    process = fleet.relays[name].process
    stopping.add(name)
    process.popen.send_signal(getattr(signal, number))
    if number != "SIGHUP":
        process.popen.wait()
        fleet.start_relay(name)
    stopping.discard(name)


def _read_memory(pid: int) -> float:
    """Return the most memory that a process has used, in MB."""
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / 1024
    return 0.0

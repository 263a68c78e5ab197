"""One run of the soak: inject a seed's faults under load, then check invariants."""

from __future__ import annotations

import json
import shutil
import time
from collections import Counter
from dataclasses import asdict, dataclass, field, replace
from functools import partial
from heapq import heappop, heappush
from itertools import count
from pathlib import Path
from random import Random
from signal import SIGUSR1, SIGUSR2
from threading import Thread
from typing import TYPE_CHECKING

from pondquay_cli.logfiles import read_events
from pondquay_standins.replicas import CRASHING_PART_PREFIX
from pondquay_standins.soak.builds import CURRENT_BUILD
from pondquay_standins.soak.buildspans import BuildSpans
from pondquay_standins.soak.callers import Caller
from pondquay_standins.soak.finalchecks import CRASHING_PATH_PREFIX, FinalChecks
from pondquay_standins.soak.fleet import (
    TOP_UP_TOKENS,
    RelayState,
    SoakFleet,
)
from pondquay_standins.soak.invariants import Violation, check_all
from pondquay_standins.soak.limits import check_limits
from pondquay_standins.soak.loads import UnevenLoad
from pondquay_standins.soak.lostrequests import (
    RelayRecords,
    check_broken,
    check_lost,
    list_limits,
)
from pondquay_standins.soak.ownstalls import OwnStalls
from pondquay_standins.soak.partitionbreaks import (
    PartitionBreaks,
    list_begun_breaks,
    list_gateway_breaks,
)
from pondquay_standins.soak.plannedstops import PlannedStop, check_stops
from pondquay_standins.soak.proxies import ProxyFault
from pondquay_standins.soak.restingcallers import RestingCaller
from pondquay_standins.soak.schedules import (
    LOAD_KINDS,
    SERIES_KINDS,
    SILENCE_KINDS,
    FaultKind,
    PlannedFault,
    draw_idle_limit,
    plan_faults,
    plan_replacements,
)
from pondquay_standins.soak.series import SeriesFaults
from pondquay_standins.soak.sizes import FleetSize
from pondquay_standins.soak.streams import check_continuing, check_versions
from pondquay_standins.soak.upstreamsignals import (
    Disturbance,
    Disturbances,
    check_upstream_signals,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from pondquay_standins.processes import Process
    from pondquay_standins.soak.builds import Build
    from pondquay_standins.soak.callers import Call

CALLER_COUNT = 4
POWER_LOSS_SEED_OFFSET = 9_000_000
# Changes of the configuration right before all relays lose power.
LAST_CHANGES = 4
INTERNAL_ERROR_INVARIANT = "a relay has no internal errors"
# Back-off that a replica asks for in its responses.
BACKOFF_SECONDS = 2
# Added to the duration of a reported limit, since its check begins after a grace period
# and needs a full window.
EXTRA_LIMIT_SECONDS = 8.0
REPLACE_RETRY_SECONDS = 0.5
DEFAULT_SIZE = FleetSize()
LOG_FOLDER = Path("var") / "soak"


@dataclass
class SoakResult:
    """The result of one run.

    :param statuses: number of calls by status, 0 for those without a response
    :param faults: number of planned faults
    """

    seed: int
    statuses: Counter[int]
    faults: int
    violations: list[Violation] = field(default_factory=list)

    def __str__(self) -> str:
        counts = sorted(self.statuses.items())
        statuses = " ".join(f"{status}:{number}" for status, number in counts)
        verdict = "ok" if not self.violations else "; ".join(map(str, self.violations))
        return f"seed {self.seed}: {self.faults} faults, {statuses}: {verdict}"


class SoakRun:
    """Injects faults while callers send requests, and checks invariants.

    :param seconds: length of the period in which faults begin
    :param old_build: the build that all relays start with; they are upgraded to the
        current one and downgraded again. ``None`` to use the current build only
    :param size: size of the fleet and of the load
    :param kinds: kinds of the planned faults that are injected
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        old_build: Build | None = None,
        size: FleetSize = DEFAULT_SIZE,
        kinds: Collection[FaultKind] = tuple(FaultKind),
    ) -> None:
        self._seed = seed
        planned = plan_faults(seed, seconds, size.relay_names, size.fault_targets)
        self._planned = [fault for fault in planned if fault.kind in kinds]
        self._fleet = SoakFleet(size)
        self._old_build = old_build
        self._builds = BuildSpans()
        self._next_builds: dict[str, Build] = {}
        if old_build is not None:
            replacements = plan_replacements(seconds, size.relay_names)
            self._planned = sorted(
                [*self._planned, *replacements], key=lambda fault: fault.at
            )
            for name in size.relay_names:
                self._set_next_build(name, old_build)
        self._stops: list[PlannedStop] = []
        self._partitioned: set[int] = set()
        self._disturbances: list[Disturbance] = []
        self._partitions: list[Disturbance] = []
        self._cuts: list[Disturbance] = []
        self._lines: list[Disturbance] = []
        self._kills: list[Disturbance] = []
        self._suspensions: list[Disturbance] = []
        self._own_stalls = OwnStalls()
        self._begun: list[tuple[float, PlannedFault]] = []
        self._threads: list[Thread] = []
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        self._load = UnevenLoad(self._fleet, f"s{seed}", self._schedule)
        self._series = SeriesFaults(
            self._fleet, self._schedule, self._disrupt_relay, self._record_disturbance
        )

    def run(self) -> SoakResult:
        """Inject the faults, check the invariants and return the result.

        Logs are saved if an invariant was violated.
        """
        with self._fleet, self._own_stalls:
            for name in self._fleet.relay_names:
                self._record_start(name)
            self._fleet.start()
            callers = [
                Caller(f"s{self._seed}c{number}", number, self._fleet.list_endpoints)
                for number in range(CALLER_COUNT)
            ]
            callers += [
                RestingCaller(
                    f"s{self._seed}r{number}",
                    self._seed + number,
                    self._fleet.list_endpoints,
                    find_idle_limit=lambda: self._fleet.idle_limit,
                )
                for number in range(self._fleet.size.resting_callers)
            ]
            for caller in callers:
                caller.start()
            try:
                self._inject_faults()
                self._lose_power()
            finally:
                for caller in callers:
                    caller.stop()
                late_calls = self._load.finish()
            calls = [call for caller in callers for call in caller.calls]
            calls += late_calls
            violations = [*FinalChecks(self._fleet).run(), *self._check(calls)]
            statuses = Counter(call.status for call in calls)
            result = SoakResult(self._seed, statuses, len(self._planned), violations)
            if violations:
                self._save_logs(result, calls)
        return result

    def _inject_faults(self) -> None:
        """Begin the faults as planned and end each after its duration.

        Limits may outlast this method; ``FinalChecks`` clears them.
        """
        began = time.monotonic()
        for fault in self._planned:
            self._run_scheduled_until(began + fault.at)
            self._begun.append((time.monotonic(), fault))
            self._begin(fault)
        self._run_scheduled_until(
            time.monotonic()
            + max((planned.seconds for planned in self._planned), default=0.0)
        )
        for thread in self._threads:
            thread.join()

    def _run_scheduled_until(self, until: float) -> None:
        """Run scheduled actions when they are due, and return at the given time."""
        while self._scheduled and self._scheduled[0][0] <= until:
            at, _, action = heappop(self._scheduled)
            time.sleep(max(0.0, at - time.monotonic()))
            action()
        time.sleep(max(0.0, until - time.monotonic()))

    def _schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action some seconds from now."""
        heappush(
            self._scheduled, (time.monotonic() + seconds, next(self._sequence), action)
        )

    def _begin(self, fault: PlannedFault) -> None:
        """Begin a fault and schedule its end, if it has one."""
        fleet, target = self._fleet, fault.target
        match fault.kind:
            case FaultKind.STORE:
                fleet.control("store", fault=fault.fault)
                self._schedule(
                    fault.seconds, lambda: fleet.control("store", fault="none")
                )
            case FaultKind.REPLICA | FaultKind.WRONG_RESPONSES:
                fleet.control("replica", name=target, fault=fault.fault)
                self._schedule(
                    fault.seconds,
                    lambda: fleet.control("replica", name=target, fault="none"),
                )
            case FaultKind.STORE_PROXY | FaultKind.REPLICA_PROXY:
                self._record_disturbance(target, fault.seconds)
                began = time.monotonic()
                fleet.set_proxy_fault(target, fault.fault)
                self._schedule(fault.seconds, lambda: self._clear_line(target, began))
            case FaultKind.DRAIN:
                fleet.drain(target)
            case FaultKind.LEAVE:
                fleet.leave(target)
            case FaultKind.MISSING_ROW:
                fleet.delete_row(target)
                self._schedule(fault.seconds, lambda: fleet.restore_row(target))
            case FaultKind.KILL_ALL:
                for name in self._fleet.relay_names:
                    self._disrupt_relay(
                        replace(fault, kind=FaultKind.KILL, target=name)
                    )
            case FaultKind.CONFIGURE:
                fleet.configure_next(fleet.prepaid + TOP_UP_TOKENS)
            case _:
                self._begin_other(fault)

    def _begin_other(self, fault: PlannedFault) -> None:
        """Begin a fault of a kind that ``_begin`` does not handle itself."""
        fleet, target = self._fleet, fault.target
        match fault.kind:
            case FaultKind.CRASH:
                fleet.control("crash", name=target)
            case FaultKind.CRASHING_REQUEST:
                self._send_crashing(fault)
            case FaultKind.FOREIGN_ROW:
                key = fleet.put_foreign_row()
                self._schedule(fault.seconds, lambda: fleet.delete_row(key))
            case FaultKind.OVERWRITTEN_ROW:
                fleet.overwrite_row(target)
                self._schedule(fault.seconds, lambda: fleet.restore_row(target))
            case FaultKind.SUSPEND:
                self._suspend(target)
            case FaultKind.PARTITION:
                self._partition(fault)
            case FaultKind.UPGRADE | FaultKind.DOWNGRADE:
                self._replace_build(fault)
            case kind if kind in (*SILENCE_KINDS, *SERIES_KINDS):
                self._series.begin(fault)
            case kind if kind in LOAD_KINDS:
                self._begin_load(fault)
            case _:
                self._begin_upstream_signal(fault)

    def _is_up(self, name: str) -> bool:
        fleet = self._fleet
        return fleet.states[name] is RelayState.UP and fleet.is_ready(name)

    def _lose_power(self) -> None:
        """Kill all relays at once after a series of changes, and start them again."""
        fleet = self._fleet
        random = Random(self._seed + POWER_LOSS_SEED_OFFSET)
        for _ in range(LAST_CHANGES):
            fleet.configure_next(fleet.prepaid, float(draw_idle_limit(random)))
        began = time.monotonic()
        for name in self._fleet.relay_names:
            fleet.states[name] = RelayState.KILLED
            fleet.relays[name].process.popen.kill()
        for name in self._fleet.relay_names:
            fleet.relays[name].process.kill()
            self._record_kill(name, began)
        for name in self._fleet.relay_names:
            self._restart(name)

    def _record_kill(self, name: str, began: float) -> None:
        """Record that a relay was killed between some time and now."""
        kill = Disturbance(name, began, time.monotonic())
        self._kills.append(kill)
        self._disturbances.append(kill)

    def _begin_load(self, fault: PlannedFault) -> None:
        """Make the load uneven; a slow relay or replica is excused meanwhile."""
        if fault.kind in (FaultKind.SLOW_RELAY, FaultKind.SLOW_REPLICA):
            self._record_disturbance(fault.target, fault.seconds)
        self._load.begin(fault)

    def _begin_upstream_signal(self, fault: PlannedFault) -> None:
        """Have a replica send a signal in its responses, or disrupt a relay."""
        fleet, target = self._fleet, fault.target
        match fault.kind:
            case FaultKind.SIGNAL_LEAVING:
                if fleet.signal_leaving(target):
                    drain = partial(fleet.write_row, target, "draining")
                    self._schedule(fault.seconds, drain)
            case FaultKind.BACKOFF:
                fleet.control("backoff", name=target, seconds=BACKOFF_SECONDS)
                self._schedule(
                    fault.seconds,
                    lambda: fleet.control("backoff", name=target, seconds=0),
                )
            case FaultKind.LIMIT:
                fleet.control("limit", name=target, limit=float(fault.fault))
                self._schedule(
                    fault.seconds + EXTRA_LIMIT_SECONDS,
                    lambda: fleet.control("limit", name=target, limit=None),
                )
            case _:
                self._disrupt_relay(fault)

    def _replace_build(self, fault: PlannedFault) -> None:
        """Restart a relay with the other build, once it is up and ready."""
        name = fault.target
        if not self._is_up(name):
            self._schedule(REPLACE_RETRY_SECONDS, lambda: self._replace_build(fault))
            return
        is_upgrade = fault.kind is FaultKind.UPGRADE
        build = CURRENT_BUILD if is_upgrade else self._old_build
        assert build is not None
        self._set_next_build(name, build)
        self._disrupt_relay(replace(fault, kind=FaultKind.STOP))

    def _set_next_build(self, name: str, build: Build) -> None:
        """Set the build that a relay runs from its next start on."""
        self._next_builds[name] = build
        self._fleet.set_environment(name, build.environment)

    def _record_start(self, name: str) -> None:
        """Record that a relay starts now, with the build set for it."""
        build = self._next_builds.get(name, CURRENT_BUILD)
        self._builds.record_start(name, build, time.monotonic())

    def _send_crashing(self, fault: PlannedFault) -> None:
        """Send a request, and prompts, that crash replicas repeatedly, in threads."""
        number, seconds = next(self._sequence), fault.seconds
        path, part = (
            f"{CRASHING_PATH_PREFIX}{number}",
            f"{CRASHING_PART_PREFIX}-{number}",
        )
        for sender in (
            Thread(target=self._fleet.send_repeatedly, args=(path, seconds)),
            Thread(target=self._fleet.send_crashing_prompts, args=(part, seconds)),
        ):
            sender.start()
            self._threads.append(sender)

    def _suspend(self, name: str) -> None:
        """Simulate the suspension of a relay's host."""
        fleet = self._fleet
        if self._is_up(name):
            self._record_disturbance(name, 0.0)
            self._suspensions.append(self._disturbances[-1])
            fleet.relays[name].process.popen.send_signal(SIGUSR1)

    def _clear_line(self, target: str, began: float) -> None:
        """Clear the fault of a line, which resets connections that lost bytes."""
        self._fleet.set_proxy_fault(target, ProxyFault.NONE.value)
        # A relay has the name of its line to the store, which breaks no response off.
        if target in self._fleet.services:
            self._lines.append(Disturbance(target, began, time.monotonic()))

    def _partition(self, fault: PlannedFault) -> None:
        """Cut a relay off from all replicas, unless it is cut off already."""
        fleet, name = self._fleet, fault.target
        if fleet.states[name] is not RelayState.UP or not fleet.is_ready(name):
            return
        process = fleet.relays[name].process
        if process.pid in self._partitioned:
            return
        self._partitioned.add(process.pid)
        self._record_disturbance(name, fault.seconds)
        self._partitions.append(self._disturbances[-1])
        began = time.monotonic()
        process.popen.send_signal(SIGUSR2)
        self._schedule(fault.seconds, lambda: self._heal(name, process, began))

    def _heal(self, name: str, process: Process, began: float) -> None:
        """End a partition, unless the relay has ended meanwhile."""
        self._cuts.append(Disturbance(name, began, time.monotonic()))
        self._lines.append(self._cuts[-1])
        self._partitioned.discard(process.pid)
        # Does nothing if the process has ended.
        process.popen.send_signal(SIGUSR2)

    def _record_disturbance(self, target: str, seconds: float) -> None:
        """Record a disturbance of a target that begins now and lasts some seconds."""
        now = time.monotonic()
        self._disturbances.append(Disturbance(target, now, now + seconds))

    def _disrupt_relay(self, fault: PlannedFault) -> None:
        """Kill, stop or pause a relay that is up, and start or resume it later."""
        fleet, name = self._fleet, fault.target
        if fleet.states[name] is not RelayState.UP or not fleet.is_ready(name):
            return
        process = fleet.relays[name].process
        self._record_disturbance(name, fault.seconds)
        if fault.kind is FaultKind.PAUSE:
            fleet.states[name] = RelayState.PAUSED
            process.pause()
            self._schedule(fault.seconds, lambda: self._resume(name))
        elif fault.kind is FaultKind.KILL:
            fleet.states[name] = RelayState.KILLED
            began = time.monotonic()
            process.kill()
            self._record_kill(name, began)
            self._schedule(fault.seconds, lambda: self._restart(name))
        else:
            fleet.states[name] = RelayState.STOPPING
            thread = Thread(target=self._stop, args=(name,))
            thread.start()
            self._threads.append(thread)

    def _resume(self, name: str) -> None:
        self._fleet.relays[name].process.resume()
        self._fleet.states[name] = RelayState.UP

    def _restart(self, name: str) -> None:
        self._record_start(name)
        self._fleet.start_relay(name, wait=False)
        self._fleet.states[name] = RelayState.UP

    def _stop(self, name: str) -> None:
        """Stop a relay gracefully, record the stop and start it again."""
        began = time.monotonic()
        status = self._fleet.relays[name].process.stop()
        self._stops.append(PlannedStop(name, began, time.monotonic(), status))
        self._record_disturbance(name, 0.0)
        self._restart(name)

    def _check(self, calls: list[Call]) -> list[Violation]:
        """Return the violations in the records of calls, replicas and relays."""
        violations = check_all(calls, self._fleet.runs(), self._fleet.prepaid)
        arrivals = self._fleet.arrivals()
        builds = self._builds
        injected = self._disturbances
        # Relays are also excused while they run a build without the checked feature.
        signal_excuses = Disturbances(
            [*injected, *builds.list_spans_without("follows_signals")]
        )
        violations += check_upstream_signals(calls, arrivals, signal_excuses)
        limit_excuses = Disturbances(
            [*injected, *builds.list_spans_without("shares_limits")]
        )
        violations += check_limits(calls, arrivals, limit_excuses)
        version_excuses = builds.list_spans_without("keeps_versions")
        violations += check_versions(calls, Disturbances(version_excuses))
        violations += check_continuing(
            calls,
            Disturbances([*injected, *version_excuses]),
            self._fleet.leaving,
        )
        violations += check_stops(self._stops, calls, Disturbances(self._partitions))
        violations += self._check_ends(calls, {arrival.attempt for arrival in arrivals})
        violations += [
            Violation(INTERNAL_ERROR_INVARIANT, "a relay", line)
            for line in self._fleet.list_internal_errors()
        ]
        for name in self._fleet.relay_names:
            violations += self._check_versions(name)
        return violations

    def _check_ends(self, calls: list[Call], passed_on: set[str]) -> list[Violation]:
        """Check how connections and responses ended.

        :param passed_on: the attempts that reached a replica
        """
        fleet = self._fleet
        logs = {
            name: fleet.relays[name].process.log.read_text().splitlines()
            for name in fleet.relay_names
        }
        limits = [
            limit
            for name, lines in logs.items()
            for limit in list_limits(name, lines, fleet.idle_seconds)
        ]
        gateway_breaks = [
            found
            for name, lines in logs.items()
            for found in list_gateway_breaks(name, lines)
        ]
        begun_breaks = [
            found
            for name, lines in logs.items()
            for found in list_begun_breaks(name, lines)
        ]
        partitions = Disturbances(self._cuts)
        records = RelayRecords(
            self._kills,
            self._suspensions,
            self._stops,
            limits,
            fleet.stop_seconds,
            self._own_stalls,
        )
        crashes = [Disturbance(name, at, at) for name, at in fleet.crashes()]
        breaks = Disturbances([*self._lines, *crashes])
        return [
            *check_lost(
                calls, passed_on, records, PartitionBreaks(begun_breaks, partitions)
            ),
            *check_broken(
                calls,
                fleet.runs(),
                breaks,
                records,
                PartitionBreaks(gateway_breaks, partitions),
            ),
        ]

    def _check_versions(self, name: str) -> list[Violation]:
        """Check that each process of a relay changes only to newer configurations."""
        lines = self._fleet.relays[name].process.log.read_text().splitlines()
        version = 0
        for event in read_events(lines, name):
            if event.event == "started":
                version = 0
            elif event.event == "configuration-in-force":
                next_version = int(event.fields["version"])
                if next_version <= version:
                    return [
                        Violation(
                            "a relay never reverts its configuration",
                            name,
                            f"{version} replaced by {next_version}",
                        )
                    ]
                version = next_version
        return []

    def _save_logs(self, result: SoakResult, calls: list[Call]) -> None:
        """Save the logs, the result and the records of calls and replicas."""
        folder = LOG_FOLDER / f"seed-{self._seed}"
        shutil.rmtree(folder, ignore_errors=True)
        shutil.copytree(self._fleet.folder, folder)
        (folder / "result").write_text(f"{result}\n")
        for name, records in (
            ("calls", map(asdict, calls)),
            ("runs", self._fleet.runs()),
            ("arrivals", map(asdict, self._fleet.arrivals())),
            ("faults", [{"began": at, **asdict(fault)} for at, fault in self._begun]),
        ):
            lines = [json.dumps(record, default=repr) for record in records]
            (folder / f"{name}.jsonl").write_text("\n".join(lines) + "\n")

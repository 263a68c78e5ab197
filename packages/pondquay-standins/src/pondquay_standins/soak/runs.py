"""One run of the soak: inject a seed's faults under load, then check invariants."""

from __future__ import annotations

import json
import shutil
from collections import Counter
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path
from typing import TYPE_CHECKING

from pondquay_standins.soak.callers import Caller
from pondquay_standins.soak.faultrecords import FaultRecords
from pondquay_standins.soak.finalchecks import FinalChecks
from pondquay_standins.soak.fleet import SoakFleet
from pondquay_standins.soak.injections import FaultInjector
from pondquay_standins.soak.invariants import Violation
from pondquay_standins.soak.loads import UnevenLoad
from pondquay_standins.soak.recordchecks import RecordChecks
from pondquay_standins.soak.relayfaults import RelayFaults
from pondquay_standins.soak.restingcallers import RestingCaller
from pondquay_standins.soak.scheduledactions import ScheduledActions
from pondquay_standins.soak.schedules import (
    FIRST_LOSS_SEED,
    FaultKind,
    plan_faults,
    plan_replacements,
)
from pondquay_standins.soak.sizes import FleetSize
from pondquay_standins.soak.streamcallers import StreamCaller

if TYPE_CHECKING:
    from collections.abc import Collection

    from pondquay_standins.soak.builds import Build
    from pondquay_standins.soak.callers import Call

CALLER_COUNT = 4
# Callers of long streams in runs in which all relays are lost.
STREAM_CALLERS = 8
DEFAULT_SIZE = FleetSize()
START_INVARIANT = "all relays start"
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
        if seed >= FIRST_LOSS_SEED:
            size = replace(size, stream_callers=STREAM_CALLERS)
        planned = plan_faults(seed, seconds, size.relay_names, size.fault_targets)
        self._planned = [fault for fault in planned if fault.kind in kinds]
        self._fleet = SoakFleet(size)
        self._records = FaultRecords()
        actions = ScheduledActions()
        self._relays = RelayFaults(self._fleet, self._records, actions, old_build)
        if old_build is not None:
            replacements = plan_replacements(seconds, size.relay_names)
            self._planned = sorted(
                [*self._planned, *replacements], key=lambda fault: fault.at
            )
            for name in size.relay_names:
                self._relays.set_next_build(name, old_build)
        self._load = UnevenLoad(self._fleet, f"s{seed}", actions.add)
        self._injector = FaultInjector(
            self._fleet, self._records, actions, self._relays, self._load
        )

    def run(self) -> SoakResult:
        """Inject the faults, check the invariants and return the result.

        Logs are saved if an invariant was violated.
        """
        with self._fleet, self._records.own_stalls:
            for name in self._fleet.relay_names:
                self._relays.record_start(name)
            try:
                self._fleet.start()
            except TimeoutError as error:
                return self._note_failed_start(error)
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
            callers += [
                StreamCaller(
                    f"s{self._seed}l{number}",
                    self._seed + number,
                    self._fleet.list_endpoints,
                )
                for number in range(self._fleet.size.stream_callers)
            ]
            for caller in callers:
                caller.start()
            try:
                self._injector.inject(self._planned)
                self._relays.lose_power(self._seed)
            finally:
                for caller in callers:
                    caller.stop()
                late_calls = self._load.finish()
            calls = [call for caller in callers for call in caller.calls]
            calls += late_calls
            violations = [
                *FinalChecks(self._fleet).run(),
                *RecordChecks(self._fleet, self._records).run(calls),
            ]
            statuses = Counter(call.status for call in calls)
            result = SoakResult(self._seed, statuses, len(self._planned), violations)
            if violations:
                self._save_logs(result, calls)
        return result

    def _note_failed_start(self, error: TimeoutError) -> SoakResult:
        """Save the logs of a fleet that did not start, and return the result."""
        violation = Violation(START_INVARIANT, "fleet", str(error))
        result = SoakResult(self._seed, Counter(), len(self._planned), [violation])
        self._save_logs(result, [])
        return result

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
            (
                "faults",
                [{"began": at, **asdict(fault)} for at, fault in self._records.begun],
            ),
        ):
            lines = [json.dumps(record, default=repr) for record in records]
            (folder / f"{name}.jsonl").write_text("\n".join(lines) + "\n")

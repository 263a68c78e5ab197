"""Checks of the records of a run: of its callers, replicas and relays."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_cli.logfiles import read_events
from pondquay_standins.retrybounds import RetryBound
from pondquay_standins.routedfleet import RETRY_RATIO
from pondquay_standins.soak.invariants import Violation, check_all
from pondquay_standins.soak.limits import check_limits
from pondquay_standins.soak.lostrequests import (
    RelayRecords,
    check_broken,
    check_lost,
    list_limits,
)
from pondquay_standins.soak.partitionbreaks import (
    PartitionBreaks,
    list_begun_breaks,
    list_gateway_breaks,
)
from pondquay_standins.soak.plannedstops import check_stops
from pondquay_standins.soak.repeatchecks import (
    check_attempts,
    check_share,
    check_time,
)
from pondquay_standins.soak.streams import (
    check_continuing,
    check_versions,
    drop_outlasting,
)
from pondquay_standins.soak.upstreamsignals import (
    Disturbance,
    Disturbances,
    check_upstream_signals,
)

if TYPE_CHECKING:
    from pondquay_standins.replicarecords import Arrival
    from pondquay_standins.soak.callers import Call
    from pondquay_standins.soak.faultrecords import FaultRecords
    from pondquay_standins.soak.fleet import SoakFleet

INTERNAL_ERROR_INVARIANT = "a relay has no internal errors"


class RecordChecks:
    """Checks what was recorded while faults were injected."""

    def __init__(self, fleet: SoakFleet, records: FaultRecords) -> None:
        self._fleet = fleet
        self._records = records

    def run(self, calls: list[Call]) -> list[Violation]:
        """Return the violations in the records of calls, replicas and relays."""
        violations = check_all(calls, self._fleet.runs(), self._fleet.prepaid)
        arrivals = self._fleet.arrivals()
        builds = self._records.builds
        injected = self._records.disturbances
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
            drop_outlasting(calls, self._records.losses),
            Disturbances([*injected, *version_excuses]),
            self._fleet.leaving | self._fleet.renewed,
        )
        violations += check_stops(
            self._records.stops, calls, Disturbances(self._records.partitions)
        )
        violations += self._check_repeats(calls, arrivals)
        violations += self._check_ends(calls, {arrival.attempt for arrival in arrivals})
        violations += [
            Violation(INTERNAL_ERROR_INVARIANT, "a relay", line)
            for line in self._fleet.list_internal_errors()
        ]
        for name in self._fleet.relay_names:
            violations += self._check_versions(name)
        return violations

    def _check_repeats(
        self, calls: list[Call], arrivals: list[Arrival]
    ) -> list[Violation]:
        """Check how often and for how long replicas received one request."""
        fleet, records = self._fleet, self._records
        bound = RetryBound(RETRY_RATIO, fleet.retry_extra, fleet.retry_window)
        crashes = [Disturbance(name, at, at) for name, at in fleet.crashes()]
        lines = Disturbances([*records.lines, *crashes])
        return [
            *check_share(calls, arrivals, fleet.services, bound),
            *check_attempts(calls, fleet.runs(), lines),
            *check_time(calls, arrivals, Disturbances(records.disturbances)),
        ]

    def _check_ends(self, calls: list[Call], passed_on: set[str]) -> list[Violation]:
        """Check how connections and responses ended.

        :param passed_on: the attempts that reached a replica
        """
        fleet = self._fleet
        logs = {name: self._read_log(name) for name in fleet.relay_names}
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
        partitions = self._records.ended_partitions
        records = RelayRecords(
            self._records.kills,
            self._records.suspensions,
            self._records.stops,
            limits,
            fleet.stop_seconds,
            self._records.own_stalls,
        )
        crashes = [Disturbance(name, at, at) for name, at in fleet.crashes()]
        breaks = Disturbances([*self._records.lines, *crashes])
        return [
            *check_lost(
                calls, passed_on, records, PartitionBreaks(begun_breaks, partitions)
            ),
            *check_broken(
                calls,
                fleet.runs(),
                breaks,
                records,
                PartitionBreaks(gateway_breaks, [*partitions, *self._records.kills]),
            ),
        ]

    def _read_log(self, name: str) -> list[str]:
        return self._fleet.relays[name].process.log.read_text().splitlines()

    def _check_versions(self, name: str) -> list[Violation]:
        """Check that each process of a relay changes only to newer configurations."""
        lines = self._read_log(name)
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

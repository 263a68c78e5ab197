"""Checks that whole requests get a response, and that responses are not broken off.

Stalls of a relay, silences of a replica and changes of the configuration excuse
nothing: all of these leave the processes alive, and the requests with them.
"""

from __future__ import annotations

import math
import time
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pondquay_cli.logfiles import read_events
from pondquay_standins.processes import SUSPENDED_SECONDS
from pondquay_standins.soak.callers import NO_RESPONSE, OK, Call
from pondquay_standins.soak.fleet import ROUTE_TIMEOUT_SECONDS
from pondquay_standins.soak.invariants import Violation

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from pondquay_standins.soak.ownstalls import OwnStalls
    from pondquay_standins.soak.partitionbreaks import PartitionBreaks
    from pondquay_standins.soak.plannedstops import PlannedStop
    from pondquay_standins.soak.upstreamsignals import Disturbance, Disturbances

LOST_INVARIANT = "a whole request gets a response or a refusal"
BROKEN_INVARIANT = "a response is not broken off while its upstreams live on"
MAX_REST_FRACTION = 0.8
# Time in which a request and the close of its connection may cross each other.
CROSSING_SECONDS = 0.2
# The last part of the time for a planned stop, in which requests may be interrupted,
# and the time from its beginning in which such a request was sent.
LAST_STOP_FRACTION = 1 / 6
LATE_REQUEST_SECONDS = 3.0
# Tolerance of the times recorded for the end of a process.
MARGIN_SECONDS = 0.1
# How the run of a replica ended if the replica broke it off.
BROKEN_RUN_ENDS = frozenset({"answer lost", "crashed", "cut"})


@dataclass(frozen=True, slots=True)
class IdleLimitSpan:
    """A time span in which an idle limit was in force at a relay.

    :param seconds: the limit
    """

    relay: str
    began: float
    ended: float
    seconds: float


class RelayRecords:
    """What happened to relays that may end callers' connections.

    :param kills: when relays were killed
    :param suspensions: when a suspension of a relay's host was simulated
    :param stops: planned stops of relays
    :param limits: idle limits that were in force
    :param grace_seconds: time that a planned stop may take
    :param own_stalls: stalls of the callers, which read late how a connection ends
    """

    def __init__(
        self,
        kills: Iterable[Disturbance],
        suspensions: Iterable[Disturbance],
        stops: Iterable[PlannedStop],
        limits: Iterable[IdleLimitSpan],
        grace_seconds: float,
        own_stalls: OwnStalls,
    ) -> None:
        self._kills = list(kills)
        self._suspensions = list(suspensions)
        self._stops = list(stops)
        self._limits = list(limits)
        self._grace_seconds = grace_seconds
        self._own_stalls = own_stalls

    def was_killed(self, call: Call) -> bool:
        """Return whether the relay was killed while the connection was open."""
        return any(
            kill.target == call.relay
            and _find_rest_start(call) <= kill.ended + MARGIN_SECONDS
            and kill.began <= call.ended + MARGIN_SECONDS
            for kill in self._kills
        )

    def had_rested_long(self, call: Call) -> bool:
        """Return whether the connection had rested too long for a limit in force."""
        began = _find_rest_start(call)
        sent = began + call.rested
        return any(
            self._measure(call.relay, began, min(limit.ended, sent))
            > MAX_REST_FRACTION * limit.seconds
            for limit in self._limits
            if limit.relay == call.relay and limit.began <= sent
        )

    def timed_out(self, call: Call) -> bool:
        """Return whether a call reached the time limit of its route."""
        seconds = self._measure(call.relay, call.began, call.ended)
        return seconds >= ROUTE_TIMEOUT_SECONDS[call.route]

    def _measure(self, relay: str, since: float, until: float) -> float:
        """Return the length of a time span in seconds, as a relay measures it.

        The time of a suspension counts for the relay, although it is only simulated.
        """
        suspensions = sum(
            suspension.target == relay
            and since - MARGIN_SECONDS <= suspension.began <= until
            for suspension in self._suspensions
        )
        return until - since + suspensions * SUSPENDED_SECONDS

    def crossed_stop(self, call: Call) -> bool:
        """Return whether a request crossed the close of a stopping relay."""
        seconds = call.ended - call.began
        seconds -= self._own_stalls.count_within(call.began, call.ended)
        return seconds <= CROSSING_SECONDS and any(
            stop.relay == call.relay
            and stop.began <= call.ended + MARGIN_SECONDS
            and _find_rest_start(call) <= stop.ended + MARGIN_SECONDS
            for stop in self._stops
        )

    def outlasted_stop(self, call: Call) -> bool:
        """Return whether a request was in progress when a planned stop ran out."""
        last_seconds = self._grace_seconds * (1 - LAST_STOP_FRACTION)
        return any(
            stop.relay == call.relay
            and call.began <= stop.began + LATE_REQUEST_SECONDS
            and stop.began + last_seconds <= call.ended
            and call.began <= stop.ended
            for stop in self._stops
        )


def check_lost(
    calls: Iterable[Call],
    passed_on: Collection[str],
    records: RelayRecords,
    begun_breaks: PartitionBreaks,
) -> list[Violation]:
    """Return a violation for each whole request whose connection ends without response.

    These ends are allowed, all others are not:

    - The relay was killed: a process that is hit is not in touch.
    - The connection had rested for more than four fifths of an idle limit that was in
      force at the relay: callers reuse connections up to there and no longer.
    - The time limit of the route was reached, which is an end that does not count as a
      loss.
    - The request crossed the close by a stopping relay: it was not passed on and its
      connection ended within ``CROSSING_SECONDS`` of its last byte.
    - It was passed on, sent early enough in a planned stop, and still in progress in
      the last sixth of the time for the stop.
    - It was passed on, and a partition of the relay broke its connection to the replica
      after the head of the response was written. The reset may discard the head.

    :param passed_on: the attempts that reached a replica
    :param begun_breaks: connections that broke after the head of a response was written
    """
    violations = []
    for call in calls:
        if call.status != NO_RESPONSE or not call.sent or records.timed_out(call):
            continue
        if records.was_killed(call) or records.had_rested_long(call):
            continue
        is_passed_on = call.attempt in passed_on
        if not is_passed_on and records.crossed_stop(call):
            continue
        if is_passed_on and records.outlasted_stop(call):
            continue
        if is_passed_on and begun_breaks.broke_in_partition(call):
            continue
        details = (
            f"{call.error} at {call.relay} after {call.ended - call.began:.2f} s, "
            f"{'' if is_passed_on else 'not '}passed on, "
            f"after a rest of {call.rested:.2f} s"
        )
        violations.append(Violation(LOST_INVARIANT, call.attempt, details))
    return violations


def check_broken(
    calls: Iterable[Call],
    runs: Iterable[Mapping[str, Any]],
    breaks: Disturbances,
    records: RelayRecords,
    gateway_breaks: PartitionBreaks,
) -> list[Violation]:
    """Return a violation for each response that is broken off without a reason.

    Reasons are a kill of the relay, a replica that crashed, broke the response off or
    sent one without an end, a fault of the line to the replica, the time limit of the
    route, the end of the time for a planned stop, and a partition or a kill of the
    gateway at which the last attempt broke. A replica's silence is none.

    :param breaks: crashes of replicas, faults of lines to them, and faults of a relay's
        lines to all of them
    """
    by_attempt: dict[str, list[Mapping[str, Any]]] = defaultdict(list)
    for run in runs:
        by_attempt[run["attempt"]].append(run)
    violations = []
    for call in calls:
        if call.status != OK or call.complete or records.timed_out(call):
            continue
        if records.was_killed(call) or records.outlasted_stop(call):
            continue
        if gateway_breaks.broke_in_partition(call):
            continue
        attempt_runs = by_attempt[call.attempt]
        if any(_is_broken(run) for run in attempt_runs):
            continue
        targets = [call.relay, *(run["replica"] for run in attempt_runs)]
        if breaks.any_within(targets, call.began, call.ended + MARGIN_SECONDS):
            continue
        ends = ", ".join(f"{run['replica']} {run['ended']}" for run in attempt_runs)
        details = (
            f"{call.route} at {call.relay} after {call.ended - call.began:.2f} s; "
            f"runs: {ends or 'none'}"
        )
        violations.append(Violation(BROKEN_INVARIANT, call.attempt, details))
    return violations


def list_limits(
    relay: str, lines: Iterable[str], idle_seconds: Mapping[int, float]
) -> list[IdleLimitSpan]:
    """Return the idle limits that were in force at a relay, from its log.

    :param idle_seconds: idle limit of each version of the configuration
    """
    offset = time.time() - time.monotonic()
    starts: list[tuple[float, float | None]] = []
    for event in read_events(lines, relay):
        if event.event == "started":
            starts.append((event.time - offset, None))
        elif event.event == "configuration-in-force":
            version = int(event.fields["version"])
            starts.append((event.time - offset, idle_seconds[version]))
    ends = [at for at, _ in starts[1:]] + [math.inf]
    return [
        IdleLimitSpan(relay, at, end, seconds)
        for (at, seconds), end in zip(starts, ends, strict=True)
        if seconds is not None
    ]


def _find_rest_start(call: Call) -> float:
    return call.began - call.rested


def _is_broken(run: Mapping[str, Any]) -> bool:
    return run["endless"] or run["ended"] in BROKEN_RUN_ENDS

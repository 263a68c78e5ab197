"""Runs in which callers move, or relays are replaced, while replicas fail requests.

The relays retry as often as they may. What the replicas receive tells whether all
relays together keep to the fleet's share of retries.
"""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from pondquay_standins.hostile.callers import (
    ROUTES,
    HostileCaller,
    make_configuration,
)
from pondquay_standins.hostile.checks import find_all
from pondquay_standins.hostile.runs import HostileFleet
from pondquay_standins.partitionable import PORTS_VARIABLE
from pondquay_standins.routedfleet import PLAIN_SERVICE

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence
    from typing import TypeAlias

    from pondquay_standins.hostile.checks import Finding

    RelayList: TypeAlias = Callable[[], Sequence[tuple[str, int]]]

RELAYS = tuple(f"r{number}" for number in range(1, 9))
REPLICAS = 6
CALLERS = 8
WINDOW_SECONDS = 5.0
# Fixed number of repeats in a window. It is small beside the fraction of the requests.
RETRY_EXTRA = 16
# Times in windows: when replicas begin to fail requests, when callers move or relays
# are replaced, and when the run ends.
FAILING_FROM = 1.0
CHANGE_AT = 1.16
ENDS_AT = 2.5
SERIES_PAUSE_SECONDS = 0.4
# Further callers of a burst, and how long it lasts, in windows.
BURST_CALLERS = 24
BURST_WINDOWS = 0.3
# The route whose requests are repeated most.
ROUTE = next(route for route in ROUTES if route.name == "fetch")


class Change(StrEnum):
    """What changes while replicas fail requests."""

    NONE = "none"
    MOVE = "move"
    REPLACE = "replace"
    KILL_SERIES = "kill-series"
    STOP_SERIES = "stop-series"
    PAUSE = "pause"
    BURST = "burst"


# One behaviour of replicas that fail, refuse and reset what they receive, each.
FAILING_BEHAVIOURS = ("own-failure", "refusal", "reset-running")


@dataclass(frozen=True, slots=True)
class RepeatsPlan:
    """What a run does.

    :param behaviour: what the replicas do with requests once they fail them
    :param environment: extra environment variables of the relays
    """

    change: Change
    behaviour: str
    seed: int
    environment: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RepeatsResult:
    """What a run found.

    :ivar repeats: arrivals beyond the first of each request
    """

    plan: RepeatsPlan
    calls: int
    repeats: int
    findings: list[Finding]

    def __str__(self) -> str:
        plan = self.plan
        rules = dict(Counter(finding.rule for finding in self.findings))
        return (
            f"{plan.change.value} {plan.behaviour} seed {plan.seed}: {self.calls} "
            f"calls, {self.repeats} repeats, findings {rules}"
        )


def list_repeats_plans(seed: int) -> list[RepeatsPlan]:
    """Return a plan for each change and each way in which replicas fail requests."""
    return [
        RepeatsPlan(change, behaviour, seed)
        for change in Change
        for behaviour in FAILING_BEHAVIOURS
    ]


def run_repeats(plan: RepeatsPlan) -> RepeatsResult:
    """Run callers while relays or callers change, and check what replicas received."""
    with HostileFleet() as fleet:
        fleet.retry_window, fleet.retry_extra = WINDOW_SECONDS, RETRY_EXTRA
        _start(fleet, plan)
        callers = _call(fleet, plan)
        visits = fleet.visits()
    calls = [call for caller in callers for call in caller.calls]
    findings = find_all(calls, visits, RETRY_EXTRA, WINDOW_SECONDS)
    arrivals = Counter(visit.attempt for visit in visits)
    repeats = sum(count - 1 for count in arrivals.values())
    return RepeatsResult(plan, len(calls), repeats, findings)


def _start(fleet: HostileFleet, plan: RepeatsPlan) -> None:
    for index in range(REPLICAS):
        name = f"{PLAIN_SERVICE}-{index}"
        seed = plan.seed * 10 + index
        fleet.start_hostile(name, PLAIN_SERVICE, plan.behaviour, seed)
    fleet.control("fraction", fraction=0.0)
    fleet.configure(make_configuration())
    ports = ",".join(map(str, fleet.replica_ports.values()))
    for name in RELAYS:
        fleet.environments[name] = {PORTS_VARIABLE: ports, **plan.environment}
    fleet.start_relays(*RELAYS)


def _call(fleet: HostileFleet, plan: RepeatsPlan) -> list[HostileCaller]:
    """Send requests and make the planned change; return the callers."""
    used = list(RELAYS[: len(RELAYS) // 2] if plan.change is Change.MOVE else RELAYS)

    def list_relays() -> Sequence[tuple[str, int]]:
        return [(name, fleet.relays[name].port) for name in used]

    callers = _start_callers(plan.seed, range(CALLERS), list_relays)
    began = time.monotonic()
    _wait_until(began + FAILING_FROM * WINDOW_SECONDS)
    fleet.control("fraction", fraction=1.0)
    _wait_until(began + CHANGE_AT * WINDOW_SECONDS)
    if plan.change is Change.MOVE:
        used[:] = RELAYS[len(RELAYS) // 2 :]
    elif plan.change is Change.REPLACE:
        for name in RELAYS:
            fleet.relays[name].process.kill()
        for name in RELAYS:
            fleet.start_relay(name, wait=False)
    elif plan.change is Change.BURST:
        numbers = range(CALLERS, CALLERS + BURST_CALLERS)
        more = _start_callers(plan.seed, numbers, list_relays)
        _wait_until(began + (CHANGE_AT + BURST_WINDOWS) * WINDOW_SECONDS)
        for caller in more:
            caller.stop()
        callers += more
    elif plan.change is not Change.NONE:
        _disturb_in_series(fleet, plan.change, began + ENDS_AT * WINDOW_SECONDS)
    _wait_until(began + ENDS_AT * WINDOW_SECONDS)
    for caller in callers:
        caller.stop()
    return callers


def _start_callers(
    seed: int, numbers: Iterable[int], list_relays: RelayList
) -> list[HostileCaller]:
    callers = [
        HostileCaller(
            f"c{number}",
            seed * 100 + number,
            10**6,
            list_relays,
            (ROUTE,),
            is_mobile=True,
        )
        for number in numbers
    ]
    for caller in callers:
        caller.start()
    return callers


def _disturb_in_series(fleet: HostileFleet, change: Change, until: float) -> None:
    """End and restart, or pause and resume, one relay after another."""
    number = 0
    while time.monotonic() < until:
        name = RELAYS[number % len(RELAYS)]
        process = fleet.relays[name].process
        if change is Change.PAUSE:
            process.pause()
            time.sleep(SERIES_PAUSE_SECONDS)
            process.resume()
        else:
            if change is Change.STOP_SERIES:
                process.stop()
            else:
                process.kill()
            fleet.start_relay(name, wait=False)
            time.sleep(SERIES_PAUSE_SECONDS)
        number += 1


def _wait_until(at: float) -> None:
    time.sleep(max(0.0, at - time.monotonic()))

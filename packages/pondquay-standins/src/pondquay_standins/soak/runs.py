"""One run of the soak: faults by a seed, callers all the while, then the checks."""

from __future__ import annotations

import json
import shutil
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field, replace
from functools import partial
from heapq import heappop, heappush
from http.client import HTTPException
from itertools import count, cycle
from pathlib import Path
from signal import SIGUSR1
from threading import Thread
from typing import TYPE_CHECKING, Any

from pondquay_cli.logfiles import read_events
from pondquay_standins.processes import wait_until
from pondquay_standins.soak.callers import (
    EVENT_TOKENS,
    NO_ANSWER,
    PROMPT_TOKENS,
    Caller,
)
from pondquay_standins.soak.fleet import (
    RELAYS,
    REPLICAS,
    ROUTE_SECONDS,
    TOP_UP_TOKENS,
    RelayState,
    SoakFleet,
)
from pondquay_standins.soak.promises import Breach, check_all
from pondquay_standins.soak.schedules import FaultKind, PlannedFault, plan_faults
from pondquay_standins.soak.signs import Disturbance, Disturbances, check_signs

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay_standins.soak.callers import Call

CALLERS = 4
# Within this, all relays serve again and have the newest configuration.
RECOVER_SECONDS = 15.0
# Requests of two kinds to each relay, to see which replicas get them.
ASKED_AT_THE_END = 8
# A request that began this long before a planned stop is not one that meets a
# connection which is just being closed.
STOP_MARGIN_SECONDS = 0.1
LEAVING_PROMISE = "a leaving upstream gets no new work"
# At the end no replica is listed for this long: several polls of each table.
UNLISTED_SECONDS = 3.0
OWN_ERROR_PROMISE = "nothing fails of a relay's own"
CRASHING_PROMISE = "a request that crashes upstreams is refused after a few"
# Three, and as many more while instances tell each other.
MOST_CRASHED = 6
CRASHING_PATH = "/fetch/crashing-"
CRASHING_SECONDS = 5.0
AGAIN_SECONDS = 0.2
# What a replica that turns all away asks for.
REST_SECONDS = 2
STOP_PROMISE = "a planned stop cuts nothing off"
FOLDER = Path("var") / "soak"


@dataclass
class SoakResult:
    """What came of one run.

    :param statuses: how often callers got each status, 0 for no answer
    :param faults: how many faults were brought about
    """

    seed: int
    statuses: Counter[int]
    faults: int
    breaches: list[Breach] = field(default_factory=list)

    def __str__(self) -> str:
        counts = sorted(self.statuses.items())
        statuses = " ".join(f"{status}:{number}" for status, number in counts)
        verdict = "kept" if not self.breaches else "; ".join(map(str, self.breaches))
        return f"seed {self.seed}: {self.faults} faults, {statuses}: {verdict}"


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A planned stop of a relay.

    :param began: when it was asked to stop, in seconds
    :param ended: when its process was gone
    :param status: its exit status
    """

    relay: str
    began: float
    ended: float
    status: int

    def cut_off(self, call: Call) -> bool:
        """Tell whether a request that ran when the stop began was cut off by it."""
        if call.relay != self.relay or call.complete:
            return False
        if not call.began < self.began - STOP_MARGIN_SECONDS < call.ended:
            return False
        # Its route's time was up; its replica may have said nothing for long.
        if call.ended - call.began >= ROUTE_SECONDS[call.route]:
            return False
        # An answer that broke off before that may be a replica's doing.
        at_the_end = call.ended >= self.ended - STOP_MARGIN_SECONDS
        return call.status == NO_ANSWER or at_the_end


class SoakRun:
    """Brings faults about while callers ask, and checks what was promised.

    :param seconds: how long faults begin
    """

    def __init__(self, seed: int, seconds: float) -> None:
        self._seed = seed
        self._planned = plan_faults(seed, seconds, RELAYS, list(REPLICAS))
        self._fleet = SoakFleet()
        self._stops: list[PlannedStop] = []
        self._disturbances: list[Disturbance] = []
        self._threads: list[Thread] = []
        self._ends: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def run(self) -> SoakResult:
        """Play the faults and return what was found; logs of a breach are kept."""
        with self._fleet:
            self._fleet.start()
            callers = [
                Caller(f"s{self._seed}c{number}", number, self._fleet.open_ports)
                for number in range(CALLERS)
            ]
            for caller in callers:
                caller.start()
            try:
                self._play()
            finally:
                for caller in callers:
                    caller.stop()
            calls = [call for caller in callers for call in caller.calls]
            breaches = [*self._check_recovery(), *self._check(calls)]
            statuses = Counter(call.status for call in calls)
            result = SoakResult(self._seed, statuses, len(self._planned), breaches)
            if breaches:
                self._keep_logs(result)
        return result

    def _play(self) -> None:
        """Bring the faults about, and end each one when its time is over."""
        began = time.monotonic()
        for fault in self._planned:
            self._end_until(began + fault.at)
            self._begin(fault)
        self._end_until(time.monotonic() + max(one.seconds for one in self._planned))
        for thread in self._threads:
            thread.join()

    def _end_until(self, until: float) -> None:
        while self._ends and self._ends[0][0] <= until:
            at, _, end = heappop(self._ends)
            time.sleep(max(0.0, at - time.monotonic()))
            end()
        time.sleep(max(0.0, until - time.monotonic()))

    def _later(self, seconds: float, end: Callable[[], None]) -> None:
        heappush(self._ends, (time.monotonic() + seconds, next(self._order), end))

    def _begin(self, fault: PlannedFault) -> None:
        fleet, target = self._fleet, fault.target
        match fault.kind:
            case FaultKind.STORE:
                fleet.control("store", fault=fault.fault)
                self._later(fault.seconds, lambda: fleet.control("store", fault="none"))
            case FaultKind.REPLICA:
                fleet.control("replica", name=target, fault=fault.fault)
                self._later(
                    fault.seconds,
                    lambda: fleet.control("replica", name=target, fault="none"),
                )
            case FaultKind.STORE_LINE | FaultKind.REPLICA_LINE:
                self._disturb(target, fault.seconds)
                fleet.set_line_fault(target, fault.fault)
                self._later(fault.seconds, lambda: fleet.set_line_fault(target, "none"))
            case FaultKind.DRAIN:
                fleet.drain(target)
            case FaultKind.LEAVE:
                fleet.leave(target)
            case FaultKind.LAPSE:
                fleet.unlist_replica(target)
                self._later(fault.seconds, lambda: fleet.end_lapse(target))
            case FaultKind.KILL_ALL:
                for name in RELAYS:
                    self._signal(replace(fault, kind=FaultKind.KILL, target=name))
            case FaultKind.CONFIGURE:
                fleet.configure_next(fleet.prepaid + TOP_UP_TOKENS)
            case _:
                self._begin_other(fault)

    def _begin_other(self, fault: PlannedFault) -> None:
        fleet, target = self._fleet, fault.target
        match fault.kind:
            case FaultKind.CRASH:
                fleet.control("crash", name=target)
            case FaultKind.CRASHING:
                self._send_crashing(fault)
            case FaultKind.FOREIGN_ROW:
                key = fleet.put_foreign_row()
                self._later(fault.seconds, lambda: fleet.unlist_replica(key))
            case FaultKind.OVERWRITTEN_ROW:
                fleet.overwrite_row(target)
                self._later(fault.seconds, lambda: fleet.end_lapse(target))
            case FaultKind.SUSPEND:
                self._suspend(target)
            case FaultKind.SAY_LEAVING:
                if fleet.say_leaving(target):
                    drain = partial(fleet.list_replica, target, "draining")
                    self._later(fault.seconds, drain)
            case FaultKind.REST:
                fleet.control("rest", name=target, seconds=REST_SECONDS)
                self._later(
                    fault.seconds,
                    lambda: fleet.control("rest", name=target, seconds=0),
                )
            case _:
                self._signal(fault)

    def _send_crashing(self, fault: PlannedFault) -> None:
        """Have a request that crashes replicas come again for a while."""
        path = f"{CRASHING_PATH}{next(self._order)}"
        sender = Thread(target=self._ask_again, args=(path, fault.seconds))
        sender.start()
        self._threads.append(sender)

    def _ask_again(self, path: str, seconds: float) -> None:
        until = time.monotonic() + seconds
        relays = cycle(RELAYS)
        while time.monotonic() < until:
            with suppress(OSError, HTTPException):
                self._fleet.ask(self._fleet.relays[next(relays)], path)
            time.sleep(AGAIN_SECONDS)

    def _suspend(self, name: str) -> None:
        fleet = self._fleet
        if fleet.states[name] is RelayState.UP and fleet.is_ready(name):
            self._disturb(name, 0.0)
            fleet.relays[name].process.popen.send_signal(SIGUSR1)

    def _disturb(self, target: str, seconds: float) -> None:
        """Note what is done to a relay or on a line, from now on."""
        now = time.monotonic()
        self._disturbances.append(Disturbance(target, now, now + seconds))

    def _signal(self, fault: PlannedFault) -> None:
        """Kill, stop or freeze a relay that is up, and undo it later."""
        fleet, name = self._fleet, fault.target
        if fleet.states[name] is not RelayState.UP or not fleet.is_ready(name):
            return
        process = fleet.relays[name].process
        self._disturb(name, fault.seconds)
        if fault.kind is FaultKind.PAUSE:
            fleet.states[name] = RelayState.PAUSED
            process.pause()
            self._later(fault.seconds, lambda: self._resume(name))
        elif fault.kind is FaultKind.KILL:
            fleet.states[name] = RelayState.GONE
            process.kill()
            self._later(fault.seconds, lambda: self._restart(name))
        else:
            fleet.states[name] = RelayState.STOPPING
            thread = Thread(target=self._stop, args=(name,))
            thread.start()
            self._threads.append(thread)

    def _resume(self, name: str) -> None:
        self._fleet.relays[name].process.resume()
        self._fleet.states[name] = RelayState.UP

    def _restart(self, name: str) -> None:
        self._fleet.start_relay(name, wait=False)
        self._fleet.states[name] = RelayState.UP

    def _stop(self, name: str) -> None:
        """Stop a relay as planned, and start it again."""
        began = time.monotonic()
        status = self._fleet.relays[name].process.stop()
        self._stops.append(PlannedStop(name, began, time.monotonic(), status))
        self._disturb(name, 0.0)
        self._restart(name)

    # What is checked

    def _check_recovery(self) -> list[Breach]:
        """Check that all relays serve again, with the newest configuration."""
        fleet = self._fleet
        fleet.control("store", fault="none")
        fleet.end_line_faults()
        for name in REPLICAS:
            fleet.control("replica", name=name, fault="none")
            fleet.control("rest", name=name, seconds=0)
        fleet.configure_next(fleet.prepaid + TOP_UP_TOKENS)
        found = []
        for name in RELAYS:
            try:
                wait_until(partial(self._is_sound, name), name, RECOVER_SECONDS)
            except TimeoutError as error:
                found.append(Breach("all serve again", name, str(error)))
        return found or self._check_crashing() or self._check_leaving()

    def _check_crashing(self) -> list[Breach]:
        """Check that a request that crashes replicas is refused once it is known."""
        path = f"{CRASHING_PATH}last"
        self._ask_again(path, CRASHING_SECONDS)
        crashed = sum(one["target"] == path for one in self._fleet.runs())
        if crashed > MOST_CRASHED:
            return [Breach(CRASHING_PROMISE, path, f"{crashed} replicas crashed")]
        return []

    def _check_leaving(self) -> list[Breach]:
        """Check that relays that are in touch send nothing to leaving replicas.

        First while others remain, then after these have gone from the list as well.
        """
        fleet = self._fleet
        before = len(self._list_runs_of_drained())
        for _ in range(ASKED_AT_THE_END):
            self._ask_each_relay()
        for name in RELAYS:
            try:
                wait_until(partial(self._knows_drained, name), name, RECOVER_SECONDS)
            except TimeoutError as error:
                return [Breach(LEAVING_PROMISE, name, f"not known: {error}")]
        for name in fleet.list_remaining():
            fleet.unlist_replica(name)
        until = time.monotonic() + UNLISTED_SECONDS
        while time.monotonic() < until:
            self._ask_each_relay()
        return [
            Breach(LEAVING_PROMISE, run["attempt"] or run["target"], "it ran there")
            for run in self._list_runs_of_drained()[before:]
        ]

    def _ask_each_relay(self) -> None:
        fleet = self._fleet
        for relay in fleet.relays.values():
            fleet.ask(relay, "/audit/", tokens=(PROMPT_TOKENS, 3), events=1)
            fleet.ask(relay, "/fetch/")

    def _list_runs_of_drained(self) -> list[dict[str, Any]]:
        drained = self._fleet.drained
        return [one for one in self._fleet.runs() if one["replica"] in drained]

    def _knows_drained(self, name: str) -> bool:
        """Tell whether a relay knows that the replicas that leave have left."""
        upstreams = json.loads(self._fleet.relays[name].report("/dump"))["upstreams"]
        used = {one["upstream"] for one in upstreams if not one["left"]}
        return not used & self._fleet.drained

    def _is_sound(self, name: str) -> bool:
        relay = self._fleet.relays[name]
        in_force = f"pondquay_configuration_version {self._fleet.version}.0"
        if in_force not in relay.report("/metrics"):
            return False
        tokens = (PROMPT_TOKENS, 2 * EVENT_TOKENS)
        answer = self._fleet.ask(relay, "/audit/", tokens=tokens, events=2)
        return answer.status == 200 and answer.complete

    def _check(self, calls: list[Call]) -> list[Breach]:
        found = check_all(calls, self._fleet.runs(), self._fleet.prepaid)
        arrivals = self._fleet.arrivals()
        found += check_signs(calls, arrivals, Disturbances(self._disturbances))
        found += self._check_stops(calls)
        found += [
            Breach(OWN_ERROR_PROMISE, "a relay", line)
            for line in self._fleet.list_own_errors()
        ]
        for name in RELAYS:
            found += self._check_versions(name)
        return found

    def _check_stops(self, calls: list[Call]) -> list[Breach]:
        found = []
        for stop in self._stops:
            if stop.status != 0:
                found.append(Breach(STOP_PROMISE, stop.relay, f"status {stop.status}"))
            found += [
                Breach(STOP_PROMISE, call.attempt, f"{stop.relay}, {call.status}")
                for call in calls
                if stop.cut_off(call)
            ]
        return found

    def _check_versions(self, name: str) -> list[Breach]:
        """Check that no life of a relay went back to an older configuration."""
        lines = self._fleet.relays[name].process.log.read_text().splitlines()
        version = 0
        for event in read_events(lines, name):
            if event.event == "started":
                version = 0
            elif event.event == "configuration-in-force":
                newer = int(event.fields["version"])
                if newer <= version:
                    return [Breach("never reverts", name, f"{version} to {newer}")]
                version = newer
        return []

    def _keep_logs(self, result: SoakResult) -> None:
        folder = FOLDER / f"seed-{self._seed}"
        shutil.rmtree(folder, ignore_errors=True)
        shutil.copytree(self._fleet.folder, folder)
        (folder / "result").write_text(f"{result}\n")

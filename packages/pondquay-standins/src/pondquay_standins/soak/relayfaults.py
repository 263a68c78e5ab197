"""Faults of a fleet's relays: kills, stops, pauses, partitions and replaced builds."""

from __future__ import annotations

import time
from contextlib import suppress
from dataclasses import replace
from functools import partial
from random import Random
from signal import SIGUSR1, SIGUSR2
from threading import Thread
from typing import TYPE_CHECKING

from pondquay_standins.processes import wait_until
from pondquay_standins.soak.builds import CURRENT_BUILD
from pondquay_standins.soak.fleet import RelayState
from pondquay_standins.soak.plannedstops import PlannedStop
from pondquay_standins.soak.schedules import FaultKind, PlannedFault, draw_idle_limit
from pondquay_standins.soak.upstreamsignals import Disturbance

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pondquay_standins.processes import Process
    from pondquay_standins.soak.builds import Build
    from pondquay_standins.soak.faultrecords import FaultRecords
    from pondquay_standins.soak.fleet import SoakFleet
    from pondquay_standins.soak.scheduledactions import ScheduledActions

POWER_LOSS_SEED_OFFSET = 9_000_000
# Changes of the configuration right before all relays lose power.
LAST_CHANGES = 4
REPLACE_RETRY_SECONDS = 0.5


class RelayFaults:
    """Disrupts relays and starts them again.

    :param old_build: the build of downgraded relays, ``None`` if there are none
    """

    def __init__(
        self,
        fleet: SoakFleet,
        records: FaultRecords,
        actions: ScheduledActions,
        old_build: Build | None,
    ) -> None:
        self._fleet = fleet
        self._records = records
        self._actions = actions
        self._old_build = old_build
        self._next_builds: dict[str, Build] = {}
        self._partitioned: set[int] = set()
        # Processes that a loss of all relays has ended.
        self._lost: set[int] = set()
        self._threads: list[Thread] = []

    def disrupt(self, fault: PlannedFault) -> None:
        """Kill, stop or pause a relay that is up, and start or resume it later."""
        fleet, name = self._fleet, fault.target
        if fleet.states[name] is not RelayState.UP or not fleet.is_ready(name):
            return
        process = fleet.relays[name].process
        self._records.add_disturbance(name, fault.seconds)
        if fault.kind is FaultKind.PAUSE:
            fleet.states[name] = RelayState.PAUSED
            process.pause()
            self._actions.add(fault.seconds, lambda: self._resume(name, process))
        elif fault.kind is FaultKind.KILL:
            fleet.states[name] = RelayState.KILLED
            began = time.monotonic()
            process.kill()
            self._records.add_kill(name, began)
            self._actions.add(
                fault.seconds, lambda: self._restart_killed(name, process)
            )
        else:
            fleet.states[name] = RelayState.STOPPING
            thread = Thread(target=self._stop, args=(name,))
            thread.start()
            self._threads.append(thread)

    def replace_build(self, fault: PlannedFault) -> None:
        """Restart a relay with the other build, once it is up and ready."""
        name = fault.target
        if not self._is_up(name):
            self._actions.add(REPLACE_RETRY_SECONDS, lambda: self.replace_build(fault))
            return
        is_upgrade = fault.kind is FaultKind.UPGRADE
        build = CURRENT_BUILD if is_upgrade else self._old_build
        assert build is not None
        self.set_next_build(name, build)
        self.disrupt(replace(fault, kind=FaultKind.STOP))

    def set_next_build(self, name: str, build: Build) -> None:
        """Set the build that a relay runs from its next start on."""
        self._next_builds[name] = build
        self._fleet.set_environment(name, build.environment)

    def record_start(self, name: str) -> None:
        """Record that a relay starts now, with the build set for it."""
        build = self._next_builds.get(name, CURRENT_BUILD)
        self._records.builds.record_start(name, build, time.monotonic())

    def lose_power(self, seed: int) -> None:
        """Kill all relays at once after a series of changes, and start them again."""
        fleet = self._fleet
        random = Random(seed + POWER_LOSS_SEED_OFFSET)
        for _ in range(LAST_CHANGES):
            fleet.configure_next(fleet.prepaid, float(draw_idle_limit(random)))
        began = time.monotonic()
        for name in self._fleet.relay_names:
            fleet.states[name] = RelayState.KILLED
            fleet.relays[name].process.popen.kill()
        for name in self._fleet.relay_names:
            fleet.relays[name].process.kill()
            self._records.add_kill(name, began)
        for name in self._fleet.relay_names:
            self._restart(name)

    def suspend(self, name: str) -> None:
        """Simulate the suspension of a relay's host."""
        fleet = self._fleet
        if self._is_up(name):
            self._records.add_disturbance(name, 0.0)
            self._records.suspensions.append(self._records.disturbances[-1])
            fleet.relays[name].process.popen.send_signal(SIGUSR1)

    def partition(self, fault: PlannedFault) -> None:
        """Cut a relay off from all replicas, unless it is cut off already."""
        fleet, name = self._fleet, fault.target
        if fleet.states[name] is not RelayState.UP or not fleet.is_ready(name):
            return
        process = fleet.relays[name].process
        if process.pid in self._partitioned:
            return
        self._partitioned.add(process.pid)
        self._records.add_disturbance(name, fault.seconds)
        self._records.partitions.append(self._records.disturbances[-1])
        began = time.monotonic()
        process.popen.send_signal(SIGUSR2)
        self._actions.add(fault.seconds, lambda: self._heal(name, process, began))

    def join(self) -> None:
        """Wait until all stops that have begun have ended."""
        for thread in self._threads:
            thread.join()

    def _heal(self, name: str, process: Process, began: float) -> None:
        """End a partition, unless the relay has ended meanwhile."""
        partition = Disturbance(name, began, time.monotonic())
        self._records.ended_partitions.append(partition)
        self._records.lines.append(partition)
        self._partitioned.discard(process.pid)
        # Does nothing if the process has ended.
        process.popen.send_signal(SIGUSR2)

    def _is_up(self, name: str) -> bool:
        fleet = self._fleet
        return fleet.states[name] is RelayState.UP and fleet.is_ready(name)

    def _resume(self, name: str, process: Process) -> None:
        process.resume()
        if self._is_current(name, process):
            self._fleet.states[name] = RelayState.UP

    def _restart_killed(self, name: str, process: Process) -> None:
        """Start a killed relay again, unless the loss of all relays does so."""
        if self._is_current(name, process):
            self._restart(name)

    def _is_current(self, name: str, process: Process) -> bool:
        """Return whether no loss of all relays has ended the process or follows it."""
        is_lost = process.pid in self._lost
        return not is_lost and self._fleet.relays[name].process is process

    def lose_all(self, fault: PlannedFault) -> None:
        """Kill all relays at once, in whatever state, and start them again later."""
        fleet, began = self._fleet, time.monotonic()
        self._records.losses.append(began)
        processes = [fleet.relays[name].process for name in fleet.relay_names]
        self._lost.update(process.pid for process in processes)
        for name, process in zip(fleet.relay_names, processes, strict=True):
            fleet.states[name] = RelayState.KILLED
            process.popen.kill()
        for name, process in zip(fleet.relay_names, processes, strict=True):
            process.kill()
            self._records.add_kill(name, began)
            self._records.add_disturbance(name, fault.seconds)
        self._actions.add(fault.seconds, lambda: self._restart_all(processes))

    def _restart_all(self, lost: Sequence[Process]) -> None:
        """Start all relays again, unless another loss has ended them since."""
        for name, process in zip(self._fleet.relay_names, lost, strict=True):
            if self._fleet.relays[name].process is process:
                self._restart(name)
        thread = Thread(target=self._record_starts, args=(time.monotonic(),))
        thread.start()
        self._threads.append(thread)

    def _record_starts(self, began: float) -> None:
        """Record that the relays were disturbed until they were ready."""
        for name in self._fleet.relay_names:
            with suppress(TimeoutError):
                wait_until(partial(self._fleet.is_ready, name), f"relay {name}")
            ready = Disturbance(name, began, time.monotonic())
            self._records.disturbances.append(ready)

    def _restart(self, name: str) -> None:
        self.record_start(name)
        self._fleet.start_relay(name, wait=False)
        self._fleet.states[name] = RelayState.UP

    def _stop(self, name: str) -> None:
        """Stop a relay gracefully, record the stop and start it again."""
        began = time.monotonic()
        process = self._fleet.relays[name].process
        status = process.stop()
        if process.pid in self._lost:
            return
        self._records.stops.append(PlannedStop(name, began, time.monotonic(), status))
        self._records.add_disturbance(name, 0.0)
        self._restart(name)

"""Silences of replicas, and series of changed idle limits, stalls and signals."""

from __future__ import annotations

import time
from dataclasses import replace
from signal import SIGCONT, SIGHUP, SIGSTOP
from typing import TYPE_CHECKING

from pondquay_standins.soak.fleet import RelayState
from pondquay_standins.soak.schedules import FaultKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay_standins.soak.fleet import SoakFleet
    from pondquay_standins.soak.schedules import PlannedFault

# Least time between two silences of a replica.
SILENCE_INTERVAL_SECONDS = 1.0


class SeriesFaults:
    """Applies silences, and the faults of series.

    :param schedule: schedules an action some seconds from now
    :param disrupt: disrupts a relay that is up
    :param record: records a disturbance of a target that begins now and lasts some
        seconds
    """

    def __init__(
        self,
        fleet: SoakFleet,
        schedule: Callable[[float, Callable[[], None]], None],
        disrupt: Callable[[PlannedFault], None],
        record: Callable[[str, float], None],
    ) -> None:
        self._fleet = fleet
        self._schedule = schedule
        self._disrupt = disrupt
        self._record = record
        self._silent_until: dict[str, float] = {}

    def begin(self, fault: PlannedFault) -> None:
        """Begin a fault and schedule its end, if it has one."""
        match fault.kind:
            case FaultKind.SILENCE:
                self._fall_silent(fault)
            case FaultKind.IDLE_LIMIT:
                self._fleet.configure_next(self._fleet.prepaid, float(fault.fault))
            case FaultKind.RELOAD:
                self._reload(fault.target)
            case _:
                self._stall(fault)

    def _fall_silent(self, fault: PlannedFault) -> None:
        """Silence a replica, unless it has been silent a moment ago.

        This is no disturbance: a silent replica is sound, and nothing is excused.
        """
        name, now = fault.target, time.monotonic()
        if now < self._silent_until.get(name, 0.0) + SILENCE_INTERVAL_SECONDS:
            return
        self._silent_until[name] = now + fault.seconds
        # The platform ends it, so that a stall of this process does not prolong it.
        self._fleet.control(
            "silence", name=name, kind=fault.fault, seconds=fault.seconds
        )

    def _reload(self, name: str) -> None:
        """Signal a relay that its settings have changed.

        It does not handle the signal before it is ready.
        """
        fleet, state = self._fleet, self._fleet.states[name]
        is_up = state is RelayState.UP and fleet.is_ready(name)
        if is_up or state is RelayState.STOPPING:
            fleet.relays[name].process.popen.send_signal(SIGHUP)

    def _stall(self, fault: PlannedFault) -> None:
        """Suspend a relay that is up or stopping, and resume it later."""
        fleet, name = self._fleet, fault.target
        if fleet.states[name] is not RelayState.STOPPING:
            self._disrupt(replace(fault, kind=FaultKind.PAUSE))
            return
        popen = fleet.relays[name].process.popen
        self._record(name, fault.seconds)
        popen.send_signal(SIGSTOP)
        self._schedule(fault.seconds, lambda: popen.send_signal(SIGCONT))

"""Uneven load during a run: skewed callers, slow processes, readers and surges."""

from __future__ import annotations

import time
from itertools import count
from threading import Thread
from typing import TYPE_CHECKING

from pondquay_standins.soak.callers import Caller
from pondquay_standins.soak.fleet import RelayState
from pondquay_standins.soak.schedules import FaultKind
from pondquay_standins.soak.slowreaders import SlowReaders

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay_standins.soak.callers import Call
    from pondquay_standins.soak.fleet import SoakFleet
    from pondquay_standins.soak.schedules import PlannedFault

# Together with the regular callers, a surge triples their number.
SURGE_CALLERS = 8
# A slow relay alternates between running and being suspended for this long.
SLOW_RELAY_PERIOD_SECONDS = 0.03


class UnevenLoad:
    """Applies faults of the load.

    :param name: prefix of the attempt IDs
    :param schedule: schedules an action some seconds from now
    """

    def __init__(
        self,
        fleet: SoakFleet,
        name: str,
        schedule: Callable[[float, Callable[[], None]], None],
    ) -> None:
        self._fleet = fleet
        self._name = name
        self._schedule = schedule
        self._numbers = count()
        self._threads: list[Thread] = []
        self._callers: list[Caller] = []
        self._readers: list[SlowReaders] = []

    def begin(self, fault: PlannedFault) -> None:
        """Begin a fault and schedule its end."""
        match fault.kind:
            case FaultKind.SKEWED_CALLERS:
                self._prefer(fault.target)
                self._schedule(fault.seconds, lambda: self._prefer(""))
            case FaultKind.SLOW_REPLICA:
                self._set_delay_factor(fault.target, float(fault.fault))
                self._schedule(
                    fault.seconds, lambda: self._set_delay_factor(fault.target, 1.0)
                )
            case FaultKind.SLOW_RELAY:
                self._slow_down(fault)
            case FaultKind.SLOW_READERS:
                self._read_slowly(fault)
            case _:
                self._surge(fault)

    def finish(self) -> list[Call]:
        """Wait for all callers and slow relays, and return the calls."""
        for caller in self._callers:
            caller.stop()
        for thread in self._threads:
            thread.join()
        calls = [call for caller in self._callers for call in caller.calls]
        return calls + [call for readers in self._readers for call in readers.calls]

    def _prefer(self, relay: str) -> None:
        self._fleet.preferred = relay

    def _set_delay_factor(self, replica: str, factor: float) -> None:
        self._fleet.control("pace", name=replica, factor=factor)

    def _start(self, thread: Thread) -> None:
        self._threads.append(thread)
        thread.start()

    def _slow_down(self, fault: PlannedFault) -> None:
        """Let a relay run for half of the time, unless it is already disrupted."""
        fleet, name = self._fleet, fault.target
        if fleet.states[name] is not RelayState.UP or not fleet.is_ready(name):
            return
        fleet.states[name] = RelayState.SLOW
        self._start(Thread(target=self._alternate, args=(name, fault.seconds)))

    def _alternate(self, name: str, seconds: float) -> None:
        process = self._fleet.relays[name].process
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            process.pause()
            time.sleep(SLOW_RELAY_PERIOD_SECONDS)
            process.resume()
            time.sleep(SLOW_RELAY_PERIOD_SECONDS)
        self._fleet.states[name] = RelayState.UP

    def _read_slowly(self, fault: PlannedFault) -> None:
        relay = self._fleet.relays[fault.target]
        name = f"{self._name}-slow-{next(self._numbers)}"
        readers = SlowReaders(name, relay.name, relay.port)
        self._readers.append(readers)
        self._start(Thread(target=readers.run, args=(fault.seconds,)))

    def _surge(self, fault: PlannedFault) -> None:
        callers = []
        for number in range(SURGE_CALLERS):
            name = f"{self._name}-surge-{next(self._numbers)}"
            callers.append(Caller(name, number, self._fleet.list_endpoints))
        for caller in callers:
            caller.start()
            self._schedule(fault.seconds, caller.request_stop)
        self._callers += callers

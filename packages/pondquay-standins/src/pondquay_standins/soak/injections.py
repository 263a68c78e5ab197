"""Injection of the faults that are planned for a run of the soak."""

from __future__ import annotations

import time
from dataclasses import replace
from functools import partial
from itertools import count
from threading import Thread
from typing import TYPE_CHECKING

from pondquay_standins.replicarecords import CRASHING_PART_PREFIX
from pondquay_standins.soak.finalchecks import CRASHING_PATH_PREFIX
from pondquay_standins.soak.fleet import TOP_UP_TOKENS
from pondquay_standins.soak.proxies import ProxyFault
from pondquay_standins.soak.releases import SoftwareReleases
from pondquay_standins.soak.schedules import (
    LOAD_KINDS,
    REPLACEMENT_KINDS,
    SERIES_KINDS,
    SILENCE_KINDS,
    FaultKind,
    PlannedFault,
)
from pondquay_standins.soak.series import SeriesFaults
from pondquay_standins.soak.upstreamsignals import Disturbance

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pondquay_standins.soak.faultrecords import FaultRecords
    from pondquay_standins.soak.fleet import SoakFleet
    from pondquay_standins.soak.loads import UnevenLoad
    from pondquay_standins.soak.relayfaults import RelayFaults
    from pondquay_standins.soak.scheduledactions import ScheduledActions

# Back-off that a replica asks for in its responses.
BACKOFF_SECONDS = 2
# Added to the duration of a reported limit, since its check begins after a grace period
# and needs a full window.
EXTRA_LIMIT_SECONDS = 8.0
# Kinds that ``RelayFaults`` applies by other methods than ``disrupt``.
RELAY_KINDS = (
    FaultKind.SUSPEND,
    FaultKind.PARTITION,
    FaultKind.LOSS,
    *REPLACEMENT_KINDS,
)


class FaultInjector:
    """Begins the planned faults of a run and ends them."""

    def __init__(
        self,
        fleet: SoakFleet,
        records: FaultRecords,
        actions: ScheduledActions,
        relays: RelayFaults,
        load: UnevenLoad,
    ) -> None:
        self._fleet = fleet
        self._records = records
        self._actions = actions
        self._relays = relays
        self._load = load
        self._series = SeriesFaults(
            fleet, actions.add, relays.disrupt, records.add_disturbance
        )
        self._releases = SoftwareReleases(fleet, actions.add, records.add_disturbance)
        self._sequence = count()
        self._threads: list[Thread] = []

    def inject(self, planned: Sequence[PlannedFault]) -> None:
        """Begin the faults as planned and end each after its duration.

        Limits may outlast this method; ``FinalChecks`` clears them.
        """
        began = time.monotonic()
        for planned_fault in planned:
            self._actions.run_until(began + planned_fault.at)
            target = self._fleet.find_successor(planned_fault.target)
            fault = replace(planned_fault, target=target)
            self._records.begun.append((time.monotonic(), fault))
            self._begin(fault)
        self._actions.run_until(
            time.monotonic() + max((fault.seconds for fault in planned), default=0.0)
        )
        self._relays.join()
        for thread in self._threads:
            thread.join()

    def _begin(self, fault: PlannedFault) -> None:
        """Begin a fault and schedule its end, if it has one."""
        fleet, target = self._fleet, fault.target
        match fault.kind:
            case FaultKind.STORE:
                fleet.control("store", fault=fault.fault)
                self._actions.add(
                    fault.seconds, lambda: fleet.control("store", fault="none")
                )
            case FaultKind.REPLICA | FaultKind.WRONG_RESPONSES:
                fleet.control("replica", name=target, fault=fault.fault)
                self._actions.add(
                    fault.seconds,
                    lambda: fleet.control("replica", name=target, fault="none"),
                )
            case FaultKind.STORE_PROXY | FaultKind.REPLICA_PROXY:
                self._records.add_disturbance(target, fault.seconds)
                began = time.monotonic()
                fleet.set_proxy_fault(target, fault.fault)
                self._actions.add(
                    fault.seconds, lambda: self._clear_line(target, began)
                )
            case FaultKind.DRAIN:
                fleet.drain(target)
            case FaultKind.LEAVE:
                fleet.leave(target)
            case FaultKind.MISSING_ROW:
                fleet.delete_row(target)
                self._actions.add(fault.seconds, lambda: fleet.restore_row(target))
            case FaultKind.KILL_ALL:
                for name in self._fleet.relay_names:
                    self._relays.disrupt(
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
                self._actions.add(fault.seconds, lambda: fleet.delete_row(key))
            case FaultKind.OVERWRITTEN_ROW:
                fleet.overwrite_row(target)
                self._actions.add(fault.seconds, lambda: fleet.restore_row(target))
            case FaultKind.RELEASE:
                self._releases.begin(fault)
            case kind if kind in RELAY_KINDS:
                self._begin_at_relays(fault)
            case kind if kind in (*SILENCE_KINDS, *SERIES_KINDS):
                self._series.begin(fault)
            case kind if kind in LOAD_KINDS:
                self._begin_load(fault)
            case _:
                self._begin_upstream_signal(fault)

    def _begin_at_relays(self, fault: PlannedFault) -> None:
        """Suspend, cut off or replace a relay, or kill all relays at once."""
        match fault.kind:
            case FaultKind.SUSPEND:
                self._relays.suspend(fault.target)
            case FaultKind.PARTITION:
                self._relays.partition(fault)
            case FaultKind.LOSS:
                self._relays.lose_all(fault)
            case _:
                self._relays.replace_build(fault)

    def _begin_load(self, fault: PlannedFault) -> None:
        """Make the load uneven; a slow relay or replica is excused meanwhile."""
        if fault.kind in (FaultKind.SLOW_RELAY, FaultKind.SLOW_REPLICA):
            self._records.add_disturbance(fault.target, fault.seconds)
        self._load.begin(fault)

    def _begin_upstream_signal(self, fault: PlannedFault) -> None:
        """Have a replica send a signal in its responses, or disrupt a relay."""
        fleet, target = self._fleet, fault.target
        match fault.kind:
            case FaultKind.SIGNAL_LEAVING:
                if fleet.signal_leaving(target):
                    drain = partial(fleet.write_row, target, "draining")
                    self._actions.add(fault.seconds, drain)
            case FaultKind.BACKOFF:
                fleet.control("backoff", name=target, seconds=BACKOFF_SECONDS)
                self._actions.add(
                    fault.seconds,
                    lambda: fleet.control("backoff", name=target, seconds=0),
                )
            case FaultKind.LIMIT:
                fleet.control("limit", name=target, limit=float(fault.fault))
                self._actions.add(
                    fault.seconds + EXTRA_LIMIT_SECONDS,
                    lambda: fleet.control("limit", name=target, limit=None),
                )
            case _:
                self._relays.disrupt(fault)

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

    def _clear_line(self, target: str, began: float) -> None:
        """Clear the fault of a line, which resets connections that lost bytes."""
        self._fleet.set_proxy_fault(target, ProxyFault.NONE.value)
        # A relay has the name of its line to the store, which breaks no response off.
        if target in self._fleet.services:
            self._records.lines.append(Disturbance(target, began, time.monotonic()))

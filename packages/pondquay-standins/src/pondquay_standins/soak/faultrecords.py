"""Records of what a run of the soak did to its fleet."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pondquay_standins.soak.buildspans import BuildSpans
from pondquay_standins.soak.ownstalls import OwnStalls
from pondquay_standins.soak.upstreamsignals import Disturbance

if TYPE_CHECKING:
    from pondquay_standins.soak.plannedstops import PlannedStop
    from pondquay_standins.soak.schedules import PlannedFault


@dataclass
class FaultRecords:
    """What was done to a fleet, and when.

    :ivar disturbances: excuse what relays and replicas did meanwhile
    :ivar partitions: times in which a relay was cut off from all replicas
    :ivar ended_partitions: the same of partitions that have ended, as it was done
    :ivar lines: times in which the line to a replica, or a partition, lost bytes
    :ivar losses: when all relays were killed at once
    :ivar begun: each fault and when it began, in seconds of the monotonic clock
    """

    stops: list[PlannedStop] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    partitions: list[Disturbance] = field(default_factory=list)
    ended_partitions: list[Disturbance] = field(default_factory=list)
    lines: list[Disturbance] = field(default_factory=list)
    kills: list[Disturbance] = field(default_factory=list)
    suspensions: list[Disturbance] = field(default_factory=list)
    losses: list[float] = field(default_factory=list)
    begun: list[tuple[float, PlannedFault]] = field(default_factory=list)
    own_stalls: OwnStalls = field(default_factory=OwnStalls)
    builds: BuildSpans = field(default_factory=BuildSpans)

    def add_disturbance(self, target: str, seconds: float) -> None:
        """Record a disturbance of a target that begins now and lasts some seconds."""
        now = time.monotonic()
        self.disturbances.append(Disturbance(target, now, now + seconds))

    def add_kill(self, name: str, began: float) -> None:
        """Record that a relay was killed between some time and now."""
        kill = Disturbance(name, began, time.monotonic())
        self.kills.append(kill)
        self.disturbances.append(kill)

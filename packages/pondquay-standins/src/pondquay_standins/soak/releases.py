"""Releases of software versions, for which all replicas of a service are replaced."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from pondquay_standins.routedfleet import ENGINE_SERVICE
from pondquay_standins.soak.schedules import ReleaseKind
from pondquay_standins.soak.sizes import SOFTWARE

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay_standins.soak.fleet import SoakFleet
    from pondquay_standins.soak.schedules import PlannedFault


class SoftwareReleases:
    """Changes the replicas of the service with streams to the next version.

    :param schedule: schedules an action some seconds from now
    :param record: records a disturbance of a target that begins now and lasts some
        seconds
    """

    def __init__(
        self,
        fleet: SoakFleet,
        schedule: Callable[[float, Callable[[], None]], None],
        record: Callable[[str, float], None],
    ) -> None:
        self._fleet = fleet
        self._schedule = schedule
        self._record = record
        self._versions = (
            f"v{number}" for number in count(len({*SOFTWARE.values()}) + 1)
        )
        # Replicas that have been replaced and have not ended.
        self._replaced: list[str] = []

    def begin(self, fault: PlannedFault) -> None:
        """Begin a release; replicas that leave end after its duration."""
        fleet, kind = self._fleet, ReleaseKind(fault.fault)
        self._end_replaced()
        names = fleet.list_running(ENGINE_SERVICE)
        software = next(self._versions)
        for name in names:
            self._record(name, fault.seconds)
            if kind is ReleaseKind.RENEWED and name not in fleet.leaving:
                fleet.renew(name, software)
            elif kind in (ReleaseKind.RENEWED, ReleaseKind.RENAMED):
                fleet.end_replica(name)
                fleet.succeed(name, software, at_address=True)
            else:
                fleet.succeed(name, software, at_address=False)
        if kind in (ReleaseKind.ANNOUNCED, ReleaseKind.UNLISTED):
            self._leave(names, kind)
            self._schedule(fault.seconds, self._end_replaced)

    def _leave(self, names: list[str], kind: ReleaseKind) -> None:
        """Have replicas leave, which serve on until the release ends."""
        self._replaced += names
        for name in names:
            self._fleet.leaving.add(name)
            if kind is ReleaseKind.ANNOUNCED:
                self._fleet.write_row(name, "draining")
            else:
                self._fleet.delete_row(name)

    def _end_replaced(self) -> None:
        replaced, self._replaced = self._replaced, []
        for name in replaced:
            self._fleet.end_replica(name)

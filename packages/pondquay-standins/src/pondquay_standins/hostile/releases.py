"""Releases of replicas around the loss of all relays, as timelines of steps."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from functools import partial
from typing import TYPE_CHECKING, ClassVar

from pondquay_standins.hostile.releasefleet import REPLICAS
from pondquay_standins.rowstore import StoreFault

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random
    from typing import TypeAlias

    from pondquay_standins.hostile.releasefleet import ReleaseFleet

    # When something is done, in seconds from the start of a round.
    Step: TypeAlias = tuple[float, Callable[[], None]]

# Time between the kill of all relays and their start.
DOWN_SECONDS = 0.3
# Time between the start of a version and the kill of all relays.
SERVED_SECONDS = 1.2
ANNOUNCED_SECONDS = 0.3
# Time from the end of a replica to the reuse of its address, and to the end of its row.
REUSE_SECONDS = 2.0
LAPSE_SECONDS = 3.6
SERVING_SECONDS_RANGE = (1.0, 1.8)


class Release(ABC):
    """What becomes of software versions around each loss of all relays.

    :cvar name: name of the release
    :cvar versions: number of versions that serve at first
    """

    name: ClassVar[str]
    versions: ClassVar[int] = 1

    def __init__(self, fleet: ReleaseFleet, random: Random) -> None:
        self._fleet = fleet
        self._random = random

    def start(self) -> None:
        """Start the first replicas."""
        for _ in range(self.versions):
            self._fleet.start_version(REPLICAS // self.versions)

    def play_round(self) -> None:
        """Serve for a while, then take all steps of a round at their times."""
        time.sleep(self._random.uniform(*SERVING_SECONDS_RANGE))
        began = time.monotonic()
        for at, step in sorted(self.list_steps(), key=lambda found: found[0]):
            time.sleep(max(0.0, began + at - time.monotonic()))
            step()
        self._fleet.wait_until_ready()

    @abstractmethod
    def list_steps(self) -> list[Step]:
        """Return the steps of the next round."""

    def _lose_all(self, at: float, down: float = DOWN_SECONDS) -> list[Step]:
        """Return the steps in which all relays are killed and started again."""
        fleet = self._fleet
        return [(at, fleet.kill_all), (at + down, fleet.restart_all)]

    def _replace(self, names: list[str], begin: float, end: float) -> list[Step]:
        """Return the steps in which replicas leave and new ones come, in any order."""
        fleet = self._fleet
        return [
            (self._random.uniform(begin, end), lambda: fleet.remove(names)),
            (self._random.uniform(begin, end), self._start_next),
        ]

    def _start_next(self) -> None:
        self._fleet.start_version()


class AnnouncedRelease(Release):
    """The old version announces that it leaves shortly before the kill."""

    name = "announced"

    def list_steps(self) -> list[Step]:
        """Return the steps of the next round."""
        fleet, old = self._fleet, list(self._fleet.serving)
        announced_at = SERVED_SECONDS - ANNOUNCED_SECONDS
        return [
            (0.0, self._start_next),
            (announced_at, lambda: fleet.announce(old)),
            *self._lose_all(SERVED_SECONDS),
            (SERVED_SECONDS, lambda: fleet.remove(old)),
        ]


class ReplacedRelease(Release):
    """Replicas go and new ones come while no relay runs."""

    name = "replaced"

    def list_steps(self) -> list[Step]:
        """Return the steps of the next round."""
        old = list(self._fleet.serving)
        return [*self._lose_all(0.0), *self._replace(old, 0.01, DOWN_SECONDS)]


class RenewedRelease(Release):
    """Replicas come back under name and address with a new version."""

    name = "renewed"

    def list_steps(self) -> list[Step]:
        """Return the steps of the next round."""
        fleet, names = self._fleet, list(self._fleet.serving)
        return [
            *self._lose_all(0.0),
            (self._random.uniform(0.01, DOWN_SECONDS), lambda: fleet.renew(names)),
        ]


class TwoVersions(Release):
    """Two versions serve on."""

    name = "two-versions"
    versions = 2

    def list_steps(self) -> list[Step]:
        """Return the steps of the next round."""
        return self._lose_all(0.0)


class OneVersion(Release):
    """One version serves all along."""

    name = "one-version"

    def list_steps(self) -> list[Step]:
        """Return the steps of the next round."""
        return self._lose_all(0.0)


class KilledTwice(Release):
    """Relays are killed again while they start, and replicas are replaced meanwhile."""

    name = "killed-twice"

    def list_steps(self) -> list[Step]:
        """Return the steps of the next round."""
        old = list(self._fleet.serving)
        again_at = DOWN_SECONDS + self._random.uniform(0.1, 1.0)
        replaced_at = self._random.choice((0.01, again_at + 0.01))
        return [
            *self._lose_all(0.0),
            *self._lose_all(again_at),
            *self._replace(old, replaced_at, replaced_at + DOWN_SECONDS),
        ]


class LeavingMeanwhile(Release):
    """The old version leaves at any time around the kill, announced or not."""

    name = "leaving-meanwhile"

    def list_steps(self) -> list[Step]:
        """Return the steps of the next round."""
        fleet, old = self._fleet, list(self._fleet.serving)
        begin = SERVED_SECONDS - ANNOUNCED_SECONDS
        times = sorted(self._random.uniform(begin, begin + 1.5) for _ in range(2))
        steps: list[Step] = [
            (self._random.uniform(0.0, times[0]), self._start_next),
            *self._lose_all(SERVED_SECONDS),
            (times[1], lambda: fleet.remove(old)),
        ]
        if self._random.random() < 0.5:
            steps.append((times[0], lambda: fleet.announce(old)))
        return steps


class FailingStore(Release):
    """The store is silent, away or slow while replicas are replaced."""

    name = "failing-store"
    FAULTS = tuple(fault for fault in StoreFault if fault is not StoreFault.NONE)

    def __init__(self, fleet: ReleaseFleet, random: Random) -> None:
        super().__init__(fleet, random)
        self._faults = random.sample(self.FAULTS, len(self.FAULTS))

    def list_steps(self) -> list[Step]:
        """Return the steps of the next round."""
        old = list(self._fleet.serving)
        fault = self._faults.pop()
        self._faults.insert(0, fault)
        killed_at = 0.5
        begin = self._random.uniform(0.0, killed_at + DOWN_SECONDS)
        end = killed_at + DOWN_SECONDS + self._random.uniform(0.5, 2.5)
        return [
            (begin, partial(self._set_fault, fault)),
            *self._lose_all(killed_at),
            *self._replace(old, killed_at + 0.01, killed_at + DOWN_SECONDS),
            (end, partial(self._set_fault, StoreFault.NONE)),
        ]

    def _set_fault(self, fault: StoreFault) -> None:
        self._fleet.control("store", fault=fault.value)


class BrokenStreams(Release):
    """Replicas break streams off, so that relays themselves send them elsewhere."""

    name = "broken-streams"

    def start(self) -> None:
        """Start the first replicas."""
        self._start_next()

    def list_steps(self) -> list[Step]:
        """Return the steps of the next round."""
        fleet, old = self._fleet, list(self._fleet.serving)
        gone_at = SERVED_SECONDS + self._random.choice((-ANNOUNCED_SECONDS, 0.01))
        return [
            (0.0, self._start_next),
            *self._lose_all(SERVED_SECONDS),
            (gone_at, lambda: fleet.remove(old)),
        ]

    def _start_next(self) -> None:
        names = self._fleet.start_version()
        self._fleet.break_off(names[: REPLICAS // 2])


class RenewedWhileServing(Release):
    """Some or all replicas restart with a new version, and no relay is killed.

    Relays themselves send the broken streams elsewhere, or to the same replica again.
    """

    name = "renewed-while-serving"

    def list_steps(self) -> list[Step]:
        """Return the steps of the next round."""
        fleet, names = self._fleet, list(self._fleet.serving)
        chosen = names[: self._random.choice((1, REPLICAS // 2, REPLICAS))]
        return [(0.0, lambda: fleet.renew(chosen))]


class ReusedAddresses(Release):
    """Replicas end, and new ones start at their addresses before their rows lapse."""

    name = "reused-addresses"

    def list_steps(self) -> list[Step]:
        """Return the steps of the next round."""
        fleet, old = self._fleet, list(self._fleet.serving)
        ports = [fleet.replica_ports[name] for name in old]
        steps: list[Step] = [
            (0.0, lambda: fleet.end(old)),
            (REUSE_SECONDS, partial(self._start_at, ports)),
            (LAPSE_SECONDS, lambda: fleet.remove(old)),
        ]
        if self._random.random() < 0.5:
            steps += self._lose_all(self._random.uniform(0.0, REUSE_SECONDS))
        return steps

    def _start_at(self, ports: list[int]) -> None:
        self._fleet.start_at(ports)


RELEASES: tuple[type[Release], ...] = (
    AnnouncedRelease,
    ReplacedRelease,
    RenewedRelease,
    TwoVersions,
    OneVersion,
    KilledTwice,
    LeavingMeanwhile,
    FailingStore,
    BrokenStreams,
    RenewedWhileServing,
    ReusedAddresses,
)

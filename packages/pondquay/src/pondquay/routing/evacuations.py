"""Evacuated failure domains, whose upstreams get no new requests.

A domain is evacuated while the platform's table has a row for it, which operators
write. An instance receives updates from the table or from a peer, late and in any
order; of two updates, the one with the newer version of the table applies.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping


@dataclass(frozen=True, slots=True)
class Evacuation:
    """The state of one failure domain at a version of the table.

    :param version: version at which the row was written or removed
    :param evacuated: ``False`` if the domain was restored
    """

    domain: str
    version: int
    evacuated: bool


@dataclass(frozen=True, slots=True)
class _ReceivedUpdate:
    update: Evacuation
    received_at: float


class Evacuations:
    """The evacuated domains as one instance knows them.

    :param clock: returns the time in seconds
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._updates: dict[str, _ReceivedUpdate] = {}
        self._evacuated: frozenset[str] = frozenset()
        # Version of the newest snapshot applied. Updates up to this version are
        # outdated, even for a domain of which no update has been received.
        self._read_version = 0

    @property
    def evacuated(self) -> frozenset[str]:
        """The domains whose upstreams get no new requests."""
        return self._evacuated

    @property
    def version(self) -> int:
        """The newest version at which a domain was evacuated or restored, or 0."""
        return max(
            (received.update.version for received in self._updates.values()), default=0
        )

    def updates(self) -> list[Evacuation]:
        """Return the newest update of each domain."""
        return [received.update for received in self._updates.values()]

    def merge(self, update: Evacuation) -> bool:
        """Apply an update; return whether it is newer than the known state."""
        before = self._updates.get(update.domain)
        known_version = 0 if before is None else before.update.version
        if update.version <= max(known_version, self._read_version):
            return False
        self._updates[update.domain] = _ReceivedUpdate(update, self._clock())
        self._evacuated = frozenset(
            received.update.domain
            for received in self._updates.values()
            if received.update.evacuated
        )
        return True

    def replace(self, evacuated: Mapping[str, int], at: int) -> list[Evacuation]:
        """Apply a snapshot of the complete table, which may be outdated.

        :param evacuated: version of the row of each evacuated domain
        :param at: version of the snapshot
        :returns: the updates that are new
        """
        updates = [
            Evacuation(name, version, True) for name, version in evacuated.items()
        ]
        updates += [
            Evacuation(name, at, False)
            for name, received in self._updates.items()
            if received.update.evacuated and name not in evacuated
        ]
        changed = [update for update in updates if self.merge(update)]
        self._read_version = max(self._read_version, at)
        return changed

    def describe(self) -> str:
        """Return the evacuated domains with version and age, as text for logs."""
        now = self._clock()
        return ",".join(
            f"{received.update.domain}@{received.update.version}"
            f"+{now - received.received_at:.1f}s"
            for received in self._updates.values()
            if received.update.evacuated
        )

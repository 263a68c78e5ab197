"""Record of where streams may have begun, kept in the store.

It outlasts a loss of all instances. Times are those of the store's steady clock. Each
is taken from a read that began after the event had been recorded, so no instance that
pauses can write one from before the event.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

from pondquay.routing.softwarehistory import RECENT_SECONDS

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

# Maximum number of versions, and of sets of routes, of a service. Of more, those that
# left first are dropped; the others still show that there were several.
MAX_STATES = 32


@dataclass(frozen=True, slots=True)
class RecordState:
    """Whether streams may begin at a version, or by a set of routes.

    :param active: whether they may
    :param left_at: time by which they began there no more, in seconds; ``None`` if it
        is active or the time is not recorded yet
    """

    active: bool = True
    left_at: float | None = None

    def is_possible(self, now: float) -> bool:
        """Return whether a stream that is taken up now may have begun there."""
        return self.left_at is None or now - self.left_at < RECENT_SECONDS


States: TypeAlias = "Mapping[str, RecordState]"
ACTIVE = RecordState()
LEFT = RecordState(active=False)
# Digest of the set without routes.
NO_ROUTES = ""


def list_active(states: States) -> frozenset[str]:
    """Return the names of what streams may begin at."""
    return frozenset(name for name, state in states.items() if state.active)


def list_possible(states: States, now: float) -> frozenset[str]:
    """Return the names of what a stream that is taken up now may have begun at."""
    return frozenset(name for name, state in states.items() if state.is_possible(now))


def update_states(
    states: States, present: Collection[str], now: float, *, is_known: bool
) -> States:
    """Return the states with what an instance knows.

    :param present: names of what streams may begin at
    :param now: time of the read that returned the states
    :param is_known: whether streams may begin at nothing else
    """
    updated = {}
    for name, state in states.items():
        if state.active:
            updated[name] = LEFT if is_known else state
        elif state == LEFT:
            updated[name] = RecordState(active=False, left_at=now)
        elif state.is_possible(now):
            updated[name] = state
    updated.update(dict.fromkeys(present, ACTIVE))
    return _drop_first_left(updated)


def _drop_first_left(states: dict[str, RecordState]) -> dict[str, RecordState]:
    """Return the states without those beyond ``MAX_STATES`` that left first."""
    times = {
        name: state.left_at
        for name, state in states.items()
        if state.left_at is not None
    }
    excess = max(0, len(states) - MAX_STATES)
    for name in sorted(times, key=times.__getitem__)[:excess]:
        del states[name]
    return states


@dataclass(frozen=True, slots=True)
class ServiceKnowledge:
    """What an instance knows of a service.

    :param versions: software versions of upstreams that may get requests
    :param routes: digests of the sets of routes that lead to the service
    :param knows_versions: whether there are no other versions
    :param knows_routes: whether there are no other routes
    """

    versions: Collection[str] = ()
    routes: Collection[str] = ()
    knows_versions: bool = False
    knows_routes: bool = False


@dataclass(frozen=True, slots=True)
class ServiceRecord:
    """Where streams of a service may have begun.

    :param versions: states of its software versions
    :param routes: states of the sets of routes that led to it, by digest
    """

    versions: States = field(default_factory=dict)
    routes: States = field(default_factory=dict)

    def update(
        self, known: ServiceKnowledge, now: float, *, is_first: bool
    ) -> ServiceRecord:
        """Return the record with what an instance knows.

        :param now: time of the read that returned this record
        :param is_first: whether the fleet has served no request before
        """
        routes = self.routes
        if not routes and known.routes and not is_first:
            # The routes led to other services before.
            routes = {NO_ROUTES: LEFT}
        return ServiceRecord(
            update_states(
                self.versions, known.versions, now, is_known=known.knows_versions
            ),
            update_states(routes, known.routes, now, is_known=known.knows_routes),
        )


@dataclass(frozen=True, slots=True)
class RecordStart:
    """Since when the record lacks nothing.

    :param from_first_start: whether it was created before the fleet served any request
    :param at: time by which it had been created, in seconds; ``None`` if that is not
        recorded yet
    """

    from_first_start: bool = False
    at: float | None = None

    def is_complete(self, now: float) -> bool:
        """Return whether the record has all that may have begun a stream."""
        if self.from_first_start:
            return True
        return self.at is not None and now - self.at >= RECENT_SECONDS

    def update(self, now: float) -> RecordStart:
        """Return the start with its time.

        :param now: time of the read that returned this start
        """
        if self.from_first_start or self.at is not None:
            return self
        return RecordStart(at=now)


@dataclass(frozen=True, slots=True)
class SoftwareRecord:
    """The record of all services, as of one read.

    :param start: ``None`` if it is missing
    :param now: time of the read, in seconds
    """

    services: Mapping[str, ServiceRecord] = field(default_factory=dict)
    start: RecordStart | None = None
    now: float = 0.0

    def find(self, service: str) -> ServiceRecord:
        """Return the record of a service, an empty one if there is none."""
        return self.services.get(service, ServiceRecord())

    def is_complete(self) -> bool:
        """Return whether it has all that may have begun a stream."""
        return self.start is not None and self.start.is_complete(self.now)

    def list_versions(self, service: str) -> frozenset[str]:
        """Return the versions that may have begun a stream that is taken up now."""
        return list_possible(self.find(service).versions, self.now)

    def list_routes(self, service: str) -> frozenset[str]:
        """Return the sets of routes by which a stream may have come to a service."""
        return list_possible(self.find(service).routes, self.now)

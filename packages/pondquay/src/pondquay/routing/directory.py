"""Directory of the known upstreams, from a list that lags and may lose rows."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from pondquay.routing.domainreach import DomainReach
from pondquay.routing.evacuations import Evacuations
from pondquay.routing.knownupstreams import KnownUpstream
from pondquay.routing.listwatch import MISSING_GRACE_SECONDS, ListWatch
from pondquay.routing.softwarehistory import SoftwareHistory
from pondquay.routing.upstreamrecords import Departure

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    from pondquay.addresses import Address
    from pondquay.routing.ratelimits import RateLimit
    from pondquay.routing.upstreamrecords import UpstreamRecord

# Maximum departures and removed rows that are remembered, for late updates from a
# lagging list or, after a partition, from a peer. It is more than a day of releases in
# a large fleet.
MAX_DEPARTURES = 4096
# Age up to which the rate limit of a departed upstream is kept. A row that expired in
# an outage of the store returns sooner.
LIMIT_RETENTION_SECONDS = 60.0


class UpstreamDirectory:
    """The upstreams that an instance knows, and their departures.

    Each incarnation of an upstream has its own name. A departure that it announces is
    final. Of two incarnations in the same row, the one with the higher version of the
    row is later, and the other has departed.

    The removal of a row also means a departure if the list has been synced long enough
    for expired rows to return. Only a newer row revokes it; a later outage of the store
    does not.

    :param clock: returns the time in seconds
    :param last_complete_at: returns the time as of which the store last confirmed the
        list, before the response that is being applied, in seconds; ``None`` if it
        never did
    :ivar evacuations: the domains that operators have evacuated
    :ivar reach: which domains this instance can reach
    :ivar software: which versions of upstreams' software have served lately
    """

    def __init__(
        self,
        clock: Callable[[], float],
        last_complete_at: Callable[[], float | None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._last_complete_at = last_complete_at
        self.evacuations = Evacuations(clock)
        self.reach = DomainReach()
        self._watch = ListWatch()
        # Keyed by the name of the incarnation.
        self._known: dict[str, KnownUpstream] = {}
        self._departures: dict[str, Departure] = {}
        # Keyed by the name of the row: the incarnation last known to be in it, and the
        # newest version at which the row is known to have been missing.
        self._listed: dict[str, str] = {}
        self.software = SoftwareHistory()
        self._removed: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._known)

    def all(self) -> list[KnownUpstream]:
        """Return all known upstreams."""
        return list(self._known.values())

    def list_departed(self) -> list[str]:
        """Return the incarnations of departed upstreams that are still known."""
        now = self._clock()
        return [
            upstream.name
            for upstream in self._known.values()
            if upstream.has_departed(now)
        ]

    def count_present(self) -> int:
        """Return the number of upstreams that are listed and not leaving."""
        return sum(
            not upstream.leaving and upstream.missing_since is None
            for upstream in self._known.values()
        )

    def count_backing_off(self) -> int:
        """Return the number of upstreams that are in back-off for this instance."""
        now = self._clock()
        return sum(upstream.in_backoff(now) for upstream in self._known.values())

    def count_limited(self) -> int:
        """Return the number of upstreams with a rate limit for all instances."""
        return len(self.list_limited())

    def list_limited(self) -> list[KnownUpstream]:
        """Return the upstreams with a rate limit for all instances."""
        return [upstream for upstream in self._known.values() if upstream.is_limited()]

    def find(self, name: str) -> KnownUpstream | None:
        """Return an upstream by the name of its incarnation."""
        return self._known.get(name)

    def find_at(self, address: Address) -> UpstreamRecord | None:
        """Return the record of the upstream at an address, the newest if it moved."""
        found = [
            upstream
            for upstream in self._known.values()
            if upstream.record.address == address
        ]
        newest = max(found, key=lambda upstream: upstream.version, default=None)
        return None if newest is None else newest.record

    def find_listed(self, row: str) -> KnownUpstream | None:
        """Return the incarnation last known to be in a row, ``None`` if unknown."""
        incarnation = self._listed.get(row)
        return None if incarnation is None else self._known.get(incarnation)

    def departures(self) -> list[Departure]:
        """Return the known departures, most recent last."""
        return list(self._departures.values())

    def find_departure(self, name: str) -> Departure | None:
        """Return the departure of an incarnation, if it is known."""
        return self._departures.get(name)

    def put(self, record: UpstreamRecord, version: int) -> KnownUpstream | None:
        """Apply a row of the list.

        :param version: version of the row
        :returns: the upstream, ``None`` if nothing changed, as with most heartbeats
        """
        name, incarnation = record.name, record.incarnation
        self.software.note_listed(record.service, record.software, self._clock())
        if record.leaving:
            self.note_leaving(name, record.born)
        listed = self.find_listed(name)
        if listed is not None and listed.name != incarnation:
            if listed.version >= version:
                return None
            # The upstream has restarted, even if the row has been removed since.
            self._end_incarnation(listed)
        if self._removed.get(name, 0) >= version:
            return None
        known = self._known.get(incarnation)
        if (
            known is not None
            and known.version >= version
            and known.missing_since is None
        ):
            return None
        departure = self._departures.get(incarnation)
        if departure is not None and departure.version is not None:
            # The row had been missing, but the upstream has not left.
            del self._departures[incarnation]
            departure = None
        is_new = (
            known is None or known.missing_since is not None or known.record != record
        )
        is_written = known is None or known.version < version
        if known is None:
            known = self._known[incarnation] = KnownUpstream(record, version)
        if is_written and not record.leaving:
            known.note_written(self._last_complete_at())
        if listed is not None and listed is not known:
            known.inherit_signals(listed)
        self._listed[name] = incarnation
        known.record = record
        known.version = version
        known.missing_since = None
        known.expires_at = None
        known.leaving = known.leaving or departure is not None
        known.note_cold(record.cold, self._clock())
        return known if is_new else None

    def remove(self, name: str, version: int) -> KnownUpstream | None:
        """Apply the removal of a row.

        :param version: version of the list at which the row was missing
        :returns: the upstream, ``None`` if nothing changed
        """
        removed = self._remove(name, version)
        self._forget_departed()
        return removed

    def _remove(self, name: str, version: int) -> KnownUpstream | None:
        self._note_removed(name, version)
        known = self.find_listed(name)
        if known is None or known.version > version or known.missing_since is not None:
            return None
        now = self._clock()
        known.missing_since = now
        known.expires_at = self._watch.plan_expiry(now)
        if self._watch.is_departure(now):
            self._remember(Departure(name, version, known.record.born))
        return known

    def discard(self, name: str, version: int) -> KnownUpstream | None:
        """Apply a row that cannot be parsed.

        The upstream of the row gets no requests until a newer, readable row is applied,
        even if there is no other upstream.

        :returns: the upstream, ``None`` if nothing changed
        """
        self._note_removed(name, version)
        known = self.find_listed(name)
        if known is None or known.version > version:
            return None
        now = self._clock()
        is_new = not known.has_departed(now)
        known.missing_since = known.missing_since or now
        known.expires_at = now
        return known if is_new else None

    def replace(
        self, records: Mapping[str, tuple[UpstreamRecord, int]], at: int
    ) -> list[KnownUpstream]:
        """Apply a snapshot of the complete list.

        A snapshot that is older than a known row does not remove that row.

        :param at: version of the snapshot
        :returns: the upstreams that changed
        """
        changed = [self.put(record, version) for record, version in records.values()]
        for name, incarnation in list(self._listed.items()):
            if name not in records and self._known[incarnation].version <= at:
                changed.append(self._remove(name, at))
        self._forget_departed()
        return [upstream for upstream in changed if upstream is not None]

    def note_synced(self) -> None:
        """Record that the list can be read, at the start or after an outage."""
        now = self._clock()
        self._watch.note_synced(now)
        for known in self._known.values():
            if known.missing_since is not None and known.expires_at is None:
                known.expires_at = self._watch.plan_expiry(now)

    def note_disconnected(self) -> None:
        """Record that the list cannot be read.

        Upstreams whose rows expired in a previous outage may still be running, if they
        had no time to write their rows again. So they do not count as departed yet.
        """
        now = self._clock()
        self._watch.note_disconnected(now)
        for incarnation, known in self._known.items():
            pending = known.expires_at is not None and known.expires_at > now
            if pending and incarnation not in self._departures:
                known.expires_at = None

    def note_leaving(self, name: str, born: int | None = None) -> bool:
        """Record that an upstream announced its departure; return whether it is new.

        The departure is also kept for an unknown incarnation, since a list that lags
        may still return its row.

        :param born: start time of the incarnation, as in its row
        """
        departure = Departure(name, None, born)
        if self._departures.get(departure.incarnation) == departure:
            return False
        self._remember(departure)
        known = self._known.get(departure.incarnation)
        if known is not None:
            known.leaving = True
        return True

    def note_announced_leaving(
        self, upstream: KnownUpstream, delivered_at: float
    ) -> bool:
        """Record that a response of an upstream announces its departure.

        :param delivered_at: latest time at which the request can have been delivered,
            in seconds
        :returns: whether the departure is new
        """
        upstream.announced_leaving_at = self._clock()
        self._note_delivered(upstream, delivered_at)
        return self.note_leaving(upstream.record.name, upstream.record.born)

    def note_backoff(
        self, upstream: KnownUpstream, seconds: float, delivered_at: float
    ) -> None:
        """Record that a response of an upstream asks for a back-off.

        :param seconds: duration of the back-off
        :param delivered_at: latest time at which the request can have been delivered,
            in seconds
        """
        upstream.note_backoff(seconds, self._clock())
        self._note_delivered(upstream, delivered_at)

    def note_limit(
        self,
        upstream: KnownUpstream,
        limit: RateLimit,
        requested_at: float,
        delivered_at: float,
    ) -> bool:
        """Record the rate limit that a response of an upstream reports.

        :param requested_at: when the request was sent, in seconds
        :param delivered_at: latest time at which it can have been delivered, in seconds
        :returns: whether the rate changed
        """
        has_changed = upstream.note_limit(limit, requested_at)
        if limit.rate is not None:
            self._note_delivered(upstream, delivered_at)
        return has_changed

    def _note_delivered(self, upstream: KnownUpstream, delivered_at: float) -> None:
        """Record the delivery time of a request whose response carried a signal.

        If another incarnation is listed by now, the signal may be from that one, so it
        inherits the signal.
        """
        upstream.delivered_at = max(upstream.delivered_at, delivered_at)
        listed = self.find_listed(upstream.record.name)
        if listed is not None and listed is not upstream:
            listed.inherit_signals(upstream)

    def receive(self, departure: Departure) -> bool:
        """Apply a departure that a peer reports; return whether it is new."""
        if departure.version is None:
            return self.note_leaving(departure.name, departure.born)
        known = self._known.get(departure.incarnation)
        if known is not None and known.version > departure.version:
            return False
        self._note_removed(departure.name, departure.version)
        if departure.incarnation in self._departures:
            return False
        self._remember(departure)
        if known is not None:
            now = self._clock()
            known.missing_since = known.missing_since or now
            known.expires_at = min(
                now + MISSING_GRACE_SECONDS, known.expires_at or math.inf
            )
        return True

    def forget_instance(self, instance: str) -> None:
        """Drop the waiting prompts that a now unreachable instance has reported."""
        for known in self._known.values():
            known.prompts.receive(instance, 0)

    def forget_activity(self, instance: str) -> None:
        """Discard the activity that a now unreachable instance has reported."""
        for known in self._known.values():
            known.activity.forget(instance)

    def candidates(
        self, service: str, versions: Collection[str] | None = None
    ) -> list[KnownUpstream]:
        """Return the upstreams of a service that may get new requests.

        Departed upstreams and upstreams in evacuated domains are excluded. A row is
        missing after an upstream left without announcing it, but also after an outage
        of the list's store. So upstreams with missing rows are returned only if there
        are no others.

        :param versions: the only versions of their software, ``None`` for any
        """
        now = self._clock()
        evacuated = self.evacuations.evacuated
        of_service = [
            upstream
            for upstream in self._known.values()
            if upstream.record.service == service
            and (versions is None or upstream.record.software in versions)
            and upstream.record.domain not in evacuated
            and not upstream.has_departed(now)
        ]
        present = [
            upstream for upstream in of_service if upstream.missing_since is None
        ]
        return present or of_service

    def list_software(self, service: str) -> list[str]:
        """Return the versions of a service's software that serve or served lately."""
        now = self._clock()
        for known in self._known.values():
            record = known.record
            if record.service == service and not known.has_departed(now):
                self.software.note_listed(service, record.software, now)
        return self.software.list_recent(service, now)

    def note_restored(self, domain: str, cold: Callable[[str], float]) -> None:
        """Record that an evacuated domain gets requests again.

        Its upstreams may have become cold shortly before, which the list shows up to
        two seconds late, so they count as cold at first.

        :param cold: returns the seconds for which upstreams of a service are cold
        """
        now = self._clock()
        for known in self._known.values():
            if known.record.domain == domain:
                known.note_cold(cold(known.record.service), now)

    def _note_removed(self, name: str, version: int) -> None:
        before = self._removed.pop(name, 0)
        self._removed[name] = max(version, before)
        _drop_oldest(self._removed)

    def _remember(self, departure: Departure) -> None:
        before = self._departures.pop(departure.incarnation, departure)
        is_final = before.version is None
        self._departures[departure.incarnation] = before if is_final else departure
        _drop_oldest(self._departures)

    def _end_incarnation(self, known: KnownUpstream) -> None:
        """Record that an incarnation has ended, since a later one is in its row."""
        self.note_leaving(known.record.name, known.record.born)
        known.missing_since = known.missing_since or self._clock()

    def _forget_departed(self) -> None:
        """Drop departed upstreams without a row that run no request of this instance.

        An upstream in back-off is kept until the back-off ends, and an upstream with a
        rate limit until ``LIMIT_RETENTION_SECONDS`` after its report, since its row may
        return.
        """
        now = self._clock()
        for name, known in list(self._known.items()):
            is_departed = known.missing_since is not None and known.has_departed(now)
            has_signals = known.in_backoff(now) or (
                known.is_limited() and known.limit.age(now) < LIMIT_RETENTION_SECONDS
            )
            if is_departed and known.running == 0 and not has_signals:
                del self._known[name]
                if self._listed.get(known.record.name) == name:
                    del self._listed[known.record.name]


def _drop_oldest(entries: dict[str, Any]) -> None:
    """Drop the oldest entry if there are more than ``MAX_DEPARTURES``."""
    if len(entries) > MAX_DEPARTURES:
        del entries[next(iter(entries))]

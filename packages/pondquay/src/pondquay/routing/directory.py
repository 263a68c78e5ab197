"""The upstreams that an instance has heard of, from a list that lags and forgets."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from pondquay.routing.domainreach import DomainReach
from pondquay.routing.evacuations import Evacuations
from pondquay.routing.knownupstreams import KnownUpstream
from pondquay.routing.listwatch import MISSING_GRACE_SECONDS, ListWatch
from pondquay.routing.upstreamrecords import Departure

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from pondquay.routing.ratelimits import RateLimit
    from pondquay.routing.upstreamrecords import UpstreamRecord

# Departures that an instance remembers: more than a day of releases in a large fleet.
# Each is for news that comes late: by a list that lags, or by a link after a cut.
MAX_DEPARTURES = 4096
# For which the limit of one that has left is kept, in seconds: longer than a row takes
# to come back that lapsed in an outage of the store.
LIMIT_KEPT_SECONDS = 60.0


class UpstreamDirectory:
    """Upstreams by service; the first sign that one leaves is final.

    Each life of an upstream has a name of its own, so one that has left never comes
    back. Which of two lives in one row is the later one is told by the versions of the
    row alone. A row that goes while the list is followed is such a sign as well, and
    no later trouble of the store takes it back; only a newer row does.

    :param clock: tells the time in seconds
    :param confirmed: returns the moment as of which the list was whole before the row
        that is being taken in, in seconds, ``None`` if it never was
    :ivar evacuations: the domains that operators have emptied
    :ivar reach: the domains that cannot be reached from here
    """

    def __init__(
        self,
        clock: Callable[[], float],
        confirmed: Callable[[], float | None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._confirmed = confirmed
        self.evacuations = Evacuations(clock)
        self.reach = DomainReach()
        self._watch = ListWatch()
        # By the names of lives.
        self._known: dict[str, KnownUpstream] = {}
        self._departures: dict[str, Departure] = {}
        # By the names of rows: the life that each was last known to name, and the
        # newest version at which it is known to have been gone.
        self._listed: dict[str, str] = {}
        self._removed: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._known)

    def all(self) -> list[KnownUpstream]:
        """Return all that are known."""
        return list(self._known.values())

    def list_departed(self) -> list[str]:
        """Return the names of those that get no new work any more."""
        now = self._clock()
        return [one.name for one in self._known.values() if one.has_departed(now)]

    def count_present(self) -> int:
        """Return how many are listed and not leaving."""
        return sum(
            not one.leaving and one.missing_since is None
            for one in self._known.values()
        )

    def count_backing_off(self) -> int:
        """Return how many want no request of this instance now."""
        now = self._clock()
        return sum(one.in_backoff(now) for one in self._known.values())

    def count_limited(self) -> int:
        """Return how many have named a limit for all instances."""
        return len(self.list_limited())

    def list_limited(self) -> list[KnownUpstream]:
        """Return those that have named a limit for all instances."""
        return [one for one in self._known.values() if one.is_limited()]

    def find(self, name: str) -> KnownUpstream | None:
        """Return an upstream by the name of its life."""
        return self._known.get(name)

    def find_listed(self, row: str) -> KnownUpstream | None:
        """Return the life that a row was last known to name."""
        incarnation = self._listed.get(row)
        return None if incarnation is None else self._known.get(incarnation)

    def departures(self) -> list[Departure]:
        """Return what is known of those that leave, the newest last."""
        return list(self._departures.values())

    def find_departure(self, name: str) -> Departure | None:
        """Return the news that an upstream leaves, if it does."""
        return self._departures.get(name)

    def put(self, record: UpstreamRecord, version: int) -> KnownUpstream | None:
        """Take in a row of the list; ``None`` if it says nothing new.

        Most rows are heartbeats, which only prove that the upstream lives.
        """
        name, incarnation = record.name, record.incarnation
        if record.leaving:
            self.note_leaving(name, record.born)
        listed = self.find_listed(name)
        if listed is not None and listed.name != incarnation:
            if listed.version >= version:
                return None
            # Also by a row that is gone by now: it shows that another life began.
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
            # It had only lapsed.
            del self._departures[incarnation]
            departure = None
        is_news = (
            known is None or known.missing_since is not None or known.record != record
        )
        is_written = known is None or known.version < version
        if known is None:
            known = self._known[incarnation] = KnownUpstream(record, version)
        if is_written and not record.leaving:
            known.note_written(self._confirmed())
        if listed is not None and listed is not known:
            known.doubt(listed)
        self._listed[name] = incarnation
        known.record = record
        known.version = version
        known.missing_since = None
        known.expires = None
        known.leaving = known.leaving or departure is not None
        known.note_cold(record.cold, self._clock())
        return known if is_news else None

    def remove(self, name: str, version: int) -> KnownUpstream | None:
        """Take in that a row is gone, ``None`` if that is not new."""
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
        known.expires = self._watch.plan_expiry(now)
        if self._watch.is_departure(now):
            self._remember(Departure(name, version, known.record.born))
        return known

    def discard(self, name: str, version: int) -> KnownUpstream | None:
        """Take in that a row says nothing that can be used, ``None`` if not new.

        What it named before is not tried, whatever else is left: somebody else has
        written the row. The next row that its upstream writes brings it back.
        """
        self._note_removed(name, version)
        known = self.find_listed(name)
        if known is None or known.version > version:
            return None
        now = self._clock()
        is_news = not known.has_departed(now)
        known.missing_since = known.missing_since or now
        known.expires = now
        return known if is_news else None

    def replace(
        self, records: Mapping[str, tuple[UpstreamRecord, int]], at: int
    ) -> list[KnownUpstream]:
        """Take in the whole list as it was at some version.

        A list that is older than what is known removes nothing newer.

        :returns: those of which it says something new
        """
        changed = [self.put(record, version) for record, version in records.values()]
        for name, incarnation in list(self._listed.items()):
            if name not in records and self._known[incarnation].version <= at:
                changed.append(self._remove(name, at))
        self._forget_departed()
        return [one for one in changed if one is not None]

    def note_synced(self) -> None:
        """Learn that the list is being followed, also after an interruption."""
        now = self._clock()
        self._watch.begin(now)
        for known in self._known.values():
            if known.missing_since is not None and known.expires is None:
                known.expires = self._watch.plan_expiry(now)

    def note_disconnected(self) -> None:
        """Learn that the list cannot be followed.

        What lapsed shortly before may still be there: it had no time to come back.
        """
        now = self._clock()
        self._watch.interrupt(now)
        for incarnation, known in self._known.items():
            pending = known.expires is not None and known.expires > now
            if pending and incarnation not in self._departures:
                known.expires = None

    def note_leaving(self, name: str, born: int | None = None) -> bool:
        """Note an upstream's own sign that it leaves; tell whether that is new.

        It is kept for lives that are not known yet: a list that lags may bring them.
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
        """Note that an answer of an upstream says that it leaves.

        :param delivered_at: by when the request had reached it, in seconds
        :returns: whether that is new
        """
        upstream.said_leaving_at = self._clock()
        self._note_reached(upstream, delivered_at)
        return self.note_leaving(upstream.record.name, upstream.record.born)

    def note_backoff(
        self, upstream: KnownUpstream, seconds: float, delivered_at: float
    ) -> None:
        """Note that an answer of an upstream asks for some seconds without a request.

        :param delivered_at: by when the request had reached it, in seconds
        """
        upstream.note_backoff(seconds, self._clock())
        self._note_reached(upstream, delivered_at)

    def note_limit(
        self,
        upstream: KnownUpstream,
        limit: RateLimit,
        requested_at: float,
        delivered_at: float,
    ) -> bool:
        """Note what an answer of an upstream says of how much it takes.

        :param requested_at: when the request was placed, in seconds
        :param delivered_at: by when it had reached the upstream, in seconds
        :returns: whether it is another limit than was known
        """
        is_other = upstream.note_limit(limit, requested_at)
        if limit.rate is not None:
            self._note_reached(upstream, delivered_at)
        return is_other

    def _note_reached(self, upstream: KnownUpstream, delivered_at: float) -> None:
        upstream.delivered_at = max(upstream.delivered_at, delivered_at)
        later = self.find_listed(upstream.record.name)
        if later is not None and later is not upstream:
            later.doubt(upstream)

    def receive(self, departure: Departure) -> bool:
        """Take in what another instance knows; tell whether that is new."""
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
            known.expires = min(now + MISSING_GRACE_SECONDS, known.expires or math.inf)
        return True

    def forget_instance(self, instance: str) -> None:
        """Forget what another instance has waiting, since it cannot be heard."""
        for known in self._known.values():
            known.prompts.receive(instance, 0)

    def candidates(self, service: str) -> list[KnownUpstream]:
        """Return those that may get new work; none of an emptied domain may.

        Rows vanish when an upstream leaves without a word, but also when the list's
        store is in trouble. Vanished ones are tried only where nothing else is left,
        and until they are taken to have left.
        """
        now = self._clock()
        evacuated = self.evacuations.evacuated
        of_service = [
            one
            for one in self._known.values()
            if one.record.service == service
            and one.record.domain not in evacuated
            and not one.has_departed(now)
        ]
        present = [one for one in of_service if one.missing_since is None]
        return present or of_service

    def note_restored(self, domain: str, cold: Callable[[str], float]) -> None:
        """Learn that an emptied domain gets work again.

        Its upstreams may have turned cold shortly before, which the list tells up to
        two seconds late; until then they are taken to be.

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
        final = before.version is None
        self._departures[departure.incarnation] = before if final else departure
        _drop_oldest(self._departures)

    def _end_incarnation(self, known: KnownUpstream) -> None:
        """Take in that another life of an upstream has begun."""
        self.note_leaving(known.record.name, known.record.born)
        known.missing_since = known.missing_since or self._clock()

    def _forget_departed(self) -> None:
        """Drop those that have left and run nothing of this instance any more.

        One that asked to back off is kept until that has passed, and one that named a
        limit for a while: its row may come back.
        """
        now = self._clock()
        for name, known in list(self._known.items()):
            is_gone = known.missing_since is not None and known.has_departed(now)
            said_lately = known.in_backoff(now) or (
                known.is_limited() and known.limit.age(now) < LIMIT_KEPT_SECONDS
            )
            if is_gone and known.running == 0 and not said_lately:
                del self._known[name]
                if self._listed.get(known.record.name) == name:
                    del self._listed[known.record.name]


def _drop_oldest(entries: dict[str, Any]) -> None:
    """Keep no more than are ever asked for again."""
    if len(entries) > MAX_DEPARTURES:
        del entries[next(iter(entries))]

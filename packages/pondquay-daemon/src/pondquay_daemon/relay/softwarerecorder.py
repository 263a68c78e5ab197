"""Recording of software versions in the store, and what the record shows."""

from __future__ import annotations

from collections import defaultdict
from random import uniform
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from pondquay.routing.routesets import RouteSets
from pondquay.routing.softwarerecords import (
    ServiceKnowledge,
    SoftwareRecord,
    list_active,
)
from pondquay.tables import ABSENT, Committed, Unreachable
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.sharedreads import SharedRead
from pondquay_daemon.relay.softwarerows import TABLE, plan_writes, unpack_table
from pondquay_daemon.tasks import sleep, spawn, wait_at_most

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from twisted.internet.interfaces import IReactorTime

    from pondquay.routes.table import RouteTable
    from pondquay.routing.directory import UpstreamDirectory
    from pondquay.tables import Transaction
    from pondquay_daemon.relay.softwarerows import SoftwareTable
    from pondquay_daemon.relay.store import Store

# Age up to which the list of upstreams shows versions that have just started, and which
# ones have left; also the age of the configuration up to which it shows all routes.
MAX_LIST_AGE_SECONDS = 3.0
# Time between two checks whether the record lacks anything; they read no store.
CHECK_SECONDS = 1.0
# Bounds of the random time between two reads of an unchanged record, in seconds.
REVIEW_BOUNDS = (45.0, 75.0)
# Maximum of the random delay before a write, for each linked peer. All of them see a
# new version at the same time, and one has to write it.
MAX_WRITE_DELAY_SECONDS = 0.00025
# Bounds of the random delay after a failed call, in seconds. Consecutive failures
# double it up to ``MAX_DOUBLINGS`` times.
RETRY_DELAY_BOUNDS = (0.1, 0.3)
MAX_DOUBLINGS = 2
# Minimum pause between reads for callers that take streams up.
MIN_READ_PAUSE_SECONDS = 0.25


class SoftwareRecorder:
    """Records in the store where streams may have begun.

    A resumable stream begins only at a version, and by a route, that its instance has
    seen in the record, so both are in the record before its first event can have left.
    The record therefore shows instances that know nothing else where streams may have
    begun.

    :param list_age: returns the seconds since the list of upstreams was confirmed,
        ``None`` if it never was
    :param configuration_age: returns the same of the configuration
    :param is_reachable: returns whether the store responds
    :param count_peers: returns the number of linked peers
    :param first_start: whether the fleet has served no request before
    :ivar on_routes_changed: called when the routes of a service have changed
    """

    def __init__(
        self,
        clock: IReactorTime,
        store: Store,
        directory: UpstreamDirectory,
        list_age: Callable[[], float | None],
        configuration_age: Callable[[], float | None],
        is_reachable: Callable[[], bool],
        count_peers: Callable[[], int],
        *,
        first_start: bool,
    ) -> None:
        self._clock = clock
        self._store = store
        self._directory = directory
        self._list_age = list_age
        self._configuration_age = configuration_age
        self._is_reachable = is_reachable
        self._count_peers = count_peers
        self._first_start = first_start
        self.on_routes_changed: Callable[[], None] = lambda: None
        self._record = SoftwareRecord()
        self._routes = RouteSets()
        self._failures = 0
        self._next_review_at = 0.0
        # Fires when the record may lack something.
        self._wake: Deferred[None] = Deferred()
        # Fires after the next read.
        self._on_read: Deferred[None] = Deferred()
        self._version = ABSENT
        self._shared_read = SharedRead(clock, self._read, MIN_READ_PAUSE_SECONDS)
        directory.software.on_new.append(lambda *_: self._request_update())

    def start(self) -> None:
        """Start to keep the record up to date."""
        spawn(self._run(), type(self).__name__)

    def apply_table(self, table: RouteTable) -> None:
        """Record the routes of a new configuration."""
        if self._routes.apply(table.configuration.routes):
            self._request_update()
            self.on_routes_changed()

    def list_recorded(self, service: str, route: str) -> frozenset[str]:
        """Return the versions at which streams may begin on a route."""
        record = self._record.find(service)
        if not self._routes.contain(service, route, list_active(record.routes)):
            return frozenset()
        return list_active(record.versions)

    def is_ambiguous(self, service: str) -> bool:
        """Return whether the record may not show at which version a stream began."""
        return (
            not self._is_reachable()
            or not self._record.is_complete()
            or len(self._record.list_versions(service)) > 1
            or len(self._record.list_routes(service)) > 1
        )

    async def wait_recorded(self, service: str, route: str, seconds: float) -> bool:
        """Wait until streams may begin at upstreams of a service, if any are known.

        :param seconds: longest time to wait
        :returns: whether they may now, but could not before
        """
        until = self._clock.seconds() + seconds
        has_waited = False
        while self.lacks_all(service, route):
            remaining = until - self._clock.seconds()
            if remaining <= 0 or not self._is_reachable():
                return False
            self._request_update()
            await wait_at_most(self._on_read, remaining, self._clock, None)
            has_waited = True
        return has_waited

    def lacks_all(self, service: str, route: str) -> bool:
        """Return whether upstreams of a service are known, but none is recorded."""
        candidates = self._directory.candidates(service)
        recorded = self.list_recorded(service, route)
        return bool(candidates) and not any(
            upstream.record.software in recorded for upstream in candidates
        )

    async def find_single(self, service: str, route: str, seconds: float) -> str | None:
        """Return the only version that may have begun a stream that is taken up.

        The record is read anew: it has the version and the route of each stream of
        which any event had left before.

        :param route: the only route that may have led to the stream
        :param seconds: longest time to wait
        :returns: ``None`` if there may be another, or the store does not respond
        """
        if not self._is_reachable():
            return None
        table = await wait_at_most(self._shared_read.read(), seconds, self._clock, None)
        if table is None or not table.record.is_complete():
            return None
        routes = table.record.list_routes(service)
        if len(routes) != 1 or not self._routes.contain(service, route, routes):
            return None
        recorded = table.record.list_versions(service)
        known = recorded.union(self._directory.list_software(service))
        if not recorded or len(known) > 1:
            return None
        (single,) = known
        return single

    def describe(self) -> dict[str, Any]:
        """Return the versions that may have begun streams, for operators."""
        record = self._record
        return {
            "complete": record.is_complete(),
            "services": {
                service: sorted(record.list_versions(service))
                for service in record.services
            },
        }

    async def _run(self) -> None:
        while True:
            self._wake = Deferred()
            if self._needs_update() and not await self._try_update():
                await self._back_off()
                continue
            await wait_at_most(self._wake, CHECK_SECONDS, self._clock, None)
            # A new version is announced before its upstream is known.
            await sleep(0, self._clock)

    def _needs_update(self) -> bool:
        # The first record must have all services.
        if self._list_age() is None or not self._routes.is_known:
            return False
        is_due = self._clock.seconds() >= self._next_review_at
        return is_due or self._lacks_any()

    def _lacks_any(self) -> bool:
        """Return whether the record lacks anything that this instance knows."""
        for service, known in self._list_known().items():
            record = self._record.find(service)
            if not list_active(record.versions).issuperset(known.versions):
                return True
            if not list_active(record.routes).issuperset(known.routes):
                return True
        return False

    async def _try_update(self) -> bool:
        """Update the record; an error is logged and does not end the updates."""
        try:
            updated = await self._update()
        except Exception as error:
            log_event("software-update-failed", Level.ERROR, error=repr(error))
            return False
        if updated:
            self._failures = 0
            self._next_review_at = self._clock.seconds() + uniform(*REVIEW_BOUNDS)
        return updated

    async def _update(self) -> bool:
        """Record what this instance knows; return whether the record is up to date."""
        table = await self._read()
        if table is None:
            return False
        if self._plan(table) is None:
            return True
        if delay := self._count_peers() * uniform(0, MAX_WRITE_DELAY_SECONDS):
            await sleep(delay, self._clock)
        while True:
            table = await self._read()
            transaction = None if table is None else self._plan(table)
            if transaction is None:
                return table is not None
            reply = await self._store.commit(transaction)
            keys = ",".join(write.key for write in transaction.writes)
            log_event("software-recorded", rows=keys, reply=type(reply).__name__)
            if not isinstance(reply, Committed):
                return False

    async def _read(self) -> SoftwareTable | None:
        """Read the table; return ``None`` if the store does not respond."""
        snapshot = await self._store.read_table(TABLE)
        if isinstance(snapshot, Unreachable):
            return None
        table = unpack_table(snapshot)
        if snapshot.version >= self._version:
            self._version, self._record = snapshot.version, table.record
        done, self._on_read = self._on_read, Deferred()
        done.callback(None)
        return table

    def _plan(self, table: SoftwareTable) -> Transaction | None:
        known = self._list_known()
        unlisted = ServiceKnowledge(
            knows_versions=_is_fresh(self._list_age()),
            knows_routes=_is_fresh(self._configuration_age()),
        )
        return plan_writes(table, known, unlisted, first_start=self._first_start)

    def _list_known(self) -> Mapping[str, ServiceKnowledge]:
        """Return what this instance knows of services with upstreams or routes."""
        now = self._clock.seconds()
        versions: defaultdict[str, set[str]] = defaultdict(set)
        for upstream in self._directory.all():
            if not upstream.has_departed(now):
                versions[upstream.record.service].add(upstream.record.software)
        knows_versions = _is_fresh(self._list_age())
        knows_routes = _is_fresh(self._configuration_age())
        return {
            service: ServiceKnowledge(
                versions.get(service, ()),
                self._routes.list_present(service),
                knows_versions,
                knows_routes,
            )
            for service in versions.keys() | self._routes.services
        }

    def _request_update(self) -> None:
        if not self._wake.called:
            self._wake.callback(None)

    async def _back_off(self) -> None:
        """Wait after a failed call, longer after each consecutive failure."""
        factor = 2 ** min(MAX_DOUBLINGS, self._failures)
        self._failures += 1
        await sleep(uniform(*RETRY_DELAY_BOUNDS) * factor, self._clock)


def _is_fresh(age: float | None) -> bool:
    """Return whether what was confirmed some time ago shows all changes."""
    return age is not None and age <= MAX_LIST_AGE_SECONDS

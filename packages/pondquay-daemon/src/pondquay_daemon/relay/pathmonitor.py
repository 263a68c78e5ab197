"""Logs and counts which upstreams this instance can open connections to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.paths import DirectPaths
from pondquay_daemon.logs import Level, log_event

if TYPE_CHECKING:
    from twisted.internet.interfaces import IReactorTime

    from pondquay.addresses import Address
    from pondquay.routing.directory import UpstreamDirectory
    from pondquay.routing.paths import ConnectPlan
    from pondquay.routing.upstreamrecords import UpstreamRecord
    from pondquay_daemon.relay.dialing import DirectDialer
    from pondquay_daemon.relay.metrics import RelayMetrics
    from pondquay_daemon.relay.overloadmonitor import OverloadMonitor


class PathMonitor:
    """Records the outcome of each connection to an upstream, direct or tunnelled.

    :param overload: is told how long direct connections take to open
    """

    def __init__(
        self,
        clock: IReactorTime,
        directory: UpstreamDirectory,
        overload: OverloadMonitor,
        metrics: RelayMetrics,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._overload = overload
        self._metrics = metrics
        self.paths = DirectPaths()

    def watch(self, dialer: DirectDialer) -> None:
        """Record the outcomes of a dialer's connections."""
        dialer.on_opened = self._note_opened
        dialer.on_failed = self._note_failed

    def plan(self, address: Address) -> ConnectPlan:
        """Return how to open a connection to an upstream, which is done now."""
        service = self._find_service(address) if self.paths.has_failures else ""
        return self.paths.plan(address, service, self._clock.seconds())

    def avoids(self, record: UpstreamRecord) -> bool:
        """Return whether a direct connection to an upstream is unlikely to open."""
        is_lost = self.paths.is_lost(record.address, record.service)
        return is_lost or self.paths.seems_cut_off(record.service)

    def take_retry(self, record: UpstreamRecord) -> bool:
        """Return whether a failed path should be tried again now, and note it."""
        now = self._clock.seconds()
        return self.paths.take_retry(record.address, record.service, now)

    def is_lost(self, address: Address) -> bool:
        """Return whether peers reach an upstream that this instance does not reach."""
        if not self.paths.has_failures:
            return False
        record = self._directory.find_at(address)
        return record is not None and self.paths.is_lost(address, record.service)

    def note_tunnelled(self, record: UpstreamRecord, gateway: str) -> None:
        """Record that a gateway reaches an upstream."""
        self._metrics.connections.labels("tunnelled").inc()
        if self.paths.note_tunnelled(record.address, record.service):
            self._log_change(record.address, Level.WARNING, "lost", gateway=gateway)

    def note_unreachable(self, address: Address) -> None:
        """Record that a gateway cannot reach an upstream either."""
        self.paths.note_unreachable(address, self._clock.seconds())

    def _note_opened(self, address: Address, seconds: float) -> None:
        self._overload.note_connected(address, seconds)
        self._metrics.connections.labels("opened").inc()
        service = self._find_service(address) if self.paths.has_failures else ""
        if self.paths.note_opened(address, service, self._clock.seconds()):
            self._log_change(address, Level.INFO, "up")

    def _note_failed(self, address: Address, refused: bool) -> None:
        self._metrics.connections.labels("refused" if refused else "failed").inc()
        if self._overload.overloaded and not refused:
            return
        self.paths.retain({known.record.address for known in self._directory.all()})
        service = self._find_service(address)
        if self.paths.note_failed(address, service, refused=refused):
            self._log_change(address, Level.WARNING, "down", refused=refused)

    def _find_service(self, address: Address) -> str:
        """Return the service of an upstream, empty if it is unknown."""
        record = self._directory.find_at(address)
        return "" if record is None else record.service

    def _log_change(
        self, address: Address, level: Level, state: str, **fields: object
    ) -> None:
        paths = self.paths
        self._metrics.paths_down.set(paths.count_down())
        self._metrics.paths_lost.set(paths.count_lost())
        # last_opened: seconds since this instance opened a connection to any upstream.
        opened = paths.seconds_since_opened(self._clock.seconds())
        log_event(
            "upstream-path",
            level,
            address=address,
            state=state,
            down=paths.count_down(),
            lost=paths.count_lost(),
            last_opened=-1 if opened is None else round(opened, 2),
            **fields,
        )

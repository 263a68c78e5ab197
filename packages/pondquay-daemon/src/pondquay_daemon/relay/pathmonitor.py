"""Logs and counts which upstreams this instance can open connections to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.paths import DirectPaths
from pondquay_daemon.logs import Level, log_event

if TYPE_CHECKING:
    from twisted.internet.interfaces import IReactorTime

    from pondquay.addresses import Address
    from pondquay_daemon.relay.egress import EgressPool
    from pondquay_daemon.relay.metrics import RelayMetrics
    from pondquay_daemon.relay.overloadmonitor import OverloadMonitor


class PathMonitor:
    """Records the outcome of each connection that a pool opens to an upstream.

    :param overload: is told how long connections take to open
    """

    def __init__(
        self,
        clock: IReactorTime,
        pool: EgressPool,
        overload: OverloadMonitor,
        metrics: RelayMetrics,
    ) -> None:
        self._clock = clock
        self._overload = overload
        self._metrics = metrics
        self.paths = DirectPaths()
        pool.on_connected = self._note_opened
        pool.on_connect_failed = self._note_failed

    def _note_opened(self, address: Address, seconds: float) -> None:
        self._overload.note_connected(address, seconds)
        self._metrics.connections.labels("opened").inc()
        if self.paths.note_opened(address, self._clock.seconds()):
            self._log_change(address, Level.INFO, "up")

    def _note_failed(self, address: Address, refused: bool) -> None:
        self._metrics.connections.labels("refused" if refused else "failed").inc()
        now = self._clock.seconds()
        last_opened = self.paths.seconds_since_opened(now)
        if self.paths.note_failed(address, now):
            self._log_change(address, Level.WARNING, "down", refused, last_opened)

    def _log_change(
        self,
        address: Address,
        level: Level,
        state: str,
        refused: bool = False,
        last_opened: float | None = None,
    ) -> None:
        self._metrics.paths_down.set(self.paths.count_down())
        # last_opened: seconds since this instance opened a connection to any upstream.
        log_event(
            "upstream-path",
            level,
            address=address,
            state=state,
            refused=refused,
            down=self.paths.count_down(),
            last_opened=-1 if last_opened is None else round(last_opened, 2),
        )

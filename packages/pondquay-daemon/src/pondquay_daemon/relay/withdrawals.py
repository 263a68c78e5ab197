"""Withdrawal of this instance from the load balancer while it is overloaded."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.overload import LoadLevel
from pondquay.routing.withdrawal import Withdrawal
from pondquay_daemon.logs import Level, log_event

if TYPE_CHECKING:
    from twisted.internet.interfaces import IReactorTime

    from pondquay_daemon.relay.ingress import IngressServer
    from pondquay_daemon.relay.loadlinks import LoadLinks
    from pondquay_daemon.relay.metrics import RelayMetrics
    from pondquay_daemon.relay.overloadmonitor import OverloadMonitor


class WithdrawalMonitor:
    """Withdraws this instance, and lets callers leave with their next response.

    :param instance: name of this instance
    :param enabled: whether it may withdraw
    """

    def __init__(
        self,
        clock: IReactorTime,
        instance: str,
        monitor: OverloadMonitor,
        loads: LoadLinks,
        metrics: RelayMetrics,
        *,
        enabled: bool,
    ) -> None:
        self._clock = clock
        self._monitor = monitor
        self._loads = loads
        self._metrics = metrics
        self._withdrawal = Withdrawal(instance)
        self._server: IngressServer | None = None
        if enabled:
            monitor.on_sample = self._update

    @property
    def active(self) -> bool:
        """Whether this instance is withdrawn."""
        return self._withdrawal.active

    def connect(self, server: IngressServer) -> None:
        """Set the server whose callers should leave."""
        self._server = server

    def _update(self) -> None:
        level = self._monitor.detector.level
        if level is not LoadLevel.OVERLOADED and not self.active:
            self._withdrawal.update(level, {}, self._clock.seconds())
            return
        peers = self._loads.list_near_levels()
        if not self._withdrawal.update(level, peers, self._clock.seconds()):
            return
        self._loads.withdrawn = self.active
        self._loads.announce()
        self._metrics.withdrawn.set(1 if self.active else 0)
        if self._server is not None:
            self._server.closing = self.active
        log_event(
            "withdrawn" if self.active else "withdrawal-ended",
            Level.WARNING if self.active else Level.INFO,
            delay=round(self._monitor.detector.delay, 3),
            near=len(peers),
            overloaded=sum(other >= LoadLevel.OVERLOADED for other in peers.values()),
        )

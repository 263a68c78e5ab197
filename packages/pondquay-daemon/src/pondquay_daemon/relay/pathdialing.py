"""Opening of connections to upstreams, directly or through a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from pondquay.routing.gateways import ANY_UPSTREAM, CUT_OFF_BACKOFF_SECONDS
from pondquay.routing.paths import Direct
from pondquay_daemon.readtimers import ReadTimer
from pondquay_daemon.relay.dialing import (
    CONNECT_SECONDS,
    Dialer,
    DialFailure,
    DirectDialer,
    UnusedConnection,
)
from pondquay_daemon.relay.tunnelmessages import OpenTunnel, TunnelOutcome
from pondquay_daemon.relay.tunnels import open_tunnel

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IDelayedCall
    from twisted.internet.protocol import Protocol

    from pondquay.addresses import Address
    from pondquay.routing.directory import UpstreamDirectory
    from pondquay.routing.gateways import Gateway, GatewayTable
    from pondquay.routing.upstreamrecords import UpstreamRecord
    from pondquay_daemon.relay.overloadmonitor import OverloadMonitor
    from pondquay_daemon.relay.pathmonitor import PathMonitor

# Time after which a further gateway is asked while one has not responded.
NEXT_GATEWAY_SECONDS = 0.15
# Gateways that an upstream's host has to refuse before the upstream counts as down.
MIN_REFUSALS = 2


class PathDialer(Dialer):
    """Connects to upstreams, through a gateway where the own path seems to be lost.

    :param instance: name of this instance
    :param enabled: whether gateways are used
    """

    def __init__(
        self,
        reactor: Any,
        instance: str,
        directory: UpstreamDirectory,
        monitor: PathMonitor,
        overload: OverloadMonitor,
        gateways: GatewayTable,
        *,
        enabled: bool = True,
    ) -> None:
        self._enabled = enabled
        self.reactor = reactor
        self.instance = instance
        self.monitor = monitor
        self.gateways = gateways
        self.directory = directory
        self.direct = DirectDialer(reactor)
        self._overload = overload
        monitor.watch(self.direct)

    def dial(
        self,
        address: Address,
        build: Callable[[], Protocol],
        on_failed: Callable[[DialFailure], None],
    ) -> None:
        """Open a connection."""
        if not self._enabled:
            self.direct.dial(address, build, on_failed)
            return
        plan = self.monitor.plan(address)
        tunnel_after = plan.tunnel_after
        # An overloaded instance opens connections late, and tunnels would add to it.
        if self._overload.overloaded and tunnel_after != 0.0:
            tunnel_after = None
        race = _Race(self, address, build, on_failed)
        race.start(plan.direct, tunnel_after)

    def trusts(self, address: Address, gateway: str) -> bool:
        """Return whether an idle connection takes the path that is in use."""
        return bool(gateway) == self.monitor.is_lost(address)

    def refresh(self, address: Address) -> None:
        """Check whether a lost path works again."""
        record = self.directory.find_at(address)
        if record is not None and self.monitor.take_retry(record):
            self.direct.check(address)


class _Race:
    """Opens a connection in several ways at once; the first that opens is used."""

    def __init__(
        self,
        dialer: PathDialer,
        address: Address,
        build: Callable[[], Protocol],
        on_failed: Callable[[DialFailure], None],
    ) -> None:
        self._dialer = dialer
        self._address = address
        self._build = build
        self._on_failed = on_failed
        self._pending = 0
        self._is_done = False
        self._may_tunnel = False
        self._awaits_direct = False
        self._refusals = 0
        self._failure = DialFailure("no path to the upstream")
        self._tried: list[Gateway] = []
        self._next_tunnel: IDelayedCall | None = None
        self._timeout: ReadTimer | None = None
        self._began_at = dialer.reactor.seconds()

    def start(self, direct: Direct, tunnel_after: float | None) -> None:
        """Begin.

        :param tunnel_after: seconds after which a gateway is asked, ``None`` for never
        """
        self._may_tunnel = tunnel_after is not None
        if direct is not Direct.NO:
            self._awaits_direct = direct is Direct.YES
            self._pending += self._awaits_direct
            self._dialer.direct.dial(
                self._address, self._open_direct, self._fail_direct
            )
        if tunnel_after:
            self._next_tunnel = self._dialer.reactor.callLater(
                tunnel_after, self._try_tunnel
            )
        elif self._may_tunnel and not self._tried:
            self._try_tunnel()
        else:
            self._check_failed()

    def _open_direct(self) -> Protocol:
        return UnusedConnection() if self._is_done else self._win()

    def _fail_direct(self, failure: DialFailure) -> None:
        self._pending -= self._awaits_direct
        self._failure = failure
        if not self._is_done and self._may_tunnel and not self._tried:
            self._try_tunnel()
        self._check_failed()

    def _try_tunnel(self) -> None:
        """Ask a gateway, and another one if it does not respond soon."""
        self._cancel(self._next_tunnel)
        record = self._dialer.directory.find_at(self._address)
        gateway = None if record is None else self._choose_gateway(record)
        if self._is_done or record is None or gateway is None:
            self._may_tunnel = False
            self._check_failed()
            return
        self._ask(gateway, record)

    def _choose_gateway(self, record: UpstreamRecord) -> Gateway | None:
        return self._dialer.gateways.choose(
            (str(record.address), record.service),
            record.domain,
            self._tried,
            self._dialer.reactor.seconds(),
        )

    def _ask(self, gateway: Gateway, record: UpstreamRecord) -> None:
        dialer, clock = self._dialer, self._dialer.reactor
        if not self._tried:
            remaining = self._began_at + CONNECT_SECONDS - clock.seconds()
            self._timeout = ReadTimer(clock, max(0.0, remaining), self._on_timeout)
        self._tried.append(gateway)
        self._pending += 1
        self._next_tunnel = clock.callLater(NEXT_GATEWAY_SECONDS, self._try_tunnel)
        open_tunnel(
            clock,
            gateway,
            OpenTunnel(dialer.instance, record.incarnation, str(record.address)),
            lambda: self._open_tunnel(gateway, record),
            lambda outcome: self._fail_tunnel(gateway, record, outcome),
            lambda: dialer.gateways.note_tunnel(gateway.name, -1),
        )

    def _open_tunnel(self, gateway: Gateway, record: UpstreamRecord) -> Protocol:
        self._dialer.gateways.note_tunnel(gateway.name, 1)
        if self._is_done:
            return UnusedConnection()
        self._dialer.monitor.note_tunnelled(record, gateway.name)
        return self._win()

    def _fail_tunnel(
        self, gateway: Gateway, record: UpstreamRecord, outcome: TunnelOutcome
    ) -> None:
        self._pending -= 1
        dialer = self._dialer
        now = dialer.reactor.seconds()
        if outcome is TunnelOutcome.CUT_OFF:
            dialer.gateways.note_failed(
                gateway.name, record.service, now, CUT_OFF_BACKOFF_SECONDS
            )
        else:
            is_busy = outcome is TunnelOutcome.BUSY
            scope = ANY_UPSTREAM if is_busy else str(record.address)
            dialer.gateways.note_failed(gateway.name, scope, now)
        if outcome is TunnelOutcome.REFUSED:
            self._note_refused(record)
        elif outcome is TunnelOutcome.UNREACHABLE and len(self._tried) > 1:
            dialer.monitor.note_unreachable(record.address)
        if not self._is_done and self._may_tunnel:
            self._try_tunnel()
        self._check_failed()

    def _note_refused(self, record: UpstreamRecord) -> None:
        """Give up if several gateways are refused, since one may be cut off itself."""
        self._refusals += 1
        self._failure = DialFailure("refused at a gateway", refused=True)
        if self._refusals >= MIN_REFUSALS:
            self._dialer.monitor.note_unreachable(record.address)
            self._may_tunnel = False

    def _on_timeout(self) -> None:
        for gateway in self._tried:
            self._dialer.gateways.note_failed(
                gateway.name, str(self._address), self._dialer.reactor.seconds()
            )
        self._pending = 0
        self._may_tunnel = False
        self._check_failed()

    def _win(self) -> Protocol:
        self._finish()
        return self._build()

    def _check_failed(self) -> None:
        """Fail if there is no way left."""
        waits = self._next_tunnel is not None and self._next_tunnel.active()
        if self._is_done or self._pending or (waits and self._may_tunnel):
            return
        self._finish()
        self._on_failed(self._failure)

    def _finish(self) -> None:
        self._is_done = True
        self._cancel(self._next_tunnel)
        self._cancel(self._timeout)

    def _cancel(self, timer: IDelayedCall | ReadTimer | None) -> None:
        if timer is not None and timer.active():
            timer.cancel()

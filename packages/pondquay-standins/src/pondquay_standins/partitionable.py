"""Daemon whose connections to upstreams can be cut and whose host can be suspended.

SIGUSR2 begins a partition from the upstreams whose ports are listed in the environment,
or ends it. Open connections are reset; new ones are refused or never open. SIGUSR1
simulates a suspension.
"""

from __future__ import annotations

import os
import sys
import time
from signal import SIGUSR1, SIGUSR2, signal
from typing import TYPE_CHECKING, Any, cast

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.error import TimeoutError as ConnectTimeoutError
from twisted.internet.posixbase import PosixReactorBase
from twisted.python.failure import Failure

from pondquay_daemon.__main__ import main
from pondquay_standins.suspendable import SuspendableClock

if TYPE_CHECKING:
    from collections.abc import Container

# Ports of the upstreams, separated by commas.
PORTS_VARIABLE = "PONDQUAY_TEST_UPSTREAM_PORTS"


class Partition:
    """Replaces ``connectTCP`` of all reactors.

    :param ports: ports of the upstreams
    """

    def __init__(self, ports: Container[int]) -> None:
        self._ports = ports
        self._connect = PosixReactorBase.connectTCP
        self._connectors: set[Any] = set()
        self._is_cut = False
        self._partitions = 0

    def connect(
        self,
        reactor: Any,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30,
        *more: Any,
    ) -> Any:
        """Open a connection, unless it leads to an upstream during a partition."""
        if port not in self._ports:
            return self._connect(reactor, host, port, factory, timeout, *more)
        if self._is_cut:
            self._fail(reactor, factory, timeout)
            return None
        connector: Any = self._connect(reactor, host, port, factory, timeout, *more)
        self._connectors = {
            known for known in self._connectors if known.state != "disconnected"
        }
        self._connectors.add(connector)
        return connector

    def toggle(self, *_: object) -> None:
        """Begin or end a partition."""
        self._is_cut = not self._is_cut
        if not self._is_cut:
            return
        self._partitions += 1
        for connector in self._connectors:
            if connector.state == "connected":
                connector.reactor.callFromThread(connector.transport.abortConnection)
        self._connectors.clear()

    def _fail(self, reactor: Any, factory: Any, timeout: float) -> None:
        """Fail a connection: at once or after its timeout, in turn by partition."""
        refuses = self._partitions % 2 == 0
        error = ConnectionRefusedError() if refuses else ConnectTimeoutError()
        delay = 0 if refuses else timeout
        reactor.callLater(delay, factory.clientConnectionFailed, None, Failure(error))


def list_ports() -> frozenset[int]:
    """Return the ports of the upstreams, from the environment."""
    text = os.environ.get(PORTS_VARIABLE, "")
    return frozenset(int(port) for port in text.split(",") if port)


if __name__ == "__main__":
    suspendable_clock = SuspendableClock()
    time.clock_gettime = suspendable_clock.read
    signal(SIGUSR1, suspendable_clock.suspend)
    partition = Partition(list_ports())
    cast("Any", PosixReactorBase).connectTCP = lambda *arguments, **named: (
        partition.connect(*arguments, **named)
    )
    signal(SIGUSR2, partition.toggle)
    sys.exit(main())

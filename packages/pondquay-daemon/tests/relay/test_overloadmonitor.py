"""The load level follows how late the instance's own timers run."""

from __future__ import annotations

import pytest
from twisted.internet.task import Clock

from pondquay.routes.entities import RequestKind, RoutingConfiguration
from pondquay.routes.table import RouteTable
from pondquay.routing.overload import LoadLevel
from pondquay_daemon.relay.overloadmonitor import (
    SAMPLE_SECONDS,
    OverloadMonitor,
)

from .conftest import make_route

# More than half of the objective of the routes, in the passes of a request.
LATE_SECONDS = 0.08


class LateClock(Clock):  # type: ignore[misc]
    """Runs each timer late."""

    def run_late(self, lag: float, times: int) -> None:
        for _ in range(times):
            self.advance(SAMPLE_SECONDS + lag)


@pytest.fixture
def clock() -> LateClock:
    return LateClock()


@pytest.fixture
def monitor(clock: LateClock) -> OverloadMonitor:
    monitor = OverloadMonitor(clock)
    routes = (make_route("read", RequestKind.REPEATABLE),)
    monitor.apply_table(RouteTable(RoutingConfiguration(1, routes, ())))
    monitor.start()
    return monitor


def test_late_timers_change_the_level_and_back(
    clock: LateClock, monitor: OverloadMonitor
) -> None:
    levels = []
    monitor.on_change = lambda: levels.append(monitor.detector.level)
    clock.run_late(LATE_SECONDS, 20)
    assert monitor.overloaded
    clock.run_late(0.0, 20)
    assert levels == [
        LoadLevel.BUSY,
        LoadLevel.OVERLOADED,
        LoadLevel.BUSY,
        LoadLevel.IDLE,
    ]


def test_timers_in_time_change_nothing(
    clock: LateClock, monitor: OverloadMonitor
) -> None:
    clock.run_late(0.0, 50)
    assert monitor.detector.lag == pytest.approx(0, abs=1e-6)
    assert monitor.detector.level is LoadLevel.IDLE

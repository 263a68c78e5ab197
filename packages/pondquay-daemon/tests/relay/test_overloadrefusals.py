from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any

import pytest
from twisted.internet.task import Clock

from pondquay.routes.entities import RequestKind, RoutedWorkspace
from pondquay_daemon.relay.admission import Admission
from pondquay_daemon.relay.messages import RequestMetadata
from pondquay_daemon.relay.metrics import RelayMetrics
from pondquay_daemon.relay.overloadmonitor import OverloadMonitor
from pondquay_daemon.relay.overloadrefusals import OverloadRefusals

from .conftest import make_route

NAMES = ("hot", "large", "small")
USUAL = {"hot": 10, "large": 20, "small": 5}


class Loads:
    """Peers of which none has room."""

    def has_peer_with_room(self) -> bool:
        return False


class Instance:
    """Requests of three workspaces at an instance."""

    def __init__(self, *, enabled: bool = True) -> None:
        self.clock: Any = Clock()
        metrics = RelayMetrics(Counter())
        self.monitor = OverloadMonitor(self.clock, metrics)
        loads: Any = Loads()
        self.refusals = OverloadRefusals(
            self.clock, self.monitor, loads, Random(1), metrics, enabled=enabled
        )
        self.workspaces = {
            name: RoutedWorkspace(name, (name,), priority=0) for name in NAMES
        }
        self.route = make_route("read", RequestKind.REPEATABLE)

    def run_for(self, seconds: int, demand: dict[str, int]) -> dict[str, float]:
        """Return the refused fractions of some seconds of demand.

        :param demand: requests per second, by workspace
        """
        refused: Counter[str] = Counter()
        for _ in range(seconds):
            for name, count in demand.items():
                for _ in range(count):
                    refused[name] += self._is_refused(name)
            self.clock.advance(1.0)
        return {name: refused[name] / (seconds * demand[name]) for name in demand}

    def _is_refused(self, workspace: str) -> bool:
        metadata = RequestMetadata("a", "h", "key", None, 100)
        admission = Admission(
            metadata, self.route, self.workspaces[workspace], "service"
        )
        return self.refusals.check(admission) is not None


def test_the_surge_of_one_workspace_is_refused_and_the_others_are_served() -> None:
    """Load: an instance overloaded by one workspace at four times its usual."""
    instance = Instance()
    assert set(instance.run_for(30, USUAL).values()) == {0.0}
    # The most urgent are refused only by the part above a half, here 0.3 of them.
    instance.monitor.detector.share = 0.65
    refused = instance.run_for(10, {**USUAL, "hot": 40})
    assert refused["large"] <= 0.1
    assert refused["small"] <= 0.1
    assert refused["hot"] >= 0.35


@pytest.mark.parametrize("share", [0.0, 0.65])
def test_workspaces_at_their_usual_are_refused_alike(share: float) -> None:
    """Load: an instance that turned slow, with even demand."""
    instance = Instance()
    instance.run_for(30, USUAL)
    instance.monitor.detector.share = share
    refused = instance.run_for(20, USUAL)
    expected = max(0.0, 2 * share - 1)
    assert all(part == pytest.approx(expected, abs=0.12) for part in refused.values())


def test_nothing_is_refused_if_refusals_are_disabled() -> None:
    instance = Instance(enabled=False)
    instance.monitor.detector.share = 1.0
    assert set(instance.run_for(1, USUAL).values()) == {0.0}

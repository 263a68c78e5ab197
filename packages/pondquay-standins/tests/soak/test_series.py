"""Silences, and the faults of series."""

from __future__ import annotations

from signal import SIGCONT, SIGHUP, SIGSTOP
from typing import TYPE_CHECKING
from unittest.mock import Mock

import pytest

from pondquay_standins.soak.fleet import RelayState
from pondquay_standins.soak.schedules import FaultKind, PlannedFault
from pondquay_standins.soak.series import SeriesFaults

if TYPE_CHECKING:
    from collections.abc import Callable


class Harness:
    """A fleet of one relay, and what is scheduled, disrupted and recorded."""

    def __init__(self, state: RelayState, *, is_ready: bool = True) -> None:
        self.popen = Mock()
        self.fleet = Mock(
            states={"r1": state},
            relays={"r1": Mock(process=Mock(popen=self.popen))},
            prepaid=7,
        )
        self.fleet.is_ready.return_value = is_ready
        self.scheduled: list[tuple[float, Callable[[], None]]] = []
        self.disrupted: list[PlannedFault] = []
        self.recorded: list[tuple[str, float]] = []
        self.faults = SeriesFaults(
            self.fleet,
            lambda seconds, action: self.scheduled.append((seconds, action)),
            self.disrupted.append,
            lambda name, seconds: self.recorded.append((name, seconds)),
        )

    def begin(self, kind: FaultKind, target: str = "r1", fault: str = "") -> None:
        self.faults.begin(PlannedFault(0.0, kind, 1.5, target, fault))

    @property
    def signals(self) -> list[int]:
        return [call.args[0] for call in self.popen.send_signal.call_args_list]


def test_a_silence_is_no_disturbance() -> None:
    harness = Harness(RelayState.UP)
    for _ in range(2):
        harness.begin(FaultKind.SILENCE, "e1", "stopped")
    harness.fleet.control.assert_called_once_with(
        "silence", name="e1", kind="stopped", seconds=1.5
    )
    assert not harness.recorded
    assert not harness.disrupted


def test_a_changed_idle_limit_keeps_the_budget() -> None:
    harness = Harness(RelayState.UP)
    harness.begin(FaultKind.IDLE_LIMIT, "", "1.5")
    harness.fleet.configure_next.assert_called_once_with(7, 1.5)


def test_a_relay_that_is_up_is_paused() -> None:
    harness = Harness(RelayState.UP)
    harness.begin(FaultKind.STALL)
    assert [fault.kind for fault in harness.disrupted] == [FaultKind.PAUSE]
    assert harness.signals == []


def test_a_relay_that_stops_is_suspended_and_resumed() -> None:
    harness = Harness(RelayState.STOPPING)
    harness.begin(FaultKind.STALL)
    ((seconds, resume),) = harness.scheduled
    assert (seconds, harness.signals) == (1.5, [SIGSTOP])
    resume()
    assert harness.signals == [SIGSTOP, SIGCONT]
    assert harness.recorded == [("r1", 1.5)]


@pytest.mark.parametrize(
    ("state", "is_ready", "signals"),
    [
        (RelayState.UP, True, [SIGHUP]),
        (RelayState.UP, False, []),
        (RelayState.STOPPING, False, [SIGHUP]),
        (RelayState.KILLED, False, []),
        (RelayState.PAUSED, True, []),
    ],
)
def test_only_a_relay_that_handles_the_signal_is_told_of_changed_settings(
    state: RelayState, is_ready: bool, signals: list[int]
) -> None:
    harness = Harness(state, is_ready=is_ready)
    harness.begin(FaultKind.RELOAD)
    assert harness.signals == signals

"""The checks at the end of a run of the soak."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from unittest.mock import Mock

import pytest

from pondquay_standins.routedfleet import RelayResponse
from pondquay_standins.soak import finalchecks
from pondquay_standins.soak.finalchecks import FinalChecks, count_late
from pondquay_standins.soak.sizes import RELAYS, REPLICAS

if TYPE_CHECKING:
    from pathlib import Path

REFUSED = RelayResponse(503, {}, b"upstreams crashed under this request\n", True)
CUT_OFF = RelayResponse(200, {}, b"id: 1", False)


@pytest.mark.parametrize(
    ("crashed_at", "late"),
    [
        ([], 0),
        ([0.0, 1.0, 2.0, 9.0], 0),
        ([0.0, 1.0, 2.0, 3.0, 4.0, 6.9, 7.0], 0),
        ([0.0, 1.0, 2.0, 3.0, 4.0, 6.9, 7.1, 20.0], 2),
    ],
)
def test_crashes_are_late_three_seconds_after_the_fifth(
    crashed_at: list[float], late: int
) -> None:
    assert count_late(crashed_at) == late


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> Mock:
    """Return a fleet whose relays do not recover, with no time to do so."""
    monkeypatch.setattr(finalchecks, "RECOVERY_SECONDS", 0.0)
    reports = {"/metrics": "pondquay_configuration_version 1.0", "/dump": '{"a": 1}'}
    relay = Mock(ready=True)
    relay.fetch_report.side_effect = reports.__getitem__
    relays = dict.fromkeys(RELAYS, relay)
    return Mock(relays=relays, services=REPLICAS, version=1, prepaid=0, folder=tmp_path)


@pytest.mark.parametrize(
    ("version", "outcome", "failure"),
    [
        (1, [REFUSED], "response 503: upstreams crashed under this request"),
        (1, [CUT_OFF], "response is incomplete"),
        (2, [REFUSED], "configuration is not version 2"),
        (1, ConnectionResetError("reset"), "call failed: reset"),
    ],
)
def test_a_relay_that_does_not_recover_is_described(
    fleet: Mock, version: int, outcome: list[RelayResponse] | OSError, failure: str
) -> None:
    fleet.version = version
    is_error = isinstance(outcome, OSError)
    fleet.send_request.side_effect = outcome if is_error else outcome * 100
    violations = FinalChecks(fleet).run()
    assert [violation.subject for violation in violations] == list(RELAYS)
    for violation in violations:
        assert violation.details.endswith(f"last {failure}")
        path = fleet.folder / f"{violation.subject}-unhealthy.json"
        state = json.loads(path.read_text())
        assert state == {"failure": failure, "ready": True, "dump": {"a": 1}}


def test_the_state_of_a_relay_that_does_not_respond_is_the_error(fleet: Mock) -> None:
    refused = ConnectionRefusedError("refused")
    fleet.relays["r1"].fetch_report.side_effect = refused
    FinalChecks(fleet).run()
    state = json.loads((fleet.folder / "r1-unhealthy.json").read_text())
    assert state["failure"] == "call failed: refused"
    assert state["error"] == "refused"

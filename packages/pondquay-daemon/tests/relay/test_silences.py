"""What is counted of upstreams that fall silent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from pondquay_daemon.relay import requests

from .silentfleet import FIRST, SECOND, STREAM_PATH, SilentFleet
from .versions import NEW, OLD

if TYPE_CHECKING:
    import pytest


def test_an_upstream_that_is_left_is_counted_with_the_end_of_its_request() -> None:
    fleet = SilentFleet.start_with({FIRST: OLD, SECOND: OLD})
    caller, _, _ = fleet.begin(STREAM_PATH)
    fleet.run_for(1.5)
    assert caller.has_whole_stream
    assert b'pondquay_silent_upstreams_total{decision="left"} 1.0' in fleet.metrics
    assert b'pondquay_left_requests_total{end="served"} 1.0' in fleet.metrics


def test_an_upstream_that_is_kept_is_counted_with_the_reason() -> None:
    fleet = SilentFleet.start_with({FIRST: OLD, SECOND: NEW})
    caller, _, _ = fleet.begin(STREAM_PATH)
    fleet.run_for(0.5)
    fleet.silent = set()
    fleet.run_for(0.5)
    assert caller.has_whole_stream
    kept = b'pondquay_silent_upstreams_total{decision="no-alternative"} 1.0'
    assert kept in fleet.metrics
    assert b"pondquay_left_requests_total{" not in fleet.metrics


# Guards against a caller that leaves and is logged and counted as a failure of the
# upstream after the one that was left.
def test_a_caller_that_leaves_after_a_silence_is_no_failure(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[dict[str, Any]] = []
    monkeypatch.setattr(
        requests, "log_event", lambda event, *_, **fields: lines.append(fields)
    )
    fleet = SilentFleet.start_with({FIRST: OLD, SECOND: OLD})
    caller, host, other = fleet.begin(STREAM_PATH)
    fleet.silent = {host, other}
    fleet.run_for(1.0)
    caller.leave()
    assert b'pondquay_left_requests_total{end="stopped"} 1.0' in fleet.metrics
    assert lines[-1]["outcome"] == "refused-502: caller disconnected"

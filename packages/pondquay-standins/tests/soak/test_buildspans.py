from __future__ import annotations

import math

import pytest

from pondquay_standins.soak.builds import (
    CURRENT_BUILD,
    Build,
    CommitBuild,
    UnknownCommitError,
)
from pondquay_standins.soak.buildspans import BuildSpans
from pondquay_standins.soak.schedules import FaultKind, plan_replacements
from pondquay_standins.soak.upstreamsignals import Disturbance

OLD_BUILD = Build("old", {"PYTHONPATH": "there"}, shares_limits=False)


def test_spans_of_builds_without_a_feature_are_listed() -> None:
    spans = BuildSpans()
    spans.record_start("r1", OLD_BUILD, 1.0)
    spans.record_start("r1", CURRENT_BUILD, 5.0)
    spans.record_start("r1", OLD_BUILD, 9.0)
    spans.record_start("r2", CURRENT_BUILD, 1.0)
    assert spans.list_spans_without("shares_limits") == [
        Disturbance("r1", 1.0, 5.0),
        Disturbance("r1", 9.0, math.inf),
    ]
    assert spans.list_spans_without("follows_signals") == []


def test_relays_are_upgraded_one_by_one_and_then_downgraded() -> None:
    planned = plan_replacements(30.0, ["r1", "r2"])
    assert [(fault.kind, fault.target) for fault in planned] == [
        (FaultKind.UPGRADE, "r1"),
        (FaultKind.UPGRADE, "r2"),
        (FaultKind.DOWNGRADE, "r1"),
        (FaultKind.DOWNGRADE, "r2"),
    ]
    assert [fault.at for fault in planned] == [6.0, 12.0, 18.0, 24.0]


def test_an_unknown_commit_raises_an_error() -> None:
    with pytest.raises(UnknownCommitError, match="worktree"):
        CommitBuild("no-such-commit").__enter__()

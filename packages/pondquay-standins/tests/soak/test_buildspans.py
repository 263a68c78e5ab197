from __future__ import annotations

import math

import pytest

from pondquay_standins.soak.builds import (
    PRESENT_BUILD,
    Build,
    FormerBuild,
    UnknownCommitError,
)
from pondquay_standins.soak.buildspans import BuildSpans
from pondquay_standins.soak.schedules import FaultKind, plan_rolling
from pondquay_standins.soak.upstreamsignals import Disturbance

FORMER = Build("former", {"PYTHONPATH": "there"}, shares_limits=False)


def test_a_relay_of_a_build_that_lacks_a_promise_is_not_held_to_it() -> None:
    spans = BuildSpans()
    spans.note("r1", FORMER, 1.0)
    spans.note("r1", PRESENT_BUILD, 5.0)
    spans.note("r1", FORMER, 9.0)
    spans.note("r2", PRESENT_BUILD, 1.0)
    assert spans.list_without("shares_limits") == [
        Disturbance("r1", 1.0, 5.0),
        Disturbance("r1", 9.0, math.inf),
    ]
    assert spans.list_without("heeds_answers") == []


def test_relays_are_replaced_one_after_the_other_and_back() -> None:
    planned = plan_rolling(30.0, ["r1", "r2"])
    assert [(one.kind, one.target) for one in planned] == [
        (FaultKind.UPGRADE, "r1"),
        (FaultKind.UPGRADE, "r2"),
        (FaultKind.TAKE_BACK, "r1"),
        (FaultKind.TAKE_BACK, "r2"),
    ]
    assert [one.at for one in planned] == [6.0, 12.0, 18.0, 24.0]


def test_a_commit_that_is_not_there_is_an_error() -> None:
    with pytest.raises(UnknownCommitError, match="worktree"):
        FormerBuild("no-such-commit").__enter__()

"""Relay processes in front of replicas that misbehave on the wire."""

from __future__ import annotations

from pondquay_standins.hostile.runs import HostilePlan, run_plan

BEHAVIOURS = ("refusal-copy-while", "mixture")
SEED = 1
REQUESTS = 30
MAX_MEMORY_MB = 200


# Guards against requests that run twice, or although they were refused, when responses
# come twice, belong to other requests or break off.
def test_replicas_that_misbehave_let_no_rule_be_broken() -> None:
    result = run_plan(HostilePlan(BEHAVIOURS, SEED, REQUESTS))
    assert (result.findings, result.errors) == ([], [])
    assert result.mismatched > 0
    assert any(visit.ran for visit in result.visits)
    assert result.memory < MAX_MEMORY_MB

from __future__ import annotations

from pondquay_standins.hostile.crashcounts import run_crash_counts


# Guards against requests under which upstreams crashed that are sent on, since a relay
# that starts again has no counts of its own.
def test_relays_that_are_killed_know_what_crashed_upstreams() -> None:
    result = run_crash_counts(by_part=False, seed=3)
    assert result.crashes > 0
    assert result.passed, result

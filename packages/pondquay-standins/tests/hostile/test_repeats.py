from __future__ import annotations

import pytest

from pondquay_standins.hostile.repeats import Change, RepeatsPlan, run_repeats


# Guards against repeats beyond the fleet's share while callers move to other relays,
# or all relays are replaced, and replicas reset or fail what they receive.
@pytest.mark.parametrize(
    ("change", "behaviour"),
    [(Change.MOVE, "reset-running"), (Change.REPLACE, "own-failure")],
)
def test_relays_keep_to_the_share_of_retries(change: Change, behaviour: str) -> None:
    result = run_repeats(RepeatsPlan(change, behaviour, 1))
    assert result.findings == []
    assert result.repeats > 0

"""The checks at the end of a run of the soak."""

from __future__ import annotations

import pytest

from pondquay_standins.soak.finalchecks import count_late


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

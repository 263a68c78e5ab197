from __future__ import annotations

import pytest

from pondquay.routing.listwatch import MISSING_GRACE_SECONDS
from pondquay_daemon.relay.relay import SLOW_POLL_SECONDS, choose_upstreams_pause


@pytest.mark.parametrize("departure", [1.0, 2.0, 3.0, 4.0, 10.0])
def test_the_pause_leaves_time_to_notice_a_departure(departure: float) -> None:
    pause = choose_upstreams_pause(departure)
    assert 0 < pause <= departure - min(departure / 2, SLOW_POLL_SECONDS)
    if departure >= MISSING_GRACE_SECONDS + 2 * SLOW_POLL_SECONDS:
        assert pause + MISSING_GRACE_SECONDS + SLOW_POLL_SECONDS <= departure


def test_the_pause_of_common_bounds() -> None:
    assert choose_upstreams_pause(2.0) == 0.25
    assert choose_upstreams_pause(4.0) == 1.5

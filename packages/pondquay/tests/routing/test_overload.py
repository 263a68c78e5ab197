"""The load level of an instance follows from its own signals.

Load pattern: callers are spread over instances by hashing, so a few instances get half
of the requests, and some of these have a fraction of a core and of the bandwidth.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pondquay.routing.overload import (
    CONNECT_WINDOW_SECONDS,
    LOOP_PASSES,
    MAX_ROOM,
    TOLERATED_LAG_SECONDS,
    URGENCIES,
    LoadLevel,
    OverloadDetector,
)

OBJECTIVE_SECONDS = 0.4
INTERVAL_SECONDS = 0.1
# Lag at which the loop alone takes an objective from each response.
WHOLE_LAG_SECONDS = OBJECTIVE_SECONDS / LOOP_PASSES


class DetectorRun:
    """A detector that gets a lag at each interval."""

    def __init__(self) -> None:
        self.detector = OverloadDetector()
        self.detector.objective = OBJECTIVE_SECONDS
        self.now = 0.0

    def add_lags(self, lag: float, seconds: float) -> list[LoadLevel]:
        """Return the levels after each interval with the same lag."""
        levels = []
        for _ in range(round(seconds / INTERVAL_SECONDS)):
            self.now += INTERVAL_SECONDS
            lateness = lag + TOLERATED_LAG_SECONDS
            self.detector.update(lateness, self.now)
            levels.append(self.detector.level)
        return levels


@pytest.fixture
def run() -> DetectorRun:
    return DetectorRun()


@pytest.mark.parametrize(
    ("lag", "level"),
    [
        (0.1 * WHOLE_LAG_SECONDS, LoadLevel.IDLE),
        (0.3 * WHOLE_LAG_SECONDS, LoadLevel.BUSY),
        (0.6 * WHOLE_LAG_SECONDS, LoadLevel.OVERLOADED),
    ],
)
def test_the_level_follows_the_lag_within_the_shortest_objective(
    run: DetectorRun, lag: float, level: LoadLevel
) -> None:
    assert run.add_lags(lag, 2.0)[-1] is level


def test_overload_is_noticed_within_a_second(run: DetectorRun) -> None:
    assert LoadLevel.OVERLOADED in run.add_lags(WHOLE_LAG_SECONDS, 1.0)


# Guards against instances that forward their requests after a pause of the process.
def test_a_single_suspension_is_not_overload(run: DetectorRun) -> None:
    assert run.add_lags(3.0, INTERVAL_SECONDS)[-1] is not LoadLevel.OVERLOADED
    assert run.add_lags(0.0, 1.0)[-1] is LoadLevel.IDLE


def test_lags_around_the_threshold_do_not_change_the_level_back(
    run: DetectorRun,
) -> None:
    run.add_lags(0.6 * WHOLE_LAG_SECONDS, 2.0)
    levels = set()
    for _ in range(20):
        levels |= set(run.add_lags(0.4 * WHOLE_LAG_SECONDS, INTERVAL_SECONDS))
        levels |= set(run.add_lags(0.6 * WHOLE_LAG_SECONDS, INTERVAL_SECONDS))
    assert levels == {LoadLevel.OVERLOADED}
    assert run.add_lags(0.0, 1.0)[-1] is LoadLevel.IDLE


def note_connects(run: DetectorRun, upstreams: int, seconds: float) -> None:
    for number in range(upstreams):
        run.detector.connects.note(f"u{number}", seconds, run.now)


# Guards against a saturated link, whose instance runs its timers in time.
def test_slow_connections_to_most_upstreams_are_overload(run: DetectorRun) -> None:
    note_connects(run, 6, 0.002)
    assert run.add_lags(0.0, INTERVAL_SECONDS) == [LoadLevel.IDLE]
    note_connects(run, 6, 0.3)
    assert run.add_lags(0.0, INTERVAL_SECONDS) == [LoadLevel.OVERLOADED]
    assert run.add_lags(0.0, CONNECT_WINDOW_SECONDS)[-1] is LoadLevel.IDLE


# Guards against an overload that seems to end each time that few connections open.
def test_few_connections_do_not_end_an_overload(run: DetectorRun) -> None:
    note_connects(run, 6, 0.002)
    levels = []
    for number in range(24):
        run.detector.connects.note(f"u{number % 6}", 0.4, run.now)
        levels += run.add_lags(0.0, 3 * INTERVAL_SECONDS)
    assert set(levels[-40:]) == {LoadLevel.OVERLOADED}


# Guards against callers that are refused since a small service accepts connections
# slowly, or since a domain is cut off.
@pytest.mark.parametrize(("upstreams", "slow"), [(4, 4), (6, 3), (8, 5)])
def test_slow_connections_to_few_upstreams_are_not_overload(
    run: DetectorRun, upstreams: int, slow: int
) -> None:
    note_connects(run, upstreams, 0.002)
    note_connects(run, slow, 0.5)
    assert run.add_lags(0.0, INTERVAL_SECONDS) == [LoadLevel.IDLE]


def test_distant_upstreams_are_not_overload(run: DetectorRun) -> None:
    for _ in range(3):
        note_connects(run, 8, 0.2)
        assert run.add_lags(0.0, INTERVAL_SECONDS) == [LoadLevel.IDLE]


def test_room_is_offered_only_while_idle(run: DetectorRun) -> None:
    assert run.detector.room == MAX_ROOM
    run.add_lags(0.15 * WHOLE_LAG_SECONDS, 2.0)
    assert 0 < run.detector.room < MAX_ROOM
    run.add_lags(0.4 * WHOLE_LAG_SECONDS, 2.0)
    assert run.detector.room == 0


LONG_SECONDS = 12.0
SHORT_SECONDS = 0.6


@pytest.mark.parametrize(
    ("excess", "refused"),
    [(0.002, []), (0.12, []), (0.3, [SHORT_SECONDS])],
)
def test_requests_that_would_lose_most_of_their_time_are_refused(
    run: DetectorRun, excess: float, refused: list[float]
) -> None:
    note_connects(run, 6, 0.001)
    note_connects(run, 6, excess)
    run.add_lags(0.0, INTERVAL_SECONDS)
    assert refused == [
        seconds
        for seconds in (SHORT_SECONDS, LONG_SECONDS)
        if run.detector.should_refuse(seconds, 0)
    ]


def test_less_urgent_requests_are_refused_first(run: DetectorRun) -> None:
    note_connects(run, 6, 0.0)
    note_connects(run, 6, 0.15)
    run.add_lags(0.0, INTERVAL_SECONDS)
    refused = [
        urgency
        for urgency in range(URGENCIES)
        if run.detector.should_refuse(SHORT_SECONDS, urgency)
    ]
    assert refused == list(range(5, URGENCIES))


# Guards against callers that are refused by an instance that could serve them.
@given(st.floats(0, 60), st.integers(0, URGENCIES))
def test_only_an_overloaded_instance_refuses(remaining: float, urgency: int) -> None:
    detector = OverloadDetector()
    detector.lag = 1.0
    assert not detector.should_refuse(remaining, urgency)

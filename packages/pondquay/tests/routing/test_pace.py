"""The pace of upstreams is learnt within seconds and not from moments."""

from __future__ import annotations

from math import log
from random import Random

import pytest

from pondquay.routing.pace import (
    HALF_LIFE_SECONDS,
    RobustAverage,
    normalize_first,
    normalize_interval,
)

# Seconds between two observations of one upstream.
OBSERVATION_SECONDS = 0.4
USUAL = 1e-5
SLOW_RATIO = 1 / 0.6


def observe(
    average: RobustAverage, value: float, since: float, seconds: float
) -> float:
    """Record a value periodically; return the end of the period."""
    for number in range(round(seconds / OBSERVATION_SECONDS)):
        average.note(value, since + number * OBSERVATION_SECONDS)
    return since + seconds


def test_an_upstream_that_is_slow_for_good_is_known_within_seconds() -> None:
    average = RobustAverage()
    now = observe(average, USUAL, 0.0, 20.0)
    now = observe(average, SLOW_RATIO * USUAL, now, 5.0)
    assert average.estimate(log(USUAL), now) > 1.3 * USUAL


def test_a_new_upstream_that_is_slow_is_known_after_a_few_requests() -> None:
    average = RobustAverage()
    now = observe(average, SLOW_RATIO * USUAL, 0.0, 2.0)
    assert average.estimate(log(USUAL), now) > 1.3 * USUAL


def test_a_slow_moment_does_not_mark_an_upstream() -> None:
    average = RobustAverage()
    now = observe(average, USUAL, 0.0, 20.0)
    now = observe(average, 5 * USUAL, now, 0.8)
    assert average.estimate(log(USUAL), now) < 1.2 * USUAL


@pytest.mark.parametrize("seed", range(5))
def test_noise_does_not_mark_an_upstream(seed: int) -> None:
    """One observation in seven takes two and a half times as long."""
    random = Random(seed)
    averages = [RobustAverage() for _ in range(2)]
    for number in range(200):
        for average in averages:
            noise = 2.5 if random.random() < 0.15 else 1.0
            average.note(noise * USUAL, number * OBSERVATION_SECONDS)
    first, second = (average.estimate(log(USUAL), 80.0) for average in averages)
    assert max(first, second) < 1.4 * min(first, second)


def test_a_single_observation_of_a_rarely_used_upstream_decides_little() -> None:
    average = RobustAverage()
    for number in range(10):
        average.note(USUAL, 10.0 * number)
    average.note(100 * USUAL, 100.0)
    assert average.estimate(log(USUAL), 100.0) < 1.25 * USUAL


def test_an_upstream_that_is_avoided_counts_as_usual_again() -> None:
    average = RobustAverage()
    now = observe(average, 3 * USUAL, 0.0, 10.0)
    later = now + 6 * HALF_LIFE_SECONDS
    assert average.estimate(log(USUAL), now) > 2 * USUAL
    assert average.estimate(log(USUAL), later) < 1.2 * USUAL


def test_observations_without_a_duration_are_ignored() -> None:
    average = RobustAverage()
    average.note(0.0, 1.0)
    assert not average.is_known()


def test_long_prompts_and_busy_upstreams_do_not_seem_slow() -> None:
    short, long = normalize_first(0.05, 1_000), normalize_first(0.2, 16_000)
    assert short == pytest.approx(long)
    idle, busy = normalize_interval(0.032, 0), normalize_interval(0.064, 32)
    assert idle == pytest.approx(busy)

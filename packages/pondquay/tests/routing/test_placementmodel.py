"""Ways of placing prompts, compared on a load with very long prompts among others."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from pondquay.routing.expected import Target, choose_expected
from pondquay.routing.rendezvous import choose_by_prompt
from pondquay.routing.servicepaces import PaceTable

from .placementmodel import PlacementModel, Prompt

if TYPE_CHECKING:
    from pondquay.routing.knownupstreams import KnownUpstream

TARGET = Target(objective=0.7, pause=0.5)
ALIKE = [1.0] * 12
UNLIKE = [3.0 if number % 4 == 0 else 1.0 for number in range(12)]
SECONDS = 30.0


def place_by_hash(
    upstreams: list[KnownUpstream], prompt: Prompt, now: float
) -> KnownUpstream:
    return choose_by_prompt(upstreams, prompt, now)


def place_by_expectation(
    upstreams: list[KnownUpstream], prompt: Prompt, now: float
) -> KnownUpstream:
    pace = PaceTable().measure(upstreams, now)
    if pace is None:
        return choose_by_prompt(upstreams, prompt, now)
    return choose_expected(upstreams, prompt, TARGET, pace, now).upstream


def compare(slowness: list[float], rate: float) -> tuple[float, float, float]:
    """Return the late fractions by hash and by expectation, and the ratio of tokens."""
    by_hash, by_expectation = PlacementModel(slowness), PlacementModel(slowness)
    by_hash.run(place_by_hash, rate, SECONDS)
    by_expectation.run(place_by_expectation, rate, SECONDS)
    return (
        by_hash.late_fraction(TARGET.objective, 0.5),
        by_expectation.late_fraction(TARGET.objective, 0.5),
        by_expectation.tokens_read / by_hash.tokens_read,
    )


@pytest.mark.parametrize("rate", [20.0, 40.0])
def test_upstreams_that_are_slow_for_good_make_fewer_requests_late(rate: float) -> None:
    by_hash, by_expectation, _ = compare(UNLIKE, rate)
    assert by_expectation < 0.8 * by_hash


def test_a_light_load_on_equal_upstreams_reads_no_more_tokens() -> None:
    by_hash, by_expectation, tokens = compare(ALIKE, 20.0)
    assert tokens < 1.05
    assert by_expectation < by_hash + 0.01


def test_a_high_load_on_equal_upstreams_is_late_less_often() -> None:
    by_hash, by_expectation, _ = compare(ALIKE, 70.0)
    assert by_expectation < by_hash

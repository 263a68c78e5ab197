"""What a caller may be told, compared with what an upstream saw."""

from __future__ import annotations

import pytest
from automat import NoTransition
from hypothesis import given
from hypothesis import strategies as st

from pondquay.requests.lifecycle import Outcome, begin_request

# What can happen to one attempt, and whether it ran.
ATTEMPTS = {
    "not-sent": ("refuse", False),
    "refused": ("refuse", False),
    "cancelled-for-good": ("refuse", False),
    "lost-before-it-ran": ("lose", False),
    "lost-after-it-ran": ("lose", True),
    "finished": ("finish", True),
}


@given(st.booleans(), st.lists(st.sampled_from(sorted(ATTEMPTS)), max_size=5))
def test_what_is_told_is_true(repeatable: bool, attempts: list[str]) -> None:
    life = begin_request(repeatable=repeatable)
    runs = 0
    for attempt in attempts:
        try:
            life.dispatch()
        except NoTransition:
            break
        event, ran = ATTEMPTS[attempt]
        runs += ran
        getattr(life, event)()
    if life.outcome() is Outcome.NOT_RUN:
        assert runs == 0
    if life.outcome() is Outcome.DONE:
        assert runs >= 1
    if not repeatable:
        assert runs <= 1


def test_a_lost_attempt_that_is_not_repeatable_cannot_be_dispatched_again() -> None:
    life = begin_request(repeatable=False)
    life.dispatch()
    life.lose()
    with pytest.raises(NoTransition):
        life.dispatch()


def test_a_refusal_after_a_lost_attempt_is_not_not_run() -> None:
    life = begin_request(repeatable=True)
    life.dispatch()
    life.lose()
    life.dispatch()
    life.refuse()
    assert life.outcome() is Outcome.UNKNOWN

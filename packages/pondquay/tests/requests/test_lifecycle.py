"""The outcome reported to a caller agrees with what ran at an upstream."""

from __future__ import annotations

import pytest
from automat import NoTransition
from hypothesis import given
from hypothesis import strategies as st

from pondquay.requests.lifecycle import Outcome, create_lifecycle

# The event after each kind of attempt, and whether the request ran.
ATTEMPTS = {
    "not-sent": ("mark_not_run", False),
    "refused": ("mark_not_run", False),
    "cancelled": ("mark_not_run", False),
    "lost-before-it-ran": ("mark_unknown", False),
    "lost-after-it-ran": ("mark_unknown", True),
    "finished": ("finish", True),
}


@given(st.booleans(), st.lists(st.sampled_from(sorted(ATTEMPTS)), max_size=5))
def test_outcome_agrees_with_runs(repeatable: bool, attempts: list[str]) -> None:
    lifecycle = create_lifecycle(repeatable=repeatable)
    runs = 0
    for attempt in attempts:
        try:
            lifecycle.dispatch()
        except NoTransition:
            break
        event, ran = ATTEMPTS[attempt]
        runs += ran
        getattr(lifecycle, event)()
    if lifecycle.outcome() is Outcome.NOT_RUN:
        assert runs == 0
    if lifecycle.outcome() is Outcome.DONE:
        assert runs >= 1
    if not repeatable:
        assert runs <= 1


def test_unrepeatable_request_is_not_dispatched_again_after_unknown_attempt() -> None:
    lifecycle = create_lifecycle(repeatable=False)
    lifecycle.dispatch()
    lifecycle.mark_unknown()
    with pytest.raises(NoTransition):
        lifecycle.dispatch()


def test_outcome_stays_unknown_if_second_attempt_did_not_run() -> None:
    lifecycle = create_lifecycle(repeatable=True)
    lifecycle.dispatch()
    lifecycle.mark_unknown()
    lifecycle.dispatch()
    lifecycle.mark_not_run()
    assert lifecycle.outcome() is Outcome.UNKNOWN

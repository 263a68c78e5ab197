from __future__ import annotations

from typing import Any

import pytest

from pondquay_standins.soak.__main__ import main, parse_seeds
from pondquay_standins.soak.callers import PROMPT_TOKENS, Call
from pondquay_standins.soak.invariants import check_all, check_call
from pondquay_standins.soak.runs import PlannedStop
from pondquay_standins.soak.schedules import ROLLING_KINDS, FaultKind, plan_faults

RELAYS = ("r1", "r2")
REPLICAS = ("e1", "p1")
STREAM = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
AMPLE = 1_000


def make_call(**fields: Any) -> Call:
    usual = {
        "attempt": "a1",
        "relay": "r1",
        "route": "write",
        "events": 0,
        "status": 200,
        "body": b"p1:a1",
        "signature": "sig.p1",
        "complete": True,
        "began": 0.0,
        "ended": 1.0,
    }
    return Call(**{**usual, **fields})


def make_run(**fields: Any) -> dict[str, Any]:
    return {
        "attempt": "a1",
        "replica": "p1",
        "target": "/write/",
        "events": 0,
        **fields,
    }


def test_what_is_as_promised_shows_no_breach() -> None:
    stream = make_call(
        attempt="a2", route="audit", events=2, body=STREAM, signature="sig.e1"
    )
    runs = [
        make_run(),
        make_run(attempt="a2", replica="e1", target="/audit/", events=2),
    ]
    assert check_all([make_call(), stream], runs, AMPLE) == []


@pytest.mark.parametrize(
    ("call", "runs", "promise"),
    [
        (make_call(), [make_run(), make_run()], "runs once at most"),
        (make_call(status=503), [make_run()], "not run is true"),
        (make_call(status=429), [make_run()], "not run is true"),
        (make_call(signature="sig.p2"), [make_run()], "each gets the whole"),
        (make_call(signature=""), [make_run()], "each gets the whole"),
        (make_call(body=b"p1:a9"), [make_run()], "each gets the whole"),
        (
            make_call(route="audit", events=2, body=STREAM[:-1]),
            [make_run()],
            "each gets the whole",
        ),
    ],
)
def test_each_breach_is_found(
    call: Call, runs: list[dict[str, Any]], promise: str
) -> None:
    (found,) = check_call(call, runs)
    assert found.promise.startswith(promise)


def test_a_budget_that_is_exceeded_is_found() -> None:
    runs = [make_run(attempt=f"a{n}", target="/audit/", events=2) for n in range(5)]
    spent = 5 * (PROMPT_TOKENS + 6)
    assert check_all([], runs, spent) == []
    (found,) = check_all([], runs, spent - 1)
    assert found.promise == "spend stays within prepaid"


def test_a_request_that_is_run_again_pays_its_prompt_once() -> None:
    runs = [make_run(target="/audit/", events=2), make_run(target="/audit/", events=1)]
    assert check_all([], runs, PROMPT_TOKENS + 9) == []


@pytest.mark.parametrize(
    ("fields", "is_cut"),
    [
        ({"complete": True, "began": 1.0, "ended": 4.0}, False),
        ({"status": 0, "began": 1.0, "ended": 2.5}, True),
        ({"status": 0, "began": 2.0, "ended": 2.5}, False),
        ({"status": 0, "began": 1.0, "ended": 2.5, "relay": "r2"}, False),
        ({"status": 200, "began": 1.5, "ended": 4.0, "route": "review"}, True),
        # A replica said nothing more, and the time of the request's route was up as the
        # stop ended (seed 945).
        ({"status": 200, "began": 1.0, "ended": 4.0, "route": "review"}, False),
        ({"status": 200, "began": 1.0, "ended": 2.5}, False),
    ],
)
def test_what_a_planned_stop_cuts_off_is_found(
    fields: dict[str, Any], is_cut: bool
) -> None:
    stop = PlannedStop("r1", began=2.0, ended=4.0, status=0)
    assert stop.cut_off(make_call(**{"complete": False, **fields})) is is_cut


def test_a_seed_makes_the_same_faults_again() -> None:
    first, again, other = (plan_faults(n, 20.0, RELAYS, REPLICAS) for n in (7, 7, 8))
    assert first == again
    assert first != other
    assert [one.at for one in first] == sorted(one.at for one in first)


def test_all_kinds_of_faults_come() -> None:
    planned = plan_faults(1, 100.0, RELAYS, REPLICAS)
    drawn = set(FaultKind) - set(ROLLING_KINDS)
    assert {one.kind for one in planned} == drawn


def test_seeds_are_read_singly_and_as_a_range() -> None:
    assert parse_seeds("3") == [3]
    assert parse_seeds("3-5") == [3, 4, 5]


def test_a_short_run_keeps_all_promises(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--seeds", "3", "--seconds", "3"]) == 0
    assert "1 seeds, 0 broke a promise" in capsys.readouterr().out

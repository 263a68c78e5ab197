from __future__ import annotations

import pytest

from pondquay_lab.fuzz import Round, RoundError, main, read_round, run_rounds


@pytest.mark.parametrize(
    ("last", "passed", "failed"),
    [
        ("37 passed in 80.1s", 37, 0),
        ("2 failed, 35 passed in 81.0s (0:01:21)", 35, 2),
        ("1 error, 1 failed in 1.0s", 0, 2),
    ],
)
def test_counts_are_read_from_the_last_line(
    last: str, passed: int, failed: int
) -> None:
    result = read_round(7, f"1 passed\n{last}\n")
    assert (result.passed, result.failed) == (passed, failed)


@pytest.mark.parametrize("output", ["", "\n", "no tests ran in 0.1s\n"])
def test_output_without_counts_is_an_error(output: str) -> None:
    with pytest.raises(RoundError):
        read_round(7, output)


def test_rounds_run_until_time_is_up_with_consecutive_seeds(
    capsys: pytest.CaptureFixture[str],
) -> None:
    now = [0.0]

    def run(seed: int) -> Round:
        now[0] += 40.0
        return Round(seed, 3, int(seed == 8), "falsified by x=1")

    rounds = run_rounds(7, 60.0, run, lambda: now[0])
    assert [result.seed for result in rounds] == [7, 8]
    assert capsys.readouterr().out.splitlines() == [
        "seed 7: 3 passed, 0 failed",
        "falsified by x=1",
        "seed 8: 3 passed, 1 failed",
    ]


@pytest.mark.parametrize("minutes", ["0", "-1", "nan", "inf", "x"])
def test_minutes_must_be_a_positive_number(
    minutes: str, capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit):
        main(["--minutes", minutes])
    assert "must be a positive number" in capsys.readouterr().err

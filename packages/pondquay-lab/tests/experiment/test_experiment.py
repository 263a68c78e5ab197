from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING

import pytest

from pondquay.errors import InvalidInputError
from pondquay_lab.experiment.__main__ import main
from pondquay_lab.experiment.plans import load_plan
from pondquay_lab.experiment.results import compare_pairs

if TYPE_CHECKING:
    from conftest import Laboratory


def test_variants_are_played_and_compared_in_pairs(
    laboratory: Laboratory, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main([str(laboratory.plan)]) == 0
    assert laboratory.count_plays() == 8
    printed = capsys.readouterr()
    assert "| small | usual | 4 | 0.500 | 0.001 | - | 0 |" in printed.out
    assert "| small | no-loans | 4 | 0.601 |" in printed.out
    assert "+0.100 (+0.100 to +0.100)" in printed.out
    assert "8/8 " in printed.err
    assert (laboratory.output / "results.md").read_text() == printed.out
    lines = (laboratory.output / "plays.csv").read_text().splitlines()
    assert len(lines) == 9
    for name in ("worth.svg", "losses.svg"):
        assert "</svg>" in (laboratory.output / name).read_text()


def test_a_variant_s_relays_take_its_policy(laboratory: Laboratory) -> None:
    main([str(laboratory.plan)])
    checkouts = laboratory.output / "checkouts"
    usual, other = (
        tomllib.loads((checkouts / name / "deploy" / "system.toml").read_text())
        for name in ("usual", "no-loans")
    )
    assert usual["roles"]["relay"]["run"] == "python3 -m pondquay_daemon"
    run = "python3 -m pondquay_daemon --policy policy.ini"
    assert other["roles"]["relay"]["run"] == run
    text = (checkouts / "no-loans" / "policy.ini").read_text()
    assert text == "[policy]\nborrow = off\n"


def test_what_was_played_is_not_played_again(laboratory: Laboratory) -> None:
    main([str(laboratory.plan)])
    next(laboratory.output.glob("usual.*.json")).unlink()
    assert main([str(laboratory.plan)]) == 0
    assert laboratory.count_plays() == 9


def test_a_day_that_does_not_end_fails_the_experiment(
    laboratory: Laboratory, capsys: pytest.CaptureFixture[str]
) -> None:
    text = laboratory.plan.read_text().replace("busy calm", "never")
    laboratory.plan.write_text(text)
    assert main([str(laboratory.plan)]) == 1
    assert "exit status 3" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("old", "new", "where"),
    [
        ("jobs = 2", "jobs = none", "jobs"),
        ("jobs = 2", "job = 2", "job"),
        ("small.toml", "none.toml", "sites"),
        ("variant no-loans", "variant No Loans", "variants.1.name"),
        ("seeds = 0 1", "seeds = 0 x", "seeds.1"),
    ],
)
def test_what_is_wrong_in_a_plan_is_told(
    laboratory: Laboratory, old: str, new: str, where: str
) -> None:
    laboratory.plan.write_text(laboratory.plan.read_text().replace(old, new))
    with pytest.raises(InvalidInputError) as caught:
        load_plan(laboratory.plan)
    assert [one.subject for one in caught.value.findings] == [where]
    assert main([str(laboratory.plan)]) == 2


def test_an_unknown_revision_is_told(
    laboratory: Laboratory, capsys: pytest.CaptureFixture[str]
) -> None:
    with laboratory.plan.open("a") as plan:
        plan.write("revision = nowhere\n")
    assert main([str(laboratory.plan)]) == 1
    assert "unknown revision" in capsys.readouterr().err


def test_the_interval_of_a_difference_holds_its_mean() -> None:
    found = compare_pairs([0.5, 0.6, 0.4], [0.6, 0.65, 0.45])
    assert found.low <= found.mean <= found.high
    assert found.mean == pytest.approx(0.2 / 3)
    assert found.count == 3

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING

import pytest

from pondquay.errors import InvalidInputError
from pondquay_lab.experiment.__main__ import main
from pondquay_lab.experiment.plans import load_plan
from pondquay_lab.experiment.results import compare_pairs

if TYPE_CHECKING:
    from conftest import ExperimentFolder


def test_variants_are_run_and_compared_in_pairs(
    experiment_folder: ExperimentFolder, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main([str(experiment_folder.plan)]) == 0
    assert experiment_folder.count_day_runs() == 8
    printed = capsys.readouterr()
    assert "| small | usual | 4 | 0.500 | 0.001 | - | 0 |" in printed.out
    assert "| small | no-loans | 4 | 0.601 |" in printed.out
    assert "+0.100 (+0.100 to +0.100)" in printed.out
    assert "8/8 " in printed.err
    assert (experiment_folder.output / "results.md").read_text() == printed.out
    lines = (experiment_folder.output / "plays.csv").read_text().splitlines()
    assert len(lines) == 9
    for name in ("worth.svg", "losses.svg"):
        assert "</svg>" in (experiment_folder.output / name).read_text()


def test_relays_of_a_variant_run_with_its_policy(
    experiment_folder: ExperimentFolder,
) -> None:
    main([str(experiment_folder.plan)])
    checkouts = experiment_folder.output / "checkouts"
    usual, no_loans = (
        tomllib.loads((checkouts / name / "deploy" / "system.toml").read_text())
        for name in ("usual", "no-loans")
    )
    assert usual["roles"]["relay"]["run"] == "python3 -m pondquay_daemon"
    command = "python3 -m pondquay_daemon --policy policy.ini"
    assert no_loans["roles"]["relay"]["run"] == command
    text = (checkouts / "no-loans" / "policy.ini").read_text()
    assert text == "[policy]\nborrow = off\n"


def test_cases_with_reports_are_not_run_again(
    experiment_folder: ExperimentFolder,
) -> None:
    main([str(experiment_folder.plan)])
    next(experiment_folder.output.glob("usual.*.json")).unlink()
    assert main([str(experiment_folder.plan)]) == 0
    assert experiment_folder.count_day_runs() == 9


def test_run_without_report_fails_the_experiment(
    experiment_folder: ExperimentFolder, capsys: pytest.CaptureFixture[str]
) -> None:
    text = experiment_folder.plan.read_text().replace("busy calm", "never")
    experiment_folder.plan.write_text(text)
    assert main([str(experiment_folder.plan)]) == 1
    assert "exit status 3" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("old", "new", "location"),
    [
        ("jobs = 2", "jobs = none", "jobs"),
        ("jobs = 2", "job = 2", "job"),
        ("small.toml", "none.toml", "sites"),
        ("variant no-loans", "variant No Loans", "variants.1.name"),
        ("seeds = 0 1", "seeds = 0 x", "seeds.1"),
    ],
)
def test_invalid_plan_is_reported_with_location(
    experiment_folder: ExperimentFolder, old: str, new: str, location: str
) -> None:
    experiment_folder.plan.write_text(
        experiment_folder.plan.read_text().replace(old, new)
    )
    with pytest.raises(InvalidInputError) as caught:
        load_plan(experiment_folder.plan)
    assert [finding.subject for finding in caught.value.findings] == [location]
    assert main([str(experiment_folder.plan)]) == 2


def test_unknown_revision_is_reported(
    experiment_folder: ExperimentFolder, capsys: pytest.CaptureFixture[str]
) -> None:
    with experiment_folder.plan.open("a") as plan:
        plan.write("revision = nowhere\n")
    assert main([str(experiment_folder.plan)]) == 1
    assert "unknown revision" in capsys.readouterr().err


def test_interval_of_a_difference_includes_its_mean() -> None:
    difference = compare_pairs([0.5, 0.6, 0.4], [0.6, 0.65, 0.45])
    assert difference.low <= difference.mean <= difference.high
    assert difference.mean == pytest.approx(0.2 / 3)
    assert difference.count == 3

"""Days with a loss of all instances are drawn by seed and their service is read."""

from __future__ import annotations

import json
import tomllib
from typing import TYPE_CHECKING

import pytest

from pondquay_lab.experiment.lossdays import main

if TYPE_CHECKING:
    from pathlib import Path

SITE = """
name = "hall"
troubles = [
  { kind = "burst", x = 1.7, for_s = 30.0 },
  { kind = "roll_term", share = 0.45, gap_s = 1.3 },
]
"""


@pytest.fixture
def site(tmp_path: Path) -> Path:
    path = tmp_path / "hall.toml"
    path.write_text(SITE)
    return path


def draw(site: Path, folder: Path) -> list[str]:
    assert main(["draw", str(site), str(folder), "--seeds", "5-12"]) == 0
    return [path.read_text() for path in sorted(folder.iterdir())]


def test_a_seed_always_draws_the_same_day(site: Path, tmp_path: Path) -> None:
    first = draw(site, tmp_path / "first")
    assert len(first) == 8
    assert first == draw(site, tmp_path / "second")


def test_disruptions_begin_shortly_before_the_loss(site: Path, tmp_path: Path) -> None:
    for text in draw(site, tmp_path / "days"):
        day = tomllib.loads(text)
        assert day["closing"]["kind"] in ("power_off_all", "kill_all")
        events = day["plan"] + day["faults"]
        assert 3 <= len(events) <= 7
        assert all(0 < day["length_s"] - event["at"] <= 11.05 for event in events)
        assert {event["kind"] for event in day["plan"]} <= {"roll_term"}
        assert {event["kind"] for event in day["faults"]} <= {"burst"}


def test_late_service_counts_owed_requests_after_recovery(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    windows = [
        {"name": str(begin), "n": 10, "in_aim": 1, "late": 1, "not_owed": 2}
        for begin in (30, 32, 34)
    ]
    report = {
        "windows": windows,
        "events": [{"kind": "closing (kill_all)", "to_s": 31.9}],
        "breaks": {},
    }
    path = tmp_path / "loss-5.json"
    path.write_text(json.dumps(report))
    assert main(["show", str(path)]) == 0
    assert "loss-5: 0.25 of 16 owed" in capsys.readouterr().out


@pytest.mark.parametrize("text", ["troubles = []", "troubles = 1", "not toml"])
def test_an_invalid_site_is_reported_with_its_path(
    text: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "hall.toml"
    path.write_text(text)
    assert main(["draw", str(path), str(tmp_path / "days")]) == 1
    assert str(path) in capsys.readouterr().err

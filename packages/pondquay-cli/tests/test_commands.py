"""The commands, against the operator endpoints of a real fleet."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

import pytest

from pondquay_standins.names import digest

if TYPE_CHECKING:
    from pondquay_standins.fleet import Fleet

pytestmark = pytest.mark.xdist_group("cli")
EXAMPLES = Path(__file__).parents[3] / "docs" / "examples"
NOBODY = "http://127.0.0.1:9"


def write_intent(fleet: Fleet, name: str, text: str) -> str:
    """Write an intent file and return its path."""
    path = fleet.folder / name
    path.write_text(text)
    return str(path)


def run_json(fleet: Fleet, partner: str, *arguments: str) -> Any:
    """Run a command that must succeed and return what it wrote."""
    done = fleet.run_cli(partner, "--json", *arguments)
    assert done.returncode in (0, 4), done.stderr
    return json.loads(done.stdout)


def test_an_intent_is_planned_shown_and_confirmed(fleet: Fleet) -> None:
    text = f"[workspace w1]\nkey_digest = {digest('w1')}\n[budget w1]\ntokens = 10\n"
    path = write_intent(fleet, "w1.ini", text)
    plan = run_json(fleet, "khuree", "plan", path)
    shown = fleet.run_cli("khuree", "show", plan["id"]).stdout
    assert "+ budget w1 (khuree)" in shown
    assert "tokens = 10" in shown
    confirmed = run_json(fleet, "khuree", "confirm", plan["id"])
    fleet.wait_for_version(confirmed["version"])
    assert run_json(fleet, "khuree", "confirm", plan["id"]) == confirmed
    listed = fleet.run_cli("khuree", "plans").stdout
    assert any(
        plan["id"] in line and "confirmed" in line for line in listed.splitlines()
    )
    again = fleet.run_cli("khuree", "plan", path)
    assert "nothing would change" in again.stdout


def test_all_findings_are_shown_with_their_lines(fleet: Fleet) -> None:
    text = "\n".join(
        [
            "[workspce a]",
            "x = 1",
            "[budget b]",
            "token = 5",
            "tokens = -1",
            "[model m]",
            "versions = v1:60, v2:30",
        ]
    )
    path = write_intent(fleet, "bad.ini", text)
    done = fleet.run_cli("khuree", "plan", path)
    assert done.returncode == 2
    assert f"{path}:1: workspce a: unknown kind 'workspce'" in done.stderr
    assert "did you mean 'workspace'?" in done.stderr
    assert f"{path}:4: budget b.token: unknown; did you mean 'tokens'?" in done.stderr
    assert f"{path}:5: budget b.tokens: Input should be greater" in done.stderr
    assert f"{path}:7: model m.versions" in done.stderr


def test_a_conflict_names_both_versions(fleet: Fleet) -> None:
    base = f"[workspace w2]\nkey_digest = {digest('w2')}\n[budget w2]\ntokens = "
    plans = [
        run_json(fleet, "khuree", "plan", write_intent(fleet, "w2.ini", base + tokens))
        for tokens in ("10", "20")
    ]
    first = run_json(fleet, "khuree", "confirm", plans[0]["id"])
    lost = fleet.run_cli("khuree", "confirm", plans[1]["id"])
    assert lost.returncode == 1
    assert "plan_outdated" in lost.stderr
    assert f"made for version {plans[1]['base']}" in lost.stderr
    assert f"by version {first['version']}; plan again" in lost.stderr


def test_another_partners_things_cannot_be_changed(fleet: Fleet) -> None:
    path = write_intent(fleet, "theft.ini", "[budget rosters]\ntokens = 5\n")
    done = fleet.run_cli("khuree", "plan", path)
    assert done.returncode == 1
    assert "budget rosters: belongs to partner lima" in done.stderr


def test_a_loan_shows_whose_consent_is_missing(fleet: Fleet) -> None:
    text = "[loan l1]\nmodel = judge\nborrower = lima\nreplicas = 1\n"
    plan = run_json(fleet, "khuree", "plan", write_intent(fleet, "loan.ini", text))
    waiting = fleet.run_cli("khuree", "confirm", plan["id"])
    assert waiting.returncode == 4
    assert "the consent of lima is missing" in waiting.stdout
    confirmed = run_json(fleet, "lima", "confirm", plan["id"])
    assert confirmed["state"] == "confirmed"


def test_the_next_door_is_tried(fleet: Fleet) -> None:
    endpoints = [NOBODY, fleet.instances[1].operator_url]
    assert fleet.run_cli("lima", "status", operators=endpoints).returncode == 0
    alone = fleet.run_cli("lima", "status", operators=[NOBODY])
    assert alone.returncode == 3
    assert NOBODY in alone.stderr


def test_status_budgets_upstreams_bill_and_dump(fleet: Fleet) -> None:
    status = fleet.run_cli("lima", "status").stdout
    assert "entry-1" in status
    assert "entry-2" in status
    budgets = run_json(fleet, "lima", "budgets")["budgets"]
    assert {one["workspace"] for one in budgets} >= {"rosters", "trial"}
    assert "engine-hall-a-1" in fleet.run_cli("lima", "upstreams").stdout
    assert "billed 0" in fleet.run_cli("lima", "bill", "rosters").stdout
    assert fleet.run_cli("lima", "bill", "captions").returncode == 1
    dump = fleet.run_cli("lima", "dump", "entry-2")
    assert json.loads(dump.stdout)["instance"].startswith("entry-2~")
    unknown = fleet.run_cli("lima", "dump", "entry-77")
    assert unknown.returncode == 2
    assert "those of entry-1, entry-2" in unknown.stderr


def test_no_secret_is_in_a_dump_or_a_log(fleet: Fleet) -> None:
    dump = fleet.run_cli("lima", "dump", "entry-1").stdout
    secrets = [(fleet.folder / "fleet.key").read_text(), *fleet.operator_keys.values()]
    logs = "".join(one.process.log.read_text() for one in fleet.instances)
    for secret in secrets:
        assert secret not in dump
        assert secret not in logs


@pytest.mark.parametrize("partner", ["khuree", "lima"])
def test_the_examples_can_be_planned(fleet: Fleet, partner: str) -> None:
    path = EXAMPLES / f"intent-{partner}.ini"
    done = fleet.run_cli(partner, "plan", str(path))
    assert done.returncode == 0, done.stderr

"""Tests of replicas that a partner lends to another by agreement."""

from __future__ import annotations

from typing import Any

from pondquay_standins.fleet import Fleet
from pondquay_standins.names import MODEL
from pondquay_standins.processes import wait_until
from pondquay_standins.workspaces import make_shared_entities, make_workspace


def make_loan(replicas: int) -> dict[str, Any]:
    """Return a loan from Khuree to Lima."""
    loan = {"kind": "loan", "name": "evening", "model": MODEL}
    return {**loan, "partner": "khuree", "borrower": "lima", "replicas": replicas}


def set_loan(fleet: Fleet, replicas: int) -> None:
    """Set a loan with the confirmation of both partners."""
    body = {"wanted": [make_loan(replicas)]}
    plan = fleet.call_operator("khuree", "POST", "/plans", body).json()
    path = f"/plans/{plan['id']}/confirm"
    first = fleet.call_operator("khuree", "POST", path, {})
    assert (first.status, first.json()["missing"]) == (202, ["lima"])
    confirmed = fleet.call_operator("lima", "POST", path, {})
    fleet.wait_for_version(confirmed.json()["version"])


def test_a_replica_serves_another_partner_only_while_it_is_lent() -> None:
    with Fleet(engines=0, daemons=2) as fleet:
        fleet.add_engine("own-1", fleet.domains[0], "khuree")
        version = fleet.configure(
            "khuree",
            *make_shared_entities(),
            *make_workspace("mine", "sk-mine", 10_000),
        )
        fleet.wait_for_version(version)
        version = fleet.configure(
            "lima", *make_workspace("theirs", "sk-theirs", 10_000)
        )
        fleet.wait_for_version(version)
        wait_until(
            lambda: fleet.complete("sk-mine", "owner").status == 200, "the engine"
        )
        refused = fleet.complete("sk-theirs", "not lent")
        assert (refused.status, refused.headers["Pondquay-Outcome"]) == (503, "not-run")
        set_loan(fleet, 1)
        assert fleet.complete("sk-theirs", "lent").status == 200
        set_loan(fleet, 0)
        assert fleet.complete("sk-theirs", "called back").status == 503
        assert fleet.complete("sk-mine", "still the owner's").status == 200

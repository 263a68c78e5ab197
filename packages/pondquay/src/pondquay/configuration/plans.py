"""Plans: what an intent would change, who must agree, and to which base it belongs."""

from __future__ import annotations

import json
from enum import StrEnum
from hashlib import sha256
from typing import TYPE_CHECKING

from pydantic import BaseModel, ConfigDict

from pondquay.configuration.changes import Change
from pondquay.findings import Findings

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pondquay.configuration.documents import Document
    from pondquay.configuration.entities import Entity

PLAN_PREFIX = "plan/"


class PlanState(StrEnum):
    """What became of a plan."""

    PROPOSED = "proposed"
    CONFIRMED = "confirmed"


class Plan(BaseModel):
    """Changes that take effect together once all partners concerned have confirmed.

    :param base: the version of the configuration that the changes were made against
    :param digest: SHA-256 over base and changes
    :param version: the version that the plan made, once confirmed
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    id: str
    partner: str
    base: int
    changes: tuple[Change, ...]
    digest: str
    consents: tuple[str, ...] = ()
    state: PlanState = PlanState.PROPOSED
    version: int | None = None

    def missing_consents(self) -> frozenset[str]:
        """Return the partners whose consent is still missing."""
        needed: frozenset[str] = frozenset()
        for change in self.changes:
            needed |= change.required_consents()
        return needed - frozenset(self.consents)


def plan_key(plan_id: str) -> str:
    """Return the key of a plan's row."""
    return f"{PLAN_PREFIX}{plan_id}"


def make_plan(
    plan_id: str,
    partner: str,
    document: Document,
    wanted: Iterable[Entity],
    removed: Iterable[str] = (),
) -> Plan:
    """Compare what a partner wants with what is in force.

    :param wanted: entities as they shall be; those not named stay as they are
    :param removed: identities, as ``kind name``, of entities that shall go
    :raises InvalidInputError: if something belongs to another partner, is not there
        to be removed, or refers to what does not exist
    """
    findings = Findings()
    after = {f"{one.model_dump()['kind']} {one.name}": one for one in wanted}
    changes = []
    for identity, entity in after.items():
        before = document.entities.get(identity)
        _check_owner(findings, partner, identity, before, entity)
        if before != entity:
            changes.append(_make_change(before, entity))
    for identity in removed:
        before = document.entities.get(identity)
        if before is None:
            findings.add("intent", identity, "does not exist and cannot be removed")
            continue
        _check_owner(findings, partner, identity, before, None)
        changes.append(_make_change(before, None))
    _check_references(findings, document, changes)
    findings.raise_if_any()
    digest = digest_changes(document.version, changes)
    return Plan(
        id=plan_id,
        partner=partner,
        base=document.version,
        changes=tuple(changes),
        digest=digest,
    )


def digest_changes(base: int, changes: Iterable[Change]) -> str:
    """Return the digest that names a plan's content."""
    content = [base, [one.model_dump(mode="json") for one in changes]]
    return sha256(json.dumps(content, sort_keys=True).encode()).hexdigest()


def _make_change(before: Entity | None, after: Entity | None) -> Change:
    return Change.model_validate(
        {
            "before": None if before is None else before.model_dump(),
            "after": None if after is None else after.model_dump(),
        }
    )


def _check_owner(
    findings: Findings,
    partner: str,
    identity: str,
    before: Entity | None,
    after: Entity | None,
) -> None:
    for entity in (before, after):
        if entity is not None and partner not in entity.required_consents():
            findings.add("intent", identity, f"belongs to partner {entity.partner}")
            return


def _check_references(
    findings: Findings, document: Document, changes: Iterable[Change]
) -> None:
    """Find budgets without a workspace, and callers' keys that are used twice."""
    entities = document.replace_all(changes)
    digests: dict[str, str] = {}
    for identity, entity in sorted(entities.items()):
        values = entity.model_dump()
        if values["kind"] == "budget" and f"workspace {entity.name}" not in entities:
            findings.add("intent", identity, "there is no workspace of this name")
        digest = values.get("key_digest")
        if digest is None:
            continue
        if digest in digests:
            findings.add("intent", identity, f"has the key of {digests[digest]}")
        digests[digest] = identity

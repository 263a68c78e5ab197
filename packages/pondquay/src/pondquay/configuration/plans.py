"""Plans: the changes that an intent makes to a base version, and their consents."""

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
    """Whether a plan awaits consents or is in force."""

    PROPOSED = "proposed"
    CONFIRMED = "confirmed"


class Plan(BaseModel):
    """Changes that take effect together once all required partners have confirmed.

    :param base: configuration version that the changes are based on
    :param digest: SHA-256 digest of the base and the changes
    :param consents: partners that have confirmed
    :param version: configuration version that the plan created, once confirmed
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
        """Return the required partners that have not confirmed yet."""
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
    desired: Iterable[Entity],
    removed: Iterable[str] = (),
) -> Plan:
    """Return a plan with the differences between an intent and a document.

    :param desired: entities to add or change; other entities stay unchanged
    :param removed: identities, as ``kind name``, of entities to remove
    :raises InvalidInputError: if the partner neither owns nor borrows an entity, a
        removed entity does not exist, a budget has no workspace, or two workspaces
        have the same key
    """
    findings = Findings()
    after = {
        f"{target.model_dump()['kind']} {target.name}": target for target in desired
    }
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
    """Return the digest of a plan's base and changes."""
    content = [base, [change.model_dump(mode="json") for change in changes]]
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
    """Add findings for budgets without a workspace and for duplicate keys."""
    entities = document.apply_changes(changes)
    digests: dict[str, str] = {}
    for identity, entity in sorted(entities.items()):
        values = entity.model_dump()
        if values["kind"] == "budget" and f"workspace {entity.name}" not in entities:
            findings.add("intent", identity, "there is no workspace of this name")
        digest = values.get("key_digest")
        if digest is None:
            continue
        if digest in digests:
            findings.add("intent", identity, f"has the same key as {digests[digest]}")
        digests[digest] = identity

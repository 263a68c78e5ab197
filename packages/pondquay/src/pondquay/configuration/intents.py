"""Intents: INI files with the entities that a partner adds, changes and removes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pydantic import ValidationError

from pondquay.configuration.entities import ENTITY_TYPES, Entity
from pondquay.findings import Findings, suggest_name
from pondquay.ini import read_ini

if TYPE_CHECKING:
    from pondquay.ini import IniSection

REMOVE = "remove"


@dataclass(frozen=True, slots=True)
class Intent:
    """The entities that a partner wants to add, change or remove.

    :param entities: entities to add or change
    :param removed: identities, as ``kind name``, of entities to remove
    """

    entities: tuple[Entity, ...]
    removed: tuple[str, ...]


def read_intent(text: str, source: str, partner: str) -> Intent:
    """Parse an intent.

    A section ``[kind name]`` describes an entity; its keys are the entity's fields. A
    section whose only key is ``remove`` removes the entity, whatever the key's value.

    :param source: name of the file, used in findings
    :raises InvalidInputError: with all findings, each with its line number
    """
    findings = Findings()
    document = read_ini(text, source, findings)
    entities: list[Entity] = []
    removed: list[str] = []
    for section in document.sections:
        kind, _, name = section.name.partition(" ")
        entity_type = ENTITY_TYPES.get(kind)
        if entity_type is None:
            hint = suggest_name(kind, ENTITY_TYPES)
            findings.add(section.location, section.name, f"unknown kind {kind!r}{hint}")
            continue
        if set(section.values) == {REMOVE}:
            removed.append(section.name)
            continue
        entity = _read_entity(section, entity_type, name.strip(), partner, findings)
        if entity is not None:
            entities.append(entity)
    findings.raise_if_any()
    return Intent(tuple(entities), tuple(removed))


def _read_entity(
    section: IniSection,
    entity_type: type[Entity],
    name: str,
    partner: str,
    findings: Findings,
) -> Entity | None:
    values: dict[str, Any] = {"name": name, "partner": partner}
    known = set(entity_type.model_fields) - {"name", "kind", "partner"}
    if entity_type.model_fields.keys() >= {"borrower"}:
        known.add("partner")
    for key, text in section.values.items():
        if key not in known:
            hint = suggest_name(key, known)
            findings.add(
                section.describe_location(key),
                f"{section.name}.{key}",
                f"unknown{hint}",
            )
            continue
        values[key] = _parse_value(key, text)
    try:
        return entity_type.model_validate(values)
    except ValidationError as error:
        for problem in error.errors():
            key = str(problem["loc"][0]) if problem["loc"] else ""
            findings.add(
                section.describe_location(key), f"{section.name}.{key}", problem["msg"]
            )
        return None


def _parse_value(key: str, text: str) -> object:
    if key == "versions":
        return _parse_shares(text)
    if key == "repeatable":
        return tuple(text.replace(",", " ").upper().split())
    return text


def _parse_shares(text: str) -> dict[str, str]:
    """Parse shares such as ``v1:90, v2:10``."""
    shares = {}
    for part in text.replace(",", " ").split():
        version, _, share = part.partition(":")
        shares[version] = share
    return shares

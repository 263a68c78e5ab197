"""Intents: INI files in which a partner states what it wants."""

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
    """What a partner wants: entities as they shall be, and identities that shall go."""

    entities: tuple[Entity, ...]
    removed: tuple[str, ...]


def read_intent(text: str, source: str, partner: str) -> Intent:
    """Read an intent.

    A section is ``[kind name]``; its keys are the entity's fields. A section with the
    one key ``remove = yes`` takes the entity away.

    :param source: the file's name, for findings
    :raises InvalidInputError: with all findings, each with its line
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
        for one in error.errors():
            key = str(one["loc"][0]) if one["loc"] else ""
            findings.add(
                section.describe_location(key), f"{section.name}.{key}", one["msg"]
            )
        return None


def _parse_value(key: str, text: str) -> object:
    if key == "versions":
        return _parse_shares(text)
    if key == "repeatable":
        return tuple(text.replace(",", " ").upper().split())
    return text


def _parse_shares(text: str) -> dict[str, str]:
    """Read ``v1:90, v2:10``."""
    shares = {}
    for part in text.replace(",", " ").split():
        version, _, share = part.partition(":")
        shares[version] = share
    return shares

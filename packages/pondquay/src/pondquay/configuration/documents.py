"""Versions of the configuration and the changes between them.

A version is stored as its changes from the previous version, so that instances fetch
only the changes that they lack.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import cached_property
from typing import TypeVar

from pydantic import BaseModel, ConfigDict

from pondquay.configuration.changes import Change
from pondquay.configuration.entities import (
    Entity,
    Workspace,
)
from pondquay.errors import InvariantError

HEAD_KEY = "head"
DELTA_PREFIX = "config/"

E = TypeVar("E", bound=Entity)


class Delta(BaseModel):
    """The changes from the previous version to this version.

    :param plan: identifier of the plan that made the changes
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    version: int
    plan: str
    changes: tuple[Change, ...]


def delta_key(version: int) -> str:
    """Return the key of the row with the delta of a version."""
    return f"{DELTA_PREFIX}{version:012d}"


@dataclass(frozen=True)
class Document:
    """All entities of a version, by ``kind name``.

    Indexes for lookups are built on first use, once per version.
    """

    version: int = 0
    entities: Mapping[str, Entity] = field(default_factory=dict)

    def apply_changes(self, changes: Iterable[Change]) -> dict[str, Entity]:
        """Return a copy of the entities with the changes applied."""
        entities = dict(self.entities)
        for change in changes:
            if change.after is None:
                entities.pop(change.identity, None)
            else:
                entities[change.identity] = change.after
        return entities

    def apply(self, delta: Delta) -> Document:
        """Return the next version.

        :raises InvariantError: if the delta does not follow this version
        """
        if delta.version != self.version + 1:
            raise InvariantError(
                f"version {delta.version} does not follow version {self.version}"
            )
        return Document(delta.version, self.apply_changes(delta.changes))

    def find(self, kind: type[E], name: str) -> E | None:
        """Return the entity with a kind and name, or ``None``."""
        entity = self.entities.get(f"{kind.__name__.lower()} {name}")
        return entity if isinstance(entity, kind) else None

    @cached_property
    def _by_kind(self) -> dict[type[Entity], list[Entity]]:
        indexed: dict[type[Entity], list[Entity]] = {}
        for entity in self.entities.values():
            indexed.setdefault(type(entity), []).append(entity)
        return indexed

    @cached_property
    def _by_digest(self) -> dict[str, Workspace]:
        return {workspace.key_digest: workspace for workspace in self.list(Workspace)}

    def list(self, kind: type[E]) -> list[E]:
        """Return all entities of a kind."""
        found = self._by_kind.get(kind, [])
        return [entity for entity in found if isinstance(entity, kind)]

    def find_workspace_by_digest(self, digest: str) -> Workspace | None:
        """Return the workspace whose key has this digest, or ``None``."""
        return self._by_digest.get(digest)

"""The configuration in force, as a version and the entities it holds.

A version is stored as the changes from the one before, so that an instance that is a
version behind fetches a few hundred bytes and not the whole.
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
    """The changes that lead from one version to the next."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    version: int
    plan: str
    changes: tuple[Change, ...]


def delta_key(version: int) -> str:
    """Return the key of the row that leads to a version."""
    return f"{DELTA_PREFIX}{version:012d}"


@dataclass(frozen=True)
class Document:
    """All entities of one version, by ``kind name``.

    What each request looks up is indexed once for each version.
    """

    version: int = 0
    entities: Mapping[str, Entity] = field(default_factory=dict)

    def replace_all(self, changes: Iterable[Change]) -> dict[str, Entity]:
        """Return the entities as they are after some changes."""
        entities = dict(self.entities)
        for change in changes:
            if change.after is None:
                entities.pop(change.identity, None)
            else:
                entities[change.identity] = change.after
        return entities

    def apply(self, delta: Delta) -> Document:
        """Return the next version.

        :raises InvariantError: if the delta does not lead on from this version
        """
        if delta.version != self.version + 1:
            raise InvariantError(
                f"version {delta.version} does not follow {self.version}"
            )
        return Document(delta.version, self.replace_all(delta.changes))

    def find(self, kind: type[E], name: str) -> E | None:
        """Return the entity of a kind and name."""
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
        return {one.key_digest: one for one in self.list(Workspace)}

    def list(self, kind: type[E]) -> list[E]:
        """Return all entities of a kind."""
        found = self._by_kind.get(kind, [])
        return [one for one in found if isinstance(one, kind)]

    def find_workspace_by_digest(self, digest: str) -> Workspace | None:
        """Return the workspace whose callers' key has this digest."""
        return self._by_digest.get(digest)

"""Changes of single entities, of which plans and versions are made."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict

from pondquay.configuration.entities import AnyEntity, Entity  # noqa: TC001


class Change(BaseModel):
    """One entity before and after; ``None`` where it does not exist."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    before: AnyEntity | None
    after: AnyEntity | None

    @property
    def entity(self) -> Entity:
        """The entity concerned, as it will be or as it was."""
        entity = self.after or self.before
        assert entity is not None
        return entity

    @property
    def identity(self) -> str:
        """Kind and name of the entity concerned."""
        entity = self.after or self.before
        assert entity is not None
        return f"{entity.kind} {entity.name}"

    def required_consents(self) -> frozenset[str]:
        """Return the partners that must agree."""
        sides = [one.required_consents() for one in (self.before, self.after) if one]
        return frozenset().union(*sides)

"""Changes of single entities; plans and versions consist of them."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict

from pondquay.configuration.entities import AnyEntity, Entity  # noqa: TC001


class Change(BaseModel):
    """An entity before and after a change; ``None`` if it does not exist."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    before: AnyEntity | None
    after: AnyEntity | None

    @property
    def entity(self) -> Entity:
        """The entity after the change, or before it if it is removed."""
        entity = self.after or self.before
        assert entity is not None
        return entity

    @property
    def identity(self) -> str:
        """Kind and name of the entity, as ``kind name``."""
        entity = self.after or self.before
        assert entity is not None
        return f"{entity.kind} {entity.name}"

    def required_consents(self) -> frozenset[str]:
        """Return the partners that must consent to the change."""
        consents = [
            side.required_consents() for side in (self.before, self.after) if side
        ]
        return frozenset().union(*consents)

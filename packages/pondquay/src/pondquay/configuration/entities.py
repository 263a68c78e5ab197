"""The entities that operators configure."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Literal, TypeAlias

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, field_validator

MAX_TOKENS = 10**15
NAME_PATTERN = r"^[a-z0-9][a-z0-9.-]{0,62}$"
DIGEST_PATTERN = r"^sha256:[0-9a-f]{64}$"
TOTAL_SHARE_PERCENT = 100

Name: TypeAlias = Annotated[str, Field(pattern=NAME_PATTERN)]
Tokens: TypeAlias = Annotated[int, Field(ge=0, le=MAX_TOKENS)]


class Priority(StrEnum):
    """Priorities of requests, in descending order."""

    HIGH = "high"
    NORMAL = "normal"
    LOW = "low"


class Entity(BaseModel):
    """Base class of all entities.

    :param name: name, unique among the entities of a kind
    :param partner: partner that owns the entity
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    name: Name
    partner: Name

    def required_consents(self) -> frozenset[str]:
        """Return the partners that must consent to a change of this entity."""
        return frozenset({self.partner})


class Workspace(Entity):
    """A workspace of a partner; a caller's key identifies it.

    :param key_digest: SHA-256 digest of the key; the key itself is never stored
    :param priority: default priority of requests
    """

    kind: Literal["workspace"] = "workspace"
    key_digest: Annotated[str, Field(pattern=DIGEST_PATTERN)]
    priority: Priority = Priority.NORMAL


class Budget(Entity):
    """The prepaid budget of the workspace of the same name, in tokens."""

    kind: Literal["budget"] = "budget"
    tokens: Tokens


class Service(Entity):
    """A plain HTTP service.

    :param price: tokens that a call costs
    :param repeatable: HTTP methods whose calls may be sent again
    """

    kind: Literal["service"] = "service"
    price: Annotated[int, Field(ge=1, le=10**9)] = 1
    repeatable: tuple[str, ...] = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE")


class Model(Entity):
    """A model and its versions.

    :param output_limit: default and maximum number of output tokens of a request
    :param versions: share of the requests that each version serves, in percent
    """

    kind: Literal["model"] = "model"
    output_limit: Annotated[int, Field(ge=1, le=10**6)] = 1024
    versions: dict[Name, Annotated[int, Field(ge=0, le=TOTAL_SHARE_PERCENT)]]

    @field_validator("versions")
    @classmethod
    def check_shares(cls, versions: dict[str, int]) -> dict[str, int]:
        """Check that the shares add up to 100 percent."""
        if sum(versions.values()) != TOTAL_SHARE_PERCENT:
            raise ValueError(f"shares must add up to {TOTAL_SHARE_PERCENT}")
        return versions


class Loan(Entity):
    """Replicas of a model that their owner shares with another partner.

    :param borrower: partner that may use the replicas
    :param replicas: number of replicas
    """

    kind: Literal["loan"] = "loan"
    model: Name
    borrower: Name
    replicas: Annotated[int, Field(ge=0, le=10**4)]

    def required_consents(self) -> frozenset[str]:
        """Return the owner and the borrower, which must both consent."""
        return frozenset({self.partner, self.borrower})


AnyEntity = Annotated[
    Workspace | Budget | Service | Model | Loan, Field(discriminator="kind")
]
ENTITY_TYPES: dict[str, type[Entity]] = {
    "workspace": Workspace,
    "budget": Budget,
    "service": Service,
    "model": Model,
    "loan": Loan,
}
ENTITY: TypeAdapter[AnyEntity] = TypeAdapter(AnyEntity)

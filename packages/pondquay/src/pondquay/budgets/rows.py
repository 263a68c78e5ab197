"""Rows of budgets and grants in the platform's table.

``budget/W`` holds the limit of a workspace and how much of it was granted. Granting
is spending as far as every other instance is concerned: ``granted <= limit`` holds in
every transaction, so no cut, pause or outage can lead to more being spent.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from pydantic import TypeAdapter

from pondquay.names import GrantId, InstanceId

if TYPE_CHECKING:
    from pondquay.tables import JsonObject, Row

BUDGET_PREFIX = "budget/"
GRANT_PREFIX = "grant/"


class GrantState(StrEnum):
    """Whether a grant can still be drawn on."""

    OPEN = "open"
    SEALED = "sealed"


@dataclass(frozen=True, slots=True)
class BudgetRow:
    """The prepaid budget of one workspace, in tokens.

    :param limit: what the partner paid for
    :param granted: what was handed out in grants and has not come back; it contains
        all that was ever spent
    :param demand: tokens an hour that all holders together spend, as they last said
    :param used: tokens spent for good, as holders last said; like ``demand`` it only
        helps to size grants, and nothing that must be right relies on it
    """

    limit: int
    granted: int = 0
    demand: int = 0
    used: int = 0

    @property
    def free(self) -> int:
        """Tokens that can still be granted."""
        return max(0, self.limit - self.granted)

    @property
    def remaining(self) -> int:
        """Tokens that are not known to be spent, granted or not."""
        return max(0, self.limit - self.used)


@dataclass(frozen=True, slots=True)
class HeldIntent:
    """An attempt whose outcome is not known yet, with the tokens kept for it."""

    request: str
    reserve: int
    upstream: str
    stream: str
    boot: str = ""


@dataclass(frozen=True, slots=True)
class GrantRow:
    """Tokens of one budget in the hands of one instance.

    :param witness: the instance that acknowledges each attempt, empty if none
    :param operation: the holder's last change of the amount
    :param demand: tokens an hour that the holder spends, as it last said
    :param used: tokens spent for good, as the holder last said
    :param spent: tokens spent for good, known once the grant is sealed
    :param held: attempts without a known outcome, by their sequence number
    """

    workspace: str
    amount: int
    holder: str
    witness: str
    state: GrantState = GrantState.OPEN
    operation: str = ""
    demand: int = 0
    used: int = 0
    spent: int = 0
    held: dict[str, HeldIntent] = field(default_factory=dict)

    @property
    def witness_id(self) -> InstanceId | None:
        """The witness as a name, if the grant has one."""
        return InstanceId.parse(self.witness) if self.witness else None

    @property
    def remainder(self) -> int:
        """Tokens that a sealed grant has neither spent nor kept for held attempts.

        A witness that was not told of an end still holds its whole reserve, while the
        holder may have reserved or given back what the attempt left. Then more is held
        than the grant has, and nothing remains until the true costs are known.
        """
        held = sum(one.reserve for one in self.held.values())
        return max(0, self.amount - self.spent - held)


_BUDGET: TypeAdapter[BudgetRow] = TypeAdapter(BudgetRow)
_GRANT: TypeAdapter[GrantRow] = TypeAdapter(GrantRow)


def budget_key(workspace: str) -> str:
    """Return the key of a workspace's budget row."""
    return f"{BUDGET_PREFIX}{workspace}"


def grant_key(grant: GrantId) -> str:
    """Return the key of a grant's row; those of one holder lie together."""
    return f"{GRANT_PREFIX}{grant}"


def holder_prefix(holder: InstanceId) -> str:
    """Return the prefix of the keys of all grants of one holder."""
    return f"{GRANT_PREFIX}{holder}/"


def parse_grant_key(key: str) -> GrantId:
    """Return the grant that a row's key names."""
    return GrantId.parse(key.removeprefix(GRANT_PREFIX))


def load_budget(row: Row | None) -> BudgetRow | None:
    """Read a budget from its row.

    :raises pydantic.ValidationError: if the row has another form
    """
    return None if row is None else _BUDGET.validate_python(row.value)


def load_grant(row: Row | None) -> GrantRow | None:
    """Read a grant from its row.

    :raises pydantic.ValidationError: if the row has another form
    """
    return None if row is None else _GRANT.validate_python(row.value)


def dump_row(value: BudgetRow | GrantRow) -> JsonObject:
    """Return what is stored of a budget or grant."""
    adapter: TypeAdapter[Any] = _BUDGET if isinstance(value, BudgetRow) else _GRANT
    dumped: JsonObject = adapter.dump_python(value, mode="json")
    return dumped

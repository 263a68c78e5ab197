"""Rows of budgets and grants in the platform's table.

``budget/W`` holds the limit of workspace ``W`` and the tokens granted from it;
``grant/G`` holds the state of grant ``G``. To all instances other than its holder, a
grant counts as spent, and no transaction grants tokens beyond the limit. So no
partition, pause or outage can lead to overspending.
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
    """Whether a grant is usable or closed."""

    OPEN = "open"
    SEALED = "sealed"


@dataclass(frozen=True, slots=True)
class BudgetRow:
    """The prepaid budget of one workspace, in tokens.

    :param limit: tokens that the partner has paid for
    :param granted: tokens granted and not returned, including all spent ones
    :param demand: tokens per hour that all holders together spend, as last reported
    :param used: tokens billed, as last reported by the holders; like ``demand`` it is
        only used to size grants and may be inaccurate
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
        """Tokens that are not known to be billed, granted or not."""
        return max(0, self.limit - self.used)


@dataclass(frozen=True, slots=True)
class HeldIntent:
    """An attempt whose outcome is unknown, with the tokens reserved for it.

    :param boot: the incarnation of the upstream
    """

    request: str
    reserve: int
    upstream: str
    stream: str
    boot: str = ""


@dataclass(frozen=True, slots=True)
class GrantRow:
    """Tokens of one budget that are granted to one instance.

    :param witness: the instance that acknowledges each attempt, empty if none
    :param operation: identifier of the holder's last change of the amount
    :param demand: tokens per hour that the holder spends, as last reported
    :param used: tokens billed, as last reported by the holder
    :param spent: tokens billed, known once the grant is sealed
    :param held: attempts without a known outcome, by sequence number
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
        """The identifier of the witness, ``None`` if the grant has none."""
        return InstanceId.parse(self.witness) if self.witness else None

    @property
    def remainder(self) -> int:
        """Tokens of a sealed grant that are neither billed nor reserved for attempts.

        If the witness has not received the outcome of an attempt, the attempt's full
        reserve is held, while the holder may have reserved or returned its unused
        tokens. Then more tokens may be held than the grant has; the remainder is 0.
        """
        held = sum(intent.reserve for intent in self.held.values())
        return max(0, self.amount - self.spent - held)


_BUDGET: TypeAdapter[BudgetRow] = TypeAdapter(BudgetRow)
_GRANT: TypeAdapter[GrantRow] = TypeAdapter(GrantRow)


def budget_key(workspace: str) -> str:
    """Return the key of a workspace's budget row."""
    return f"{BUDGET_PREFIX}{workspace}"


def grant_key(grant: GrantId) -> str:
    """Return the key of a grant's row; the keys of a holder share a prefix."""
    return f"{GRANT_PREFIX}{grant}"


def holder_prefix(holder: InstanceId) -> str:
    """Return the prefix of the keys of all grants of one holder."""
    return f"{GRANT_PREFIX}{holder}/"


def parse_grant_key(key: str) -> GrantId:
    """Return the identifier of the grant with this row key."""
    return GrantId.parse(key.removeprefix(GRANT_PREFIX))


def load_budget(row: Row | None) -> BudgetRow | None:
    """Parse the row of a budget.

    :raises pydantic.ValidationError: if the row is not a valid budget
    """
    return None if row is None else _BUDGET.validate_python(row.value)


def load_grant(row: Row | None) -> GrantRow | None:
    """Parse the row of a grant.

    :raises pydantic.ValidationError: if the row is not a valid grant
    """
    return None if row is None else _GRANT.validate_python(row.value)


def dump_row(value: BudgetRow | GrantRow) -> JsonObject:
    """Return the stored form of a budget or grant."""
    adapter: TypeAdapter[Any] = _BUDGET if isinstance(value, BudgetRow) else _GRANT
    dumped: JsonObject = adapter.dump_python(value, mode="json")
    return dumped

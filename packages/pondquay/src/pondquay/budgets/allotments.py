"""Allotments: each instance's part of a prepaid budget, kept in one row a workspace.

The row holds what instances that are closed can have spent, and for each living one a
ceiling on all that it spends in this life. The sum never exceeds the prepaid tokens,
and an instance spends only below the ceiling that it knows to be in the row, so the
budget holds in any cut and after any death, whatever the clocks say. The next life of
an instance closes the one before as if its whole ceiling had been spent.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
from msgspec import Meta

from pondquay.errors import MalformedRowError

if TYPE_CHECKING:
    from collections.abc import Mapping


# No budget comes near this many tokens; sums over all holders stay exact.
MAX_TOKENS = 1 << 53
Tokens = Annotated[int, Meta(ge=0, le=MAX_TOKENS)]
# Below zero where more was borrowed than lent.
Balance = Annotated[int, Meta(ge=-MAX_TOKENS, le=MAX_TOKENS)]


class _RowDocument(msgspec.Struct, frozen=True):
    """A row as it is stored: numbers of tokens, in the order of the fields below."""

    closed: tuple[Balance, Tokens]
    holders: dict[str, tuple[str, Balance, Tokens, Tokens, Balance]]


@dataclass(frozen=True, slots=True)
class Allotment:
    """One living instance's entry.

    :param boot: the life of the instance that it is for
    Only its own life writes it, and the next life takes it out.

    :param ceiling: the most tokens that this life may ever spend: what requests use
        and what it lends, less what others lend to it
    :param spent: what requests had used there when it wrote this, without loans
    :param rate: tokens a second that it was asked for
    :param lent: what it had lent then, less what came from others; below zero where
        more came than went
    """

    boot: str
    ceiling: int
    spent: int = 0
    rate: int = 0
    lent: int = 0

    @property
    def unspent(self) -> int:
        """What was left of it when it was written."""
        return max(0, self.ceiling - self.spent - self.lent)


@dataclass(frozen=True, slots=True)
class AllotmentRow:
    """All of one workspace's allotments.

    :param closed: tokens that lives which have ended can have spent
    :param closed_spent: what they are known to have spent of these
    """

    closed: int = 0
    closed_spent: int = 0
    holders: Mapping[str, Allotment] = field(default_factory=dict)

    @property
    def committed(self) -> int:
        """Tokens that have been or may be spent by what the row says."""
        return self.closed + sum(one.ceiling for one in self.holders.values())

    @property
    def surely_spent(self) -> int:
        """Tokens that are known to be spent."""
        return self.closed_spent + sum(one.spent for one in self.holders.values())

    def find(self, holder: str, boot: str) -> Allotment | None:
        """Return the entry of one life of an instance."""
        entry = self.holders.get(holder)
        return entry if entry is not None and entry.boot == boot else None

    def with_entry(self, holder: str, entry: Allotment) -> AllotmentRow:
        """Return the row with a new entry; another life's is closed."""
        holders = {**self.holders, holder: entry}
        before = self.holders.get(holder)
        if before is None or before.boot == entry.boot:
            return replace(self, holders=holders)
        return AllotmentRow(
            self.closed + before.ceiling, self.closed_spent + before.spent, holders
        )

    def without(self, holder: str, spent: int, used: int) -> AllotmentRow:
        """Return the row after an instance has handed back what it did not spend.

        :param spent: with what it lent, without what it borrowed
        :param used: what requests used there
        """
        holders = {name: one for name, one in self.holders.items() if name != holder}
        return AllotmentRow(self.closed + spent, self.closed_spent + used, holders)

    def to_value(self) -> dict[str, Any]:
        """Return the form in which it is stored."""
        return {
            "closed": [self.closed, self.closed_spent],
            "holders": {
                name: [one.boot, one.ceiling, one.spent, one.rate, one.lent]
                for name, one in self.holders.items()
            },
        }

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> AllotmentRow:
        """Read the form in which it is stored.

        :raises MalformedRowError: if it has another form
        """
        try:
            document = msgspec.convert(value, _RowDocument)
        except (msgspec.ValidationError, OverflowError, RecursionError) as error:
            raise MalformedRowError(f"allotments: {error}") from error
        holders = {name: Allotment(*one) for name, one in document.holders.items()}
        return cls(*document.closed, holders)


EMPTY_ROW = AllotmentRow()

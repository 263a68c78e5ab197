"""Allotments: each instance's share of a prepaid budget, in one row per workspace.

The row stores the tokens that closed incarnations may have spent and, for each open
one, a ceiling on its spending. The sum never exceeds the prepaid tokens, and an
instance spends only up to the ceiling that it knows to be in the row. So the budget is
never overspent in a partition or after a crash, and this does not depend on clocks. The
next incarnation of an instance closes the previous one as if all tokens up to its
ceiling had been spent.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
from msgspec import Meta

from pondquay.errors import MalformedRowError

if TYPE_CHECKING:
    from collections.abc import Mapping


# Largest stored token count; readers of JSON may round larger integers.
MAX_TOKENS = 1 << 53
Tokens = Annotated[int, Meta(ge=0, le=MAX_TOKENS)]
# A token count that loans can make negative.
Balance = Annotated[int, Meta(ge=-MAX_TOKENS, le=MAX_TOKENS)]


class _RowDocument(msgspec.Struct, frozen=True):
    """A stored row.

    The tuples have the field order of :class:`AllotmentRow` and :class:`Allotment`.
    """

    closed: tuple[Balance, Tokens]
    holders: dict[str, tuple[str, Balance, Tokens, Tokens, Balance]]


@dataclass(frozen=True, slots=True)
class Allotment:
    """The entry of one open incarnation of an instance.

    Only this incarnation writes it, and the next one replaces it.

    :param boot: the incarnation
    :param ceiling: maximum number of tokens that this incarnation may spend: those used
        by requests and lent, less those borrowed
    :param spent: tokens used by requests when the entry was written, without loans
    :param rate: tokens requested per second
    :param lent: tokens lent when the entry was written, less those borrowed; negative
        if more were borrowed
    """

    boot: str
    ceiling: int
    spent: int = 0
    rate: int = 0
    lent: int = 0

    @property
    def unspent(self) -> int:
        """Tokens that were unspent when the entry was written."""
        return max(0, self.ceiling - self.spent - self.lent)


@dataclass(frozen=True, slots=True)
class AllotmentRow:
    """All of one workspace's allotments.

    :param closed: tokens that closed incarnations may have spent
    :param closed_spent: tokens of these that are known to be spent
    :param holders: the entry of each instance by its name
    :ivar committed: tokens that have been or may be spent, according to the row
    :ivar known_spent: tokens that are known to be spent
    :ivar spent_or_lent: tokens that open incarnations have used or lent
    :ivar rate: tokens requested per second at all instances
    """

    closed: int = 0
    closed_spent: int = 0
    holders: Mapping[str, Allotment] = field(default_factory=dict)
    # Each plan for an account uses the sums several times.
    committed: int = field(init=False, repr=False, compare=False)
    known_spent: int = field(init=False, repr=False, compare=False)
    spent_or_lent: int = field(init=False, repr=False, compare=False)
    rate: int = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Add up the entries."""
        committed, known_spent, lent, rate = self.closed, self.closed_spent, 0, 0
        for allotment in self.holders.values():
            committed += allotment.ceiling
            known_spent += allotment.spent
            lent += allotment.lent
            rate += allotment.rate
        spent = known_spent - self.closed_spent
        object.__setattr__(self, "committed", committed)
        object.__setattr__(self, "known_spent", known_spent)
        object.__setattr__(self, "spent_or_lent", spent + lent)
        object.__setattr__(self, "rate", rate)

    @property
    def unaccounted(self) -> int:
        """Tokens of closed incarnations that are not known to be spent."""
        return self.closed - self.closed_spent

    def find(self, holder: str, boot: str) -> Allotment | None:
        """Return the entry of one incarnation of an instance."""
        entry = self.holders.get(holder)
        return entry if entry is not None and entry.boot == boot else None

    def with_entry(self, holder: str, entry: Allotment) -> AllotmentRow:
        """Return the row with a new entry, which closes that of another incarnation."""
        holders = {**self.holders, holder: entry}
        previous = self.holders.get(holder)
        if previous is None or previous.boot == entry.boot:
            return replace(self, holders=holders)
        return AllotmentRow(
            self.closed + previous.ceiling, self.closed_spent + previous.spent, holders
        )

    def without(self, holder: str, spent: int, used: int) -> AllotmentRow:
        """Return the row after an instance has returned its unspent tokens.

        :param spent: tokens that it used and lent, less those that it borrowed
        :param used: tokens used by its requests
        """
        holders = {
            name: allotment
            for name, allotment in self.holders.items()
            if name != holder
        }
        return AllotmentRow(self.closed + spent, self.closed_spent + used, holders)

    def to_value(self) -> dict[str, Any]:
        """Return the row as it is stored."""
        return {
            "closed": [self.closed, self.closed_spent],
            "holders": {
                name: [
                    allotment.boot,
                    allotment.ceiling,
                    allotment.spent,
                    allotment.rate,
                    allotment.lent,
                ]
                for name, allotment in self.holders.items()
            },
        }

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> AllotmentRow:
        """Parse a stored row.

        :raises MalformedRowError: if the value is not a valid row
        """
        try:
            document = msgspec.convert(value, _RowDocument)
        except (msgspec.ValidationError, OverflowError, RecursionError) as error:
            raise MalformedRowError(f"allotments: {error}") from error
        holders = {
            name: Allotment(*allotment) for name, allotment in document.holders.items()
        }
        return cls(*document.closed, holders)


EMPTY_ROW = AllotmentRow()

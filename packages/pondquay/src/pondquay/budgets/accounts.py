"""An instance's account of one workspace's prepaid tokens, below its allotment."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from math import exp
from typing import TYPE_CHECKING

from pondquay.budgets.allotments import EMPTY_ROW, Allotment, AllotmentRow
from pondquay.policy import DEFAULT_POLICY

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pondquay.policy import RelayPolicy

RATE_SECONDS = 8.0
# A request is small that needs this part of the prepaid tokens at most. The last ones
# are kept for these: they answer more callers than few large requests would, when after
# a loss of all instances hardly anything is left.
SMALL_PART = 0.01
MIN_AGE_SECONDS = 2.0
# Part of what a lender has left that a borrower may get beyond its need.
AHEAD_PART = 0.25


class RefusalReason(StrEnum):
    """Why tokens could not be reserved.

    ``EXHAUSTED`` is said only where the row shows that no instance can have them;
    ``OUT_OF_REACH`` where the table that may have them does not answer, ``KEPT`` where
    they are here and are the last ones, which only small requests get.
    """

    EXHAUSTED = "exhausted"
    ELSEWHERE = "elsewhere"
    UNKNOWN = "unknown"
    OUT_OF_REACH = "out-of-reach"
    KEPT = "kept-for-small"


@dataclass(slots=True)
class Demand:
    """How many tokens a second are asked for, as an exponential average.

    :param largest: tokens of the largest request
    """

    largest: int = 0
    _sum: float = 0.0
    _at: float = 0.0
    _began: float | None = None

    def note(self, tokens: int, now: float) -> None:
        """Note a request."""
        self.note_lent(tokens, now)
        self.largest = max(self.largest, tokens)

    def note_lent(self, tokens: int, now: float) -> None:
        """Note tokens that another instance asked for, for several requests."""
        if self._began is None:
            self._began = now
        self._sum = self._sum_at(now) + tokens
        self._at = now

    def note_returned(self, tokens: int, now: float) -> None:
        """Note that tokens came back that were noted as lent and not used."""
        self._sum = max(0.0, self._sum_at(now) - tokens)
        self._at = now

    def rate(self, now: float) -> float:
        """Return tokens a second; a short past is not taken for a low rate."""
        if self._began is None:
            return 0.0
        age = max(MIN_AGE_SECONDS, now - self._began)
        return self._sum_at(now) / (RATE_SECONDS * (1 - exp(-age / RATE_SECONDS)))

    def mean_rate(self, now: float) -> float:
        """Return tokens a second as if there had been none before the first request."""
        return 0.0 if self._began is None else self._sum_at(now) / RATE_SECONDS

    def _sum_at(self, now: float) -> float:
        return self._sum * exp((self._at - now) / RATE_SECONDS)


@dataclass(frozen=True, slots=True)
class Change:
    """A new row that an instance wants to write.

    :param ceiling: its own ceiling in it
    """

    row: AllotmentRow
    ceiling: int


@dataclass(slots=True)
class Account:
    """What one life of an instance may spend, has spent and has reserved.

    :param ceiling: the lowest that the row's ceiling for this life can be
    :param spent: tokens used and lent, less those that came from others; below zero
        where more came than went. ``spent - used`` is what loans took from here in all,
        and over all instances what is with them or was lost on its way
    :param used: tokens that requests ran for
    :param reserved: tokens that requests which run now may use
    :param version: of the row as last known, ``None`` if it never was read
    :param requested: tokens that a request waits for, 0 if none does
    :param policy: the figures that plans go by
    """

    holder: str
    boot: str
    prepaid: int
    ceiling: int = 0
    spent: int = 0
    used: int = 0
    reserved: int = 0
    version: int | None = None
    row: AllotmentRow = EMPTY_ROW
    demand: Demand = field(default_factory=Demand)
    requested: int = 0
    policy: RelayPolicy = DEFAULT_POLICY
    _lowered: int | None = None

    @property
    def unspent(self) -> int:
        """Tokens that may be reserved now; below zero never spends."""
        return self.ceiling - self.spent - self.reserved

    def reserve(self, tokens: int) -> RefusalReason | None:
        """Set tokens aside before a request is sent, ``None`` if that succeeded."""
        kept = self._kept_from(tokens)
        if tokens <= self.unspent and tokens + kept <= self.remaining():
            self.reserved += tokens
            return None
        if self.version is None:
            return RefusalReason.UNKNOWN
        if self._surely_spent() + tokens + kept > self.prepaid:
            return RefusalReason.EXHAUSTED
        return RefusalReason.KEPT if tokens <= self.unspent else RefusalReason.ELSEWHERE

    def settle(self, reserved: int, used: int) -> None:
        """Replace a reservation by what was used of it."""
        self.reserved -= reserved
        self.spent += min(reserved, used)
        self.used += min(reserved, used)

    def lend(self, tokens: int) -> int:
        """Count tokens as spent here, so that a peer may spend them; return how many.

        A peer asks only for what it cannot serve at once, so all that is unspent goes.
        """
        lent = max(0, min(tokens, self.unspent))
        self.spent += lent
        return lent

    def lend_headroom(self, tokens: int, ahead: int) -> int:
        """Lend to an instance that holds no allotment; return how many tokens.

        :param tokens: that it needs now
        :param ahead: that it would like besides; it gets a part of what is left only
        """
        spare = max(0, self.unspent - tokens)
        return self.lend(tokens + min(ahead, int(AHEAD_PART * spare)))

    def receive_loan(self, tokens: int) -> None:
        """Take tokens that a peer has counted as spent.

        What this life has spent, less what it was lent, may fall below zero.
        """
        self.spent -= tokens

    def read(self, row: AllotmentRow, version: int) -> None:
        """Take in the row as it stood at a version.

        A ceiling that is higher than this life knows is from a write whose answer was
        lost. It counts unless a write that lowers it may still take effect.
        """
        if self.version is not None and version < self.version:
            return
        self.row = row
        self.version = version
        entry = row.find(self.holder, self.boot)
        stored = 0 if entry is None else entry.ceiling
        if self._lowered is not None:
            stored = min(stored, self._lowered)
        self.ceiling = max(stored, self.spent + self.reserved)

    def propose(self, headroom: int, now: float) -> Change:
        """Return the row with this instance's entry as it should be.

        The ceiling is below zero where more tokens came from others, under their
        ceilings, than this life used, and the rest goes back to the row.

        :param headroom: tokens beyond those spent and reserved
        """
        ceiling = self.spent + self.reserved + headroom
        rate = int(self.demand.rate(now))
        lent = self.spent - self.used
        entry = Allotment(self.boot, ceiling, self.used, rate, lent)
        return Change(self.row.with_entry(self.holder, entry), ceiling)

    def begin_write(self, change: Change) -> None:
        """Be about to write a change: a lower ceiling counts from now on."""
        if change.ceiling < self.ceiling:
            self.ceiling = change.ceiling
            self._lowered = change.ceiling

    def confirm_write(self, change: Change, version: int) -> None:
        """Learn that a change was written."""
        self.row = change.row
        self.version = version
        self.ceiling = change.ceiling
        self._lowered = None

    def close(self) -> AllotmentRow:
        """Return the row after this life's end; nothing may be reserved from now on."""
        self.ceiling = self.spent
        return self.row.without(self.holder, self.spent, self.used)

    def reopen(self) -> None:
        """Learn that the end of this life was certainly not written."""
        entry = self.row.find(self.holder, self.boot)
        if entry is not None and self._lowered is None:
            self.ceiling = entry.ceiling

    def describe(self) -> dict[str, int]:
        """Return each term of the account, for operators."""
        others = self.others().values()
        return {
            "prepaid": self.prepaid,
            "used": self.used,
            "used_by_all": self._surely_spent(),
            "reserved": self.reserved,
            "ceiling": self.ceiling,
            "unspent": self.unspent,
            "lent": self.spent - self.used,
            "held_by_others": sum(one.unspent for one in others),
            "unaccounted": self.row.closed - self.row.closed_spent,
            "free": self.free(),
            "left": self.remaining(),
            "row": self.version or 0,
        }

    def free(self) -> int:
        """Tokens that no instance holds, by the row as last known."""
        return self.prepaid - self.row.committed

    @property
    def lowering(self) -> bool:
        """Whether a lower ceiling counts here that is not known to be in the row."""
        return self._lowered is not None

    @property
    def has_earlier_life(self) -> bool:
        """Whether the row still has what an earlier life of this instance held."""
        entry = self.row.holders.get(self.holder)
        return entry is not None and entry.boot != self.boot

    def max_headroom(self) -> int:
        """Return the most headroom that the row has room for."""
        entry = self.row.find(self.holder, self.boot)
        stored = 0 if entry is None else entry.ceiling
        return max(0, self.free() + stored - self.spent - self.reserved)

    def remaining(self) -> int:
        """Tokens that the workspace may still spend, by what is known here.

        What is free and what is unspent here are among them; what others borrowed is
        not, nor what an earlier life held, since nobody here can have it. Entries of
        others may be old, so it is never more than what is not known to be used.
        """
        others = sum(one.spent + one.lent for one in self.others().values())
        reachable = self.prepaid - self.row.closed - others - self._earlier_ceiling
        unused = self.prepaid - self._surely_spent()
        return min(reachable - self.spent, unused) - self.reserved

    @property
    def _earlier_ceiling(self) -> int:
        """What an earlier life of this instance may have spent."""
        entry = self.row.holders.get(self.holder)
        return 0 if entry is None or entry.boot == self.boot else entry.ceiling

    @property
    def last_part(self) -> int:
        """Tokens that are kept for small requests."""
        return int(self.policy.last_part * self.prepaid)

    def is_small(self, tokens: int) -> bool:
        """Tell whether a request may have of the last part."""
        return tokens <= SMALL_PART * self.prepaid

    def _kept_from(self, tokens: int) -> int:
        """Return the tokens that a request of this size may not touch."""
        return 0 if self.is_small(tokens) else self.last_part

    def _surely_spent(self) -> int:
        own = self.row.find(self.holder, self.boot)
        known = 0 if own is None else own.spent
        return self.row.surely_spent - known + self.used

    def others(self) -> Mapping[str, Allotment]:
        """Return the other living instances' entries."""
        return {
            name: one for name, one in self.row.holders.items() if name != self.holder
        }

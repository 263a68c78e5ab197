"""Local accounting of a workspace's prepaid tokens within an instance's allotment."""

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

# Time constant of the exponential average of the demand.
RATE_SECONDS = 8.0
# Requests of at most this fraction of the prepaid tokens, or of the largest request at
# this instance, count as small and may use the tokens that are withheld from larger
# ones. In a small budget, even the smallest requests may exceed the first fraction.
SMALL_REQUEST_FRACTION = 0.01
SMALL_OF_LARGEST_FRACTION = 0.25
# Shortest period over which a rate is averaged.
MIN_AGE_SECONDS = 2.0
# Fraction of a lender's spare tokens that a borrower may get beyond what it needs now.
LOAN_HEADROOM_FRACTION = 0.25


class RefusalReason(StrEnum):
    """Reason why tokens could not be reserved.

    ``EXHAUSTED``: according to the row, too few tokens of the budget are left;
    ``ELSEWHERE``: the row or other instances may have enough tokens;
    ``UNKNOWN``: the row has not been read yet;
    ``OUT_OF_REACH``: the table may have enough tokens, but is unreachable;
    ``KEPT_FOR_SMALL``: this instance has enough tokens, but withholds them from all
    but small requests.
    """

    EXHAUSTED = "exhausted"
    ELSEWHERE = "elsewhere"
    UNKNOWN = "unknown"
    OUT_OF_REACH = "out-of-reach"
    KEPT_FOR_SMALL = "kept-for-small"


@dataclass(slots=True)
class Demand:
    """Exponential average of the tokens requested per second.

    :param largest: tokens of the largest request
    """

    largest: int = 0
    _sum: float = 0.0
    _requests: float = 0.0
    _updated_at: float = 0.0
    _started_at: float | None = None

    def note(self, tokens: int, now: float) -> None:
        """Record a request."""
        self.note_lent(tokens, now)
        self._requests += 1
        self.largest = max(self.largest, tokens)

    def note_lent(self, tokens: int, now: float) -> None:
        """Record tokens of a loan that another instance requested.

        A loan may serve several requests, so it does not change ``largest``.
        """
        if self._started_at is None:
            self._started_at = now
        self._decay(now)
        self._sum += tokens

    def note_returned(self, tokens: int, now: float) -> None:
        """Record that lent tokens were returned unused."""
        self._decay(now)
        self._sum = max(0.0, self._sum - tokens)

    def requests(self, now: float) -> float:
        """Return the requests of the last seconds, as an exponential sum."""
        return self._requests * exp((self._updated_at - now) / RATE_SECONDS)

    def rate(self, now: float) -> float:
        """Return tokens per second, averaged over the time since the first request."""
        if self._started_at is None:
            return 0.0
        age = max(MIN_AGE_SECONDS, now - self._started_at)
        return self._sum_at(now) / (RATE_SECONDS * (1 - exp(-age / RATE_SECONDS)))

    def uncorrected_rate(self, now: float) -> float:
        """Return tokens per second, assuming no demand before the first request."""
        return 0.0 if self._started_at is None else self._sum_at(now) / RATE_SECONDS

    def _decay(self, now: float) -> None:
        self._requests = self.requests(now)
        self._sum = self._sum_at(now)
        self._updated_at = now

    def _sum_at(self, now: float) -> float:
        return self._sum * exp((self._updated_at - now) / RATE_SECONDS)


@dataclass(frozen=True, slots=True)
class Change:
    """A new row to write.

    :param ceiling: the ceiling of the writing incarnation in this row
    """

    row: AllotmentRow
    ceiling: int


@dataclass(frozen=True, slots=True)
class _Closing:
    """A removal of this incarnation's entry that was sent to the table.

    :param spent: tokens that it counts as spent by a closed incarnation
    :param used: tokens of these that requests used
    """

    spent: int
    used: int


@dataclass(slots=True)
class Account:
    """Tokens that one incarnation of an instance may spend, has spent and has reserved.

    :param holder: name of the instance
    :param boot: the incarnation
    :param prepaid: limit of the workspace's budget in tokens
    :param ceiling: maximum number of tokens that may be spent here; no higher than the
        row's ceiling for this incarnation, unless more is already spent or reserved
    :param spent: tokens used and lent, less those borrowed; negative if more were
        borrowed. ``spent - used`` is the balance of loans
    :param used: tokens used by completed requests
    :param reserved: tokens reserved for running requests
    :param version: version of ``row``, ``None`` if it was never read
    :param row: the row as last read or written
    :param requested: tokens that a waiting request needs, 0 if none waits
    :param policy: the settings that plans use
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
    # A lower ceiling whose write has not been confirmed.
    _pending_ceiling: int | None = None
    # A removal of the entry whose outcome is not known.
    _closing: _Closing | None = None

    @property
    def unspent(self) -> int:
        """Tokens that may be reserved now; if negative, nothing can be reserved."""
        return self.ceiling - self.spent - self.reserved

    def reserve(self, tokens: int) -> RefusalReason | None:
        """Reserve tokens before a request is sent.

        :returns: the reason for a refusal, ``None`` if the tokens are reserved
        """
        withheld = self._withheld_from(tokens)
        if tokens <= self.unspent and tokens + withheld <= self.remaining():
            self.reserved += tokens
            return None
        if self.version is None:
            return RefusalReason.UNKNOWN
        if self._known_spent() + tokens + withheld > self.prepaid:
            return RefusalReason.EXHAUSTED
        return (
            RefusalReason.KEPT_FOR_SMALL
            if tokens <= self.unspent
            else RefusalReason.ELSEWHERE
        )

    def settle(self, reserved: int, used: int) -> None:
        """Release a reservation and count the tokens used, at most those reserved."""
        self.reserved -= reserved
        self.spent += min(reserved, used)
        self.used += min(reserved, used)

    def lend(self, tokens: int) -> int:
        """Count up to this many unspent tokens as spent, so that a peer may spend them.

        :returns: tokens lent
        """
        lent = max(0, min(tokens, self.unspent))
        self.spent += lent
        return lent

    def lend_headroom(self, tokens: int, headroom: int) -> int:
        """Lend tokens that a peer needs now, and some headroom.

        :param tokens: tokens that the peer needs now
        :param headroom: further tokens that it requests; it gets at most a fraction of
            those that remain unspent here
        :returns: tokens lent
        """
        spare = max(0, self.unspent - tokens)
        return self.lend(tokens + min(headroom, int(LOAN_HEADROOM_FRACTION * spare)))

    def receive_loan(self, tokens: int) -> None:
        """Add tokens that a peer has counted as spent.

        ``spent`` may become negative.
        """
        self.spent -= tokens

    def read(self, row: AllotmentRow, version: int) -> None:
        """Update the account from the row at a version; ignore older versions.

        A stored ceiling above the known one comes from a write whose response was lost.
        It is used unless a write that lowers it may still take effect.
        """
        if self.version is not None and version < self.version:
            return
        entry = row.find(self.holder, self.boot)
        if self._closing is not None and version != self.version:
            self._end_closing(closed=entry is None)
        self.row = row
        self.version = version
        stored = 0 if entry is None else entry.ceiling
        if self._closing is not None:
            stored = min(stored, self._closing.spent)
        if self._pending_ceiling is not None:
            stored = min(stored, self._pending_ceiling)
        self.ceiling = max(stored, self.spent + self.reserved)

    def propose(self, headroom: int, now: float) -> Change:
        """Return a change that gives this incarnation a new entry in the row.

        The ceiling may be negative if more tokens were borrowed than used and lent.

        :param headroom: tokens beyond those spent and reserved
        """
        ceiling = self.spent + self.reserved + headroom
        rate = int(self.demand.rate(now))
        lent = self.spent - self.used
        entry = Allotment(self.boot, ceiling, self.used, rate, lent)
        return Change(self.row.with_entry(self.holder, entry), ceiling)

    def begin_write(self, change: Change) -> None:
        """Apply a lower ceiling before the change is written."""
        if change.ceiling < self.ceiling:
            self.ceiling = change.ceiling
            self._pending_ceiling = change.ceiling

    def confirm_write(self, change: Change, version: int) -> None:
        """Apply a change that was written."""
        self.row = change.row
        self.version = version
        self.ceiling = change.ceiling
        self._pending_ceiling = None
        self._closing = None

    def close(self) -> AllotmentRow:
        """Stop reservations; return the row without the entry of this incarnation.

        Nothing may be reserved. Until the outcome is known, only tokens that are
        borrowed later can be reserved.
        """
        self.ceiling = self.spent
        self._closing = _Closing(self.spent, self.used)
        return self.row.without(self.holder, self.spent, self.used)

    def confirm_close(self, row: AllotmentRow, version: int) -> None:
        """Continue without an entry after the row was written without it."""
        self._end_closing(closed=True)
        self.row = row
        self.version = version

    def reopen(self) -> None:
        """Resume after a close that was certainly not written."""
        self._closing = None
        entry = self.row.find(self.holder, self.boot)
        if entry is not None and self._pending_ceiling is None:
            self.ceiling = entry.ceiling

    def _end_closing(self, *, closed: bool) -> None:
        """Record the outcome of a removal of the entry.

        The row counts the tokens of a removed entry as those of a closed incarnation,
        so the account continues without them.
        """
        closing, self._closing = self._closing, None
        if not closed or closing is None:
            return
        self.ceiling -= closing.spent
        self.spent -= closing.spent
        self.used -= closing.used
        self._pending_ceiling = None

    def describe(self) -> dict[str, int]:
        """Return the figures of the account, for operators."""
        others = self.others().values()
        return {
            "prepaid": self.prepaid,
            "used": self.used,
            "used_by_all": self._known_spent(),
            "reserved": self.reserved,
            "ceiling": self.ceiling,
            "unspent": self.unspent,
            "lent": self.spent - self.used,
            "held_by_others": sum(allotment.unspent for allotment in others),
            "unaccounted": self.row.unaccounted,
            "free": self.free(),
            "left": self.remaining(),
            "row": self.version or 0,
        }

    def free(self) -> int:
        """Return the tokens that no instance holds, by the row as last read."""
        return self.prepaid - self.row.committed

    @property
    def has_pending_decrease(self) -> bool:
        """Whether a lower ceiling is applied that may not be in the row yet.

        This includes the removal of the entry.
        """
        return self._pending_ceiling is not None or self._closing is not None

    @property
    def earlier_incarnation(self) -> Allotment | None:
        """The entry of an earlier incarnation of this instance, if the row has one."""
        entry = self.row.holders.get(self.holder)
        return None if entry is None or entry.boot == self.boot else entry

    def max_headroom(self) -> int:
        """Return the largest headroom that the row can grant this instance."""
        entry = self.row.find(self.holder, self.boot)
        stored = 0 if entry is None else entry.ceiling
        return max(0, self.free() + stored - self.spent - self.reserved)

    def remaining(self) -> int:
        """Return the tokens that the workspace may still spend, as known here.

        These are the free tokens, those unspent here and the unspent ones of other
        allotments, without tokens on loan to other instances and those of an earlier
        incarnation of this one. The entries of others may be stale, so the result is
        bounded by the tokens that are not known to be used.
        """
        own = self.row.holders.get(self.holder)
        own_part = 0 if own is None else own.spent + own.lent
        others = self.row.spent_or_lent - own_part
        reachable = self.prepaid - self.row.closed - others - self._earlier_ceiling
        unused = self.prepaid - self._known_spent()
        return min(reachable - self.spent, unused) - self.reserved

    @property
    def _earlier_ceiling(self) -> int:
        """Tokens that an earlier incarnation of this instance may have spent."""
        earlier = self.earlier_incarnation
        return 0 if earlier is None else earlier.ceiling

    @property
    def withheld(self) -> int:
        """Tokens that only small requests may use."""
        return int(self.policy.last_part * self.prepaid)

    def is_small(self, tokens: int) -> bool:
        """Return whether a request may use the tokens withheld from larger ones."""
        by_budget = SMALL_REQUEST_FRACTION * self.prepaid
        return tokens <= max(by_budget, SMALL_OF_LARGEST_FRACTION * self.demand.largest)

    def _withheld_from(self, tokens: int) -> int:
        """Return the tokens that a request of this size may not use."""
        return 0 if self.is_small(tokens) else self.withheld

    def _known_spent(self) -> int:
        """Return the tokens used by all instances, as known here."""
        own = self.row.find(self.holder, self.boot)
        known = 0 if own is None else own.spent
        return self.row.known_spent - known + self.used

    def rate_elsewhere(self) -> int:
        """Return the tokens requested per second at all other instances."""
        own = self.row.holders.get(self.holder)
        return self.row.rate - (0 if own is None else own.rate)

    def count_others(self) -> int:
        """Return the number of other instances with an entry in the row."""
        return len(self.row.holders) - (self.holder in self.row.holders)

    def others(self) -> Mapping[str, Allotment]:
        """Return the entries of the other instances."""
        return {
            name: allotment
            for name, allotment in self.row.holders.items()
            if name != self.holder
        }

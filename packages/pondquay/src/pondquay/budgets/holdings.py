"""A grant in the hands of its holder, and the attempts that draw on it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from pondquay.billing.bills import make_bill
from pondquay.budgets.messages import Intent

if TYPE_CHECKING:
    from collections.abc import Iterator

    from pondquay.billing.bills import Bill
    from pondquay.names import AttemptId, GrantId, InstanceId, RequestName


class HoldingState(StrEnum):
    """What a grant can still be used for, as its holder knows it.

    ``OPENING``: asked for, outcome not known; ``OPEN``: may be drawn on;
    ``CLOSING``: never drawn on again, not yet closed in the table;
    ``CLOSED``: closed in the table, ends of its attempts may still come.
    """

    OPENING = "opening"
    OPEN = "open"
    CLOSING = "closing"
    CLOSED = "closed"


class AttemptState(StrEnum):
    """How far an attempt has come."""

    INTENDED = "intended"
    ACKNOWLEDGED = "acknowledged"
    SETTLED = "settled"


@dataclass(slots=True)
class Attempt:
    """One attempt, from its reservation until its end is in the table.

    :param billed: tokens to bill, ``None`` while not known or if not billed
    :param witnessed: the witness keeps the end of this attempt
    :param flushed: the table has the bill of this attempt
    """

    id: AttemptId
    request: RequestName
    reserve: int
    upstream: str
    stream: str
    boot: str = ""
    state: AttemptState = AttemptState.INTENDED
    billed: int | None = None
    witnessed: bool = False
    flushed: bool = False

    @property
    def intent(self) -> Intent:
        """What the witness is told of this attempt."""
        return Intent(
            self.id.seq,
            self.request,
            self.reserve,
            self.upstream,
            self.stream,
            self.boot,
        )

    @property
    def bill(self) -> Bill | None:
        """The bill, if there is one."""
        if self.billed is None:
            return None
        return make_bill(self.request, self.id, self.billed)


@dataclass(slots=True)
class Holding:
    """A grant in the hands of its holder.

    :param amount: tokens granted; taken down before tokens are given back
    :param spent: tokens used for good
    :param demand: tokens an hour that the row says are spent here
    :param reported: tokens that the row says are spent for good
    :param reserved: tokens kept for attempts that have not ended
    :param attempts: attempts whose end is not yet in the table, by sequence
    :param unsent: those of them that the witness is still to be told of
    """

    id: GrantId
    workspace: str
    witness: InstanceId | None
    amount: int = 0
    spent: int = 0
    next_seq: int = 1
    demand: int = 0
    reported: int = 0
    reserved: int = 0
    state: HoldingState = HoldingState.OPENING
    attempts: dict[int, Attempt] = field(default_factory=dict)
    unsent: dict[int, Attempt] = field(default_factory=dict)

    @property
    def free(self) -> int:
        """Tokens that can still be reserved."""
        if self.state is not HoldingState.OPEN:
            return 0
        return max(0, self.amount - self.spent - self.reserved)

    def running(self) -> Iterator[Attempt]:
        """Return the attempts that have not ended."""
        return (
            one
            for one in self.attempts.values()
            if one.state is not AttemptState.SETTLED
        )

    def unanswered(self) -> dict[int, Attempt]:
        """Return the attempts whose present state the witness has not confirmed."""
        return {
            seq: one
            for seq, one in self.attempts.items()
            if one.state is AttemptState.INTENDED
            or (one.state is AttemptState.SETTLED and not one.witnessed)
        }

    def settled(self) -> Iterator[Attempt]:
        """Return the attempts that have ended and are not in the table."""
        return (
            one for one in self.attempts.values() if one.state is AttemptState.SETTLED
        )

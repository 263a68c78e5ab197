"""The holder's state of a grant and of the attempts that use it."""

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
    """The state of a grant as known to its holder.

    ``OPENING``: requested, outcome unknown; ``OPEN``: usable;
    ``CLOSING``: no longer used, but not yet closed in the table;
    ``CLOSED``: closed in the table, but its attempts may still be running.
    """

    OPENING = "opening"
    OPEN = "open"
    CLOSING = "closing"
    CLOSED = "closed"


class AttemptState(StrEnum):
    """The progress of an attempt.

    ``INTENDED``: reserved, not yet acknowledged by the witness; ``ACKNOWLEDGED``: may
    run; ``SETTLED``: its outcome is known.
    """

    INTENDED = "intended"
    ACKNOWLEDGED = "acknowledged"
    SETTLED = "settled"


@dataclass(slots=True)
class Attempt:
    """An attempt for which a holder reserved tokens.

    :param reserve: maximum cost of the attempt in tokens
    :param boot: the incarnation of the upstream
    :param billed: tokens to bill, ``None`` if unknown or not billed
    :param witnessed: whether the witness has confirmed the outcome
    :param flushed: whether the bill, if any, is in the table
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
        """The intent that is sent to the witness."""
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
        """The bill, ``None`` if the attempt is not billed."""
        if self.billed is None:
            return None
        return make_bill(self.request, self.id, self.billed)


@dataclass(slots=True)
class Holding:
    """A grant with its attempts, as known to its holder.

    :param amount: tokens granted; reduced before tokens are returned
    :param spent: tokens billed
    :param next_seq: sequence number of the next attempt
    :param demand: tokens spent per hour, as stored in the row
    :param reported: tokens billed, as stored in the row
    :param reserved: tokens reserved for running attempts
    :param attempts: attempts that are not finished, by sequence number; a finished one
        is settled, flushed and, if the grant has a witness, witnessed
    :param unsent: attempts whose current state is not yet sent to the witness
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
        """Return the attempts that are not settled."""
        return (
            attempt
            for attempt in self.attempts.values()
            if attempt.state is not AttemptState.SETTLED
        )

    def unconfirmed(self) -> dict[int, Attempt]:
        """Return the attempts whose current state the witness has not confirmed."""
        return {
            seq: attempt
            for seq, attempt in self.attempts.items()
            if attempt.state is AttemptState.INTENDED
            or (attempt.state is AttemptState.SETTLED and not attempt.witnessed)
        }

    def settled(self) -> Iterator[Attempt]:
        """Return the settled attempts that have not been dropped."""
        return (
            attempt
            for attempt in self.attempts.values()
            if attempt.state is AttemptState.SETTLED
        )

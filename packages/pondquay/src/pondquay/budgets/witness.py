"""The witness's side of grants: what other instances may have dispatched.

A witness keeps every attempt it has acknowledged until it knows its end. Once it has
sealed a grant it acknowledges nothing more, so its list holds all that the holder can
ever dispatch, however long the holder was paused.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pondquay.billing.bills import make_bill
from pondquay.budgets.closings import Closing
from pondquay.budgets.messages import (
    Acknowledge,
    OpenAttempt,
    Refuse,
    Settled,
    SettleRefused,
)
from pondquay.budgets.rows import HeldIntent
from pondquay.names import AttemptId, GrantId, InstanceId, RequestName

if TYPE_CHECKING:
    from collections.abc import Iterator

    from pondquay.billing.bills import Bill
    from pondquay.budgets.messages import (
        Flushed,
        Forget,
        HolderMessage,
        Intend,
        Intent,
        Settle,
        Settlement,
        WitnessMessage,
    )

MAX_GRANTS = 50_000
MAX_OPEN = 10_000


@dataclass(slots=True)
class WitnessedGrant:
    """What a witness knows of one grant.

    :param open: attempts without a known end, by sequence
    :param bills: bills that may not be in the table yet, by sequence
    :param ended: sequences of all attempts that ended, so that a message that comes
        twice or late changes nothing
    :param floor: every sequence up to this one has ended
    :param spent: tokens used for good by the attempts that ended
    """

    id: GrantId
    workspace: str
    sealed: bool = False
    open: dict[int, Intent] = field(default_factory=dict)
    bills: dict[int, Bill] = field(default_factory=dict)
    ended: set[int] = field(default_factory=set)
    floor: int = 0
    spent: int = 0

    def has_ended(self, seq: int) -> bool:
        """Tell whether the end of an attempt is known."""
        return seq <= self.floor or seq in self.ended

    def end(self, seq: int) -> None:
        """Note that the end of an attempt is known."""
        self.open.pop(seq, None)
        self.ended.add(seq)
        while self.floor + 1 in self.ended:
            self.floor += 1
            self.ended.discard(self.floor)


class Witness:
    """All grants of other instances that one instance witnesses.

    :param max_grants: grants kept at most; further ones are refused
    :param max_open: open attempts kept at most for one grant
    """

    def __init__(self, max_grants: int = MAX_GRANTS, max_open: int = MAX_OPEN) -> None:
        self.grants: dict[GrantId, WitnessedGrant] = {}
        self._highest: dict[InstanceId, int] = {}
        self._max_grants = max_grants
        self._max_open = max_open

    def receive(self, message: HolderMessage) -> WitnessMessage | None:
        """Take in a holder's message and return the answer to it, if it has one."""
        match message.kind:
            case "intend":
                return self._receive_intents(message)
            case "settle":
                return self._receive_settlements(message)
            case "flushed":
                self._receive_flushed(message)
            case _:
                self._receive_forget(message)
        return None

    def _receive_intents(self, message: Intend) -> WitnessMessage:
        grant = self._open_grant(message.grant, message.workspace)
        if grant is None or grant.sealed:
            return Refuse(message.grant)
        if len(grant.open) + len(message.intents) > self._max_open:
            return Refuse(message.grant)
        for intent in message.intents:
            if not grant.has_ended(intent.seq):
                grant.open[intent.seq] = intent
        return Acknowledge(message.grant, tuple(one.seq for one in message.intents))

    def _open_grant(self, grant_id: GrantId, workspace: str) -> WitnessedGrant | None:
        """Return a grant, opening it if its number is new from this holder.

        A number that is not new and not open was sealed here, or came out of order:
        the holder then closes that grant itself.
        """
        grant = self.grants.get(grant_id)
        if grant is not None:
            return grant
        if grant_id.number <= self._highest.get(grant_id.holder, 0):
            return None
        if len(self.grants) >= self._max_grants:
            return None
        self._highest[grant_id.holder] = grant_id.number
        grant = WitnessedGrant(grant_id, workspace)
        self.grants[grant_id] = grant
        return grant

    def _receive_settlements(self, message: Settle) -> WitnessMessage:
        seqs = tuple(one.seq for one in message.settlements)
        grant = self.grants.get(message.grant)
        if grant is None:
            return SettleRefused(message.grant, seqs)
        for settlement in message.settlements:
            self._settle(grant, settlement)
        return Settled(message.grant, seqs)

    def _settle(self, grant: WitnessedGrant, settlement: Settlement) -> None:
        if grant.has_ended(settlement.seq):
            return
        grant.end(settlement.seq)
        if settlement.billed is None:
            return
        grant.spent += settlement.billed
        attempt = AttemptId(grant.id, settlement.seq)
        grant.bills[settlement.seq] = make_bill(
            settlement.request, attempt, settlement.billed
        )

    def _receive_flushed(self, message: Flushed) -> None:
        grant = self.grants.get(message.grant)
        if grant is None or grant.sealed:
            # A sealed grant's row may hold the attempt until its bill is resolved.
            return
        for seq in message.seqs:
            grant.bills.pop(seq, None)

    def _receive_forget(self, message: Forget) -> None:
        self.grants.pop(message.grant, None)

    def seal(self, grant_id: GrantId, workspace: str) -> WitnessedGrant:
        """Acknowledge nothing more for a grant; one never heard of is noted as well."""
        highest = self._highest.get(grant_id.holder, 0)
        self._highest[grant_id.holder] = max(highest, grant_id.number)
        grant = self.grants.setdefault(grant_id, WitnessedGrant(grant_id, workspace))
        grant.sealed = True
        return grant

    def describe_close(self, grant: WitnessedGrant, segment: str) -> Closing:
        """Return what is known of a sealed grant, to close it in the table."""
        held = {
            seq: HeldIntent(
                str(intent.request),
                intent.reserve,
                intent.upstream,
                intent.stream,
                intent.boot,
            )
            for seq, intent in grant.open.items()
        }
        bills = tuple(grant.bills.values())
        return Closing(grant.workspace, grant.id, grant.spent, held, bills, segment)

    def resolve(
        self, attempt: AttemptId, request: RequestName, billed: int | None
    ) -> None:
        """Note the end of an attempt as its upstream told it."""
        grant = self.grants.get(attempt.grant)
        if grant is None or grant.has_ended(attempt.seq):
            return
        grant.end(attempt.seq)
        if billed is not None:
            grant.spent += billed
            grant.bills[attempt.seq] = make_bill(request, attempt, billed)

    def drop(self, grant: GrantId) -> None:
        """Forget a grant of which everything is in the table.

        Its number stays known, so it is never opened again.
        """
        self.grants.pop(grant, None)

    def holders(self) -> set[InstanceId]:
        """Return the instances whose grants are witnessed here."""
        return {grant.holder for grant in self.grants}

    def of_holder(self, holder: InstanceId) -> list[WitnessedGrant]:
        """Return the grants of one holder."""
        return [one for one in self.grants.values() if one.id.holder == holder]

    def find_request(self, request: RequestName) -> list[OpenAttempt]:
        """Return the open attempts of a request, the newest last."""
        return [one for one in self._open_attempts() if one.intent.request == request]

    def _open_attempts(self) -> Iterator[OpenAttempt]:
        for grant in self.grants.values():
            for intent in grant.open.values():
                yield OpenAttempt(grant.id, grant.workspace, intent, grant.id.holder)

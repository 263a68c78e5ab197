"""The holder's side of grants: what an instance may still spend, and on what.

A holder reserves the most that an attempt can cost, tells the witness, and makes the
attempt only after the witness has acknowledged it. See ``docs/design/budgets.md``.
"""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from pondquay.budgets.closings import Closing
from pondquay.budgets.holdings import Attempt, AttemptState, Holding, HoldingState
from pondquay.budgets.messages import Flushed, Forget, Intend, Settle
from pondquay.budgets.messages import Settlement as SettlementMessage
from pondquay.budgets.rows import HeldIntent
from pondquay.errors import InvariantError
from pondquay.names import AttemptId, GrantId, InstanceId, RequestName, name_stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay.budgets.messages import HolderMessage


class Holder:
    """All grants that one instance holds.

    :param instance: the instance, in this one of its lives
    """

    def __init__(self, instance: InstanceId) -> None:
        self.instance = instance
        self.holdings: dict[GrantId, Holding] = {}
        self._next_number = 1
        # Ended attempts whose bills are not known to be in the table, oldest first.
        self._unflushed: dict[AttemptId, Attempt] = {}
        # Ended attempts that need nothing more while their grant is open.
        self._finished: dict[AttemptId, Attempt] = {}

    def open(self, workspace: str, witness: InstanceId | None) -> Holding:
        """Begin a grant; it can be drawn on once the table has granted it."""
        grant = GrantId(self.instance, self._next_number)
        self._next_number += 1
        holding = Holding(grant, workspace, witness)
        self.holdings[grant] = holding
        return holding

    def of_workspace(self, workspace: str) -> list[Holding]:
        """Return the grants of one workspace, in the order they were begun."""
        return [one for one in self.holdings.values() if one.workspace == workspace]

    def count_open(self) -> int:
        """Return how many grants may be drawn on."""
        return sum(one.state is HoldingState.OPEN for one in self.holdings.values())

    def list_holdings(self) -> list[Holding]:
        """Return all grants as they are now, so that some may go meanwhile."""
        return list(self.holdings.values())

    def set_amount(self, grant: GrantId, amount: int, *, lost: bool = False) -> None:
        """Take over the amount that the table holds for a grant.

        :param lost: the grant no longer stands open in the table
        """
        holding = self.holdings[grant]
        if lost and holding.state in (HoldingState.OPENING, HoldingState.OPEN):
            holding.state = HoldingState.CLOSING
            return
        holding.amount = amount
        if holding.state is HoldingState.OPENING and amount > 0:
            holding.state = HoldingState.OPEN

    def drop_unopened(self, grant: GrantId) -> None:
        """Forget a grant of which the table granted nothing, and never will."""
        if self.holdings[grant].state is HoldingState.OPENING:
            del self.holdings[grant]

    def shrink(self, grant: GrantId, tokens: int) -> int:
        """Stop counting on tokens that will be given back; return how many."""
        holding = self.holdings[grant]
        given = min(tokens, holding.free)
        holding.amount -= given
        return given

    def reserve(
        self,
        request: RequestName,
        tokens: int,
        upstream: str,
        usable: Callable[[InstanceId | None], bool],
        boot: str = "",
    ) -> Attempt | None:
        """Reserve tokens for one attempt, from the fullest grant that can bear them.

        :param tokens: the most that the attempt can cost
        :param usable: tells whether a witness can be reached
        :param boot: the life of the upstream
        :returns: the attempt, ``None`` if no grant has so much left
        """
        fitting = [
            one
            for one in self.of_workspace(request.workspace)
            if one.free >= tokens and usable(one.witness)
        ]
        if not fitting:
            return None
        holding = max(fitting, key=lambda one: one.free)
        attempt_id = AttemptId(holding.id, holding.next_seq)
        holding.next_seq += 1
        stream = name_stream(request, attempt_id)
        attempt = Attempt(attempt_id, request, tokens, upstream, stream, boot)
        if holding.witness is None:
            attempt.state = AttemptState.ACKNOWLEDGED
        else:
            holding.unsent[attempt_id.seq] = attempt
        holding.attempts[attempt_id.seq] = attempt
        holding.reserved += tokens
        return attempt

    def find(self, attempt: AttemptId) -> Attempt | None:
        """Return an attempt whose end is not in the table yet."""
        holding = self.holdings.get(attempt.grant)
        return None if holding is None else holding.attempts.get(attempt.seq)

    def acknowledge(self, grant: GrantId, seqs: tuple[int, ...]) -> list[Attempt]:
        """Note that the witness knows of attempts; return those that may now run."""
        holding = self.holdings.get(grant)
        if holding is None or holding.state is not HoldingState.OPEN:
            return []
        ready = []
        for seq in seqs:
            attempt = holding.attempts.get(seq)
            if attempt is not None and attempt.state is AttemptState.INTENDED:
                attempt.state = AttemptState.ACKNOWLEDGED
                ready.append(attempt)
        return ready

    def refuse(self, grant: GrantId) -> list[Attempt]:
        """Note that the witness sealed the grant; return attempts that will not run.

        They were never acknowledged, so nothing of them was or will be dispatched.
        """
        holding = self.holdings.get(grant)
        if holding is None:
            return []
        return self.begin_close(holding)

    def begin_close(self, holding: Holding) -> list[Attempt]:
        """Never draw on a grant again; return attempts that will not run."""
        if holding.state in (HoldingState.OPENING, HoldingState.OPEN):
            holding.state = HoldingState.CLOSING
        refused = [
            one
            for one in holding.attempts.values()
            if one.state is AttemptState.INTENDED
        ]
        for attempt in refused:
            self.settle(attempt.id, None)
        return refused

    def settle(self, attempt_id: AttemptId, billed: int | None) -> int | None:
        """Note how an attempt ended and free what it did not use.

        :param billed: tokens to bill, ``None`` if the attempt is not billed
        :returns: what is billed: never more than was reserved
        :raises InvariantError: if an attempt that was never acknowledged is billed
        """
        attempt = self.find(attempt_id)
        if attempt is None or attempt.state is AttemptState.SETTLED:
            return None
        if attempt.state is AttemptState.INTENDED and billed is not None:
            raise InvariantError(f"attempt {attempt_id} ran without its witness")
        holding = self.holdings[attempt_id.grant]
        attempt.state = AttemptState.SETTLED
        holding.reserved -= attempt.reserve
        if billed is not None:
            attempt.billed = min(billed, attempt.reserve)
            holding.spent += attempt.billed
        if holding.witness is not None:
            holding.unsent[attempt_id.seq] = attempt
        self._unflushed[attempt_id] = attempt
        return attempt.billed

    def take_messages(self, witness: InstanceId) -> list[HolderMessage]:
        """Return what a witness has not been told since the last connection."""
        messages: list[HolderMessage] = []
        for holding in self.holdings.values():
            if holding.witness == witness:
                messages.extend(_take_holding_messages(holding))
        return messages

    def requeue_unconfirmed(self, witness: InstanceId) -> None:
        """Send everything unanswered again on the next connection to a witness."""
        for holding in self.holdings.values():
            if holding.witness == witness:
                holding.unsent.update(holding.unanswered())

    def note_witnessed(self, grant: GrantId, seqs: tuple[int, ...]) -> list[Attempt]:
        """Note that the witness keeps ends of attempts; return those attempts."""
        holding = self.holdings.get(grant)
        if holding is None:
            return []
        kept = []
        for seq in seqs:
            attempt = holding.attempts.get(seq)
            if attempt is not None and attempt.state is AttemptState.SETTLED:
                attempt.witnessed = True
                kept.append(attempt)
                self._note_if_finished(attempt)
        return kept

    def unflushed(self, most: int) -> list[Attempt]:
        """Return ended attempts whose bills are not yet known to be in the table."""
        return list(islice(self._unflushed.values(), most))

    def list_unwitnessed(self) -> set[AttemptId]:
        """Return ended attempts whose bill is neither in the table nor at a witness."""
        return {one.id for one in self._unflushed.values() if not one.witnessed}

    def note_flushed(self, attempts: list[Attempt]) -> None:
        """Note that the bills of attempts are in the table."""
        for attempt in attempts:
            attempt.flushed = True
            self._unflushed.pop(attempt.id, None)
            self._note_if_finished(attempt)

    def _note_if_finished(self, attempt: Attempt) -> None:
        holding = self.holdings.get(attempt.id.grant)
        if holding is None or not attempt.flushed:
            return
        if attempt.witnessed or holding.witness is None:
            self._finished[attempt.id] = attempt

    def take_finished(self) -> list[tuple[InstanceId, Flushed]]:
        """Drop attempts that need nothing more; return word for their witnesses.

        What ended while its grant is being closed may stand in the grant's row, so it
        is kept until it is settled there.
        """
        finished, self._finished = self._finished, {}
        by_grant: dict[GrantId, list[int]] = {}
        for attempt_id in finished:
            holding = self.holdings.get(attempt_id.grant)
            if holding is None or holding.state is not HoldingState.OPEN:
                continue
            holding.attempts.pop(attempt_id.seq, None)
            by_grant.setdefault(attempt_id.grant, []).append(attempt_id.seq)
        return [
            (witness, Flushed(grant, tuple(seqs)))
            for grant, seqs in by_grant.items()
            if (witness := self.holdings[grant].witness) is not None
        ]

    def describe_close(self, holding: Holding, segment: str) -> Closing:
        """Return what is known of a grant that is about to be closed in the table."""
        held = {
            one.id.seq: HeldIntent(
                str(one.request), one.reserve, one.upstream, one.stream, one.boot
            )
            for one in holding.running()
        }
        bills = tuple(
            one.bill
            for one in holding.settled()
            if one.bill is not None and not one.flushed
        )
        return Closing(
            holding.workspace, holding.id, holding.spent, held, bills, segment
        )

    def note_closed(self, holding: Holding, written: list[Attempt]) -> Forget | None:
        """Note that a grant is closed and that the ends given are in the table.

        :returns: word for the witness, if the grant has one
        """
        holding.state = HoldingState.CLOSED
        for attempt in written:
            holding.attempts.pop(attempt.id.seq, None)
            holding.unsent.pop(attempt.id.seq, None)
            self._unflushed.pop(attempt.id, None)
        self._drop_if_done(holding)
        return None if holding.witness is None else Forget(holding.id)

    def _drop_if_done(self, holding: Holding) -> None:
        if holding.state is HoldingState.CLOSED and not holding.attempts:
            self.holdings.pop(holding.id, None)


def _take_holding_messages(holding: Holding) -> list[HolderMessage]:
    unsent, holding.unsent = holding.unsent, {}
    intents = tuple(
        one.intent for one in unsent.values() if one.state is AttemptState.INTENDED
    )
    settlements = tuple(
        SettlementMessage(one.id.seq, one.request, one.billed)
        for one in unsent.values()
        if one.state is AttemptState.SETTLED
    )
    messages: list[HolderMessage] = []
    if intents:
        messages.append(Intend(holding.id, holding.workspace, intents))
    if settlements:
        messages.append(Settle(holding.id, holding.workspace, settlements))
    return messages

"""The holder's side of grants: its unspent tokens and its attempts.

A holder reserves the maximum cost of an attempt, reports the attempt to the witness and
starts it only after the witness has acknowledged it. See
``docs/design/budgets.md``.
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

    :param instance: this incarnation of the instance
    """

    def __init__(self, instance: InstanceId) -> None:
        self.instance = instance
        self.holdings: dict[GrantId, Holding] = {}
        self._next_number = 1
        # Settled attempts whose bills may not be in the table yet, oldest first.
        self._unflushed: dict[AttemptId, Attempt] = {}
        # Settled attempts that can be dropped while their grant is open.
        self._finished: dict[AttemptId, Attempt] = {}

    def open(self, workspace: str, witness: InstanceId | None) -> Holding:
        """Create a grant; it can be used once the table has granted tokens for it."""
        grant = GrantId(self.instance, self._next_number)
        self._next_number += 1
        holding = Holding(grant, workspace, witness)
        self.holdings[grant] = holding
        return holding

    def of_workspace(self, workspace: str) -> list[Holding]:
        """Return the grants of one workspace in the order of their creation."""
        return [
            holding
            for holding in self.holdings.values()
            if holding.workspace == workspace
        ]

    def count_open(self) -> int:
        """Return the number of open grants."""
        return sum(
            holding.state is HoldingState.OPEN for holding in self.holdings.values()
        )

    def list_holdings(self) -> list[Holding]:
        """Return a copy of the list of grants; a loop over it can drop grants."""
        return list(self.holdings.values())

    def set_amount(self, grant: GrantId, amount: int, *, lost: bool = False) -> None:
        """Apply the amount of a grant in the table.

        :param lost: whether the grant is no longer open in the table; its use is then
            stopped
        """
        holding = self.holdings[grant]
        if lost and holding.state in (HoldingState.OPENING, HoldingState.OPEN):
            holding.state = HoldingState.CLOSING
            return
        holding.amount = amount
        if holding.state is HoldingState.OPENING and amount > 0:
            holding.state = HoldingState.OPEN

    def drop_unopened(self, grant: GrantId) -> None:
        """Drop a grant that is not in the table and never will be."""
        if self.holdings[grant].state is HoldingState.OPENING:
            del self.holdings[grant]

    def shrink(self, grant: GrantId, tokens: int) -> int:
        """Deduct tokens from a grant before they are returned; return how many."""
        holding = self.holdings[grant]
        returned = min(tokens, holding.free)
        holding.amount -= returned
        return returned

    def reserve(
        self,
        request: RequestName,
        tokens: int,
        upstream: str,
        usable: Callable[[InstanceId | None], bool],
        boot: str = "",
    ) -> Attempt | None:
        """Reserve tokens for an attempt from the usable grant with the most free ones.

        :param tokens: maximum cost of the attempt
        :param usable: returns whether a grant with this witness can be used
        :param boot: the incarnation of the upstream
        :returns: the attempt, ``None`` if no grant has enough free tokens
        """
        fitting = [
            candidate
            for candidate in self.of_workspace(request.workspace)
            if candidate.free >= tokens and usable(candidate.witness)
        ]
        if not fitting:
            return None
        holding = max(fitting, key=lambda candidate: candidate.free)
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
        """Return an attempt, ``None`` if it is unknown or has been dropped."""
        holding = self.holdings.get(attempt.grant)
        return None if holding is None else holding.attempts.get(attempt.seq)

    def acknowledge(self, grant: GrantId, seqs: tuple[int, ...]) -> list[Attempt]:
        """Record acknowledgements of the witness; return attempts that may now run."""
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
        """Record that the witness refused a grant; return attempts that will not run.

        They were never acknowledged, so they are never dispatched.
        """
        holding = self.holdings.get(grant)
        if holding is None:
            return []
        return self.begin_close(holding)

    def begin_close(self, holding: Holding) -> list[Attempt]:
        """Stop the use of a grant; return attempts that will not run."""
        if holding.state in (HoldingState.OPENING, HoldingState.OPEN):
            holding.state = HoldingState.CLOSING
        refused = [
            attempt
            for attempt in holding.attempts.values()
            if attempt.state is AttemptState.INTENDED
        ]
        for refused_attempt in refused:
            self.settle(refused_attempt.id, None)
        return refused

    def settle(self, attempt_id: AttemptId, billed: int | None) -> int | None:
        """Record how an attempt ended and release its unused tokens.

        :param billed: tokens to bill, ``None`` if the attempt is not billed
        :returns: the tokens billed, at most those reserved; ``None`` if the attempt is
            not billed, unknown or already settled
        :raises InvariantError: if an attempt that was never acknowledged is billed
        """
        attempt = self.find(attempt_id)
        if attempt is None or attempt.state is AttemptState.SETTLED:
            return None
        if attempt.state is AttemptState.INTENDED and billed is not None:
            raise InvariantError(
                f"attempt {attempt_id} is billed without acknowledgement"
            )
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
        """Return the unsent messages to a witness and mark them as sent."""
        messages: list[HolderMessage] = []
        for holding in self.holdings.values():
            if holding.witness == witness:
                messages.extend(_take_holding_messages(holding))
        return messages

    def requeue_unconfirmed(self, witness: InstanceId) -> None:
        """Queue unconfirmed intents and outcomes to be sent to a witness again."""
        for holding in self.holdings.values():
            if holding.witness == witness:
                holding.unsent.update(holding.unconfirmed())

    def note_witnessed(self, grant: GrantId, seqs: tuple[int, ...]) -> list[Attempt]:
        """Record that the witness has the outcomes of attempts; return the attempts."""
        holding = self.holdings.get(grant)
        if holding is None:
            return []
        witnessed = []
        for seq in seqs:
            attempt = holding.attempts.get(seq)
            if attempt is not None and attempt.state is AttemptState.SETTLED:
                attempt.witnessed = True
                witnessed.append(attempt)
                self._note_if_finished(attempt)
        return witnessed

    def unflushed(self, max_count: int) -> list[Attempt]:
        """Return settled attempts whose bills may not be in the table yet.

        :param max_count: maximum number of attempts to return
        """
        return list(islice(self._unflushed.values(), max_count))

    def list_unwitnessed(self) -> set[AttemptId]:
        """Return the IDs of settled attempts that are neither flushed nor witnessed."""
        return {
            attempt.id for attempt in self._unflushed.values() if not attempt.witnessed
        }

    def note_flushed(self, attempts: list[Attempt]) -> None:
        """Record that the bills of attempts are in the table."""
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
        """Drop finished attempts; return messages for their witnesses.

        An attempt of a grant that is being closed may be held in the grant's row, so it
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
        """Return the state of a grant with which to close it in the table."""
        held = {
            attempt.id.seq: HeldIntent(
                str(attempt.request),
                attempt.reserve,
                attempt.upstream,
                attempt.stream,
                attempt.boot,
            )
            for attempt in holding.running()
        }
        bills = tuple(
            attempt.bill
            for attempt in holding.settled()
            if attempt.bill is not None and not attempt.flushed
        )
        return Closing(
            holding.workspace, holding.id, holding.spent, held, bills, segment
        )

    def note_closed(self, holding: Holding, written: list[Attempt]) -> Forget | None:
        """Record that a grant is closed in the table.

        :param written: attempts whose outcomes are in the table
        :returns: a message for the witness, ``None`` if the grant has no witness
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
        attempt.intent
        for attempt in unsent.values()
        if attempt.state is AttemptState.INTENDED
    )
    settlements = tuple(
        SettlementMessage(attempt.id.seq, attempt.request, attempt.billed)
        for attempt in unsent.values()
        if attempt.state is AttemptState.SETTLED
    )
    messages: list[HolderMessage] = []
    if intents:
        messages.append(Intend(holding.id, holding.workspace, intents))
    if settlements:
        messages.append(Settle(holding.id, holding.workspace, settlements))
    return messages

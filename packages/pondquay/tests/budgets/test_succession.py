"""Tests of closing grants, by their holder and by the witness of one presumed dead."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.billing.fold import fold_segments
from pondquay.budgets.holdings import AttemptState
from pondquay.budgets.messages import Flushed
from pondquay_lab.programs import Fault, run_program

if TYPE_CHECKING:
    from collections.abc import Callable

    from conftest import Pair


def test_no_attempt_of_a_paused_holder_is_acknowledged_after_sealing(
    make_pair: Callable[[int], Pair],
) -> None:
    pair = make_pair(100)
    pair.refill(80)
    assert pair.reserve("k1", 30) is not None
    pair.exchange()
    pair.declare_holder_dead()
    assert pair.budget.granted == 30, "all but the open attempt's tokens are returned"
    late_attempt = pair.reserve("k2", 30)
    pair.exchange()
    assert late_attempt is not None
    assert late_attempt.state is AttemptState.SETTLED
    assert late_attempt.billed is None


def test_a_grant_sealed_before_its_first_attempt_is_never_opened(
    make_pair: Callable[[int], Pair],
) -> None:
    pair = make_pair(100)
    pair.refill(80)
    pair.declare_holder_dead()
    assert pair.budget.granted == 0
    late_attempt = pair.reserve("k1", 30)
    pair.exchange()
    assert late_attempt is not None
    assert late_attempt.state is AttemptState.SETTLED


def test_a_grant_opened_after_the_first_search_is_found(
    make_pair: Callable[[int], Pair],
) -> None:
    pair = make_pair(100)
    pair.declare_holder_dead()
    pair.refill(80)
    pair.declare_holder_dead()
    assert pair.budget.granted == 0


def test_a_flushed_message_keeps_the_bill_of_a_sealed_grant(
    make_pair: Callable[[int], Pair],
) -> None:
    """The row holds the attempt, which would count as not billed without the bill."""
    pair = make_pair(100)
    pair.refill(50)
    attempt = pair.reserve("k1", 50)
    assert attempt is not None
    pair.exchange()
    pair.declare_holder_dead()
    pair.holder.settle(attempt.id, 20)
    pair.exchange()
    pair.witness.receive(Flushed(attempt.id.grant, (attempt.id.seq,)))
    pair.close_sealed()
    assert pair.budget.granted == 20


def test_unused_tokens_of_an_attempt_are_not_returned_twice(
    make_pair: Callable[[int], Pair],
) -> None:
    """The holder returns unused tokens before its witness receives the outcome."""
    pair = make_pair(100)
    pair.refill(25)
    attempt = pair.reserve("k1", 25)
    assert attempt is not None
    pair.exchange()
    pair.holder.settle(attempt.id, 1)
    run_program(pair.manager.return_tokens("captions", 20), pair.table)
    pair.declare_holder_dead()
    pair.witness.resolve(attempt.id, attempt.request, 1)
    pair.close_sealed()
    assert pair.budget.granted == 1


def test_a_close_with_a_lost_response_leaves_nothing_held(
    make_pair: Callable[[int], Pair],
) -> None:
    """An attempt that ends between two tries to close is held in the row."""
    pair = make_pair(100)
    pair.refill(80)
    attempt = pair.reserve("k1", 30)
    assert attempt is not None
    pair.exchange()
    pair.succession.seal(attempt.id.grant, "captions")
    sealed = next(iter(pair.succession.sealed.values()))
    faults = (Fault.NONE, Fault.LOST_AFTER, Fault.LOST_AFTER)
    run_program(pair.succession.close_sealed(sealed), pair.table, faults)
    pair.holder.settle(attempt.id, None)
    pair.exchange()
    pair.close_sealed()
    assert pair.budget.granted == 0
    assert not pair.table.values("grant/")


def test_an_attempt_that_ends_between_two_tries_to_close_is_billed(
    make_pair: Callable[[int], Pair],
) -> None:
    pair = make_pair(100)
    pair.refill(80)
    attempt = pair.reserve("k1", 30)
    assert attempt is not None
    pair.exchange()
    faults = (Fault.NONE, Fault.LOST_AFTER, Fault.LOST_AFTER)
    run_program(pair.manager.close_all(), pair.table, faults)
    pair.holder.settle(attempt.id, 10)
    pair.exchange()
    run_program(pair.manager.flush(), pair.table)
    pair.holder.take_finished()
    run_program(pair.manager.close_all(), pair.table)
    run_program(fold_segments(), pair.table)
    assert pair.budget.granted == 10
    assert pair.manager.empty
    assert pair.table.value("account/captions")["billed"] == 10


def test_tokens_returned_with_a_lost_response_are_not_spent_as_well(
    make_pair: Callable[[int], Pair],
) -> None:
    """The transaction arrives after the holder has determined its outcome."""
    pair = make_pair(100)
    pair.refill(100)
    faults = (Fault.NONE, Fault.DELAYED, Fault.DELAYED)
    run_program(pair.manager.return_tokens("captions", 60), pair.table, faults)
    assert pair.reserve("k1", 100) is None, (
        "tokens are spent before their outcome is known"
    )
    run_program(pair.manager.maintain(rebalance=False), pair.table)
    while pair.table.delayed:
        pair.table.deliver_delayed(0)
    own = sum(holding.free for holding in pair.holder.list_holdings())
    assert own <= pair.budget.granted

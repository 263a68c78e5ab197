"""Single cases of succession, each of which once went wrong or easily could."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.billing.fold import fold_segments
from pondquay.budgets.holdings import AttemptState
from pondquay.budgets.messages import Flushed
from pondquay_lab.programs import Fault, run_program

if TYPE_CHECKING:
    from collections.abc import Callable

    from conftest import Pair


def test_a_paused_holder_gets_nothing_acknowledged_after_sealing(
    make_pair: Callable[[int], Pair],
) -> None:
    pair = make_pair(100)
    pair.refill(80)
    assert pair.reserve("k1", 30) is not None
    pair.exchange()
    pair.declare_holder_dead()
    assert pair.budget.granted == 30, "all but the open attempt went back at once"
    late = pair.reserve("k2", 30)
    pair.exchange()
    assert late is not None
    assert late.state is AttemptState.SETTLED
    assert late.billed is None


def test_a_grant_sealed_unheard_is_never_opened(
    make_pair: Callable[[int], Pair],
) -> None:
    pair = make_pair(100)
    pair.refill(80)
    pair.declare_holder_dead()
    assert pair.budget.granted == 0
    late = pair.reserve("k1", 30)
    pair.exchange()
    assert late is not None
    assert late.state is AttemptState.SETTLED


def test_a_grant_begun_after_the_first_search_is_found(
    make_pair: Callable[[int], Pair],
) -> None:
    pair = make_pair(100)
    pair.declare_holder_dead()
    pair.refill(80)
    pair.declare_holder_dead()
    assert pair.budget.granted == 0


def test_word_that_a_bill_is_flushed_does_not_undo_it_in_a_sealed_grant(
    make_pair: Callable[[int], Pair],
) -> None:
    """The row holds the attempt; without its bill it would count as not billed."""
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


def test_what_an_end_freed_is_not_returned_twice(
    make_pair: Callable[[int], Pair],
) -> None:
    """The holder gave back what an end had left before its witness heard of the end."""
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


def test_a_close_whose_answer_was_lost_leaves_nothing_held(
    make_pair: Callable[[int], Pair],
) -> None:
    """What ended between two tries to close stands in the row of the first try."""
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


def test_an_end_between_two_tries_of_the_holder_to_close_is_written(
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


def test_tokens_given_back_with_a_lost_answer_are_not_spent_as_well(
    make_pair: Callable[[int], Pair],
) -> None:
    """The transaction arrives only after the holder has looked what became of it."""
    pair = make_pair(100)
    pair.refill(100)
    faults = (Fault.NONE, Fault.DELAYED, Fault.DELAYED)
    run_program(pair.manager.return_tokens("captions", 60), pair.table, faults)
    assert pair.reserve("k1", 100) is None, "an unknown outcome is not spent"
    run_program(pair.manager.maintain(rebalance=False), pair.table)
    while pair.table.delayed:
        pair.table.deliver_delayed(0)
    own = sum(one.free for one in pair.holder.list_holdings())
    assert own <= pair.budget.granted

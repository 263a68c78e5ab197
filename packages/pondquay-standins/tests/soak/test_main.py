from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import pytest

from pondquay_standins.soak.__main__ import ENDING_SIGNALS, SIGNAL_EXIT, end_in_order

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def own_signals() -> Iterator[None]:
    """Signals are handled as before once the test has ended."""
    before = {one: signal.getsignal(one) for one in ENDING_SIGNALS}
    yield
    for number, handler in before.items():
        signal.signal(number, handler)


@pytest.mark.usefixtures("own_signals")
@pytest.mark.parametrize("number", ENDING_SIGNALS)
def test_a_signal_ends_a_soak_so_that_its_processes_are_ended(number: int) -> None:
    """Three seeds were red by relays that an interrupted soak had left running."""
    end_in_order()
    with pytest.raises(SystemExit) as caught:
        signal.raise_signal(number)
    assert caught.value.code == SIGNAL_EXIT + number

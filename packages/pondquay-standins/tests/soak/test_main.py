from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import pytest

from pondquay_standins.soak.__main__ import (
    SIGNAL_EXIT_BASE,
    TERMINATION_SIGNALS,
    install_signal_handlers,
)

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def restored_handlers() -> Iterator[None]:
    """Restore the signal handlers after the test."""
    before = {
        terminating: signal.getsignal(terminating)
        for terminating in TERMINATION_SIGNALS
    }
    yield
    for number, handler in before.items():
        signal.signal(number, handler)


@pytest.mark.usefixtures("restored_handlers")
@pytest.mark.parametrize("number", TERMINATION_SIGNALS)
def test_a_termination_signal_raises_system_exit(number: int) -> None:
    """Guards against relays left running by an interrupted soak."""
    install_signal_handlers()
    with pytest.raises(SystemExit) as caught:
        signal.raise_signal(number)
    assert caught.value.code == SIGNAL_EXIT_BASE + number

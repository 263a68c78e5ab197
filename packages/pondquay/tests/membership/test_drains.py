from __future__ import annotations

import pytest

from pondquay.membership.drains import read_drains, store_drain
from pondquay_lab.programs import Fault, FaultyTable, run_program


@pytest.mark.parametrize(
    ("faults", "stored"),
    [
        ((), True),
        ((Fault.UNREACHABLE,), False),
        ((Fault.LOST_BEFORE, Fault.LOST_BEFORE), False),
        ((Fault.LOST_AFTER, Fault.LOST_AFTER), True),
        ((Fault.LOST_AFTER, Fault.LOST_AFTER, Fault.UNREACHABLE), False),
    ],
)
def test_drain_is_reported_as_stored_only_if_known(
    faults: tuple[Fault, ...], stored: bool
) -> None:
    table = FaultyTable()
    assert run_program(store_drain("engine-1"), table, faults) is stored
    if stored:
        assert run_program(read_drains(), table) == ["engine-1"]
        assert run_program(store_drain("engine-1"), table) is True

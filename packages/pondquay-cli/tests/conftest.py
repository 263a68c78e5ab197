from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from pondquay_standins.fleet import Fleet
from pondquay_standins.workspaces import configure_workspaces

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture(scope="session")
def fleet() -> Iterator[Fleet]:
    """Run a small fleet for all tests of the session."""
    with Fleet(engines=1, daemons=2) as fleet:
        configure_workspaces(fleet)
        yield fleet

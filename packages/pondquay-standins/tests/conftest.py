from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import pytest

from pondquay_standins.fleet import Fleet
from pondquay_standins.workspaces import configure_workspaces

if TYPE_CHECKING:
    from collections.abc import Iterator


@dataclass
class RunningFleet:
    """A running fleet and the keys of its default workspaces."""

    fleet: Fleet
    keys: dict[str, str]


@pytest.fixture(scope="module")
def running() -> Iterator[RunningFleet]:
    """Run a fleet that the tests of a module share."""
    with Fleet() as fleet:
        workspaces = configure_workspaces(fleet)
        yield RunningFleet(
            fleet, {workspace["name"]: workspace["key"] for workspace in workspaces}
        )

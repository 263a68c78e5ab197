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
    """A fleet with its usual workspaces."""

    fleet: Fleet
    keys: dict[str, str]


@pytest.fixture(scope="module")
def running() -> Iterator[RunningFleet]:
    """A fleet of real processes, shared by the tests of one module."""
    with Fleet() as fleet:
        described = configure_workspaces(fleet)
        yield RunningFleet(fleet, {one["name"]: one["key"] for one in described})

"""Sizes of the soak's fleets."""

from __future__ import annotations

from pondquay_standins.soak.__main__ import make_parser
from pondquay_standins.soak.sizes import (
    FAULT_TARGETS,
    RELAYS,
    REPLICAS,
    SOFTWARE,
    FleetSize,
)


def test_the_usual_size_has_the_usual_relays_and_replicas() -> None:
    size = FleetSize()
    assert size.relay_names == RELAYS
    assert size.services == REPLICAS
    assert size.software == SOFTWARE
    assert size.fault_targets == FAULT_TARGETS


def test_a_larger_size_adds_replicas_of_both_services_and_versions() -> None:
    size = FleetSize(relays=5, more_replicas=6)
    assert size.relay_names == (*RELAYS, "r4", "r5")
    more = [name for name in size.services if name not in REPLICAS]
    assert len(more) == 6
    assert {size.services[name] for name in more} == set(REPLICAS.values())
    assert {size.software[name] for name in more} == {"v1", "v2"}
    assert size.fault_targets == (*FAULT_TARGETS, *more)
    assert size.prepaid > FleetSize().prepaid


def test_the_command_uses_the_usual_size_by_default() -> None:
    options = make_parser().parse_args([])
    found = FleetSize(options.relays, options.more_replicas, options.resting_callers)
    assert found == FleetSize()

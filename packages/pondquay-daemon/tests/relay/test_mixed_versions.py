"""Streams while upstreams of several software versions serve side by side."""

from __future__ import annotations

import pytest

from .conftest import STEP_SECONDS
from .partitions import HOSTS
from .versions import NEW, OLD, VERSIONS, VersionedFleet, list_mixed

DOMAINS = ("a", "a", "b", "b", "c")
STREAMS_PER_RELAY = 7
# Streams at one relay that its share of the fleet's retries lets go on.
STREAMS_WITH_RETRIES = 3
# Time after which streams are broken, some events after their beginning.
BREAK_SECONDS = 0.1
# Fraction of the broken streams that go on, while two upstreams of each version serve.
MIN_CONTINUED_FRACTION = 0.9


@pytest.fixture
def fleet() -> VersionedFleet:
    """Return a fleet in front of three upstreams of each of two versions."""
    fleet = VersionedFleet.start(DOMAINS)
    fleet.set_versions(VERSIONS)
    return fleet


def count_completed(fleet: VersionedFleet) -> int:
    return sum(caller.completed for caller in fleet.callers)


# Guards against answers that begin at one software version and go on at another.
def test_an_answer_goes_on_at_the_version_that_began_it(fleet: VersionedFleet) -> None:
    fleet.breaks_new_after = 5
    fleet.begin_streams(STREAMS_WITH_RETRIES, fleet.relays)
    fleet.run_for(1.0)
    assert list_mixed(fleet) == []
    assert count_completed(fleet) >= MIN_CONTINUED_FRACTION * len(fleet.callers)


# Guards against streams that a caller takes up at another instance, after its own has
# ended, and that go on there at another software version or not at all.
@pytest.mark.parametrize("killed", [(0,), (0, 1), (0, 2), (0, 1, 2, 3)])
def test_a_stream_goes_on_at_the_version_that_began_it_after_its_instance_ended(
    fleet: VersionedFleet, killed: tuple[int, ...]
) -> None:
    fleet.begin_streams(STREAMS_PER_RELAY, fleet.relays)
    fleet.run_for(BREAK_SECONDS)
    for number in killed:
        fleet.kill(fleet.relays[number])
    left = [relay for n, relay in enumerate(fleet.relays) if n not in killed]
    assert len(fleet.take_up(left)) == STREAMS_PER_RELAY * len(killed)
    fleet.finish(left)
    assert list_mixed(fleet) == []
    assert count_completed(fleet) >= MIN_CONTINUED_FRACTION * len(fleet.callers)


# Guards against answers that wait for a version that no upstream has any more.
def test_an_answer_ends_at_once_if_no_upstream_of_its_version_is_left() -> None:
    fleet = VersionedFleet.start(DOMAINS[:1])
    fleet.set_versions({HOSTS[0]: OLD, **dict.fromkeys(HOSTS[1:], NEW)})
    fleet.begin_streams(STREAMS_PER_RELAY, fleet.relays)
    fleet.run_for(BREAK_SECONDS)
    fleet.stop_upstreams(HOSTS[0])
    fleet.run_for(STEP_SECONDS)
    broken = [caller for caller in fleet.callers if caller.broken]
    assert {version for caller in broken for version in caller.versions} == {OLD}
    fleet.run_for(1.0)
    assert list_mixed(fleet) == []
    assert count_completed(fleet) == len(fleet.callers) - len(broken)

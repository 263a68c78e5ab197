"""Instances that cannot reach upstreams, while callers and peers reach them."""

from __future__ import annotations

import pytest

from .partitions import Cut, PartitionedFleet, count_served

# Time after which callers of an instance that is cut off are served again.
RECOVERY_SECONDS = 3.0
CUT_SECONDS = 6.0
# The longest time after which a request ends.
TIMEOUT_SECONDS = 2.0
# Fraction of the requests of instances that are cut off that are served.
MIN_SERVED_FRACTION = 0.9
PATHS = ("/read/x", "/once/x", "/stream/x")
# Open connections are closed after this time without requests.
IDLE_SECONDS = 4.5
# Three failure domains; the numbers of the instances that are cut off.
DOMAINS = ("a", "a", "a", "b", "b", "c")
ONE = (0,)
WHOLE_DOMAIN = (0, 1, 2)
ALL_BUT_ONE = (0, 1, 2, 3, 4)


# Guards against refusals by instances that have lost their own way to the upstreams,
# although peers reach every one of them.
@pytest.mark.parametrize("how", list(Cut))
@pytest.mark.parametrize("numbers", [ONE, WHOLE_DOMAIN, ALL_BUT_ONE])
def test_callers_of_an_instance_that_reaches_no_upstream_are_served(
    how: Cut, numbers: tuple[int, ...]
) -> None:
    fleet = PartitionedFleet.start(DOMAINS)
    fleet.send_requests(1.0, *PATHS)
    cut = [fleet.relays[number] for number in numbers]
    fleet.cut(how, *cut)
    if how is Cut.REFUSE:
        fleet.run_for(IDLE_SECONDS)
    fleet.send_requests(RECOVERY_SECONDS, *PATHS)
    since = {relay.host: len(relay.responses()) for relay in fleet.relays}
    fleet.send_requests(CUT_SECONDS, *PATHS)
    fleet.run_for(TIMEOUT_SECONDS)
    for relay in fleet.relays:
        served, sent = count_served(relay, since[relay.host])
        assert served >= MIN_SERVED_FRACTION * sent, relay.host

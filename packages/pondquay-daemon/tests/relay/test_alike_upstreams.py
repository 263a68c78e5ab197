"""Equal upstreams get equal shares of infrequent requests.

Guards against ties between idle upstreams that are always resolved the same way.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .conftest import RelaySide
from .responding import HOSTS, PORT, RespondingUpstreams

if TYPE_CHECKING:
    from collections.abc import Sequence

RELAYS = 6
PAUSE_SECONDS = 0.1
# Time within which a new incarnation of an upstream gets its share.
SETTLE_SECONDS = 2.0


def start(relay: RelaySide) -> tuple[RespondingUpstreams, list[RelaySide]]:
    relays = [
        relay,
        *(
            RelaySide(fleet_peer=relay, number=number)
            for number in range(2, RELAYS + 1)
        ),
    ]
    upstreams = RespondingUpstreams.start(*relays, hosts=HOSTS[:3], born=1)
    return upstreams, relays


def send_infrequent_requests(
    upstreams: RespondingUpstreams, relays: Sequence[RelaySide], seconds: float
) -> Counter[str]:
    """Send requests to each relay at intervals; return their number by host."""
    since = upstreams.now
    while upstreams.now < since + seconds:
        for relay in relays:
            relay.connect_caller("/read/x")
        upstreams.run_for(PAUSE_SECONDS)
    return Counter(host for at, host in upstreams.arrivals if at >= since)


def test_each_upstream_gets_its_share(relay: RelaySide) -> None:
    upstreams, relays = start(relay)
    counts = send_infrequent_requests(upstreams, relays, 3.0)
    mean = sum(counts.values()) / 3
    assert all(0.8 * mean <= counts[host] <= 1.2 * mean for host in HOSTS[:3])


def test_a_new_incarnation_soon_gets_its_share(relay: RelaySide) -> None:
    upstreams, relays = start(relay)
    send_infrequent_requests(upstreams, relays, 1.0)
    relay.store.put_upstream(HOSTS[0], f"{HOSTS[0]}:{PORT}", born=2)
    counts = send_infrequent_requests(upstreams, relays, SETTLE_SECONDS)
    mean = sum(counts.values()) / 3
    assert counts[HOSTS[0]] >= 0.8 * mean


def test_upstreams_of_the_same_domain_are_preferred(relay: RelaySide) -> None:
    upstreams, relays = start(relay)
    remote = HOSTS[3]
    relay.store.put_upstream(remote, f"{remote}:{PORT}", domain="yard")
    upstreams.run_for(SETTLE_SECONDS)
    assert remote not in send_infrequent_requests(upstreams, relays, 1.0)

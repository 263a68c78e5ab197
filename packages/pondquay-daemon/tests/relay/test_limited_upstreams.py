"""Upstreams that took one request a second from all instances got three.

Seen: two of six engines named in their answers a limit of 1 a second for all instances
together, and got 12 and 13 requests in 4 s from those that had passed such an answer on.
Half as many again as the limit allows, and five, are borne: 11.

How it came about: eight instances sent there what their choice of an upstream brought,
each a few requests, and none more than the limit by itself.

The cause: what an upstream says in an answer was read for what this instance alone may
do. A bound on the sum over all instances was not read at all. Proved here: relays in
memory, linked to each other, before upstreams of which one names a limit.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from .answering import HOSTS, AnsweringUpstreams
from .conftest import RelaySide

if TYPE_CHECKING:
    from collections.abc import Sequence

LIMITED = HOSTS[0]
INSTANCES = 8
# Seconds in which instances that were started together have linked to each other, and
# know who hands out what a limited upstream takes.
LINKED_SECONDS = 5.0
# The limit is to hold from then on after it was first named, in seconds.
CONTACT_SECONDS = 3.0
WINDOW_SECONDS = 4.0
# What upstreams bear in any such window: this part of what their limit allows, and
# some more.
BORNE_PART = 1.5
BORNE_MORE = 5


def start_fleet(relay: RelaySide, count: int = INSTANCES) -> list[RelaySide]:
    return [relay, *(RelaySide(beside=relay, number=n) for n in range(2, count + 1))]


def name_limit(upstreams: AnsweringUpstreams, limit: str, *hosts: str) -> None:
    for host in hosts or (LIMITED,):
        upstreams.says[host] = b"limit: %b\r\n" % limit.encode()


def ask_each(
    upstreams: AnsweringUpstreams, relays: Sequence[RelaySide], seconds: float
) -> None:
    """Have callers ask all relays again and again."""
    until = upstreams.now + seconds
    while upstreams.now < until:
        for relay in relays:
            relay.connect_caller("/read/x")
        upstreams.run_for(0.1)


def count_most(upstreams: AnsweringUpstreams, since: float, host: str = LIMITED) -> int:
    """Return the most requests that a host got in any window."""
    times = [at for at, one in upstreams.arrived if one == host and at > since]
    return max(
        (sum(at <= one < at + WINDOW_SECONDS for one in times) for at in times),
        default=0,
    )


def borne(limit: float) -> float:
    return BORNE_PART * limit * WINDOW_SECONDS + BORNE_MORE


@pytest.mark.parametrize("limit", ["1", "5"])
def test_a_limit_holds_for_all_instances_together(relay: RelaySide, limit: str) -> None:
    relays = start_fleet(relay)
    upstreams = AnsweringUpstreams.start(*relays)
    upstreams.run_for(LINKED_SECONDS)
    name_limit(upstreams, limit)
    since = upstreams.now + CONTACT_SECONDS
    ask_each(upstreams, relays, CONTACT_SECONDS + 2 * WINDOW_SECONDS)
    assert count_most(upstreams, since) <= borne(float(limit))

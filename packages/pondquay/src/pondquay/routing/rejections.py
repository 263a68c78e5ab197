"""Upstreams that stop working if they have to reject many requests.

An upstream reports how many requests a second it can reject, from all instances
together. After a rejection an instance sends it nothing for a while, so that the
instances together stay below that bound without messages between them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

# Fraction of the bound that all instances together use, since their rejections
# coincide at times.
USED_FRACTION = 0.5
MIN_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 30.0
# Pauses differ by up to this factor, so that instances do not continue together.
PAUSE_SPREAD = 2.0


def draw_pause(bound: float, instances: int, random: Random) -> float:
    """Return the seconds for which an instance sends nothing after a rejection.

    :param bound: requests per second that the upstream can reject
    :param instances: number of instances that send requests, 0 if unknown
    """
    if bound <= 0 or not instances:
        return MAX_PAUSE_SECONDS
    pause = max(MIN_PAUSE_SECONDS, instances / (USED_FRACTION * bound))
    return min(MAX_PAUSE_SECONDS, pause * random.uniform(1.0, PAUSE_SPREAD))

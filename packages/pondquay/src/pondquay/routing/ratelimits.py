"""How many requests a second an upstream takes from all instances together."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RateLimit:
    """What an upstream last said of how much it takes.

    :param rate: requests a second, ``None`` if it named no limit
    :param said_at: when its answer came, in seconds
    """

    rate: float | None
    said_at: float


NEVER_SAID = RateLimit(None, -math.inf)

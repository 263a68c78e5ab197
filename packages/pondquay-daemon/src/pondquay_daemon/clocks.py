"""The clock that a process goes by."""

from __future__ import annotations

import time
from functools import partial
from typing import Any


def use_monotonic_clock(reactor: Any) -> None:
    """Have a reactor go by the steady clock that counts suspension.

    Its own is the time of day, which may jump. The usual steady clock stands still
    while a host is suspended, so what was heard before would seem fresh on waking.
    """
    reactor.seconds = partial(time.clock_gettime, time.CLOCK_BOOTTIME)

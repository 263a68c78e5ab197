"""The reactor's clock."""

from __future__ import annotations

import time
from functools import partial
from typing import Any


def use_monotonic_clock(reactor: Any) -> None:
    """Make a reactor use a monotonic clock that counts time spent suspended.

    The reactor's default is the time of day, which may jump. ``CLOCK_MONOTONIC`` stops
    while the host is suspended, so stale information would seem fresh after a resume.
    """
    reactor.seconds = partial(time.clock_gettime, time.CLOCK_BOOTTIME)

"""Each instance's share of the fleet's retry budget, kept without messages.

In any window a service may receive, from all instances together, a ratio of its
requests and a fixed number more as further attempts. Each instance keeps to the ratio
of its own requests and to a fixed part of that number, so the sum holds in any cut.
"""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass, field
from math import ceil
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Part of the ratio that is used: a request may be counted in another window than its
# retry.
SAFETY = 0.75
# The fixed number is divided among this many instances at least, and among more than
# are known: some may be added or replaced.
MIN_SHARES = 16
SPARE_PART = 1.25


@dataclass(slots=True)
class _Counts:
    first: deque[float] = field(default_factory=deque)
    further: deque[float] = field(default_factory=deque)

    def forget(self, before: float) -> None:
        for times in (self.first, self.further):
            while times and times[0] < before:
                times.popleft()


class RetryShare:
    """Counts first and further attempts by service over a sliding window.

    :param ratio: further attempts that one request allows the fleet
    :param extra: further attempts that the fleet may always make in a window
    :param window: seconds
    :param instances: returns how many instances are known, 0 if that is not known;
        then nothing is taken of the fixed number
    """

    def __init__(
        self, ratio: float, extra: float, window: float, instances: Callable[[], int]
    ) -> None:
        self._ratio = ratio * SAFETY
        self._extra = extra
        self._instances = instances
        self._window = window
        self._counts: dict[str, _Counts] = defaultdict(_Counts)

    def note_first(self, service: str, now: float) -> None:
        """Note a request's first attempt."""
        self._counts[service].first.append(now)

    def spend(self, service: str, now: float) -> bool:
        """Take one further attempt, if there is one."""
        counts = self._counts[service]
        counts.forget(now - self._window)
        allowed = self._ratio * len(counts.first) + self._share()
        if len(counts.further) + 1 > allowed:
            return False
        counts.further.append(now)
        return True

    def _share(self) -> float:
        instances = self._instances()
        if instances == 0:
            return 0.0
        return self._extra / max(MIN_SHARES, ceil(SPARE_PART * instances))

"""Each instance's share of the fleet's retry budget, kept without messages.

In any window a service may receive, from all instances together, a ratio of its
requests and a fixed number more as further attempts. Each instance keeps to the ratio
of its own requests and to a fixed part of that number, so the sum holds in any cut.
"""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass, field

# Part of the ratio that is used: a request may be counted in another window than its
# retry.
SAFETY = 0.75
# Instances among which the fixed number is divided; more may exist for a while when
# some are replaced.
SHARES = 16


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
    """

    def __init__(self, ratio: float, extra: float, window: float) -> None:
        self._ratio = ratio * SAFETY
        self._extra = extra / SHARES
        self._window = window
        self._counts: dict[str, _Counts] = defaultdict(_Counts)

    def note_first(self, service: str, now: float) -> None:
        """Note a request's first attempt."""
        self._counts[service].first.append(now)

    def spend(self, service: str, now: float) -> bool:
        """Take one further attempt, if there is one."""
        counts = self._counts[service]
        counts.forget(now - self._window)
        allowed = self._ratio * len(counts.first) + self._extra
        if len(counts.further) + 1 > allowed:
            return False
        counts.further.append(now)
        return True

"""The bound of the retries that a service may receive from all relays together."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


@dataclass(frozen=True, slots=True)
class RetryBound:
    """In any window, a fraction of the requests and a fixed number of retries.

    :param ratio: retries per request
    :param extra: fixed number of further retries
    :param window: length of the window, in seconds
    """

    ratio: float
    extra: float
    window: float

    def find_excess(self, sent: Iterable[float], repeated: Iterable[float]) -> float:
        """Return by how much the retries of any window exceed the bound, at most 0.

        The requests of a window are those of it, of the previous one, or of the one
        that begins half a window earlier, whichever are most.

        :param sent: when requests were sent, in seconds
        :param repeated: when retries arrived, in seconds
        """
        requests, retries = sorted(sent), sorted(repeated)
        excess = 0.0
        for first, begin in enumerate(retries):
            end = begin + self.window
            base = max(
                _count(requests, begin - shift, end - shift)
                for shift in (0.0, self.window / 2, self.window)
            )
            count = bisect_left(retries, end) - first
            excess = max(excess, count - self.ratio * base - self.extra)
        return excess


def _count(times: Sequence[float], begin: float, end: float) -> int:
    return bisect_left(times, end) - bisect_left(times, begin)

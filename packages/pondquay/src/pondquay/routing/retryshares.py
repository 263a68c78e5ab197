"""Each instance's share of the fleet's retry budget, enforced without messages.

In any time window, the retries that a service receives from all instances together are
at most a fraction of its requests plus a fixed number. Each instance applies the
fraction to its own requests and uses only its share of the fixed number, so the total
is also bounded in a partition. An instance may follow one that has ended, which may
have used the same share, so it uses none of it until a window has passed. Those that
have left within a window may have used theirs, so they are counted as before.
"""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass, field
from math import ceil
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Fraction of the configured ratio that is used, as a request and its retry may fall
# into different windows.
SAFETY_FACTOR = 0.75
# Minimum number of shares into which the fixed number is divided, since instances may
# be added before this one knows of them.
MIN_SHARES = 16
# Shares per known instance, since instances may be added.
SPARE_RATIO = 1.25


@dataclass(slots=True)
class _Attempts:
    """Times of attempts within the window, in seconds."""

    first: deque[float] = field(default_factory=deque)
    further: deque[float] = field(default_factory=deque)

    def drop_before(self, before: float) -> None:
        for times in (self.first, self.further):
            while times and times[0] < before:
                times.popleft()


@dataclass(frozen=True, slots=True)
class ShareUse:
    """How much of its share an instance has used for a service.

    :ivar requests: first attempts within the window
    :ivar retries: further attempts within the window
    :ivar allowed: further attempts that the share allows within the window
    """

    requests: int
    retries: int
    allowed: float


class RetryShare:
    """Counts first and further attempts by service over a sliding window.

    :param ratio: further attempts that the fleet may make per request
    :param extra: fixed number of further attempts that the fleet may make in addition
        in each window
    :param window: length of the window, in seconds
    :param instances: returns the number of known instances; while it is 0, none of
        ``extra`` is used
    :param usable_from: time from which ``extra`` is used, in seconds
    """

    def __init__(
        self,
        ratio: float,
        extra: float,
        window: float,
        instances: Callable[[], int],
        usable_from: float = 0.0,
    ) -> None:
        self._ratio = ratio * SAFETY_FACTOR
        self._extra = extra
        self._instances = instances
        self._window = window
        self._usable_from = usable_from
        # Numbers of instances within the window that no later one exceeds, with the
        # times at which they were last seen.
        self._largest: deque[tuple[float, int]] = deque()
        self._attempts: dict[str, _Attempts] = defaultdict(_Attempts)

    def note_first(self, service: str, now: float) -> None:
        """Count a request's first attempt."""
        self._count_instances(now)
        self._attempts[service].first.append(now)

    def spend(self, service: str, now: float) -> bool:
        """Use one further attempt; return ``False`` if none is left."""
        if not self.can_spend(service, now):
            return False
        self._attempts[service].further.append(now)
        return True

    def can_spend(self, service: str, now: float) -> bool:
        """Return whether a further attempt is left."""
        use = self.measure(service, now)
        return use.retries + 1 <= use.allowed

    def measure(self, service: str, now: float) -> ShareUse:
        """Return how much of the share is used in the window that ends now."""
        attempts = self._attempts[service]
        attempts.drop_before(now - self._window)
        allowed = self._ratio * len(attempts.first) + self._share(now)
        return ShareUse(len(attempts.first), len(attempts.further), allowed)

    def postpone(self, service: str, spent_at: float, now: float) -> None:
        """Count a further attempt at the time at which it is made.

        :param spent_at: when it was used, in seconds
        """
        self.give_back(service, spent_at)
        self._attempts[service].further.append(now)

    def give_back(self, service: str, spent_at: float) -> None:
        """Count a further attempt no more, as it was not made.

        :param spent_at: when it was used, in seconds
        """
        further = self._attempts[service].further
        if spent_at in further:
            further.remove(spent_at)

    def _share(self, now: float) -> float:
        """Return this instance's share of the fixed number."""
        instances = self._count_instances(now)
        if instances == 0 or now < self._usable_from:
            return 0.0
        return self._extra / max(MIN_SHARES, ceil(SPARE_RATIO * instances))

    def _count_instances(self, now: float) -> int:
        """Return the most instances known within the window, 0 if none is known now."""
        known, largest = self._instances(), self._largest
        while largest and largest[-1][1] <= known:
            largest.pop()
        largest.append((now, known))
        while largest[0][0] < now - self._window:
            largest.popleft()
        return largest[0][1] if known else 0

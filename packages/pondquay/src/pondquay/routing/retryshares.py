"""Each instance's share of the fleet's retry budget, enforced without messages.

In any time window, the retries that a service receives from all instances together are
at most a fraction of its requests plus a fixed number.

The fraction: in each window, an instance makes at most half of it for its own requests
of that window and of the previous one. Such bounds add up over all instances, whichever
of them callers use and whenever instances end: the sum is at most half of the fraction
of the requests of two adjacent windows, so at most the fraction of those of one. A
retry is therefore made only if every window that may hold it, also those that end
later, has room for it even without further requests. It counts from the time at which
it is made until an upstream can no longer read any attempt of its request, as it may
arrive at any time in between.

The fixed number: each instance uses only its share of it. An instance may follow one
that has ended, which may have used the same share, so it uses none of it until a window
has passed. Those that have left within a window may have used theirs, so they are
counted as before.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import defaultdict, deque
from dataclasses import dataclass, field
from math import ceil, inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Number of adjacent windows whose requests cover the retries of one.
COVERING_WINDOWS = 2
# Fraction of a window by which a retry may arrive after it was counted, or a request
# may have been sent before it was counted.
MAX_DELAY_FRACTION = 0.1
# Minimum number of shares into which the fixed number is divided, since instances may
# be added before this one knows of them.
MIN_SHARES = 16
# Shares per known instance, since instances may be added.
SPARE_RATIO = 1.25


@dataclass(eq=False, slots=True)
class Retry:
    """A further attempt.

    :ivar made_at: when it was made, in seconds
    :ivar until: latest time at which it may arrive, in seconds; infinite while that is
        not known
    """

    made_at: float
    until: float = inf


@dataclass(slots=True)
class _Attempts:
    """Attempts of one service.

    :ivar first: times of first attempts, in seconds and in order
    """

    first: list[float] = field(default_factory=list)
    further: list[Retry] = field(default_factory=list)

    def drop(self, first_before: float, further_before: float) -> None:
        """Drop attempts that no later window holds or covers."""
        del self.first[: bisect_left(self.first, first_before)]
        self.further = [
            retry for retry in self.further if retry.until >= further_before
        ]

    def list_ends(self, now: float) -> list[float]:
        """Return the latest times at which further attempts arrive, the newest first.

        Attempts that may arrive at any time count as arriving now.
        """
        ends = (retry.until if retry.until < inf else now for retry in self.further)
        return sorted(ends, reverse=True)

    def count_first_since(self, since: float) -> int:
        """Return the number of first attempts from a time on."""
        return len(self.first) - bisect_left(self.first, since)


@dataclass(frozen=True, slots=True)
class ShareUse:
    """How much of its share an instance has used in one window.

    :ivar requests: first attempts that cover the window
    :ivar retries: further attempts within the window
    :ivar allowed: further attempts that the share allows within the window
    """

    requests: int
    retries: int
    allowed: float

    @property
    def room(self) -> float:
        """How many further attempts are left, negative if there are too many."""
        return self.allowed - self.retries


class RetryShare:
    """Counts first and further attempts by service over sliding windows.

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
        self._ratio = ratio / COVERING_WINDOWS
        self._extra = extra
        self._instances = instances
        self._window = window
        self._max_delay = window * MAX_DELAY_FRACTION
        self._usable_from = usable_from
        # Numbers of instances within the window that no later one exceeds, with the
        # times at which they were last seen.
        self._largest: deque[tuple[float, int]] = deque()
        self._attempts: dict[str, _Attempts] = defaultdict(_Attempts)

    def note_first(self, service: str, arrived_at: float, now: float) -> None:
        """Count a request.

        :param arrived_at: when it arrived, in seconds
        """
        self._count_instances(now)
        attempts, covering = self._attempts[service], COVERING_WINDOWS * self._window
        # Each drop moves the rest of the list, so expired requests are collected.
        if attempts.first and attempts.first[0] < now - 2 * covering:
            attempts.drop(now - covering, now - self._window)
        insort(attempts.first, arrived_at)

    def count_kept(self, service: str) -> int:
        """Return the number of requests of a service whose times are kept."""
        return len(self._attempts[service].first)

    def spend(self, service: str, now: float) -> Retry | None:
        """Make a further attempt; return ``None`` if none is left."""
        if not self.can_spend(service, now):
            return None
        retry = Retry(now)
        self._attempts[service].further.append(retry)
        return retry

    def can_spend(self, service: str, now: float) -> bool:
        """Return whether a further attempt is left."""
        return self.measure(service, now).room >= 1.0

    def measure(self, service: str, now: float) -> ShareUse:
        """Return how much is used of the window with the least room for a retry.

        The windows are those that may hold a retry made now.
        """
        window, attempts = self._window, self._attempts[service]
        attempts.drop(now - COVERING_WINDOWS * window, now - window)
        share = self._share(now)
        tightest = None
        # Of the windows that hold the same further attempts, the last one is covered
        # by the fewest requests: the one that begins with the oldest of these attempts.
        ends = attempts.list_ends(now)
        for retries, begin in enumerate([max([now, *ends]), *ends]):
            covered_since = begin - window + self._max_delay
            requests = attempts.count_first_since(covered_since)
            use = ShareUse(requests, retries, self._ratio * requests + share)
            if tightest is None or use.room < tightest.room:
                tightest = use
        assert tightest is not None
        return tightest

    def confirm(self, service: str, retry: Retry, now: float) -> bool:
        """Return whether a further attempt that was made in advance is still allowed.

        One that is not counts no more.
        """
        if now - retry.made_at <= self._max_delay:
            return True
        self.give_back(service, retry)
        if not self.can_spend(service, now):
            return False
        retry.made_at = now
        self._attempts[service].further.append(retry)
        return True

    def give_back(self, service: str, retry: Retry) -> None:
        """Count a further attempt no more, as nothing was sent with it."""
        self._attempts[service].further.remove(retry)

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

"""Requests under which upstreams crash, and when such requests are refused.

A request may crash every upstream that runs it, and with it all requests running there.
Its caller retries at any instance under a new request ID, so the request is identified
by its content, and instances report to each other which upstreams crashed under it.

Requests that ran at the same upstream are suspected as well. A run that completes
clears its content of all crashes known by then.

The state of a content is mergeable: the upstreams that crashed and how long ago, those
that it was cleared of, and how often it was tried again. Reports may arrive late,
twice, in any order and by way of other instances. Each carries the age of the crashes,
so instances that have received the same reports have the same state.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

# Upstreams that crash under a content until it is refused. A harmless request with two
# attempts easily runs beside a crash twice, but rarely three times.
CRASHES_TO_BLOCK = 3
# Delays after which a refused content gets another trial, in seconds: the first while
# its callers may still wait, the second once an unrelated fault is over. There are no
# further trials, since each may crash another upstream.
TRIAL_DELAYS_SECONDS = (10.0, 120.0)
# Minimum retry delay for callers; a trial that is due takes about as long.
MIN_RETRY_SECONDS = 1.0
# Retry delay for callers whose content gets no more trials.
BLOCKED_RETRY_SECONDS = 600.0
# Crashes further apart than this, in seconds, count as unrelated.
CRASH_WINDOW_SECONDS = 600.0
# New crashes that are older than this, in seconds, are ignored.
MAX_REPORT_AGE_SECONDS = 2 * CRASH_WINDOW_SECONDS
# A crash is kept for as long as related crashes may still be reported.
RETENTION_SECONDS = MAX_REPORT_AGE_SECONDS + CRASH_WINDOW_SECONDS
# Bounds on suspected contents, refused contents, and upstreams of each content. A crash
# adds as many suspected contents as were running there.
MAX_SUSPECTED = 4096
MAX_BLOCKED = 1024
MAX_UPSTREAMS = 16


@dataclass(frozen=True, slots=True)
class CrashReport:
    """The state of one content.

    :param crashed: incarnations of upstreams that crashed while they ran it
    :param cleared: those of them that crashed before a run of it completed
    :param trials: how often it was tried again after it had been refused
    :param ages: seconds since each of them crashed, 0 if it is missing here
    """

    content: bytes
    crashed: frozenset[str]
    cleared: frozenset[str] = frozenset()
    trials: int = 0
    ages: Mapping[str, float] = field(default_factory=dict, compare=False)

    @property
    def suspected(self) -> bool:
        """Whether upstreams crashed under it since it last completed."""
        return bool(self.crashed - self.cleared)

    @property
    def blocked(self) -> bool:
        """Whether it is refused: enough upstreams crashed within the window.

        This does not change as the crashes age.
        """
        ages = sorted(self.age(upstream) for upstream in self.crashed - self.cleared)
        last = CRASHES_TO_BLOCK - 1
        spans = zip(ages, ages[last:], strict=False)
        return any(late - early <= CRASH_WINDOW_SECONDS for early, late in spans)

    def age(self, upstream: str) -> float:
        """Return the seconds since an upstream crashed."""
        return self.ages.get(upstream, 0.0)

    def restrict_to(self, crashed: frozenset[str]) -> CrashReport:
        """Return the report without the crashes of all other upstreams."""
        ages = {upstream: self.age(upstream) for upstream in crashed}
        cleared = self.cleared & crashed
        return CrashReport(self.content, crashed, cleared, self.trials, ages)

    def drop_expired(self, max_age: float) -> CrashReport:
        """Return the report without crashes that are too old, unless it is refused.

        :param max_age: seconds
        """
        if self.blocked:
            return self
        fresh = frozenset(
            upstream for upstream in self.crashed if self.age(upstream) <= max_age
        )
        return self if len(fresh) == len(self.crashed) else self.restrict_to(fresh)


@dataclass(frozen=True, slots=True)
class Blocked:
    """The refusal of a content.

    :param retry_after: seconds after which the caller may retry
    """

    retry_after: float


@dataclass(slots=True)
class _Entry:
    """The state of one content, in times of this instance's clock.

    :param crashed: when each upstream crashed, in seconds
    :param next_trial: when it may be tried again, in seconds
    """

    content: bytes
    crashed: dict[str, float]
    cleared: frozenset[str]
    trials: int
    next_trial: float

    def describe(self, now: float) -> CrashReport:
        """Return the state as a report without expired crashes."""
        ages = {
            upstream: now - crashed_at for upstream, crashed_at in self.crashed.items()
        }
        crashed = frozenset(self.crashed)
        report = CrashReport(self.content, crashed, self.cleared, self.trials, ages)
        return report.drop_expired(RETENTION_SECONDS)

    def merge(self, report: CrashReport, now: float) -> None:
        """Merge the report of another instance.

        The time in transit is missing from a reported age, so the earliest time of a
        crash is the most accurate.
        """
        for upstream in report.crashed:
            crashed_at = now - report.age(upstream)
            self.crashed[upstream] = min(
                crashed_at, self.crashed.get(upstream, crashed_at)
            )
        self.cleared |= report.cleared
        if len(self.crashed) > MAX_UPSTREAMS:
            self._drop_crashes()
        self.cleared = self.cleared & frozenset(self.crashed)
        self.trials = max(self.trials, report.trials)

    def _drop_crashes(self) -> None:
        """Keep only the newest crashes that are not cleared."""
        uncleared = [
            item for item in self.crashed.items() if item[0] not in self.cleared
        ]
        uncleared.sort(key=lambda item: (-item[1], item[0]))
        self.crashed = dict(uncleared[:MAX_UPSTREAMS])


class CrashHistory:
    """The contents under which upstreams crashed, as one instance knows them.

    Suspected contents expire. Refused contents are dropped only to make room for newer
    ones.

    :param clock: returns the time in seconds
    :param may_run_trial: returns whether this instance runs the trials of a content
    """

    def __init__(
        self, clock: Callable[[], float], may_run_trial: Callable[[bytes], bool]
    ) -> None:
        self._clock = clock
        self._may_run_trial = may_run_trial
        # Both are ordered by the last change, the latest last.
        self._suspected: dict[bytes, _Entry] = {}
        self._blocked: dict[bytes, _Entry] = {}

    @property
    def empty(self) -> bool:
        """Whether no content is known, so that lookups can be skipped."""
        return not self._suspected and not self._blocked

    def blocked(self) -> list[CrashReport]:
        """Return reports of the refused contents, the latest change first."""
        now = self._clock()
        return [entry.describe(now) for entry in reversed(self._blocked.values())]

    def suspected(self) -> list[CrashReport]:
        """Return reports of the other contents, the latest change first."""
        now = self._clock()
        known = [entry.describe(now) for entry in reversed(self._suspected.values())]
        return [report for report in known if report.crashed]

    def find(self, content: bytes) -> CrashReport | None:
        """Return the report of a content, ``None`` if it is unknown or expired."""
        entry = self._find(content)
        if entry is None:
            return None
        known = entry.describe(self._clock())
        return known if known.crashed or known.trials else None

    def note_crash(self, content: bytes, upstream: str) -> CrashReport | None:
        """Record that an upstream crashed while it ran a content.

        :returns: the report to send to peers, ``None`` if nothing changed
        """
        report = CrashReport(content, frozenset({upstream}))
        return self.find(content) if self.receive(report) else None

    def note_served(self, content: bytes) -> CrashReport | None:
        """Record that a run of a content completed.

        :returns: the report to send to peers, ``None`` if it was not suspected
        """
        known = self.find(content)
        if known is None or not known.suspected:
            return None
        self.receive(replace(known, cleared=known.crashed))
        return self.find(content)

    def receive(self, report: CrashReport) -> bool:
        """Merge the report of another instance; return whether it is new."""
        content, now = report.content, self._clock()
        entry = self._find(content)
        if entry is None:
            entry = _Entry(content, {}, frozenset(), 0, now)
        before = entry.describe(now)
        entry.merge(self._drop_expired(report, before), now)
        merged = entry.describe(now)
        if merged == before:
            return False
        if merged.crashed != before.crashed or merged.trials != before.trials:
            last = len(TRIAL_DELAYS_SECONDS) - 1
            entry.next_trial = now + TRIAL_DELAYS_SECONDS[min(merged.trials, last)]
        self._suspected.pop(content, None)
        self._blocked.pop(content, None)
        entries = self._blocked if merged.blocked else self._suspected
        entries[content] = entry
        self._prune()
        return True

    def check(self, content: bytes) -> Blocked | None:
        """Return the refusal of a content, ``None`` if it may run."""
        entry = self._blocked.get(content)
        if entry is None:
            return None
        if entry.trials >= len(TRIAL_DELAYS_SECONDS):
            return Blocked(BLOCKED_RETRY_SECONDS)
        # A trial that is due runs at one instance, which the next retry may reach.
        return Blocked(max(MIN_RETRY_SECONDS, entry.next_trial - self._clock()))

    def start_trial(self, content: bytes) -> CrashReport | None:
        """Allow a refused content one run, if a trial is due at this instance.

        :returns: the report to send to peers before the run starts, ``None`` if it may
            not run
        """
        entry = self._blocked.get(content)
        if entry is None or not self._may_run_trial(content):
            return None
        trials = entry.trials
        if trials >= len(TRIAL_DELAYS_SECONDS) or self._clock() < entry.next_trial:
            return None
        self.receive(CrashReport(content, frozenset(), trials=trials + 1))
        return self.find(content)

    def _find(self, content: bytes) -> _Entry | None:
        return self._blocked.get(content) or self._suspected.get(content)

    def _drop_expired(self, report: CrashReport, known: CrashReport) -> CrashReport:
        """Return a report without crashes that are both unknown here and too old."""
        fresh = report.drop_expired(MAX_REPORT_AGE_SECONDS).crashed
        return report.restrict_to(fresh | (report.crashed & known.crashed))

    def _prune(self) -> None:
        """Drop expired contents, and the oldest beyond the bounds.

        Once more contents are suspected than are kept, instances may differ.
        """
        now = self._clock()
        while self._suspected:
            content, entry = next(iter(self._suspected.items()))
            known = entry.describe(now)
            is_known = known.crashed or known.trials
            if is_known and len(self._suspected) <= MAX_SUSPECTED:
                break
            del self._suspected[content]
        if len(self._blocked) > MAX_BLOCKED:
            del self._blocked[next(iter(self._blocked))]

"""Tracks requests that crash upstreams, and refuses them after repeated crashes.

A request may crash every upstream that runs it, and all other requests there fail as
well. Its caller retries at any instance under a new request ID, so a request is
identified by a digest of its content, here called its content. Instances report to each
other which upstreams crashed while they ran a content. Parts of prompts are tracked in
the same way, see ``partcrashes``.

Contents that ran at the same upstream are suspected as well. A run that completes
clears its content of all crashes known by then, and of its trials.

The state of a content consists of the upstreams that crashed, the age of each crash,
the crashes that the content was cleared of, the number of its trials, how many of them
were before it was last cleared, and which one was lost for no fault of the content.
Reports may arrive late, twice, in any order and through other instances. They are
merged such that instances that have received the same reports have the same state.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from itertools import pairwise
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

# Number of crashed upstreams from which a content is refused. A harmless request may be
# running at two upstreams when they crash, but rarely at three.
CRASHES_TO_BLOCK = 3
# Delays before each trial of a refused content: the first after the last crash, while
# its callers may still be waiting, the second after the first trial, when an unrelated
# fault should be over. There are no further trials, since each may crash another
# upstream, except that one which was lost without a crash is repeated.
TRIAL_DELAYS_SECONDS = (10.0, 120.0)
# Time between two crashes from which the later one may be that of a trial. It is less
# than the delay of the first trial, since reported ages of crashes are inexact.
MIN_TRIAL_CRASH_GAP_SECONDS = TRIAL_DELAYS_SECONDS[0] / 2
# Minimum retry delay for callers; a trial takes about as long. Also the delay before a
# trial is repeated whose request did not run.
MIN_RETRY_SECONDS = 1.0
# Retry delay for callers whose content gets no more trials.
BLOCKED_RETRY_SECONDS = 600.0
# Crashes further apart than this count as unrelated. It also bounds for how long
# completed runs are compared with suspected contents.
CRASH_WINDOW_SECONDS = 600.0
# Reported crashes that are older than this are ignored if they are not yet known,
# unless the report is of a refused content. A peer that was cut off for longer reports
# nothing that concerns present callers.
MAX_REPORT_AGE_SECONDS = 2 * CRASH_WINDOW_SECONDS
# A crash is kept for as long as related crashes may still be reported.
RETENTION_SECONDS = MAX_REPORT_AGE_SECONDS + CRASH_WINDOW_SECONDS
# Maximum suspected contents, refused contents, and upstreams of each content. A crash
# adds as many suspected contents as were running at the upstream.
MAX_SUSPECTED = 4096
MAX_BLOCKED = 1024
MAX_UPSTREAMS = 16


@dataclass(frozen=True, slots=True)
class CrashReport:
    """The state of one content.

    :param crashed: incarnations of upstreams that crashed while they ran it
    :param cleared: those of ``crashed`` whose crash a completed run has cleared
    :param trials: number of trials after it was refused
    :param ages: seconds since each upstream crashed; 0 for upstreams without an entry
    :param cleared_trials: how many trials had started when it was last cleared
    :param lost_trial: number of a trial that was lost although its upstream did not
        crash; it does not count. 0 if there is none
    """

    content: bytes
    crashed: frozenset[str]
    cleared: frozenset[str] = frozenset()
    trials: int = 0
    ages: Mapping[str, float] = field(default_factory=dict, compare=False)
    cleared_trials: int = 0
    lost_trial: int = 0

    @property
    def uncleared(self) -> frozenset[str]:
        """The upstreams of whose crashes it is not cleared."""
        return self.crashed - self.cleared

    @property
    def suspected(self) -> bool:
        """Whether there are crashes of which it is not cleared."""
        return bool(self.uncleared)

    @property
    def blocked(self) -> bool:
        """Whether it is refused: enough upstreams crashed within the crash window.

        The result does not change as the crashes age.
        """
        ages = sorted(self.age(upstream) for upstream in self.uncleared)
        last = CRASHES_TO_BLOCK - 1
        spans = zip(ages, ages[last:], strict=False)
        return any(
            oldest - youngest <= CRASH_WINDOW_SECONDS for youngest, oldest in spans
        )

    @property
    def trial_numbers(self) -> tuple[int, int, int]:
        """The numbers of its trials: all, the cleared ones, and the lost one."""
        return self.trials, self.cleared_trials, self.lost_trial

    def age(self, upstream: str) -> float:
        """Return the seconds since an upstream crashed."""
        return self.ages.get(upstream, 0.0)

    def restrict_to(self, crashed: frozenset[str]) -> CrashReport:
        """Return the report with only the crashes of the given upstreams."""
        ages = {upstream: self.age(upstream) for upstream in crashed}
        return replace(self, crashed=crashed, cleared=self.cleared & crashed, ages=ages)

    def drop_expired(self, max_age: float) -> CrashReport:
        """Return the report without old crashes; a refused content keeps all of them.

        :param max_age: maximum age of a crash, in seconds
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
    """The state of one content. Times are in seconds of this instance's clock.

    :param crashed: when each upstream crashed
    :param trials: number of trials, of which ``cleared_trials`` and ``lost_trial`` do
        not count
    :param next_trial: when it may be tried again
    :param returned: whether the request of the latest trial did not run, so that the
        trial may start again
    """

    content: bytes
    crashed: dict[str, float]
    cleared: frozenset[str]
    next_trial: float
    trials: int = 0
    cleared_trials: int = 0
    lost_trial: int = 0
    returned: bool = False

    @property
    def has_lost_trial(self) -> bool:
        """Whether a trial was lost without a crash since the last clearing.

        There is at most one, since the upstream may have crashed after all.
        """
        return self.lost_trial > self.cleared_trials

    @property
    def repeats_lost_trial(self) -> bool:
        """Whether a trial that was lost without a crash may start again.

        Once a trial has crashed an upstream, the lost one counts. It may have run
        beside another one in a partition.
        """
        return self.has_lost_trial and not self._has_later_crash()

    def _has_later_crash(self) -> bool:
        """Return whether an uncleared crash may be that of a trial.

        It comes long after the others, since the first trial does.
        """
        uncleared = self.crashed.keys() - self.cleared
        times = sorted(self.crashed[upstream] for upstream in uncleared)
        return any(
            later - earlier >= MIN_TRIAL_CRASH_GAP_SECONDS
            for earlier, later in pairwise(times)
        )

    @property
    def completed_trials(self) -> int:
        """The number of trials since the last clearing that may not start again."""
        counted = self.trials - self.cleared_trials - self.repeats_lost_trial
        return counted - 1 if self.returned else counted

    @property
    def has_trial(self) -> bool:
        """Whether a trial is left."""
        return self.completed_trials < len(TRIAL_DELAYS_SECONDS)

    def delay_trial(self, now: float) -> None:
        """Delay the next trial by the time that its number requires.

        The first is delayed from the last crash on, however late that became known,
        unless it is repeated.
        """
        last = len(TRIAL_DELAYS_SECONDS) - 1
        number = min(self.completed_trials, last)
        is_first = not number and not self.has_lost_trial
        since = self._find_last_crash(now) if is_first else now
        self.next_trial = since + TRIAL_DELAYS_SECONDS[number]

    def _find_last_crash(self, now: float) -> float:
        """Return when the last uncleared crash was, the present if there is none."""
        uncleared = self.crashed.keys() - self.cleared
        return max((self.crashed[upstream] for upstream in uncleared), default=now)

    def describe(self, now: float) -> CrashReport:
        """Return the state as a report; unless refused, without expired crashes."""
        ages = {
            upstream: now - crashed_at for upstream, crashed_at in self.crashed.items()
        }
        crashed = frozenset(self.crashed)
        report = CrashReport(
            self.content,
            crashed,
            self.cleared,
            self.trials,
            ages,
            self.cleared_trials,
            self.lost_trial,
        )
        return report.drop_expired(RETENTION_SECONDS)

    def merge(self, report: CrashReport, now: float) -> None:
        """Merge a report.

        A reported age does not include the time in transit, so the earliest time of a
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
        self.cleared_trials = max(self.cleared_trials, report.cleared_trials)
        self.lost_trial = max(self.lost_trial, report.lost_trial)
        self.trials = max(
            self.trials, report.trials, self.cleared_trials, self.lost_trial
        )

    def _drop_crashes(self) -> None:
        """Keep only the newest uncleared crashes, at most ``MAX_UPSTREAMS``."""
        uncleared = [
            item for item in self.crashed.items() if item[0] not in self.cleared
        ]
        uncleared.sort(key=lambda item: (-item[1], item[0]))
        self.crashed = dict(uncleared[:MAX_UPSTREAMS])


class CrashHistory:
    """The contents under which upstreams crashed, as one instance knows them.

    Suspected contents expire. Refused contents do not; beyond ``MAX_BLOCKED``, the one
    that has not changed for longest is dropped.

    :param clock: returns the time in seconds
    :param may_run_trial: returns whether this instance runs the trials of a content
    :ivar changes: number of changes of the state
    """

    def __init__(
        self, clock: Callable[[], float], may_run_trial: Callable[[bytes], bool]
    ) -> None:
        self._clock = clock
        self._may_run_trial = may_run_trial
        self.changes = 0
        # Both are ordered by the last change, most recent last.
        self._suspected: dict[bytes, _Entry] = {}
        self._blocked: dict[bytes, _Entry] = {}

    @property
    def empty(self) -> bool:
        """Whether no content is known, so that lookups can be skipped."""
        return not self._suspected and not self._blocked

    def blocked(self) -> list[CrashReport]:
        """Return reports of the refused contents, most recently changed first."""
        now = self._clock()
        return [entry.describe(now) for entry in reversed(self._blocked.values())]

    def suspected(self) -> list[CrashReport]:
        """Return reports of the other contents, most recently changed first."""
        now = self._clock()
        known = [entry.describe(now) for entry in reversed(self._suspected.values())]
        return [report for report in known if report.crashed]

    def find(self, content: bytes) -> CrashReport | None:
        """Return the report of a content, ``None`` if it is unknown or has expired."""
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
        self.receive(replace(known, cleared=known.crashed, cleared_trials=known.trials))
        return self.find(content)

    def receive(self, report: CrashReport) -> bool:
        """Merge a report, usually of a peer; return whether it changes the state."""
        content, now = report.content, self._clock()
        entry = self._find(content)
        if entry is None:
            entry = _Entry(content, {}, frozenset(), now)
        before = entry.describe(now)
        entry.merge(self._drop_expired(report, before), now)
        merged = entry.describe(now)
        if merged == before:
            return False
        self.changes += 1
        trials_changed = merged.trial_numbers != before.trial_numbers
        if trials_changed:
            entry.returned = False
        if trials_changed or merged.crashed != before.crashed:
            entry.delay_trial(now)
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
        if not entry.has_trial:
            return Blocked(BLOCKED_RETRY_SECONDS)
        # Only one instance runs a trial that is due; the next retry may reach it.
        return Blocked(max(MIN_RETRY_SECONDS, entry.next_trial - self._clock()))

    def start_trial(self, content: bytes) -> CrashReport | None:
        """Allow a refused content one run, if a trial is due at this instance.

        :returns: the report to send to peers before the run starts, ``None`` if it may
            not run
        """
        entry = self._blocked.get(content)
        if entry is None or not self._may_run_trial(content):
            return None
        now = self._clock()
        if not entry.has_trial or now < entry.next_trial:
            return None
        if entry.returned:
            entry.returned = False
            entry.delay_trial(now)
        else:
            self.receive(CrashReport(content, frozenset(), trials=entry.trials + 1))
        return self.find(content)

    def return_trial(self, started: CrashReport) -> None:
        """Let a trial start again soon, as its request did not run.

        Other instances are not told, since only one runs the trials.

        :param started: the report that ``start_trial`` returned
        """
        entry = self._find_latest(started)
        if entry is not None:
            entry.returned = True
            entry.next_trial = self._clock() + MIN_RETRY_SECONDS

    def note_trial_lost(self, started: CrashReport) -> CrashReport | None:
        """Record that a trial was lost although its upstream did not crash.

        :param started: the report that ``start_trial`` returned
        :returns: the report to send to peers, ``None`` if the trial counts all the same
        """
        content = started.content
        entry = self._find_latest(started)
        if entry is None or entry.has_lost_trial:
            return None
        self.receive(CrashReport(content, frozenset(), lost_trial=started.trials))
        return self.find(content)

    def _find_latest(self, started: CrashReport) -> _Entry | None:
        """Return the entry of a trial that is the latest one of a refused content."""
        entry = self._blocked.get(started.content)
        if entry is None:
            return None
        known = entry.describe(self._clock()).trial_numbers
        return entry if known == started.trial_numbers else None

    def _find(self, content: bytes) -> _Entry | None:
        return self._blocked.get(content) or self._suspected.get(content)

    def _drop_expired(self, report: CrashReport, known: CrashReport) -> CrashReport:
        """Return a report without crashes that are both unknown here and too old."""
        fresh = report.drop_expired(MAX_REPORT_AGE_SECONDS).crashed
        return report.restrict_to(fresh | (report.crashed & known.crashed))

    def _prune(self) -> None:
        """Drop expired contents, oldest first, and the oldest beyond the bounds.

        Instances may disagree on suspected contents once ``MAX_SUSPECTED`` is exceeded.
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

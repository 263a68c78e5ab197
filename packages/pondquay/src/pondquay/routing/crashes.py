"""Requests under which upstreams crash, and when such a request is refused.

A request may crash every upstream that begins to run it, and everything beside it there
is lost. Its caller comes again, at any instance and under another name, so a request is
known by its content, and instances tell each other which upstreams crashed under it.

Requests that were beside it are suspected as well. A run that comes to its end clears
its content of all upstreams that are known to have crashed under it by then.

What is known of a content are facts: the upstreams that crashed and how long ago, those
that it was cleared of, and how often it was tried again. Reports can come late, twice,
in any order and over others. The age of a crash goes with it, so it does not matter
when and from whom an instance hears: those that have heard the same know the same.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

# Upstreams that may crash under a content until it is refused. A request with two
# attempts is beside one that crashes its upstreams twice easily, three times seldom.
CRASHES_TO_BLOCK = 3
# Seconds after which a content that is refused may be tried once more, in case that the
# upstreams crashed of something else: first while its callers may still wait, then once
# that trouble is surely over. At most as often in all, since each may crash one more.
TRIAL_DELAYS_SECONDS = (10.0, 120.0)
# What a caller is told at least, in seconds: a trial that is due takes about as long.
SOONEST_RETRY_SECONDS = 1.0
# What a caller is told whose content will not be tried again, in seconds.
BLOCKED_RETRY_SECONDS = 600.0
# Crashes that lie further apart, in seconds, are taken for unrelated. It bounds for how
# long runs that end well are compared with suspected contents.
SUSPECT_SECONDS = 600.0
# A crash that is heard of later, in seconds, is passed over: what was cut off for
# longer has little to say of callers that come now.
LATEST_NEWS_SECONDS = 2 * SUSPECT_SECONDS
# A crash is kept for as long as others that count with it may be heard of.
KEPT_SECONDS = LATEST_NEWS_SECONDS + SUSPECT_SECONDS
# Contents that are suspected at a time, contents that are refused, and upstreams of
# each. A crash brings as many suspects as were running there.
MAX_SUSPECTED = 4096
MAX_BLOCKED = 1024
MAX_UPSTREAMS = 16


@dataclass(frozen=True, slots=True)
class CrashReport:
    """What is known of one content.

    :param crashed: lives of upstreams that ended while they ran it
    :param cleared: those of them that ended before a run of it came to its end
    :param trials: how often it was tried again after it had been refused
    :param ages: seconds since each of them ended, 0 where it has just done so
    """

    content: bytes
    crashed: frozenset[str]
    cleared: frozenset[str] = frozenset()
    trials: int = 0
    ages: Mapping[str, float] = field(default_factory=dict, compare=False)

    @property
    def suspected(self) -> bool:
        """Whether upstreams crashed under it since it last ran to its end."""
        return bool(self.crashed - self.cleared)

    @property
    def blocked(self) -> bool:
        """Whether it is refused: enough upstreams crashed within a while.

        This does not change as the crashes age.
        """
        ages = sorted(self.age(one) for one in self.crashed - self.cleared)
        last = CRASHES_TO_BLOCK - 1
        spans = zip(ages, ages[last:], strict=False)
        return any(late - early <= SUSPECT_SECONDS for early, late in spans)

    def age(self, upstream: str) -> float:
        """Return the seconds since an upstream crashed."""
        return self.ages.get(upstream, 0.0)

    def keep(self, crashed: frozenset[str]) -> CrashReport:
        """Return what it says of some upstreams alone."""
        ages = {one: self.age(one) for one in crashed}
        cleared = self.cleared & crashed
        return CrashReport(self.content, crashed, cleared, self.trials, ages)

    def drop_expired(self, most: float) -> CrashReport:
        """Return it without crashes that are too old, unless it is refused for them.

        :param most: seconds
        """
        if self.blocked:
            return self
        fresh = frozenset(one for one in self.crashed if self.age(one) <= most)
        return self if len(fresh) == len(self.crashed) else self.keep(fresh)


@dataclass(frozen=True, slots=True)
class Blocked:
    """A content is refused.

    :param retry_after: seconds after which it may be tried again
    """

    retry_after: float


@dataclass(slots=True)
class _Entry:
    """One content, in times of this instance's clock.

    :param crashed: when each upstream crashed, in seconds
    :param next_trial: when it may be tried again, in seconds
    """

    content: bytes
    crashed: dict[str, float]
    cleared: frozenset[str]
    trials: int
    next_trial: float

    def describe(self, now: float) -> CrashReport:
        """Return what is known."""
        ages = {one: now - at for one, at in self.crashed.items()}
        crashed = frozenset(self.crashed)
        report = CrashReport(self.content, crashed, self.cleared, self.trials, ages)
        return report.drop_expired(KEPT_SECONDS)

    def merge(self, report: CrashReport, now: float) -> None:
        """Take in what another instance knows.

        An age grows on its way by less than the way takes, so the oldest is the truest.
        """
        for one in report.crashed:
            at = now - report.age(one)
            self.crashed[one] = min(at, self.crashed.get(one, at))
        self.cleared |= report.cleared
        if len(self.crashed) > MAX_UPSTREAMS:
            self._drop_crashes()
        self.cleared = self.cleared & frozenset(self.crashed)
        self.trials = max(self.trials, report.trials)

    def _drop_crashes(self) -> None:
        """Keep the newest crashes; what was cleared decides nothing any more."""
        left = [one for one in self.crashed.items() if one[0] not in self.cleared]
        left.sort(key=lambda one: (-one[1], one[0]))
        self.crashed = dict(left[:MAX_UPSTREAMS])


class CrashHistory:
    """The contents under which upstreams crashed, as one instance knows them.

    A suspicion is dropped after a while, a content that is refused only for the sake of
    newer ones.

    :param clock: tells the time in seconds
    :param is_trier: tells whether this instance is the one that tries a content again
    """

    def __init__(
        self, clock: Callable[[], float], is_trier: Callable[[bytes], bool]
    ) -> None:
        self._clock = clock
        self._is_trier = is_trier
        # In both, what changed last is last.
        self._suspected: dict[bytes, _Entry] = {}
        self._blocked: dict[bytes, _Entry] = {}

    @property
    def empty(self) -> bool:
        """Whether no content is known, so that none has to be looked up."""
        return not self._suspected and not self._blocked

    def blocked(self) -> list[CrashReport]:
        """Return what is known of the contents that are refused, the newest first."""
        now = self._clock()
        return [one.describe(now) for one in reversed(self._blocked.values())]

    def suspected(self) -> list[CrashReport]:
        """Return what is known of the other contents, the newest first."""
        now = self._clock()
        known = [one.describe(now) for one in reversed(self._suspected.values())]
        return [one for one in known if one.crashed]

    def find(self, content: bytes) -> CrashReport | None:
        """Return what is known of a content."""
        entry = self._find(content)
        if entry is None:
            return None
        known = entry.describe(self._clock())
        return known if known.crashed or known.trials else None

    def note_crash(self, content: bytes, upstream: str) -> CrashReport | None:
        """Take in that an upstream ended while it ran a content.

        :returns: what peers are to hear, ``None`` if that was known
        """
        report = CrashReport(content, frozenset({upstream}))
        return self.find(content) if self.receive(report) else None

    def note_served(self, content: bytes) -> CrashReport | None:
        """Take in that a run of a content came to its end.

        :returns: what peers are to hear, ``None`` if it was not suspected
        """
        known = self.find(content)
        if known is None or not known.suspected:
            return None
        self.receive(replace(known, cleared=known.crashed))
        return self.find(content)

    def receive(self, report: CrashReport) -> bool:
        """Take in what another instance knows; tell whether it is new."""
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
        self._forget_old()
        return True

    def check(self, content: bytes) -> Blocked | None:
        """Tell whether a content is refused now."""
        entry = self._blocked.get(content)
        if entry is None:
            return None
        if entry.trials >= len(TRIAL_DELAYS_SECONDS):
            return Blocked(BLOCKED_RETRY_SECONDS)
        # One that is due is tried by an instance that its callers may reach next.
        return Blocked(max(SOONEST_RETRY_SECONDS, entry.next_trial - self._clock()))

    def start_trial(self, content: bytes) -> CrashReport | None:
        """Allow a refused content one run, if it is due and this instance's to allow.

        :returns: what peers are to hear before the run begins
        """
        entry = self._blocked.get(content)
        if entry is None or not self._is_trier(content):
            return None
        trials = entry.trials
        if trials >= len(TRIAL_DELAYS_SECONDS) or self._clock() < entry.next_trial:
            return None
        self.receive(CrashReport(content, frozenset(), trials=trials + 1))
        return self.find(content)

    def _find(self, content: bytes) -> _Entry | None:
        return self._blocked.get(content) or self._suspected.get(content)

    def _drop_expired(self, report: CrashReport, known: CrashReport) -> CrashReport:
        """Return a report without crashes that are new here and too old."""
        fresh = report.drop_expired(LATEST_NEWS_SECONDS).crashed
        return report.keep(fresh | (report.crashed & known.crashed))

    def _forget_old(self) -> None:
        """Drop what says nothing any more, and what is too much.

        Where more contents are suspected than are kept, instances may differ.
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

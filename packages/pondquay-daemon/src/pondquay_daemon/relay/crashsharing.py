"""Shares what an instance learns of crashes with its peers and the table."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondquay_daemon.logs import Level, log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pondquay.routing.crashes import CrashHistory, CrashReport

# Where an instance has heard of a report, for the log.
OWN_SOURCE = "here"
FROM_PEER = "peer"
FROM_STORE = "store"
# Maximum numbers of reports on blocked and suspected keys that are sent on a new link,
# so that starting instances do not saturate links. Other reports are sent when they
# change.
MAX_ANNOUNCED_BLOCKED = 64
MAX_ANNOUNCED_SUSPECTED = 64


@dataclass(frozen=True, slots=True)
class Trial:
    """The trial of a blocked key, which has started.

    :param sharing: shares the reports of the key
    :param report: the key's report as of the start
    """

    sharing: CrashSharing
    report: CrashReport

    def give_back(self) -> None:
        """Let the trial start again soon, as its request did not run."""
        self.sharing.log_trial("not-tried", self.report)
        self.sharing.history.return_trial(self.report)

    def note_lost(self) -> None:
        """Record that the trial was lost although its upstream did not crash."""
        self.sharing.note_trial_lost(self.report)


@dataclass(slots=True)
class CrashSharing:
    """Shares the crash reports of one kind: those of contents, or of prompt parts.

    :param kind: what the reports are of, for the log
    :param stores_rows: returns whether this instance writes the row of a key that a
        peer reports
    :param announce: sends reports to all peers
    :param persist: updates the table's row of a key that is or was blocked
    :param on_blocked: called after keys were blocked
    """

    kind: str
    history: CrashHistory
    stores_rows: Callable[[bytes], bool]
    announce: Callable[[Iterable[CrashReport]], None]
    persist: Callable[[CrashReport], None]
    on_blocked: Callable[[], None]

    def note_crash(self, keys: Iterable[bytes], upstream: str) -> None:
        """Record that an upstream crashed under all of the keys."""
        noted = [self.history.note_crash(key, upstream) for key in keys]
        reports = [report for report in noted if report is not None]
        if reports:
            self.announce(reports)
        blocked = [report for report in reports if report.blocked]
        for report in blocked:
            self._log_decision(report, OWN_SOURCE)
            self.persist(report)
        if blocked:
            self.on_blocked()

    def share_cleared(self, report: CrashReport, *, was_blocked: bool) -> None:
        """Share that a completed run has cleared a key."""
        self.announce([report])
        if was_blocked:
            self._log_decision(report, OWN_SOURCE)
            self.persist(report)

    def share_trial(self, report: CrashReport) -> Trial:
        """Share that a trial of a blocked key starts, and return the trial."""
        self.log_trial("tried", report)
        self.announce([report])
        self.persist(report)
        return Trial(self, report)

    def note_trial_lost(self, started: CrashReport) -> None:
        """Share that a trial was lost without a crash, unless it counts all the same.

        :param started: the report as of the start of the trial
        """
        report = self.history.note_trial_lost(started)
        if report is not None:
            self.log_trial("trial-lost", report)
            self.announce([report])
            self.persist(report)

    def log_trial(self, event: str, report: CrashReport) -> None:
        """Log an event of a trial."""
        log_event(
            f"{self.kind}-{event}",
            Level.INFO,
            trials=report.trials,
            **{self.kind: report.content.hex()},
        )

    def receive(self, report: CrashReport, source: str) -> None:
        """Merge a report from a peer or the table.

        Changes to keys that are or were blocked are forwarded to all peers, since not
        all instances of a large fleet are linked. Other reports are not forwarded,
        since each crash causes dozens of them.
        """
        before = self.history.find(report.content)
        if not self.history.receive(report):
            return
        now = self.history.find(report.content)
        if now is None:
            return
        was_blocked = before is not None and before.blocked
        if now.blocked or was_blocked:
            self.announce([now])
        if now.blocked != was_blocked:
            self._log_decision(now, source)
        if now.blocked != was_blocked and self.stores_rows(now.content):
            self.persist(now)
        if now.blocked:
            self.on_blocked()

    def list_announced(self) -> list[CrashReport]:
        """Return the reports to send on a new link."""
        blocked = self.history.blocked()[:MAX_ANNOUNCED_BLOCKED]
        return blocked + self.history.suspected()[:MAX_ANNOUNCED_SUSPECTED]

    def describe(self) -> list[dict[str, object]]:
        """Return the keys that are blocked, for operators."""
        return [
            {
                self.kind: report.content.hex(),
                "upstreams": sorted(report.uncleared),
                "trials": report.trials,
            }
            for report in self.history.blocked()
        ]

    def _log_decision(self, report: CrashReport, source: str) -> None:
        log_event(
            f"{self.kind}-blocked" if report.blocked else f"{self.kind}-cleared",
            Level.WARNING,
            upstreams=",".join(sorted(report.uncleared)),
            trials=report.trials,
            source=source,
            **{self.kind: report.content.hex()},
        )

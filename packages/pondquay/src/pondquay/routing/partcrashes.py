"""Finds the parts of prompts that crash upstreams, and refuses requests with them.

A part may crash every upstream that begins to write a response on it, whatever else the
request contains. Its callers send ever new requests, so that no content is known. A
request that was about to be written when its upstream crashed puts all its shared parts
under suspicion. A run that completes clears all its parts.

A part shares its requests with other parts, so several may be suspected of the same
crashes. A part is not blamed for crashes that a likelier part explains, unless a
request has both: requests without the likelier part are still served, which clears the
part if it is harmless and makes it the likelier one if it is not.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.crashes import MAX_SUSPECTED, CrashHistory, CrashReport

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from pondquay.routing.crashes import Blocked

# Maximum number of parts that are known to have been served.
MAX_SERVED = MAX_SUSPECTED


class PartCrashes:
    """The parts of prompts under which upstreams crashed, as one instance knows them.

    Parts are given by the keys of ``pondquay.requests.contents.digest_part``.

    :param clock: returns the time in seconds
    :param may_run_trial: returns whether this instance runs the trials of a part
    """

    def __init__(
        self, clock: Callable[[], float], may_run_trial: Callable[[bytes], bool]
    ) -> None:
        self.history = CrashHistory(clock, may_run_trial)
        # The most recently served part is last.
        self._served: dict[bytes, None] = {}

    def note_served(self, parts: Iterable[bytes]) -> list[CrashReport]:
        """Record that a run of a request with these parts completed.

        :returns: the reports to send to peers
        """
        reports = []
        for part in parts:
            self._served.pop(part, None)
            self._served[part] = None
            if (report := self.history.note_served(part)) is not None:
                reports.append(report)
        while len(self._served) > MAX_SERVED:
            del self._served[next(iter(self._served))]
        return reports

    def find_blamed(self, parts: Collection[bytes]) -> list[bytes]:
        """Return the parts for which a request with these parts is refused."""
        if not any(self.history.check(part) for part in parts):
            return []
        blocked = {report.content: report for report in self.history.blocked()}
        return [
            part
            for part in parts
            if part in blocked and self._is_blamed(part, parts, blocked)
        ]

    def check(self, parts: Collection[bytes]) -> Blocked | None:
        """Return the refusal of a request, ``None`` if it may run."""
        refusals = [self.history.check(part) for part in self.find_blamed(parts)]
        return max(
            (refusal for refusal in refusals if refusal is not None),
            key=lambda refusal: refusal.retry_after,
            default=None,
        )

    def start_trial(self, parts: Collection[bytes]) -> CrashReport | None:
        """Allow a refused request one run, if a trial is due at this instance.

        :returns: the report to send to peers before the run starts, ``None`` if it may
            not run
        """
        blamed = self.find_blamed(parts)
        # One part decides, so that several that are blamed together get one trial.
        return self.history.start_trial(min(blamed)) if blamed else None

    def _is_blamed(
        self, part: bytes, parts: Collection[bytes], blocked: dict[bytes, CrashReport]
    ) -> bool:
        """Return whether enough crashes of a part are left that no other explains."""
        report = blocked[part]
        explained: set[str] = set()
        for other in blocked.values():
            if other.content not in parts and self._is_likelier(other, report):
                explained |= other.uncleared
        return report.restrict_to(report.uncleared - explained).blocked

    def _is_likelier(self, other: CrashReport, report: CrashReport) -> bool:
        """Return whether another part is at least as likely to crash upstreams.

        A part that was served before is less likely to, however many crashes it has.
        """
        was_served = report.content in self._served
        other_was_served = other.content in self._served
        if was_served != other_was_served:
            return was_served
        return len(other.uncleared) >= len(report.uncleared)

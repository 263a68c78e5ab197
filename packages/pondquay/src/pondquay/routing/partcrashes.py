"""Finds the parts of prompts that crash upstreams, and refuses requests with them.

A part may crash every upstream that begins to write a response on it, whatever else the
request contains. Its callers send ever new requests, so that no content is known. A
request that was about to be written when its upstream crashed puts all its shared parts
under suspicion. A run that completes clears all its parts.

A part shares its requests with other parts, so several may be suspected of the same
crashes. A part is not blamed for crashes that another one explains, unless a request
has both: requests without the other part are still served, which clears the part if it
is harmless and shows further crashes if it is not. A part that was never served
explains the crashes of one that was, but not the other way round.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.crashes import MAX_SUSPECTED, CrashHistory, CrashReport

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from pondquay.routing.crashes import Blocked

# Number of crashes that a part may have beyond those of the part that explains them,
# such as one with another cause.
MAX_UNEXPLAINED = 1
# Crashes from which a part is blamed that was never served, whatever explains them.
MAX_EXPLAINED_CRASHES = 6
# Maximum number of parts that are known to have been served.
MAX_SERVED = MAX_SUSPECTED


class ServedParts:
    """The parts of prompts that were served here most recently."""

    def __init__(self) -> None:
        # The most recently served part is last.
        self._parts: dict[bytes, None] = {}

    def __contains__(self, part: bytes) -> bool:
        return part in self._parts

    def __len__(self) -> int:
        return len(self._parts)

    def note(self, parts: Iterable[bytes]) -> None:
        """Record that a run of a request with these parts completed."""
        for part in parts:
            self._parts.pop(part, None)
            self._parts[part] = None
        while len(self._parts) > MAX_SERVED:
            del self._parts[next(iter(self._parts))]


class PartCrashes:
    """The parts of prompts under which upstreams crashed, as one instance knows them.

    Parts are given by the keys of ``pondquay.requests.contents.digest_part``.

    :param clock: returns the time in seconds
    :param may_run_trial: returns whether this instance runs the trials of a part
    :param contents: crashes under contents, which explain those of their parts
    """

    def __init__(
        self,
        clock: Callable[[], float],
        may_run_trial: Callable[[bytes], bool],
        contents: CrashHistory | None = None,
    ) -> None:
        self._contents = contents
        self.history = CrashHistory(clock, may_run_trial)
        self.served = ServedParts()
        self._blocked: dict[bytes, CrashReport] = {}
        self._blocked_at: tuple[int, ...] = ()

    def note_served(self, parts: Collection[bytes]) -> list[CrashReport]:
        """Record that a run of a request with these parts completed.

        :returns: the reports to send to peers
        """
        self.served.note(parts)
        return self._clear(parts)

    def _clear(self, parts: Iterable[bytes]) -> list[CrashReport]:
        """Clear parts of all crashes known by now; return the changed reports."""
        reports = (self.history.note_served(part) for part in parts)
        return [report for report in reports if report is not None]

    def find_blamed(
        self, parts: Collection[bytes], content: bytes = b""
    ) -> list[bytes]:
        """Return the parts for which a request with these parts is refused.

        :param content: the request's content, if that is blocked as well
        """
        if not any(self.history.check(part) for part in parts):
            return []
        blocked = self._list_blocked()
        return [
            part
            for part in parts
            if part in blocked and self._is_blamed(part, {*parts, content}, blocked)
        ]

    def check(self, parts: Collection[bytes], content: bytes = b"") -> Blocked | None:
        """Return the refusal of a request, ``None`` if it may run.

        :param content: the request's content, if that is blocked as well
        """
        blamed = self.find_blamed(parts, content)
        refusals = [self.history.check(part) for part in blamed]
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

    def _list_blocked(self) -> dict[bytes, CrashReport]:
        """Return the blocked parts, with ages as of the latest change.

        Only the differences of ages matter, which do not change.
        """
        changes = self._count_changes()
        if self._blocked_at != changes:
            reports = self._select_blocked()
            self._blocked = {report.content: report for report in reports}
            self._blocked_at = changes
        return self._blocked

    def _count_changes(self) -> tuple[int, ...]:
        """Return numbers that differ whenever the blocked parts may have changed."""
        return (self.history.changes,)

    def _select_blocked(self) -> list[CrashReport]:
        """Return the reports of the blocked parts."""
        return self.history.blocked()

    def _is_blamed(
        self, part: bytes, own: set[bytes], blocked: dict[bytes, CrashReport]
    ) -> bool:
        """Return whether a part has enough crashes that nothing else explains.

        :param own: the parts of the request, and its content if that is blocked
        """
        report = blocked[part]
        others = [other for key, other in blocked.items() if key not in own]
        served = [other for other in others if other.content in self.served]
        unserved = [other for other in others if other.content not in self.served]
        if self._contents is not None:
            contents = self._contents.blocked()
            unserved += [other for other in contents if other.content not in own]
        if part not in self.served:
            is_certain = len(report.uncleared) >= MAX_EXPLAINED_CRASHES
            return is_certain or not any(_explains(other, report) for other in unserved)
        if any(_explains(other, report) for other in served):
            return False
        explained = frozenset[str]().union(*(other.uncleared for other in unserved))
        return report.restrict_to(report.uncleared - explained).blocked


def _explains(other: CrashReport, report: CrashReport) -> bool:
    """Return whether the crashes of a part are those of another one.

    A part with more crashes than another has some without it.
    """
    has_fewer = len(report.uncleared) <= len(other.uncleared)
    return has_fewer and len(report.uncleared - other.uncleared) <= MAX_UNEXPLAINED

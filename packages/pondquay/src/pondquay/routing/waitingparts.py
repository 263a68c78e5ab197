"""Finds the parts of prompts that crash upstreams before a response begins.

An upstream may crash before it sends the head of its response. Then nothing shows which
of the lost requests was running: those that waited there were lost in the same way. So
this evidence is weaker than that of responses that had begun, and counts for less:

* Parts that were served here before are not suspected. Most requests that wait share
  their parts with others that are served.
* Crashes at about the same time count as one, since upstreams that end together have a
  cause in common, such as their host.
* Crashes that a part explains whose response had begun do not count.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.partcrashes import PartCrashes

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from pondquay.routing.crashes import CrashReport

# Crashes within this time of each other count as one. Upstreams that end together are
# noticed within it; a request that is sent again needs longer to crash the next one.
SIMULTANEOUS_SECONDS = 0.1


class WaitingPartCrashes(PartCrashes):
    """Parts of prompts whose requests had no response when their upstream crashed.

    :param clock: returns the time in seconds
    :param may_run_trial: returns whether this instance runs the trials of a part
    :param begun: crashes under parts whose responses had begun
    """

    def __init__(
        self,
        clock: Callable[[], float],
        may_run_trial: Callable[[bytes], bool],
        begun: PartCrashes,
    ) -> None:
        super().__init__(clock, may_run_trial)
        self._begun = begun
        self.served = begun.served

    def select_suspects(self, parts: Collection[bytes]) -> list[bytes]:
        """Return the parts that may be suspected: those that were never served here."""
        return [part for part in parts if part not in self.served]

    def note_served(self, parts: Collection[bytes]) -> list[CrashReport]:
        """Clear parts of a request whose run completed.

        ``begun`` records that they were served.

        :returns: the reports to send to peers
        """
        return self._clear(parts)

    def _count_changes(self) -> tuple[int, ...]:
        return (self.history.changes, self._begun.history.changes)

    def _select_blocked(self) -> list[CrashReport]:
        """Return the blocked parts with the crashes that count."""
        begun = self._begun.history.blocked()
        explained = frozenset[str]().union(*(report.uncleared for report in begun))
        counted = (
            _drop_simultaneous(report.restrict_to(report.uncleared - explained))
            for report in self.history.blocked()
        )
        return [report for report in counted if report.blocked]

    def _is_blamed(
        self, part: bytes, own: set[bytes], blocked: dict[bytes, CrashReport]
    ) -> bool:
        return part not in self.served and super()._is_blamed(part, own, blocked)


def _drop_simultaneous(report: CrashReport) -> CrashReport:
    """Return the report with one of several crashes at about the same time."""
    kept: list[str] = []
    for upstream in sorted(report.crashed, key=report.age):
        age = report.age(upstream)
        if not kept or age - report.age(kept[-1]) >= SIMULTANEOUS_SECONDS:
            kept.append(upstream)
    return report.restrict_to(frozenset(kept))

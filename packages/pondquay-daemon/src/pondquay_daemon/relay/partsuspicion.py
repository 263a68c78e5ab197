"""Parts of prompts that are suspected on one kind of evidence, and who is told."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from pondquay.routing.partcrashes import PartCrashes
    from pondquay_daemon.relay.crashsharing import CrashSharing, Trial


@dataclass(frozen=True, slots=True)
class PartSuspicion:
    """The crashes under parts of prompts, by one kind of evidence.

    :param crashes: decides which parts are blamed
    :param sharing: shares changes with peers and the table
    """

    crashes: PartCrashes
    sharing: CrashSharing

    def note_served(self, parts: Collection[bytes]) -> None:
        """Record that a request whose prompt has these parts completed."""
        before = {part for part in parts if self.crashes.history.check(part)}
        for report in self.crashes.note_served(parts):
            self.sharing.share_cleared(report, was_blocked=report.content in before)

    def start_trial(self, parts: Collection[bytes]) -> Trial | None:
        """Start a trial of a refused request, and return it if one is due."""
        report = self.crashes.start_trial(parts)
        return None if report is None else self.sharing.share_trial(report)

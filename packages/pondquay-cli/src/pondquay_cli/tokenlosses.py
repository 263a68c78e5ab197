"""Computes from logs which tokens ended incarnations of instances took with them.

When an instance starts again, its next write to a workspace's row closes its earlier
incarnation as if all tokens up to its ceiling were spent. The logs of the instance tell
what its requests used, and which requests the crash interrupted.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pondquay_cli.logfiles import LogEvent


@dataclass(frozen=True, slots=True)
class TokenLoss:
    """Tokens of a workspace that one ended incarnation took with it.

    :param time: seconds at which the incarnation was closed
    :param ceiling: tokens that it may have spent
    :param used: tokens that its completed requests used
    :param interrupted: tokens reserved by requests that had not ended
    """

    time: float
    workspace: str
    instance: str
    ceiling: int
    used: int
    interrupted: int

    @property
    def unused(self) -> int:
        """Tokens that no completed request used; loans can make it negative."""
        return self.ceiling - self.used


@dataclass(slots=True)
class _Incarnation:
    """Requests of one incarnation of an instance.

    :param used: tokens used by completed requests, by workspace
    :param running: workspace and reserved tokens of each running request
    """

    used: defaultdict[str, int] = field(default_factory=lambda: defaultdict(int))
    running: dict[str, tuple[str, int]] = field(default_factory=dict)

    def sum_running(self, workspace: str) -> int:
        """Return the tokens that running requests of a workspace have reserved."""
        return sum(
            tokens for name, tokens in self.running.values() if name == workspace
        )


class LossCalculator:
    """Reads the events of all instances in order of time and collects losses."""

    def __init__(self) -> None:
        self.losses: list[TokenLoss] = []
        self._current: defaultdict[str, _Incarnation] = defaultdict(_Incarnation)
        self._earlier: dict[str, _Incarnation] = {}

    def note(self, event: LogEvent) -> None:
        """Process an event."""
        instance, fields = event.instance, event.fields
        if event.event == "started":
            self._earlier[instance] = self._current.pop(instance, _Incarnation())
        elif event.event == "tokens-reserved":
            running = fields.get("workspace", ""), read_count(fields.get("tokens"))
            self._current[instance].running[fields.get("request", "")] = running
        elif event.event == "request-ended":
            self._note_end(event)
        elif event.event == "incarnation-closed":
            self._note_closed(event)

    def _note_end(self, event: LogEvent) -> None:
        incarnation = self._current[event.instance]
        incarnation.running.pop(event.fields.get("request", ""), None)
        tokens = read_count(event.fields.get("tokens"))
        incarnation.used[event.fields.get("workspace", "")] += tokens

    def _note_closed(self, event: LogEvent) -> None:
        workspace = event.fields.get("workspace", "")
        earlier = self._earlier.get(event.instance, _Incarnation())
        self.losses.append(
            TokenLoss(
                event.time,
                workspace,
                event.instance,
                read_count(event.fields.get("ceiling")),
                earlier.used[workspace],
                earlier.sum_running(workspace),
            )
        )


def find_losses(events: Iterable[LogEvent]) -> list[TokenLoss]:
    """Return the losses that the events of all instances show, by time."""
    calculator = LossCalculator()
    for event in sorted(events, key=lambda event: event.time):
        calculator.note(event)
    return calculator.losses


def read_count(text: str | None) -> int:
    """Return a count of tokens; 0 if a field is missing or not a number."""
    try:
        return int(text or 0)
    except ValueError:
        return 0

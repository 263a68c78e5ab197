"""Records which build each relay ran at what time."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from pondquay_standins.soak.upstreamsignals import Disturbance

if TYPE_CHECKING:
    from pondquay_standins.soak.builds import Build


class BuildSpans:
    """The time spans in which each relay ran a build."""

    def __init__(self) -> None:
        self._starts: dict[str, list[tuple[float, Build]]] = {}

    def note_start(self, relay: str, build: Build, at: float) -> None:
        """Record that a relay's process was started, with the time in seconds."""
        self._starts.setdefault(relay, []).append((at, build))

    def list_without(self, feature: str) -> list[Disturbance]:
        """Return the spans in which relays ran a build that lacks a feature.

        :param feature: name of the attribute of ``Build`` that tells whether it has it
        """
        found = []
        for relay, starts in self._starts.items():
            ends = [at for at, _ in starts[1:]] + [math.inf]
            found += [
                Disturbance(relay, at, ended)
                for (at, build), ended in zip(starts, ends, strict=True)
                if not getattr(build, feature)
            ]
        return found

"""Records which build each relay ran, and when."""

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

    def record_start(self, relay: str, build: Build, at: float) -> None:
        """Record the start of a relay's process.

        :param at: when it started, in seconds of the monotonic clock
        """
        self._starts.setdefault(relay, []).append((at, build))

    def list_spans_without(self, feature: str) -> list[Disturbance]:
        """Return the time spans in which relays ran a build that lacks a feature.

        :param feature: name of a boolean attribute of ``Build``
        """
        spans = []
        for relay, starts in self._starts.items():
            ends = [at for at, _ in starts[1:]] + [math.inf]
            spans += [
                Disturbance(relay, at, end)
                for (at, build), end in zip(starts, ends, strict=True)
                if not getattr(build, feature)
            ]
        return spans

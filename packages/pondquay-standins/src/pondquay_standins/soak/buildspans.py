"""When each relay was of a build that does not know some promise."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from pondquay_standins.soak.upstreamsignals import Disturbance

if TYPE_CHECKING:
    from pondquay_standins.soak.builds import Build


class BuildSpans:
    """Which build each relay was of, and when."""

    def __init__(self) -> None:
        self._started: dict[str, list[tuple[float, Build]]] = {}

    def note(self, relay: str, build: Build, at: float) -> None:
        """Take in that a process of a relay has been started, in seconds."""
        self._started.setdefault(relay, []).append((at, build))

    def list_without(self, promise: str) -> list[Disturbance]:
        """Return when relays were of a build that does not know a promise.

        :param promise: the attribute of builds that tells whether they know it
        """
        found = []
        for relay, started in self._started.items():
            ends = [at for at, _ in started[1:]] + [math.inf]
            found += [
                Disturbance(relay, at, ended)
                for (at, build), ended in zip(started, ends, strict=True)
                if not getattr(build, promise)
            ]
        return found

"""Which upstream a request is sent to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.copies import (
    LEAST_COPIED_TOKENS,
    choose_source,
    count_lacking,
)
from pondquay.routing.rendezvous import choose_by_prompt, choose_nearest

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from twisted.internet.interfaces import IReactorTime

    from pondquay.routing.directory import KnownUpstream, UpstreamDirectory
    from pondquay.routing.prompts import PromptPart

# Part of an upstream's places that one instance may take in its own domain before it
# looks further.
CROWDED_PART = 0.5


class Placement:
    """Chooses upstreams by what their caches hold and by how they behave.

    :param current: tells whether the list of upstreams was confirmed lately
    """

    def __init__(
        self,
        clock: IReactorTime,
        directory: UpstreamDirectory,
        domain: str,
        current: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._domain = domain
        self._current = current

    def choose(
        self, service: str, prefix: tuple[PromptPart, ...], tried: Collection[str]
    ) -> KnownUpstream | None:
        """Return an upstream that was not tried yet, ``None`` if there is none."""
        known = self._directory.candidates(service, current=self._current())
        candidates = [one for one in known if one.name not in tried]
        if not candidates:
            return None
        now = self._clock.seconds()
        sound = [one for one in candidates if one.circuit.allows(now)] or candidates
        if prefix:
            return choose_by_prompt(sound, prefix, now)
        crowded = max(1, int(CROWDED_PART * sound[0].record.slots))
        return choose_nearest(sound, self._domain, crowded)

    def find_source(
        self, target: KnownUpstream, prefix: tuple[PromptPart, ...]
    ) -> KnownUpstream | None:
        """Return an upstream from which another may copy what it has not read."""
        if count_lacking(target, prefix) < LEAST_COPIED_TOKENS:
            return None
        now = self._clock.seconds()
        sound = [
            one
            for one in self._directory.candidates(target.record.service)
            if one.circuit.allows(now) and one.vanished is None
        ]
        return choose_source(target, sound, prefix)

    def has_other(self, service: str, tried: Collection[str]) -> bool:
        """Tell whether a sound upstream is left that was not tried."""
        now = self._clock.seconds()
        return any(
            one.name not in tried and one.circuit.allows(now)
            for one in self._directory.candidates(service)
        )

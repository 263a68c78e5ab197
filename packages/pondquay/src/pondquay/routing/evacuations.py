"""Which failure domains operators have emptied: their upstreams get no new work.

The operators' row of a domain stands in the platform's table for as long as the domain
is to stay empty. An instance hears of it from the table or from a peer, late and in any
order; of two pieces of news the one with the newer version of the table holds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping


@dataclass(frozen=True, slots=True)
class Evacuation:
    """News of one failure domain.

    :param version: of the table, at which the row was written or was gone
    :param evacuated: whether the domain is emptied, or was taken back
    """

    domain: str
    version: int
    evacuated: bool


@dataclass(frozen=True, slots=True)
class _ReceivedUpdate:
    news: Evacuation
    at: float


class Evacuations:
    """What an instance knows of emptied domains.

    :param clock: tells the time in seconds
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._updates: dict[str, _ReceivedUpdate] = {}
        self._evacuated: frozenset[str] = frozenset()
        # Up to this version the table is known as a whole, so older news of any domain
        # has been overtaken: also of one that a list before that had lacked as well.
        self._read_at = 0

    @property
    def evacuated(self) -> frozenset[str]:
        """The domains whose upstreams get no new work."""
        return self._evacuated

    @property
    def version(self) -> int:
        """The newest version at which a domain was emptied or taken back, or 0."""
        return max((one.news.version for one in self._updates.values()), default=0)

    def updates(self) -> list[Evacuation]:
        """Return the newest news of each domain."""
        return [one.news for one in self._updates.values()]

    def merge(self, news: Evacuation) -> bool:
        """Take in news; tell whether it is newer than what was known."""
        before = self._updates.get(news.domain)
        known = 0 if before is None else before.news.version
        if news.version <= max(known, self._read_at):
            return False
        self._updates[news.domain] = _ReceivedUpdate(news, self._clock())
        self._evacuated = frozenset(
            one.news.domain for one in self._updates.values() if one.news.evacuated
        )
        return True

    def replace(self, evacuated: Mapping[str, int], at: int) -> list[Evacuation]:
        """Take in all rows as they stood at some version, perhaps an old one.

        :param evacuated: for each emptied domain the version of its row
        :returns: what of it is new here
        """
        found = [Evacuation(name, version, True) for name, version in evacuated.items()]
        found += [
            Evacuation(name, at, False)
            for name, update in self._updates.items()
            if update.news.evacuated and name not in evacuated
        ]
        changed = [one for one in found if self.merge(one)]
        self._read_at = max(self._read_at, at)
        return changed

    def describe(self) -> str:
        """Return the emptied domains with version and age, for logs."""
        now = self._clock()
        return ",".join(
            f"{one.news.domain}@{one.news.version}+{now - one.at:.1f}s"
            for one in self._updates.values()
            if one.news.evacuated
        )

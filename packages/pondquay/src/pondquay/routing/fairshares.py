"""Who is refused when a fraction of the requests must be.

Where requests do not wait, the fraction is taken from the workspaces that ask for most
relative to what they usually get, as far as needed. A workspace at several times its
usual, or whose callers repeat at once, therefore costs the others nothing as long as
its own surplus suffices.
"""

from __future__ import annotations

from pondquay.routing.tokenrates import TokenRates

# Time in which the recent rate forgets half of the past.
RECENT_HALF_LIFE_SECONDS = 2.0


class FairShares:
    """Spreads refusals over the workspaces of requests of one rank."""

    def __init__(self) -> None:
        self._usual = TokenRates()
        self._recent = TokenRates(RECENT_HALF_LIFE_SECONDS)

    def note_asked(self, workspace: str, tokens: int, now: float) -> None:
        """Record a request, whether it is served or refused."""
        self._recent.note(workspace, tokens, now)

    def note_served(self, workspace: str, tokens: int, now: float) -> None:
        """Record a request that is not refused."""
        self._usual.note(workspace, tokens, now)

    def find_refused(self, workspace: str, fraction: float, now: float) -> float:
        """Return the fraction of a workspace's requests to refuse.

        :param fraction: fraction of the tokens of all workspaces to refuse
        """
        asked = self._recent.find(workspace, now)
        if asked <= 0 or fraction <= 0:
            return max(0.0, fraction)
        level = self._find_level(1.0 - min(1.0, fraction), now)
        share = level * self._usual.weigh(workspace, now)
        return max(0.0, 1.0 - share / asked)

    def _find_level(self, kept: float, now: float) -> float:
        """Return the tokens per second and weight that no workspace may exceed.

        :param kept: fraction of the tokens of all workspaces that are served
        """
        demands = [
            (self._recent.find(name, now), self._usual.weigh(name, now))
            for name in self._recent.list_workspaces()
        ]
        left = kept * sum(asked for asked, _ in demands)
        weights = sum(weight for _, weight in demands)
        level = 0.0
        for asked, weight in sorted(demands, key=lambda demand: demand[0] / demand[1]):
            level = left / weights
            if asked >= level * weight:
                return level
            left -= asked
            weights -= weight
        return level

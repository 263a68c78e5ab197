"""Withdrawal of an overloaded instance from the load balancer for a while.

Load balancers spread callers by hashing, so a few instances may get a multiple of what
their links carry. Neither a refusal nor a peer keeps those bytes away; only the
balancer does, once the instance is not ready.

In each failure domain only a fraction of the instances withdraws at the same time. The
instances agree on which ones by rendezvous hashing over the levels that they announce.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.overload import LoadLevel
from pondquay.routing.rendezvous import score_pair

if TYPE_CHECKING:
    from collections.abc import Mapping

# Fraction of a domain's instances that may be withdrawn. The others get their callers,
# in the worst case a third more than before.
MAX_WITHDRAWN_FRACTION = 0.25
# Balancers probe about once a second and act on the second failure, so a shorter
# withdrawal has no effect.
MIN_WITHDRAWN_SECONDS = 4.0
MAX_WITHDRAWN_SECONDS = 32.0
# An overload within this time after the return shows that the cause persists; each
# withdrawal then lasts twice as long as the previous one.
RELAPSE_SECONDS = 10.0
# Overload that lasts for less passes without the balancer.
MIN_OVERLOADED_SECONDS = 1.0


class Withdrawal:
    """Decides whether an instance is withdrawn.

    :param instance: name of the instance
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._overloaded_since: float | None = None
        self._until: float | None = None
        self._seconds = MIN_WITHDRAWN_SECONDS
        self._returned_at = -RELAPSE_SECONDS

    @property
    def active(self) -> bool:
        """Whether the instance is withdrawn."""
        return self._until is not None

    def update(
        self, level: LoadLevel, peers: Mapping[str, LoadLevel], now: float
    ) -> bool:
        """Decide anew.

        :param level: the instance's own level
        :param peers: levels of the linked instances of its failure domain
        :returns: whether the decision has changed
        """
        overloaded = level is LoadLevel.OVERLOADED
        if not overloaded:
            self._overloaded_since = None
        elif self._overloaded_since is None:
            self._overloaded_since = now
        if self._until is not None:
            return self._return_if_over(now, overloaded=overloaded)
        if self._overloaded_since is None:
            return False
        if now - self._overloaded_since < MIN_OVERLOADED_SECONDS:
            return False
        if not self._is_among_first(peers):
            return False
        self._withdraw(now)
        return True

    def _withdraw(self, now: float) -> None:
        relapsed = now - self._returned_at < RELAPSE_SECONDS
        self._seconds = (
            min(MAX_WITHDRAWN_SECONDS, 2 * self._seconds)
            if relapsed
            else MIN_WITHDRAWN_SECONDS
        )
        self._until = now + self._seconds

    def _return_if_over(self, now: float, *, overloaded: bool) -> bool:
        if overloaded or self._until is None or now < self._until:
            return False
        self._until = None
        self._returned_at = now
        return True

    def _is_among_first(self, peers: Mapping[str, LoadLevel]) -> bool:
        levels = list(peers.values())
        allowed = int(MAX_WITHDRAWN_FRACTION * (len(levels) + 1))
        allowed -= levels.count(LoadLevel.WITHDRAWN)
        if allowed <= 0:
            return False
        overloaded = [
            name for name, level in peers.items() if level is LoadLevel.OVERLOADED
        ]
        own = self._score(self._instance)
        return sum(self._score(name) > own for name in overloaded) < allowed

    def _score(self, instance: str) -> bytes:
        return score_pair("withdrawal", instance)

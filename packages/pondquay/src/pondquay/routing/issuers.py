"""Which instance issues the permits of a limited upstream.

In each domain instances agree by rendezvous hashing on one that speaks for it, and the
one that speaks for the upstream's own domain issues. An instance asks the one that
speaks for its domain, and that one the issuer, so no instance needs links to all.

At no time do two instances that know each other both issue: one that has come up or has
lost the one before it waits until the others have noticed as well. Where none issues
nothing is sent to the upstream, and requests go to others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.rendezvous import score_pair

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

# After which one that has come up takes over, and one that cannot be heard is replaced,
# in seconds: all others have noticed by then.
TAKEOVER_SECONDS = 3.0
# An instance does not issue before this long after its start, in seconds: one that did
# it until then sees it come up a little later.
START_SECONDS = 4.0
# Those to which there are links by this time after the own start may have been there
# long before, in seconds.
EARLY_SECONDS = 2.0
# Instances of another domain that are tried before the domain counts as out of reach.
MAX_SPEAKERS = 3
# A wish for a link is forgotten if it is not repeated for this long, in seconds; few
# requests may come for a limited upstream.
WISH_SECONDS = 30.0


class LinkedPeers:
    """The peers that know limits, by the links to them.

    :param clock: tells the time in seconds
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._started_at = clock()
        self._linked_at: dict[str, float] = {}
        self._lost_at: dict[str, float] = {}
        self._wished: dict[str, tuple[float, float]] = {}

    @property
    def uptime(self) -> float:
        """The seconds since this instance started."""
        return self._clock() - self._started_at

    def note_linked(self, peer: str) -> None:
        """Learn that a peer that knows limits can be asked."""
        if self.is_linked(peer):
            return
        now = self._clock()
        self._wished.pop(peer, None)
        lost_at = self._lost_at.pop(peer, None)
        if lost_at is None or now - lost_at >= TAKEOVER_SECONDS:
            self._linked_at[peer] = now

    def note_disconnected(self, peer: str) -> None:
        """Learn that a peer cannot be asked any more."""
        if peer in self._linked_at and peer not in self._lost_at:
            self._lost_at[peer] = self._clock()

    def is_linked(self, peer: str) -> bool:
        """Tell whether a peer can be asked."""
        return peer in self._linked_at and peer not in self._lost_at

    def is_settled(self, peer: str) -> bool:
        """Tell whether all others know that a peer is there."""
        if not self.is_linked(peer):
            return False
        linked_at = self._linked_at[peer]
        if linked_at - self._started_at < EARLY_SECONDS:
            return True
        return self._clock() - linked_at >= TAKEOVER_SECONDS

    def is_missed(self, peer: str) -> bool:
        """Tell whether a peer was lost so lately that it may still issue."""
        lost_at = self._lost_at.get(peer)
        return lost_at is not None and self._clock() - lost_at < TAKEOVER_SECONDS

    def request_link(self, peer: str) -> bool:
        """Wish for a link to a peer; tell whether it may still come."""
        now = self._clock()
        since, last = self._wished.get(peer, (now, now))
        if now - last > WISH_SECONDS:
            since = now
        self._wished[peer] = (since, now)
        return now - since < TAKEOVER_SECONDS

    def list_requested(self) -> frozenset[str]:
        """Return the peers to which a link is wished for."""
        now = self._clock()
        for peer, (_, last) in list(self._wished.items()):
            if now - last > WISH_SECONDS:
                del self._wished[peer]
        return frozenset(self._wished)

    def keep_only(self, members: Mapping[str, str]) -> None:
        """Forget peers that are no longer instances of the fleet."""
        for known in (self._linked_at, self._lost_at):
            for peer in [one for one in known if one not in members]:
                del known[peer]


class IssuerSelector:
    """Whom one instance asks for permits.

    :param instance: its name
    :param domains: returns the domain of each instance that is known; the mapping is
        never changed, only replaced
    """

    def __init__(
        self,
        instance: str,
        domain: str,
        domains: Callable[[], Mapping[str, str]],
        peers: LinkedPeers,
    ) -> None:
        self._instance = instance
        self._domain = domain
        self._domains = domains
        self._peers = peers
        self._ranked_of: Mapping[str, str] = {}
        self._ranks: dict[str, dict[str, list[str]]] = {}

    def choose(self, upstream: str, domain: str) -> str | None:
        """Return the instance to ask, the own one if it issues, ``None`` if none can.

        :param upstream: name of the upstream
        :param domain: of the upstream
        """
        ranks = self._rank(upstream)
        speaker = self._find_speaker(ranks[self._domain])
        if speaker != self._instance:
            return speaker
        order = sorted(
            ranks, key=lambda one: (one != domain, score_pair(upstream, one))
        )
        return self._find_issuer(ranks, order)

    def _find_speaker(self, ranked: list[str]) -> str | None:
        """Return who speaks for the own domain, ``None`` while that is not clear."""
        for name in ranked:
            if name == self._instance:
                break
            if self._peers.is_settled(name):
                return name
            if self._peers.is_missed(name):
                return None
        return self._instance if self._peers.uptime >= START_SECONDS else None

    def _find_issuer(
        self, ranks: Mapping[str, list[str]], order: list[str]
    ) -> str | None:
        """Return who speaks for the first domain that can be reached."""
        for domain in order:
            if domain == self._domain:
                return self._instance
            speakers = ranks[domain][:MAX_SPEAKERS]
            for name in speakers:
                if self._peers.is_linked(name):
                    return name
            if any([self._peers.request_link(name) for name in speakers]):
                return None
        return None

    def _rank(self, upstream: str) -> dict[str, list[str]]:
        """Return the instances of each domain, in the order in which they speak."""
        domains = self._domains()
        if domains is not self._ranked_of:
            self._ranked_of = domains
            self._ranks.clear()
            self._peers.keep_only(domains)
        known = self._ranks.get(upstream)
        if known is None:
            known = self._ranks[upstream] = _rank_all(upstream, domains)
        return known


def _rank_all(upstream: str, domains: Mapping[str, str]) -> dict[str, list[str]]:
    ranked: dict[str, list[str]] = {}
    for name in sorted(domains, key=lambda one: score_pair(upstream, one)):
        ranked.setdefault(domains[name], []).append(name)
    return ranked

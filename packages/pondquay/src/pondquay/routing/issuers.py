"""Selection of the instance that issues the permits of a limited upstream.

By rendezvous hashing, the instances of each domain agree on a representative for each
limited upstream. The representative of the upstream's own domain issues the permits, or
that of another domain if the upstream's is unreachable. An instance requests permits
from its domain's representative, and the representative from the issuer, so no instance
needs links to all others.

No two instances that know each other issue at the same time: an instance that has
started or has lost the previous issuer waits until the others have noticed this, too.
One that does not know the other instances yet has no issuer. While no instance issues
permits, requests go to other upstreams.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.rendezvous import score_pair

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

# Delay before a new instance may take over and before a lost instance is replaced. By
# then, all others have noticed the change.
TAKEOVER_SECONDS = 3.0
# Minimum time for which a representative has known the other instances. It exceeds
# ``TAKEOVER_SECONDS``, since the previous representative notices the new instance a
# little after its start.
STARTUP_SECONDS = 4.0
# A peer that is linked within this time after this instance's start counts as
# established: all others may have known it for long.
INITIAL_LINK_SECONDS = 2.0
# Maximum instances of another domain that are tried before the domain counts as
# unreachable.
MAX_REPRESENTATIVES = 3
# A request for a link expires if it is not repeated within this time, which is long
# since requests for a limited upstream may be rare.
LINK_REQUEST_SECONDS = 30.0


class LinkedPeers:
    """Links to the peers that support rate limits.

    :param clock: returns the time in seconds
    :param find_listed_at: returns when the list of instances was first read, in
        seconds, ``None`` if it was not; by default it was as this instance started
    """

    def __init__(
        self,
        clock: Callable[[], float],
        find_listed_at: Callable[[], float | None] | None = None,
    ) -> None:
        self._clock = clock
        self._started_at = clock()
        self._find_listed_at = find_listed_at or (lambda: self._started_at)
        self._linked_at: dict[str, float] = {}
        self._disconnected_at: dict[str, float] = {}
        self._requested: dict[str, tuple[float, float]] = {}

    @property
    def listed_seconds(self) -> float:
        """The seconds since the list of instances was first read, 0 if it was not."""
        listed_at = self._find_listed_at()
        return 0.0 if listed_at is None else self._clock() - listed_at

    def note_linked(self, peer: str) -> None:
        """Record a link to a peer; short interruptions do not reset the link's age."""
        if self.is_linked(peer):
            return
        now = self._clock()
        self._requested.pop(peer, None)
        disconnected_at = self._disconnected_at.pop(peer, None)
        if disconnected_at is None or now - disconnected_at >= TAKEOVER_SECONDS:
            self._linked_at[peer] = now

    def note_disconnected(self, peer: str) -> None:
        """Record the loss of the link to a peer."""
        if peer in self._linked_at and peer not in self._disconnected_at:
            self._disconnected_at[peer] = self._clock()

    def is_linked(self, peer: str) -> bool:
        """Return whether there is a link to a peer."""
        return peer in self._linked_at and peer not in self._disconnected_at

    def is_established(self, peer: str) -> bool:
        """Return whether a peer has been linked for so long that all others know it."""
        if not self.is_linked(peer):
            return False
        linked_at = self._linked_at[peer]
        if linked_at - self._started_at < INITIAL_LINK_SECONDS:
            return True
        return self._clock() - linked_at >= TAKEOVER_SECONDS

    def is_recently_lost(self, peer: str) -> bool:
        """Return whether a peer was lost so recently that it may still issue."""
        disconnected_at = self._disconnected_at.get(peer)
        return (
            disconnected_at is not None
            and self._clock() - disconnected_at < TAKEOVER_SECONDS
        )

    def request_link(self, peer: str) -> bool:
        """Request a link to a peer.

        :returns: ``False`` if the link has been requested for ``TAKEOVER_SECONDS``, so
            that the peer counts as unreachable
        """
        now = self._clock()
        first_at, last_at = self._requested.get(peer, (now, now))
        if now - last_at > LINK_REQUEST_SECONDS:
            first_at = now
        self._requested[peer] = (first_at, now)
        return now - first_at < TAKEOVER_SECONDS

    def list_requested(self) -> frozenset[str]:
        """Return the peers to which a link was recently requested."""
        now = self._clock()
        for peer, (_, last_at) in list(self._requested.items()):
            if now - last_at > LINK_REQUEST_SECONDS:
                del self._requested[peer]
        return frozenset(self._requested)

    def keep_only(self, members: Mapping[str, str]) -> None:
        """Forget peers that are no longer instances of the fleet."""
        for times in (self._linked_at, self._disconnected_at):
            for peer in [name for name in times if name not in members]:
                del times[peer]


class IssuerSelector:
    """Selects the instance from which this instance requests permits.

    :param instance: name of this instance
    :param domain: failure domain of this instance
    :param domains: returns the domain of each known instance, none before their list
        has been read; the mapping is replaced when it changes, never modified
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
        self._cached_domains: Mapping[str, str] = {}
        self._ranks: dict[str, dict[str, list[str]]] = {}

    def choose(self, upstream: str, domain: str) -> str | None:
        """Return the instance from which to request permits.

        :param upstream: name of the upstream
        :param domain: domain of the upstream
        :returns: the name of this instance if it is the issuer itself, ``None`` if
            there is no issuer for now
        """
        if not self._domains():
            return None
        ranks = self._rank(upstream)
        representative = self._find_representative(ranks[self._domain])
        if representative != self._instance:
            return representative
        order = sorted(
            ranks, key=lambda name: (name != domain, score_pair(upstream, name))
        )
        return self._find_issuer(ranks, order)

    def _find_representative(self, ranked: list[str]) -> str | None:
        """Return this domain's representative, ``None`` during a takeover."""
        for name in ranked:
            if name == self._instance:
                break
            if self._peers.is_established(name):
                return name
            if self._peers.is_recently_lost(name):
                return None
        return self._instance if self._peers.listed_seconds >= STARTUP_SECONDS else None

    def _find_issuer(
        self, ranks: Mapping[str, list[str]], order: list[str]
    ) -> str | None:
        """Return the representative of the first domain that can be reached.

        :returns: ``None`` while links to a domain that precedes it are requested
        """
        for domain in order:
            if domain == self._domain:
                return self._instance
            representatives = ranks[domain][:MAX_REPRESENTATIVES]
            for name in representatives:
                if self._peers.is_linked(name):
                    return name
            # A list rather than a generator, so that a link to each is requested.
            if any([self._peers.request_link(name) for name in representatives]):
                return None
        return None

    def _rank(self, upstream: str) -> dict[str, list[str]]:
        """Return the instances of each domain, preferred representatives first."""
        domains = self._domains()
        if domains is not self._cached_domains:
            self._cached_domains = domains
            self._ranks.clear()
            self._peers.keep_only(domains)
        ranks = self._ranks.get(upstream)
        if ranks is None:
            ranks = self._ranks[upstream] = _rank_all(upstream, domains)
        return ranks


def _rank_all(upstream: str, domains: Mapping[str, str]) -> dict[str, list[str]]:
    ranked: dict[str, list[str]] = {}
    for name in sorted(domains, key=lambda instance: score_pair(upstream, instance)):
        ranked.setdefault(domains[name], []).append(name)
    return ranked

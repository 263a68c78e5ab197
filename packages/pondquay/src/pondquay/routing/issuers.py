"""Selection of the instance that issues the permits of a limited upstream.

By rendezvous hashing, the instances of each domain agree on a representative. The
representative of the upstream's own domain issues the permits. An instance requests
them from its domain's representative, and the representative from the issuer, so no
instance needs links to all others.

No two instances that know each other issue at the same time: an instance that has
started or has lost the previous issuer waits until the others have noticed as well.
While no instance issues, requests go to other upstreams.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.rendezvous import score_pair

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

# Seconds after which a new instance takes over and a lost instance is replaced: by
# then, all others have noticed.
TAKEOVER_SECONDS = 3.0
# Minimum uptime of a representative, in seconds: the previous representative notices
# the new instance a little after it has started.
STARTUP_SECONDS = 4.0
# A link made within this time after the own start, in seconds, may be to an instance
# that all others have known for long.
INITIAL_LINK_SECONDS = 2.0
# Instances of another domain that are tried until the domain counts as unreachable.
MAX_REPRESENTATIVES = 3
# A request for a link expires if it is not repeated for this long, in seconds; there
# may be few requests for a limited upstream.
LINK_REQUEST_SECONDS = 30.0


class LinkedPeers:
    """Links to the peers that support rate limits.

    :param clock: returns the time in seconds
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._started_at = clock()
        self._linked_at: dict[str, float] = {}
        self._disconnected_at: dict[str, float] = {}
        self._requested: dict[str, tuple[float, float]] = {}

    @property
    def uptime(self) -> float:
        """The seconds since this instance started."""
        return self._clock() - self._started_at

    def note_linked(self, peer: str) -> None:
        """Record a link to a peer; a short interruption does not reset its age."""
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
        """Request a link to a peer; return whether it may still be made soon."""
        now = self._clock()
        since, last = self._requested.get(peer, (now, now))
        if now - last > LINK_REQUEST_SECONDS:
            since = now
        self._requested[peer] = (since, now)
        return now - since < TAKEOVER_SECONDS

    def list_requested(self) -> frozenset[str]:
        """Return the peers to which a link is requested."""
        now = self._clock()
        for peer, (_, last) in list(self._requested.items()):
            if now - last > LINK_REQUEST_SECONDS:
                del self._requested[peer]
        return frozenset(self._requested)

    def keep_only(self, members: Mapping[str, str]) -> None:
        """Forget peers that are no longer instances of the fleet."""
        for known in (self._linked_at, self._disconnected_at):
            for peer in [name for name in known if name not in members]:
                del known[peer]


class IssuerSelector:
    """Selects the instance from which this instance requests permits.

    :param instance: name of this instance
    :param domain: failure domain of this instance
    :param domains: returns the domain of each known instance; the mapping is replaced
        when it changes, never modified
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
        """Return the instance to ask for permits.

        :param upstream: name of the upstream
        :param domain: domain of the upstream
        :returns: the own name if this instance issues, ``None`` if there is no issuer
        """
        ranks = self._rank(upstream)
        representative = self._find_representative(ranks[self._domain])
        if representative != self._instance:
            return representative
        order = sorted(
            ranks, key=lambda name: (name != domain, score_pair(upstream, name))
        )
        return self._find_issuer(ranks, order)

    def _find_representative(self, ranked: list[str]) -> str | None:
        """Return the representative of the own domain, ``None`` during a takeover."""
        for name in ranked:
            if name == self._instance:
                break
            if self._peers.is_established(name):
                return name
            if self._peers.is_recently_lost(name):
                return None
        return self._instance if self._peers.uptime >= STARTUP_SECONDS else None

    def _find_issuer(
        self, ranks: Mapping[str, list[str]], order: list[str]
    ) -> str | None:
        """Return the representative of the first domain that can be reached."""
        for domain in order:
            if domain == self._domain:
                return self._instance
            representatives = ranks[domain][:MAX_REPRESENTATIVES]
            for name in representatives:
                if self._peers.is_linked(name):
                    return name
            # A list, so that a link is requested to each of them.
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
        known = self._ranks.get(upstream)
        if known is None:
            known = self._ranks[upstream] = _rank_all(upstream, domains)
        return known


def _rank_all(upstream: str, domains: Mapping[str, str]) -> dict[str, list[str]]:
    ranked: dict[str, list[str]] = {}
    for name in sorted(domains, key=lambda instance: score_pair(upstream, instance)):
        ranked.setdefault(domains[name], []).append(name)
    return ranked

"""Who may send to a cold upstream, and how often, without a message between instances.

An upstream that has just started bears some requests a second from all instances
together and falls over at well above that. So a few instances send to it, each at most
one request a second: as many as it bears a second. All agree on who they are by
rendezvous hashing over the instances of its domain.

Where instances know different fleets, as in a cut or while instances are added, more
may take themselves for senders: one for each instance that some know and others do not,
at most. An upstream that bears six a second and falls over at fifteen holds eight such.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.rendezvous import score_pair

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from pondquay.routing.knownupstreams import KnownUpstream

# Seconds between two requests of one sender. The bound counts what arrives within any
# second, so a shorter pause would let one sender be counted twice.
SENDER_PAUSE_SECONDS = 1.0


def choose_senders(
    upstream: str, domain: str, domains: Mapping[str, str], count: int
) -> frozenset[str]:
    """Return the instances that may send to a cold upstream.

    :param domain: of the upstream; instances of other domains come after its own
    :param domains: the domain of each instance of the fleet
    :param count: how many there are to be
    """
    ranked = sorted(
        domains,
        key=lambda one: (domains[one] != domain, score_pair(upstream, one)),
    )
    return frozenset(ranked[:count])


class ColdShares:
    """One instance's share of what cold upstreams bear.

    :param instance: its name
    :param domains: returns the domain of each instance that is known; the mapping is
        never changed, only replaced
    :param rate: returns the requests a second that a cold upstream of a service bears,
        0 for no bound
    """

    def __init__(
        self,
        instance: str,
        domains: Callable[[], Mapping[str, str]],
        rate: Callable[[str], float],
    ) -> None:
        self._instance = instance
        self._domains = domains
        self._rate = rate
        self._chosen_of: Mapping[str, str] = {}
        self._is_sender: dict[str, bool] = {}

    def allows(self, upstream: KnownUpstream, now: float) -> bool:
        """Tell whether a request may be sent to an upstream now, cold or not."""
        if now >= upstream.cold_until:
            return True
        rate = self._rate(upstream.record.service)
        if rate <= 0:
            return True
        pause = max(SENDER_PAUSE_SECONDS, 1 / rate)
        if upstream.last_sent_at is not None and now - upstream.last_sent_at < pause:
            return False
        return self._sends_to(upstream, max(1, int(rate)))

    def _sends_to(self, upstream: KnownUpstream, count: int) -> bool:
        domains = self._domains()
        if domains is not self._chosen_of:
            self._chosen_of = domains
            self._is_sender.clear()
        known = self._is_sender.get(upstream.name)
        if known is None:
            record = upstream.record
            senders = choose_senders(record.name, record.domain, domains, count)
            known = self._is_sender[upstream.name] = self._instance in senders
        return known

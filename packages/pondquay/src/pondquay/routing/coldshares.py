"""Rate limit for cold upstreams, enforced by all instances without messages.

An upstream that has just started handles only a few requests per second from all
instances together and fails above that rate. So only a few instances send to it, each
at most one request per second. Their number is the rate, rounded down, but at least
one; the instances agree on them by rendezvous hashing.

Instances may know different members of the fleet, as in a network partition or a
scale-out. This adds at most as many senders as there are members that only some
instances know.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.rendezvous import score_pair

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from pondquay.routing.knownupstreams import KnownUpstream

# Minimum delay between two requests of a sender. With a shorter delay, two requests of
# a sender would fall within the same second.
SENDER_PAUSE_SECONDS = 1.0


def choose_senders(
    upstream: str, domain: str, domains: Mapping[str, str], count: int
) -> frozenset[str]:
    """Return the instances that may send to a cold upstream.

    :param domain: domain of the upstream; its instances are preferred
    :param domains: the domain of each instance of the fleet
    :param count: maximum number of senders
    """
    ranked = sorted(
        domains,
        key=lambda instance: (
            domains[instance] != domain,
            score_pair(upstream, instance),
        ),
    )
    return frozenset(ranked[:count])


class ColdShares:
    """Limits the requests that an instance sends to cold upstreams.

    :param instance: name of this instance
    :param domains: returns the domain of each known instance; the mapping is replaced
        when it changes, never modified
    :param rate: returns the requests per second that a cold upstream of a service
        handles from all instances together, 0 for no limit
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
        self._cached_domains: Mapping[str, str] = {}
        self._is_sender: dict[str, bool] = {}

    def allows(self, upstream: KnownUpstream, now: float) -> bool:
        """Return whether a request may be sent to an upstream, cold or not."""
        if now >= upstream.cold_until:
            return True
        rate = self._rate(upstream.record.service)
        if rate <= 0:
            return True
        pause = max(SENDER_PAUSE_SECONDS, 1 / rate)
        if upstream.last_sent_at is not None and now - upstream.last_sent_at < pause:
            return False
        return self._may_send_to(upstream, max(1, int(rate)))

    def _may_send_to(self, upstream: KnownUpstream, count: int) -> bool:
        domains = self._domains()
        if domains is not self._cached_domains:
            self._cached_domains = domains
            self._is_sender.clear()
        is_sender = self._is_sender.get(upstream.name)
        if is_sender is None:
            record = upstream.record
            senders = choose_senders(record.name, record.domain, domains, count)
            is_sender = self._is_sender[upstream.name] = self._instance in senders
        return is_sender

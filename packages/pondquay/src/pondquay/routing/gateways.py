"""The choice of a gateway, a peer through which an instance reaches an upstream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection
    from random import Random

    from pondquay.addresses import Address

# Time for which a gateway that could not help is not asked again for the same.
BACKOFF_SECONDS = 1.0
# The same for a gateway that is cut off itself: where most of a fleet is, the others
# are found sooner.
CUT_OFF_BACKOFF_SECONDS = 3.0
# Gateways that are asked for one connection.
MAX_TRIED = 8
# Further tunnels that a gateway in the own domain carries before one elsewhere is
# asked: traffic between domains is expensive, but one peer cannot serve a domain.
NEAR_PREFERENCE_TUNNELS = 8
# Scope of a back-off that holds for all upstreams.
ANY_UPSTREAM = ""


@dataclass(slots=True)
class Gateway:
    """A peer that offers to connect to upstreams.

    :param address: address at which it accepts tunnels
    :param tunnels: tunnels of this instance that it carries
    """

    name: str
    domain: str
    address: Address
    tunnels: int = 0


class GatewayTable:
    """The peers that offer to connect to upstreams.

    :param domain: failure domain of this instance
    :param has_room: returns whether a peer can take further requests
    """

    def __init__(
        self, domain: str, random: Random, has_room: Callable[[str], bool]
    ) -> None:
        self._domain = domain
        self._random = random
        self._has_room = has_room
        self._gateways: dict[str, Gateway] = {}
        self._backoff_until: dict[tuple[str, str], float] = {}

    def __len__(self) -> int:
        return len(self._gateways)

    def put(self, name: str, domain: str, address: Address) -> None:
        """Add a peer that accepts tunnels, or update its address."""
        known = self._gateways.get(name)
        tunnels = 0 if known is None else known.tunnels
        self._gateways[name] = Gateway(name, domain, address, tunnels)

    def remove(self, name: str) -> None:
        """Remove a peer that accepts no more tunnels."""
        self._gateways.pop(name, None)
        for key in [key for key in self._backoff_until if key[0] == name]:
            del self._backoff_until[key]

    def choose(
        self,
        scopes: Collection[str],
        target_domain: str,
        tried: Collection[Gateway],
        now: float,
    ) -> Gateway | None:
        """Return the gateway to ask next, ``None`` if there is none.

        Domains that were not tried come first, since a domain is often cut off as a
        whole. A gateway in the upstream's domain causes no more traffic between
        domains than a direct connection.

        :param scopes: the upstream's address and service
        :param target_domain: failure domain of the upstream
        :param tried: gateways that were asked for the same connection
        """
        if len(tried) >= MAX_TRIED:
            return None
        names = {gateway.name for gateway in tried}
        domains = {gateway.domain for gateway in tried}
        candidates = [
            gateway
            for gateway in self._gateways.values()
            if gateway.name not in names
            and not self._is_in_backoff(gateway.name, scopes, now)
            and self._has_room(gateway.name)
        ]
        return min(
            candidates,
            key=lambda gateway: (
                gateway.domain in domains,
                self._weigh(gateway, target_domain),
                self._random.random(),
            ),
            default=None,
        )

    def note_failed(
        self, name: str, scope: str, now: float, seconds: float = BACKOFF_SECONDS
    ) -> None:
        """Record that a gateway could not help.

        :param scope: the address or service that it cannot reach, or ``ANY_UPSTREAM``
        :param seconds: time for which it is not asked again
        """
        self._backoff_until[name, scope] = now + seconds

    def note_tunnel(self, name: str, change: int) -> None:
        """Count a tunnel that was opened (1) or closed (-1)."""
        gateway = self._gateways.get(name)
        if gateway is not None:
            gateway.tunnels = max(0, gateway.tunnels + change)

    def _weigh(self, gateway: Gateway, target_domain: str) -> int:
        if gateway.domain == self._domain:
            return gateway.tunnels
        is_detour = gateway.domain != target_domain
        return gateway.tunnels + NEAR_PREFERENCE_TUNNELS * (1 + is_detour)

    def _is_in_backoff(self, name: str, scopes: Collection[str], now: float) -> bool:
        return any(
            now < self._backoff_until.get((name, scope), now)
            for scope in (ANY_UPSTREAM, *scopes)
        )

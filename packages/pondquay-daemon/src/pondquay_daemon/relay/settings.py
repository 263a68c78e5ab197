"""Settings of a relay, which a border reads."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondquay.policy import DEFAULT_POLICY

if TYPE_CHECKING:
    from pondquay.addresses import Address
    from pondquay.policy import RelayPolicy


@dataclass(frozen=True, slots=True)
class RelayBounds:
    """Limits that the platform's operators have agreed on.

    :param configuration: seconds within which a new configuration takes effect at all
        instances
    :param stop: maximum duration of a graceful stop, in seconds
    :param departure: seconds after which a leaving upstream gets no new work
    :param retry_ratio: retries that the fleet may make for each request
    :param retry_extra: retries that the fleet may make in each window in addition
    :param retry_window: length of the sliding window, in seconds
    """

    configuration: float = 2.0
    stop: float = 8.0
    departure: float = 2.0
    retry_ratio: float = 0.2
    retry_extra: float = 50.0
    retry_window: float = 10.0


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """All settings of one relay.

    :param instance: name of this instance
    :param domain: failure domain of this instance
    :param callers: address that serves callers
    :param readiness: address that serves readiness probes of the load balancer
    :param store: address of the store
    :param peers: address at which links from other instances are accepted
    :param seeds: ``peers`` addresses of some other instances
    :param bounds: limits agreed on by the operators
    :param reports: address of metrics and state dumps, ``None`` to serve none
    :param tunnels: address at which tunnels of peers to upstreams are accepted,
        ``None`` to accept none
    :param memory: bytes that the process may use, ``None`` if unknown
    :param policy: switches and parameters of the relay's mechanisms
    :param first_start: whether the fleet has served no request before
    """

    instance: str
    domain: str
    callers: Address
    readiness: Address
    store: Address
    peers: Address
    seeds: tuple[Address, ...] = ()
    bounds: RelayBounds = RelayBounds()
    reports: Address | None = None
    memory: float | None = None
    tunnels: Address | None = None
    policy: RelayPolicy = DEFAULT_POLICY
    first_start: bool = False

"""Whose loss a failed connection is: the upstream's or this instance's own.

An instance that cannot connect to an upstream does not know whether the upstream is
down or its own path there is lost. A peer that can connect shows the latter. The path
then counts as lost until a connection of this instance opens again, and requests go
through a peer meanwhile.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container

    from pondquay.addresses import Address

# A connection that has not opened by then has probably lost a packet, which would be
# sent again only after a second.
SLOW_CONNECT_SECONDS = 0.1
# Interval between attempts to use a lost path again.
RETRY_PATH_SECONDS = 1.0
# Time for which peers are not asked again about an upstream that they cannot reach.
UNREACHABLE_SECONDS = 1.0
# Upstreams of a service that fail, without one that opens in between, from which all
# its upstreams are assumed to fail. A single one may simply have crashed.
MIN_FAILED_UPSTREAMS = 2


class Direct(Enum):
    """Whether an instance connects to an upstream itself.

    ``UNAWAITED``: it does, to learn whether the path works again, but no request waits
    for the connection.
    """

    YES = "yes"
    UNAWAITED = "unawaited"
    NO = "no"


@dataclass(frozen=True, slots=True)
class ConnectPlan:
    """How to open a connection to an upstream.

    :param direct: whether this instance connects itself
    :param tunnel_after: seconds after which a peer is asked to connect, ``None`` for
        never; it is also asked once the direct connection has failed
    """

    direct: Direct
    tunnel_after: float | None


class DirectPaths:
    """Tracks to which upstreams this instance itself can open connections.

    All times are in seconds of this instance's clock.
    """

    def __init__(self) -> None:
        self._down: set[Address] = set()
        self._lost: set[Address] = set()
        self._unreachable_until: dict[Address, float] = {}
        # By address, or by service while only peers reach the service.
        self._tried_at: dict[Address | str, float] = {}
        # The upstreams of each service that did not respond, and those that a peer
        # could reach, since a direct connection to the service last opened.
        self._down_in: defaultdict[str, set[Address]] = defaultdict(set)
        self._lost_in: defaultdict[str, set[Address]] = defaultdict(set)
        self._opened_at: float | None = None

    @property
    def has_failures(self) -> bool:
        """Whether any path is down or lost."""
        return bool(self._down or self._lost)

    def plan(self, address: Address, service: str, now: float) -> ConnectPlan:
        """Return how to open a connection, and note that it is opened."""
        is_lost = self.is_lost(address, service)
        asks_peers = is_lost or now >= self._unreachable_until.get(address, now)
        if is_lost or (address in self._down and self.seems_cut_off(service)):
            retries = self.take_retry(address, service, now)
            direct = Direct.UNAWAITED if retries else Direct.NO
            return ConnectPlan(direct, 0.0 if asks_peers else None)
        self._tried_at[address] = now
        return ConnectPlan(Direct.YES, SLOW_CONNECT_SECONDS if asks_peers else None)

    def take_retry(self, address: Address, service: str, now: float) -> bool:
        """Return whether a failed path should be tried again now, and note it.

        While peers reach a service and this instance does not, one of its upstreams is
        tried at a time.
        """
        key = service if self._is_lost_in(service) else address
        if now - self._tried_at.get(key, -RETRY_PATH_SECONDS) < RETRY_PATH_SECONDS:
            return False
        self._tried_at[key] = now
        return True

    def is_lost(self, address: Address, service: str) -> bool:
        """Return whether peers reach an upstream that this instance does not reach."""
        return address in self._lost or self._is_lost_in(service)

    def seems_cut_off(self, service: str) -> bool:
        """Return whether upstreams of a service fail to respond and none responds."""
        return len(self._down_in.get(service, ())) >= MIN_FAILED_UPSTREAMS

    def note_opened(self, address: Address, service: str, now: float) -> bool:
        """Record a direct connection that opened; return whether the path was down."""
        self._opened_at = now
        self._tried_at.pop(address, None)
        self._tried_at.pop(service, None)
        if not self.has_failures:
            return False
        was_down = address in self._down or address in self._lost
        self._down.discard(address)
        self._lost.discard(address)
        self._unreachable_until.pop(address, None)
        self._down_in.pop(service, None)
        self._lost_in.pop(service, None)
        return was_down

    def note_failed(self, address: Address, service: str, *, refused: bool) -> bool:
        """Record a direct connection that failed; return whether the path was up.

        :param refused: whether the upstream's host refused it
        """
        if not refused:
            self._down_in[service].add(address)
        if address in self._down:
            return False
        self._down.add(address)
        return True

    def note_tunnelled(self, address: Address, service: str) -> bool:
        """Record that a peer reaches an upstream that this instance has not reached.

        :returns: whether the path was not known to be lost
        """
        self._lost_in[service].add(address)
        if address in self._lost:
            return False
        self._lost.add(address)
        return True

    def note_unreachable(self, address: Address, now: float) -> None:
        """Record that peers cannot reach an upstream either."""
        self._unreachable_until[address] = now + UNREACHABLE_SECONDS

    def retain(self, addresses: Container[Address]) -> None:
        """Forget all upstreams but those at some addresses."""
        self._down = {address for address in self._down if address in addresses}
        self._lost = {address for address in self._lost if address in addresses}
        self._unreachable_until = {
            address: until
            for address, until in self._unreachable_until.items()
            if address in addresses
        }
        self._tried_at = {
            key: tried_at
            for key, tried_at in self._tried_at.items()
            if isinstance(key, str) or key in addresses
        }
        for groups in (self._down_in, self._lost_in):
            for service, members in list(groups.items()):
                members.intersection_update(self._down | self._lost)
                if not members:
                    del groups[service]

    def _is_lost_in(self, service: str) -> bool:
        return len(self._lost_in.get(service, ())) >= MIN_FAILED_UPSTREAMS

    def count_down(self) -> int:
        """Return the number of upstreams to which the last connection failed."""
        return len(self._down)

    def count_lost(self) -> int:
        """Return the number of upstreams that only peers have reached lately."""
        return len(self._lost)

    def seconds_since_opened(self, now: float) -> float | None:
        """Return the age of the last connection to any upstream that has opened.

        :returns: ``None`` if none has opened yet
        """
        return None if self._opened_at is None else now - self._opened_at

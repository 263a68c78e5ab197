"""The choice of instances to which links are opened."""

from __future__ import annotations

from random import sample
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from twisted.internet.interfaces import IReactorTime

    from pondquay.addresses import Address
    from pondquay_daemon.relay.member import Member

# Interval at which links are checked and opened.
HEARTBEAT_SECONDS = 0.5
# An idle link carries a heartbeat at the end of each so many intervals, so that the
# peer receives something at least once a second.
MAX_SILENT_INTERVALS = 2
# Of two instances, the one whose name sorts first opens the link. The other opens it
# only after this delay, so that they do not open two links when the fleet starts. The
# first may not have noticed yet that the link was lost.
FALLBACK_OPEN_SECONDS = HEARTBEAT_SECONDS
# Maximum number of links to instances in the same domain, some of which lend tokens.
# Borrowers ask the lenders of their own domain first.
MAX_NEAR_LINKS = 64
# Maximum number of links to co-lenders in other domains.
MAX_CO_LENDER_LINKS = 24
# Number of links to other domains below which links to random instances there are
# opened, so that announcements reach all domains.
MAX_FAR_LINKS = 16


class LinkPlan:
    """Chooses the instances to which an instance opens links.

    :param instance: name of this instance
    :param domain: failure domain of this instance
    """

    def __init__(self, clock: IReactorTime, instance: str, domain: str) -> None:
        self._clock = clock
        self._instance = instance
        self._domain = domain
        self._unlinked_since: dict[str, float] = {}

    def forget(self, name: str) -> None:
        """Drop the state of an instance that is linked or was removed."""
        self._unlinked_since.pop(name, None)

    def choose(
        self,
        members: Mapping[str, Member],
        linked: Collection[str],
        co_lenders: Collection[str],
        requested: Collection[str],
    ) -> list[Address]:
        """Return the addresses to which links should be opened now.

        :param linked: instances to which there are links
        :param co_lenders: instances that lend for the same workspaces
        :param requested: instances to which a link is required
        """
        near: list[Address] = []
        chosen: list[Address] = []
        lenders: list[Address] = []
        others: list[Address] = []
        for name, member in members.items():
            if name in linked or not self._should_open(name):
                continue
            if member.domain == self._domain:
                near.append(member.address)
            elif name in requested:
                chosen.append(member.address)
            elif name in co_lenders:
                lenders.append(member.address)
            else:
                others.append(member.address)
        linked_far = {peer for peer in linked if not self._is_near(members.get(peer))}
        linked_near = len(linked) - len(linked_far)
        linked_co_lenders = sum(peer in co_lenders for peer in linked_far)
        chosen += _sample(near, MAX_NEAR_LINKS - linked_near)
        chosen += _sample(lenders, MAX_CO_LENDER_LINKS - linked_co_lenders)
        chosen += _sample(others, MAX_FAR_LINKS - len(linked_far) - len(lenders))
        return chosen

    def _is_near(self, member: Member | None) -> bool:
        return member is not None and member.domain == self._domain

    def _should_open(self, name: str) -> bool:
        """Return whether this instance should open the link to another one now."""
        if name == self._instance:
            return False
        now = self._clock.seconds()
        since = self._unlinked_since.setdefault(name, now)
        return self._instance < name or now - since >= FALLBACK_OPEN_SECONDS


def _sample(addresses: list[Address], max_count: int) -> list[Address]:
    """Return a random sample of the addresses."""
    return sample(addresses, min(len(addresses), max(0, max_count)))

"""To which instances links are opened."""

from __future__ import annotations

from random import sample
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from twisted.internet.interfaces import IReactorTime

    from pondquay.addresses import Address
    from pondquay_daemon.relay.member import Member

# A link on which nothing else was sent for this long carries a heartbeat, so a live
# peer is heard every second.
HEARTBEAT_SECONDS = 0.5
# Of a pair, the instance whose name comes first opens the link; the other one does if
# there is none after this long, as when the first has not noticed that it was lost.
# Otherwise both open one where a fleet starts as a whole, and each is kept alive.
OTHER_END_SECONDS = HEARTBEAT_SECONDS
# Links that an instance opens by itself: those within its domain, since it borrows
# there; those to lenders of its own workspaces elsewhere; and some others, so that news
# crosses domains.
MAX_NEAR_LINKS = 64
MAX_CO_LENDER_LINKS = 24
MAX_FAR_LINKS = 16


class LinkPlan:
    """Chooses whom one instance calls.

    :param instance: its name
    :param domain: its failure domain
    """

    def __init__(self, clock: IReactorTime, instance: str, domain: str) -> None:
        self._clock = clock
        self._instance = instance
        self._domain = domain
        self._unlinked_since: dict[str, float] = {}

    def forget(self, name: str) -> None:
        """Learn that an instance is linked, or is gone."""
        self._unlinked_since.pop(name, None)

    def choose(
        self,
        members: Mapping[str, Member],
        linked: Collection[str],
        co_lenders: Collection[str],
        wished: Collection[str],
    ) -> list[Address]:
        """Return where to open links now.

        :param linked: instances to which there are links
        :param co_lenders: those to which links are worth most, wherever they are
        :param wished: those to which there must be links
        """
        near: list[Address] = []
        wanted: list[Address] = []
        lenders: list[Address] = []
        others: list[Address] = []
        for name, member in members.items():
            if name in linked or not self._opens(name):
                continue
            if member.domain == self._domain:
                near.append(member.address)
            elif name in wished:
                wanted.append(member.address)
            elif name in co_lenders:
                lenders.append(member.address)
            else:
                others.append(member.address)
        linked_far = {one for one in linked if not self._is_near(members.get(one))}
        linked_near = len(linked) - len(linked_far)
        linked_co_lenders = sum(one in co_lenders for one in linked_far)
        wanted += _draw(near, MAX_NEAR_LINKS - linked_near)
        wanted += _draw(lenders, MAX_CO_LENDER_LINKS - linked_co_lenders)
        wanted += _draw(others, MAX_FAR_LINKS - len(linked_far) - len(lenders))
        return wanted

    def _is_near(self, member: Member | None) -> bool:
        return member is not None and member.domain == self._domain

    def _opens(self, name: str) -> bool:
        """Tell whether it is for this instance to open a link to another now."""
        if name == self._instance:
            return False
        now = self._clock.seconds()
        since = self._unlinked_since.setdefault(name, now)
        return self._instance < name or now - since >= OTHER_END_SECONDS


def _draw(addresses: list[Address], most: int) -> list[Address]:
    """Return some of the addresses, drawn at random."""
    return sample(addresses, min(len(addresses), max(0, most)))

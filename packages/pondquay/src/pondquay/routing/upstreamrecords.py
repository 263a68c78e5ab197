"""What is said of upstreams: their rows in the list, and the news that one leaves."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pondquay.addresses import Address


def name_incarnation(name: str, born: int | None) -> str:
    """Return what one life of an upstream is known by.

    An upstream may start again under its name. Nothing that was learnt of the life
    before says anything of the new one, so all that is known goes by lives.
    """
    return name if born is None else f"{name}@{born}"


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """What an upstream says of itself in the list.

    :param name: of its row
    :param slots: requests that it runs at the same time
    :param leaving: whether it will end soon
    :param cold: seconds for which it still is cold: it bears few requests
    :param born: when this life began by the clock of its host, ``None`` if it does not
        say. It only tells lives apart: that clock may jump back between two of them
    """

    name: str
    service: str
    address: Address
    domain: str
    slots: int
    leaving: bool = False
    cold: float = 0.0
    born: int | None = None

    @property
    def incarnation(self) -> str:
        """The name of this life."""
        return name_incarnation(self.name, self.born)


@dataclass(frozen=True, slots=True)
class Departure:
    """News that an upstream leaves or has left.

    :param name: of its row
    :param version: at which its row was gone, ``None`` if it said so itself; then no
        newer row takes it back
    :param born: tells the life that it is about
    """

    name: str
    version: int | None = None
    born: int | None = None

    @property
    def incarnation(self) -> str:
        """The name of the life that it is about."""
        return name_incarnation(self.name, self.born)

"""Records of upstreams: their rows in the list, and their departures."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pondquay.addresses import Address


def name_incarnation(name: str, born: int | None) -> str:
    """Return the name of one incarnation of an upstream.

    An upstream may restart under the same name. Observations of an earlier incarnation
    do not apply to a later one, so they are kept by incarnation.

    :param born: start time of the incarnation, ``None`` if unknown
    """
    return name if born is None else f"{name}@{born}"


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """An upstream's row in the list.

    :param name: name of the row
    :param slots: maximum requests that it runs at the same time
    :param leaving: whether it is about to stop
    :param cold: seconds for which it stays cold and handles only few requests
    :param born: start time of this incarnation by the clock of its host, ``None`` if
        unknown. It only distinguishes incarnations and does not order them, since that
        clock may jump back
    :param software: version of its software, which is not the version of its model
    """

    name: str
    service: str
    address: Address
    domain: str
    slots: int
    leaving: bool = False
    cold: float = 0.0
    born: int | None = None
    software: str = ""

    @property
    def incarnation(self) -> str:
        """The name of this incarnation."""
        return name_incarnation(self.name, self.born)


@dataclass(frozen=True, slots=True)
class Departure:
    """The departure of one incarnation of an upstream.

    :param name: name of its row
    :param version: version at which its row was missing; a newer row revokes the
        departure. ``None`` if the upstream announced the departure, which is final
    :param born: start time of the incarnation, as in its row
    """

    name: str
    version: int | None = None
    born: int | None = None

    @property
    def incarnation(self) -> str:
        """The name of the incarnation that leaves."""
        return name_incarnation(self.name, self.born)

"""The interface that lists other instances as witnesses and reports their state."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pondquay.names import InstanceId


class WitnessDirectory(ABC):
    """Lists possible witnesses and reports which instances are usable or presumed dead.

    Wrong results never lead to overspending.
    """

    @abstractmethod
    def witnesses(self) -> list[InstanceId]:
        """Return the peers of this failure domain that can be witnesses now."""

    @abstractmethod
    def is_usable(self, peer: InstanceId) -> bool:
        """Return whether a peer is expected to respond now."""

    @abstractmethod
    def is_presumed_dead(self, peer: InstanceId) -> bool:
        """Return whether a peer has been unresponsive for a long time.

        Grants that it holds or witnesses are then closed.
        """

    @abstractmethod
    def count(self) -> int:
        """Return how many peers are considered alive."""

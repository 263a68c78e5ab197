"""What the budget parts need to know of other instances."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pondquay.names import InstanceId


class WitnessDirectory(ABC):
    """Tells which instances can witness grants. A wrong answer is never unsafe."""

    @abstractmethod
    def witnesses(self) -> list[InstanceId]:
        """Return peers of the own failure domain that can be asked now."""

    @abstractmethod
    def is_usable(self, peer: InstanceId) -> bool:
        """Tell whether a peer can be expected to answer now."""

    @abstractmethod
    def is_presumed_dead(self, peer: InstanceId) -> bool:
        """Tell whether a peer has been silent for so long that others replace it."""

    @abstractmethod
    def count(self) -> int:
        """Return how many peers are believed to be alive."""

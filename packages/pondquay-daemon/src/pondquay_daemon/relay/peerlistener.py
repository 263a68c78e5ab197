"""What instances offer to each other."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pondquay.routing.crashes import CrashReport
    from pondquay.routing.evacuations import Evacuation
    from pondquay.routing.upstreamrecords import Departure


class PeerListener(ABC):
    """What the rest of the relay offers to its peers."""

    @abstractmethod
    def configuration_version(self) -> int:
        """Return the version in force here, 0 if there is none."""

    @abstractmethod
    def store_reachable(self) -> bool:
        """Tell whether the store serves this instance."""

    @abstractmethod
    def configuration_value(self) -> dict[str, Any] | None:
        """Return the configuration as the operators wrote it."""

    @abstractmethod
    def offer_configuration(self, value: dict[str, Any]) -> None:
        """Take in a configuration that may be newer."""

    @abstractmethod
    def receive_load(
        self, instance: str, upstream: str, tokens: int, parts: list[str]
    ) -> None:
        """Take in what a peer has waiting at an upstream.

        :param parts: shared parts that the upstream has read
        """

    @abstractmethod
    def forget_loads(self, instance: str) -> None:
        """Take in that a peer cannot be heard."""

    @abstractmethod
    def departures(self) -> list[Departure]:
        """Return what is known of upstreams that leave, the newest last."""

    @abstractmethod
    def receive_departure(self, departure: Departure) -> None:
        """Take in that an upstream leaves."""

    @abstractmethod
    def evacuations(self) -> list[Evacuation]:
        """Return the newest news of each domain that was ever emptied."""

    @abstractmethod
    def receive_evacuation(self, news: Evacuation) -> None:
        """Take in that a domain is emptied or was taken back."""

    @abstractmethod
    def crash_reports(self) -> list[CrashReport]:
        """Return what is worth telling of contents under which upstreams crashed."""

    @abstractmethod
    def receive_crash(self, report: CrashReport) -> None:
        """Take in what is known elsewhere of such a content."""

    @abstractmethod
    def lend(self, workspace: str, tokens: int, headroom: int) -> int:
        """Count tokens as spent here and return how many, 0 if none can be spared.

        :param headroom: tokens that are wanted besides, 0 from those with an allotment
        """

    @abstractmethod
    def receive_loan(
        self, workspace: str, tokens: int, *, returned: bool = False
    ) -> None:
        """Take tokens that a peer has counted as spent.

        :param returned: whether it hands them back unasked
        """

    @abstractmethod
    def co_lenders(self) -> frozenset[str]:
        """Return the instances to which a link is worth most, wherever they are."""

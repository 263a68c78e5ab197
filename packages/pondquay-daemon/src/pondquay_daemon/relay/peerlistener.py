"""The interface through which peers access an instance's state."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pondquay.routing.crashes import CrashReport
    from pondquay.routing.evacuations import Evacuation
    from pondquay.routing.upstreamrecords import Departure


class PeerListener(ABC):
    """Processes the messages of peers and provides the state that is sent to them."""

    @abstractmethod
    def configuration_version(self) -> int:
        """Return the version of this instance's configuration, 0 if there is none."""

    @abstractmethod
    def store_reachable(self) -> bool:
        """Return whether this instance can reach the store."""

    @abstractmethod
    def configuration_value(self) -> dict[str, Any] | None:
        """Return the configuration as operators wrote it, ``None`` if unknown."""

    @abstractmethod
    def offer_configuration(self, value: dict[str, Any]) -> None:
        """Apply a peer's configuration if it is newer."""

    @abstractmethod
    def receive_load(
        self, instance: str, upstream: str, tokens: int, parts: list[str]
    ) -> None:
        """Record a peer's prompt tokens that wait at an upstream.

        :param parts: shared parts that the upstream has processed
        """

    @abstractmethod
    def forget_loads(self, instance: str) -> None:
        """Discard the loads of a peer that is unreachable."""

    @abstractmethod
    def departures(self) -> list[Departure]:
        """Return the known departures of upstreams, the newest last."""

    @abstractmethod
    def receive_departure(self, departure: Departure) -> None:
        """Record that an upstream leaves."""

    @abstractmethod
    def evacuations(self) -> list[Evacuation]:
        """Return the latest change of each domain that was ever evacuated."""

    @abstractmethod
    def receive_evacuation(self, evacuation: Evacuation) -> None:
        """Record that a domain was evacuated or restored."""

    @abstractmethod
    def crash_reports(self) -> list[CrashReport]:
        """Return the reports on crashes to send on a new link."""

    @abstractmethod
    def receive_crash(self, report: CrashReport) -> None:
        """Merge a peer's report on crashes."""

    @abstractmethod
    def lend(self, workspace: str, tokens: int, headroom: int) -> int:
        """Lend tokens, which this instance counts as spent, to a peer.

        :param headroom: tokens that the peer requests beyond its need; 0 if it holds
            an allotment
        :returns: the number of tokens, 0 if there are none to lend
        """

    @abstractmethod
    def receive_loan(
        self, workspace: str, tokens: int, *, returned: bool = False
    ) -> None:
        """Credit tokens that a peer has counted as spent.

        :param returned: whether the peer transfers them without a request
        """

    @abstractmethod
    def co_lenders(self) -> frozenset[str]:
        """Return the instances that lend for the same workspaces as this instance."""

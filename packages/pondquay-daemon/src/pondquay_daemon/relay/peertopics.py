"""Matters that instances talk about, each with messages of its own."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, ClassVar

if TYPE_CHECKING:
    from collections.abc import Collection

    from pondquay_daemon.relay.peerlinks import PeerLink
    from pondquay_daemon.relay.peermessages import PeerMessage


class PeerTopic(ABC):
    """One matter; it registers itself with the links of its instance."""

    MESSAGES: ClassVar[tuple[type[PeerMessage], ...]]

    @abstractmethod
    def make_greeting(self) -> PeerMessage:
        """Return what a peer is told on each new link."""

    @abstractmethod
    def note_understood(self, link: PeerLink) -> None:
        """Learn which messages a peer reads."""

    @abstractmethod
    def receive(self, link: PeerLink, message: PeerMessage) -> None:
        """Act on a message."""

    @abstractmethod
    def lose(self, link: PeerLink) -> None:
        """Learn that a peer can no longer be reached by a link."""

    @abstractmethod
    def list_requested(self) -> Collection[str]:
        """Return the instances to which there should be links."""

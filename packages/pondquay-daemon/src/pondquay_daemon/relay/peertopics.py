"""The interface of topics, each of which handles some kinds of peer messages."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, ClassVar

if TYPE_CHECKING:
    from collections.abc import Collection

    from pondquay_daemon.relay.peerlinks import PeerLink
    from pondquay_daemon.relay.peermessages import PeerMessage


class PeerTopic(ABC):
    """Handles the messages of one topic; it has to be registered with the mesh.

    :cvar MESSAGES: kinds of messages that it receives
    """

    MESSAGES: ClassVar[tuple[type[PeerMessage], ...]]

    @abstractmethod
    def make_greeting(self) -> PeerMessage | None:
        """Return the message to send on each new link, if there is one."""

    @abstractmethod
    def note_supported(self, link: PeerLink) -> None:
        """Record which messages a peer supports."""

    @abstractmethod
    def receive(self, link: PeerLink, message: PeerMessage) -> None:
        """Process a message."""

    @abstractmethod
    def note_disconnected(self, link: PeerLink) -> None:
        """Record that the link to a peer was closed."""

    @abstractmethod
    def list_requested(self) -> Collection[str]:
        """Return the instances to which links are required."""

"""Interface to observers of upstreams."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pondquay_daemon.relay.messages import UpstreamSignals


class UpstreamListener(ABC):
    """Observes an upstream while an attempt is in progress there."""

    @abstractmethod
    def on_data(self) -> None:
        """Handle the arrival of any data."""

    @abstractmethod
    def on_response(self) -> None:
        """Handle a response to the request, whose prompt is therefore prefilled."""

    @abstractmethod
    def on_pause(self, seconds: float) -> None:
        """Handle a pause between two events.

        :param seconds: length of the pause
        """

    @abstractmethod
    def on_signals(self, signals: UpstreamSignals, *, tunnelled: bool) -> None:
        """Handle the signals of a response that is certainly from this upstream.

        :param tunnelled: whether the response came through a peer
        """

"""Flow control between an upstream's connection and its caller's connection."""

from __future__ import annotations

from abc import ABC, abstractmethod

# An upstream that breaks off a response that was not read for so long is not at fault.
MIN_UNREAD_SECONDS = 1.0
# A complete plain response may be read after its deadline, with pauses of this length.
MAX_UNREAD_SECONDS = 10.0
# Time after a pause for which the caller is still considered slow.
RECENT_SECONDS = 1.0


class FlowListener(ABC):
    """Is told when a caller stops reading its response, and when it goes on."""

    @abstractmethod
    def on_paused(self) -> None:
        """Handle that as much is unsent as may be kept."""

    @abstractmethod
    def on_resumed(self) -> None:
        """Handle that everything has been sent."""


class ReadingPauses:
    """Times for which an upstream was not read, since its caller did not read.

    :ivar paused_at: when the current pause began, in seconds, ``None`` without one
    """

    def __init__(self) -> None:
        self.paused_at: float | None = None
        self._resumed_at: float | None = None
        self._longest = 0.0

    def begin(self, now: float) -> None:
        """Begin a pause, or restart it after the caller has read something."""
        self.end(now)
        self.paused_at = now

    def end(self, now: float) -> None:
        """End the current pause."""
        if self.paused_at is None:
            return
        self._longest = max(self._longest, now - self.paused_at)
        self.paused_at = None
        self._resumed_at = now

    def was_unread(self, now: float) -> bool:
        """Return whether the response was unread for so long that it may be cut off."""
        current = 0.0 if self.paused_at is None else now - self.paused_at
        return max(self._longest, current) >= MIN_UNREAD_SECONDS

    def waits_for_caller(self, now: float) -> bool:
        """Return whether the caller, rather than the upstream, delays the response."""
        if self.paused_at is not None:
            return now - self.paused_at < MAX_UNREAD_SECONDS
        return self._resumed_at is not None and now - self._resumed_at < RECENT_SECONDS

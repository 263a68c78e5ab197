"""Direct paths to upstreams, by the outcome of the connections that are opened."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pondquay.addresses import Address


class DirectPaths:
    """Tracks to which upstreams this instance can open connections.

    A path is down from the first connection that fails until the next one that opens.
    """

    def __init__(self) -> None:
        self._down_since: dict[Address, float] = {}
        self._opened_at: float | None = None

    def note_opened(self, address: Address, now: float) -> bool:
        """Record a connection that has opened; return whether the path was down."""
        self._opened_at = now
        return self._down_since.pop(address, None) is not None

    def note_failed(self, address: Address, now: float) -> bool:
        """Record a connection that has failed; return whether the path was up."""
        if address in self._down_since:
            return False
        self._down_since[address] = now
        return True

    def count_down(self) -> int:
        """Return the number of paths that are down."""
        return len(self._down_since)

    def seconds_since_opened(self, now: float) -> float | None:
        """Return the age of the last connection to any upstream that has opened.

        :returns: ``None`` if none has opened yet
        """
        return None if self._opened_at is None else now - self._opened_at

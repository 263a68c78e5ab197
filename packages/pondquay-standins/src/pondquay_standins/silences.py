"""Silences of a replica: it sends nothing for a while and then goes on.

A silent replica is sound. It loses nothing, and goes on with all that it had begun.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class SilenceKind(StrEnum):
    """Which connections of a replica are silent, and whether it reads from them.

    ``reading`` and ``stopped`` affect all connections, the latter as if the process was
    suspended. ``partial`` affects every second connection, from which it reads on.
    """

    NONE = "none"
    READING = "reading"
    STOPPED = "stopped"
    PARTIAL = "partial"


class Silence:
    """The silence of one connection, which holds back what would be sent.

    :ivar is_silent: whether it holds back what is to be done
    """

    def __init__(self) -> None:
        self.is_silent = False
        self._held: list[Callable[[], None]] = []

    def perform(self, action: Callable[[], None]) -> None:
        """Perform an action now, or in order at the end of the silence."""
        if self.is_silent:
            self._held.append(action)
        else:
            action()

    def end(self) -> None:
        """End the silence and perform the actions that were held back."""
        self.is_silent = False
        held, self._held = self._held, []
        for action in held:
            self.perform(action)

    def discard(self) -> None:
        """Discard the actions that are held back, since the connection is lost."""
        self._held.clear()

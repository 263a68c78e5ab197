"""Events of epoll as the kernel reports them while a connection is being reset."""

from __future__ import annotations

from dataclasses import dataclass, field
from select import EPOLLIN
from typing import Any, Self


@dataclass
class DisconnectingPoller:
    """Reports the readability of chosen sockets as a disconnection.

    :param event: the events that are reported in place of ``EPOLLIN``
    :ivar hidden: number of times that it replaced readability
    """

    poller: Any
    event: int
    hidden: int = 0
    _descriptors: set[int] = field(default_factory=set)

    @classmethod
    def install(cls, reactor: Any, event: int) -> Self:
        """Let a reactor wait for events by this poller."""
        reactor._poller = cls(reactor._poller, event)
        return reactor._poller

    def hide(self, transport: Any) -> None:
        """Report a socket as disconnected from now on whenever it is readable."""
        self._descriptors.add(transport.fileno())

    def poll(self, *arguments: Any) -> list[tuple[int, int]]:
        """Wait for events."""
        events = self.poller.poll(*arguments)
        return [
            (descriptor, self._hide(descriptor, event)) for descriptor, event in events
        ]

    def _hide(self, descriptor: int, event: int) -> int:
        if descriptor not in self._descriptors or not event & EPOLLIN:
            return event
        self.hidden += 1
        return event & ~EPOLLIN | self.event

    def __getattr__(self, name: str) -> Any:
        return getattr(self.poller, name)

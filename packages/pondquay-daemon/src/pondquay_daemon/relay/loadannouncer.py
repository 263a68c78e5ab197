"""Telling peers what waits at upstreams, seldom and only what changed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_daemon.relay.peermessages import UpstreamLoads

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from twisted.internet.interfaces import IReactorTime

# What waits at upstreams is told this long after it changes, in large fleets later.
LOADS_SECONDS = 0.004
SELDOM_LOADS_SECONDS = 0.25


class LoadAnnouncer:
    """Gathers changes until the next message.

    Most of what waits has been read before the message, so most of it is never told,
    which spares narrow links in large fleets.

    :param send: sends a message to all peers
    :param is_large: tells whether the fleet is so large that news has to wait
    """

    def __init__(
        self,
        clock: IReactorTime,
        send: Callable[[UpstreamLoads], None],
        is_large: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._send = send
        self._is_large = is_large
        self._parts: dict[str, list[str]] = {}
        self._counts: dict[str, Callable[[], int]] = {}
        self._told: dict[str, int] = {}

    def announce(
        self, upstream: str, count: Callable[[], int], parts: Iterable[str]
    ) -> None:
        """Tell all peers soon what waits at an upstream.

        :param count: returns the prompt tokens that wait there then
        :param parts: shared parts that it has read
        """
        if not self._parts:
            wait = SELDOM_LOADS_SECONDS if self._is_large() else LOADS_SECONDS
            self._clock.callLater(wait, self._tell)
        self._counts[upstream] = count
        self._parts.setdefault(upstream, []).extend(parts)

    def _tell(self) -> None:
        loads = []
        for upstream, parts in self._parts.items():
            tokens = self._counts[upstream]()
            if parts or tokens != self._told.get(upstream, 0):
                self._told[upstream] = tokens
                loads.append((upstream, tokens, parts))
            if not tokens:
                self._told.pop(upstream, None)
        self._parts.clear()
        self._counts.clear()
        if loads:
            self._send(UpstreamLoads(loads))

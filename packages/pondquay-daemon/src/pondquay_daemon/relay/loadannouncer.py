"""Batched announcements of an instance's prompt tokens that wait at upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_daemon.relay.peermessages import UpstreamLoads

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from twisted.internet.interfaces import IReactorTime

# Delays between a change and its announcement, in ordinary and in large fleets.
LOAD_DELAY_SECONDS = 0.004
LARGE_FLEET_LOAD_DELAY_SECONDS = 0.25


class LoadAnnouncer:
    """Collects changes of this instance's loads and announces them together.

    Most prompts are processed before an announcement is due and need not be announced,
    which saves bandwidth in large fleets.

    :param send: sends a message to all peers
    :param is_large: returns whether the fleet is so large that the longer delay applies
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
        self._announced: dict[str, int] = {}

    def announce(
        self, upstream: str, count: Callable[[], int], parts: Iterable[str]
    ) -> None:
        """Schedule an announcement of this instance's load at an upstream.

        :param count: returns its prompt tokens that wait at the upstream; called when
            the announcement is sent
        :param parts: shared parts that the upstream has processed
        """
        if not self._parts:
            wait = (
                LARGE_FLEET_LOAD_DELAY_SECONDS
                if self._is_large()
                else LOAD_DELAY_SECONDS
            )
            self._clock.callLater(wait, self._announce_changes)
        self._counts[upstream] = count
        self._parts.setdefault(upstream, []).extend(parts)

    def _announce_changes(self) -> None:
        loads = []
        for upstream, parts in self._parts.items():
            tokens = self._counts[upstream]()
            if parts or tokens != self._announced.get(upstream, 0):
                self._announced[upstream] = tokens
                loads.append((upstream, tokens, parts))
            if not tokens:
                self._announced.pop(upstream, None)
        self._parts.clear()
        self._counts.clear()
        if loads:
            self._send(UpstreamLoads(loads))

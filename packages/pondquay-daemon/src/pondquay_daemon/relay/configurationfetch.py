"""Fetching a newer configuration from peers, where the store does not bring it."""

from __future__ import annotations

from random import choice
from typing import TYPE_CHECKING

from pondquay_daemon.relay.peermessages import FetchConfiguration
from pondquay_daemon.tasks import sleep, spawn

if TYPE_CHECKING:
    from collections.abc import Collection

    from twisted.internet.interfaces import IReactorTime

    from pondquay_daemon.relay.peerlinks import PeerLink
    from pondquay_daemon.relay.peerlistener import PeerListener

# The store tells those that it serves of a change within about the first time, and a
# large configuration comes from it within the second, over the slowest links.
FETCH_WAIT_SECONDS = 0.25
STORE_WAIT_SECONDS = 1.0
# Time for a peer to send a large configuration over a slow link.
FETCH_SECONDS = 0.7


class ConfigurationFetch:
    """Asks one peer after the other until none has a newer configuration.

    The store tells most instances of a change at about the same time, and what it tells
    need not come from peers. One peer is asked at a time, any of those that have it, so
    that no link carries the whole configuration more than once.

    :param links: all open links, as they are at any time
    """

    def __init__(
        self, clock: IReactorTime, listener: PeerListener, links: Collection[PeerLink]
    ) -> None:
        self._clock = clock
        self._listener = listener
        self._links = links
        self._running = False

    def begin(self) -> None:
        """Fetch what peers have, unless that is under way."""
        if not self._running:
            self._running = True
            spawn(self._run(), "ConfigurationFetch")

    async def _run(self) -> None:
        try:
            await sleep(FETCH_WAIT_SECONDS, self._clock)
            if self._listener.store_reachable():
                await sleep(STORE_WAIT_SECONDS, self._clock)
            asked: PeerLink | None = None
            while ahead := self._list_ahead():
                others = [one for one in ahead if one is not asked]
                asked = choice(others or ahead)
                asked.send(FetchConfiguration())
                await sleep(FETCH_SECONDS, self._clock)
        finally:
            self._running = False

    def _list_ahead(self) -> list[PeerLink]:
        """Return the links to peers with a newer configuration."""
        version = self._listener.configuration_version()
        return [one for one in self._links if one.version > version]

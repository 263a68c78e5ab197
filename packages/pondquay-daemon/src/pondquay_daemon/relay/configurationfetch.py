"""Fetching a newer configuration from peers when the store does not deliver it."""

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

# Delay before peers are asked, in which the store usually delivers a change.
FETCH_WAIT_SECONDS = 0.25
# Further delay while the store is reachable, in which it usually delivers a large
# configuration over a slow link.
STORE_WAIT_SECONDS = 1.0
# Time for a peer's response, enough for a large configuration over a slow link.
FETCH_SECONDS = 0.7


class ConfigurationFetch:
    """Requests the configuration from peers until none has a newer version.

    It first waits for the store, which notifies most instances at the same time. Then
    it asks one random peer at a time, so that the configuration is usually transferred
    only once.

    :param links: live view of all open links
    """

    def __init__(
        self, clock: IReactorTime, listener: PeerListener, links: Collection[PeerLink]
    ) -> None:
        self._clock = clock
        self._listener = listener
        self._links = links
        self._running = False

    def begin(self) -> None:
        """Start fetching, unless a fetch is already running."""
        if not self._running:
            self._running = True
            spawn(self._run(), "ConfigurationFetch")

    async def _run(self) -> None:
        try:
            await sleep(FETCH_WAIT_SECONDS, self._clock)
            if self._listener.store_reachable():
                await sleep(STORE_WAIT_SECONDS, self._clock)
            asked: PeerLink | None = None
            while newer := self._list_newer():
                others = [link for link in newer if link is not asked]
                asked = choice(others or newer)
                asked.send(FetchConfiguration())
                await sleep(FETCH_SECONDS, self._clock)
        finally:
            self._running = False

    def _list_newer(self) -> list[PeerLink]:
        """Return the links to peers with a newer configuration."""
        version = self._listener.configuration_version()
        return [link for link in self._links if link.version > version]

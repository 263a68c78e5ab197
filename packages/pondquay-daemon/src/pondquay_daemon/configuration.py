"""The configuration task: the active version and the retrieval of newer ones."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from pydantic import ValidationError

from pondquay.configuration.documents import Delta, Document
from pondquay.configuration.programs import fetch_deltas, read_head
from pondquay.membership.messages import Deltas
from pondquay.tables import Unreachable
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.tasks import Task, spawn

if TYPE_CHECKING:
    from pondquay_daemon.peers import PeerTask
    from pondquay_daemon.platform import Platform

POLL_INTERVAL_SECONDS = 1.0
MAX_RECENT_DELTAS = 200


class ConfigurationTask(Task):
    """Holds the active configuration; its version never decreases."""

    def __init__(self, reactor: Any, platform: Platform, peers: PeerTask) -> None:
        super().__init__(reactor)
        self._platform = platform
        self._peers = peers
        self.document = Document()
        self.loaded = False
        self._recent: list[Delta] = []
        self._fetching = False

    def start(self) -> None:
        """Start to poll for newer versions."""
        spawn(self._poll(), "ConfigurationTask")
        # Half an interval apart from the maintenance of grants, so that a table that
        # hangs is noticed by one of both.
        self.repeat(POLL_INTERVAL_SECONDS, self._poll, POLL_INTERVAL_SECONDS / 2)

    async def _poll(self) -> None:
        head = await self._platform.run(read_head())
        if isinstance(head, Unreachable):
            self._request_deltas()
            return
        if head > self.document.version:
            await self._fetch(head)
        self.loaded = self.loaded or head <= self.document.version

    def _request_deltas(self) -> None:
        newest = self._peers.table.newest_version()
        if newest > self.document.version:
            self._peers.request_deltas(self.document.version)

    def receive_version(self, version: int) -> None:
        """Fetch all versions up to a newer one, unless versions are being fetched."""
        if version > self.document.version and not self._fetching:
            spawn(self._fetch(version), "ConfigurationTask")

    async def _fetch(self, head: int) -> None:
        if self._fetching:
            return
        self._fetching = True
        try:
            deltas = await self._platform.run(fetch_deltas(self.document.version, head))
            if isinstance(deltas, Unreachable):
                self._request_deltas()
                return
            for delta in deltas:
                self.apply(delta)
        finally:
            self._fetching = False

    def apply(self, delta: Delta) -> None:
        """Activate a delta if it is the next version, and ignore it otherwise."""
        if delta.version != self.document.version + 1:
            return
        self.document = self.document.apply(delta)
        self.loaded = True
        self._recent.append(delta)
        del self._recent[:-MAX_RECENT_DELTAS]
        log_event("configuration", version=delta.version, plan=delta.plan)
        self._peers.announce()

    def list_deltas(self, base: int) -> Deltas:
        """Return the versions after a base, none if the first of them is not cached."""
        following = [delta for delta in self._recent if delta.version > base]
        if not following or following[0].version != base + 1:
            return Deltas(())
        return Deltas(tuple(delta.model_dump_json() for delta in following))

    def receive_deltas(self, message: Deltas) -> None:
        """Apply the versions that a peer sent."""
        for text in message.texts:
            try:
                self.apply(Delta.model_validate_json(text))
            except ValidationError as error:
                log_event("broken-delta", Level.ERROR, error=error)
                return

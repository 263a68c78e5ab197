"""The configuration task: the version in force here, and how newer ones arrive."""

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

POLL_SECONDS = 1.0
MAX_KEPT = 200


class ConfigurationTask(Task):
    """Keeps the configuration; its version never goes down."""

    def __init__(self, reactor: Any, platform: Platform, peers: PeerTask) -> None:
        super().__init__(reactor)
        self._platform = platform
        self._peers = peers
        self.document = Document()
        self.loaded = False
        self._recent: list[Delta] = []
        self._fetching = False

    def start(self) -> None:
        """Look for newer versions from now on."""
        self.repeat(POLL_SECONDS, self._poll)

    async def _poll(self) -> None:
        head = await self._platform.run(read_head())
        if isinstance(head, Unreachable):
            self._ask_peer()
            return
        if head > self.document.version:
            await self._fetch(head)
        self.loaded = self.loaded or head <= self.document.version

    def _ask_peer(self) -> None:
        newest = self._peers.table.newest_version()
        if newest > self.document.version:
            self._peers.ask_deltas(self.document.version)

    def receive_version(self, version: int) -> None:
        """Learn from a peer that there is a newer version."""
        if version > self.document.version and not self._fetching:
            spawn(self._fetch(version), "ConfigurationTask")

    async def _fetch(self, head: int) -> None:
        if self._fetching:
            return
        self._fetching = True
        try:
            deltas = await self._platform.run(fetch_deltas(self.document.version, head))
            if isinstance(deltas, Unreachable):
                self._ask_peer()
                return
            for delta in deltas:
                self.apply(delta)
        finally:
            self._fetching = False

    def apply(self, delta: Delta) -> None:
        """Put the next version in force; any other is left alone."""
        if delta.version != self.document.version + 1:
            return
        self.document = self.document.apply(delta)
        self.loaded = True
        self._recent.append(delta)
        del self._recent[:-MAX_KEPT]
        log_event("configuration", version=delta.version, plan=delta.plan)
        self._peers.announce()

    def list_deltas(self, base: int) -> Deltas:
        """Return the versions after a base, as far as they are kept."""
        following = [one for one in self._recent if one.version > base]
        if not following or following[0].version != base + 1:
            return Deltas(())
        return Deltas(tuple(one.model_dump_json() for one in following))

    def receive_deltas(self, message: Deltas) -> None:
        """Take in versions from a peer."""
        for text in message.texts:
            try:
                self.apply(Delta.model_validate_json(text))
            except ValidationError as error:
                log_event("broken-delta", Level.ERROR, error=error)
                return

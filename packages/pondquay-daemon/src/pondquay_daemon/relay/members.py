"""The list of instances in the store, used for peer discovery."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

import msgspec

from pondquay.tables import (
    ABSENT,
    Committed,
    Condition,
    Transaction,
    Unreachable,
    Write,
)
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.errors import MalformedValueError
from pondquay_daemon.relay.feeds import TableListener
from pondquay_daemon.relay.member import Member
from pondquay_daemon.tasks import sleep

if TYPE_CHECKING:
    from collections.abc import Mapping

    from twisted.internet.interfaces import IReactorTime

    from pondquay.tables import JsonObject
    from pondquay_daemon.relay.peers import PeerMesh
    from pondquay_daemon.relay.store import RowChange, Snapshot, Store

TABLE = "instances"
RETRY_SECONDS = 0.5
NO_INSTANCES: Mapping[str, str] = MappingProxyType({})


class MemberList(TableListener):
    """Registers this instance in the list and adds the listed instances to the mesh.

    :ivar read_at: when the list was first read, in seconds; ``None`` before. Until then
        an instance that has just started may seem to be the only one
    """

    def __init__(
        self, clock: IReactorTime, store: Store, mesh: PeerMesh, instance: str
    ) -> None:
        self._clock = clock
        self._store = store
        self._mesh = mesh
        self._instance = instance
        self.read_at: float | None = None

    @property
    def domains(self) -> Mapping[str, str]:
        """The domains of all known instances, empty before the list has been read.

        The mapping is replaced when it changes, never modified.
        """
        return NO_INSTANCES if self.read_at is None else self._mesh.domains

    @property
    def count(self) -> int:
        """The number of known instances, 0 before the list has been read."""
        return len(self.domains)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a snapshot of the list."""
        if self.read_at is None:
            self.read_at = self._clock.seconds()
        for row in snapshot.rows:
            self._add_to_mesh(row.key, row.value)

    def apply_change(self, change: RowChange) -> None:
        """Apply a change of one row."""
        if change.value is None:
            self._mesh.remove_member(change.key)
        else:
            self._add_to_mesh(change.key, change.value)

    async def join(self, member: Member) -> None:
        """Write this instance's row, retrying until it is stored."""
        value = {"address": str(member.address), "domain": member.domain}
        while not await self._write(value):
            await sleep(RETRY_SECONDS, self._clock)
        log_event("joined", instance=self._instance, address=member.address)

    async def leave(self) -> None:
        """Try once to delete this instance's row."""
        await self._write(None)

    async def _write(self, value: JsonObject | None) -> bool:
        key = f"{TABLE}/{self._instance}"
        row = await self._store.read_row(key)
        if isinstance(row, Unreachable):
            return False
        if row is not None and row.value == value:
            return True
        version = ABSENT if row is None else row.version
        transaction = Transaction(
            "member", (Condition(key, version),), (Write(key, value),)
        )
        return isinstance(await self._store.commit(transaction), Committed)

    def _add_to_mesh(self, instance: str, value: JsonObject) -> None:
        if instance == self._instance:
            return
        try:
            member = read_member(value)
        except MalformedValueError as error:
            log_event("member-malformed", Level.ERROR, instance=instance, error=error)
            self._mesh.remove_member(instance)
            return
        self._mesh.add_member(instance, member)


class _MemberDocument(msgspec.Struct, frozen=True):
    """An instance's row."""

    address: str
    domain: str


def read_member(value: JsonObject) -> Member:
    """Return the instance's address and domain from its row.

    :raises MalformedValueError: if the row is malformed
    """
    try:
        document = msgspec.convert(value, _MemberDocument)
        return Member.parse(document.address, document.domain)
    except (msgspec.ValidationError, ValueError, RecursionError) as error:
        raise MalformedValueError(f"member: {error}") from error

"""The list of instances in the store, by which they find each other."""

from __future__ import annotations

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
    from twisted.internet.interfaces import IReactorTime

    from pondquay.tables import JsonObject
    from pondquay_daemon.relay.peers import PeerMesh
    from pondquay_daemon.relay.store import RowChange, Snapshot, Store

TABLE = "instances"
RETRY_SECONDS = 0.5


class MemberList(TableListener):
    """Tells the links who the others are, and the others where this instance is."""

    def __init__(
        self, clock: IReactorTime, store: Store, mesh: PeerMesh, instance: str
    ) -> None:
        self._clock = clock
        self._store = store
        self._mesh = mesh
        self._instance = instance
        self._read = False

    @property
    def count(self) -> int:
        """How many instances the list names, 0 before it was read."""
        return len(self._mesh.domains) if self._read else 0

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Take in the list as a whole."""
        self._read = True
        for row in snapshot.rows:
            self._learn(row.key, row.value)

    def apply_change(self, change: RowChange) -> None:
        """Take in one row."""
        if change.value is None:
            self._mesh.forget(change.key)
        else:
            self._learn(change.key, change.value)

    async def join(self, member: Member) -> None:
        """Write this instance's row, until it stands."""
        value = {"address": str(member.address), "domain": member.domain}
        while not await self._write(value):
            await sleep(RETRY_SECONDS, self._clock)
        log_event("joined", instance=self._instance, address=member.address)

    async def leave(self) -> None:
        """Delete this instance's row, if the store can be reached."""
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

    def _learn(self, instance: str, value: JsonObject) -> None:
        if instance == self._instance:
            return
        try:
            member = read_member(value)
        except MalformedValueError as error:
            log_event("member-malformed", Level.ERROR, instance=instance, error=error)
            self._mesh.forget(instance)
            return
        self._mesh.learn(instance, member)


class _MemberDocument(msgspec.Struct, frozen=True):
    """An instance's row."""

    address: str
    domain: str


def read_member(value: JsonObject) -> Member:
    """Return where an instance is.

    :raises MalformedValueError: if the row does not say it
    """
    try:
        document = msgspec.convert(value, _MemberDocument)
        return Member.parse(document.address, document.domain)
    except (msgspec.ValidationError, ValueError, RecursionError) as error:
        raise MalformedValueError(f"member: {error}") from error

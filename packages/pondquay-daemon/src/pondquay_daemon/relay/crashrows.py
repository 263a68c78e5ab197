"""Persistence of blocked contents and parts, in case all instances are lost.

Peers exchange crash reports over links. The rows are for instances that start without
peers, or that are cut off from them. Without them, a blocked request would crash
upstreams again after a restart of the entire fleet.

Parts of prompts have a table of their own, since earlier builds take all rows of the
other one for contents and would announce them as such.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec

from pondquay.routing.crashes import MAX_BLOCKED, CrashReport
from pondquay.tables import (
    ABSENT,
    Committed,
    Condition,
    OutcomeUnknown,
    Transaction,
    Unreachable,
    Write,
)
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.errors import MalformedValueError
from pondquay_daemon.relay.feeds import TableListener
from pondquay_daemon.tasks import sleep, spawn

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from twisted.internet.interfaces import IReactorTime

    from pondquay.tables import JsonObject, Row
    from pondquay_daemon.relay.store import RowChange, Snapshot, Store

CONTENTS_TABLE = "crashes"
PARTS_TABLE = "part-crashes"
RETRY_SECONDS = 0.5
# Maximum number of rows beyond the limit in memory that an instance deletes when it
# starts; each deletion is a write.
MAX_DELETED = 16


class CrashRows(TableListener):
    """Follows the rows of a table and writes those of keys with new reports.

    :param table: name of the table
    :param receive: called with the report of each row that is read
    :param find: returns the current report of a key
    """

    def __init__(
        self,
        clock: IReactorTime,
        store: Store,
        table: str,
        receive: Callable[[CrashReport], None],
        find: Callable[[bytes], CrashReport | None],
    ) -> None:
        self._clock = clock
        self._store = store
        self._table = table
        self._receive = receive
        self._find = find
        # Keys whose rows have to be written. They are written one at a time, which
        # bounds the number of calls while the store is unreachable.
        self._changed: dict[bytes, None] = {}
        self._writing = False

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Merge all rows, and delete some of those beyond the limit in memory."""
        rows = sorted(snapshot.rows, key=lambda row: -row.version)
        for row in reversed(rows[:MAX_BLOCKED]):
            self._receive_row(row.key, row.value)
        log_event("crashes-read", table=self._table, count=len(rows))
        if excess := rows[MAX_BLOCKED : MAX_BLOCKED + MAX_DELETED]:
            spawn(self._delete(excess), type(self).__name__)

    def apply_change(self, change: RowChange) -> None:
        """Merge a row that was written.

        A deleted row shows nothing: it may have been deleted for lack of room.
        """
        if change.value:
            self._receive_row(change.key, change.value)

    def schedule_write(self, report: CrashReport) -> None:
        """Schedule a write of a report's row."""
        self._changed[report.content] = None
        if not self._writing:
            self._writing = True
            spawn(self._write_changed(), type(self).__name__)

    async def _delete(self, rows: Iterable[Row]) -> None:
        for row in rows:
            await self._commit(row.key, row.version, None)

    async def _write_changed(self) -> None:
        try:
            while self._changed:
                content = next(iter(self._changed))
                if await self._write_row(content):
                    self._changed.pop(content, None)
                else:
                    await sleep(RETRY_SECONDS, self._clock)
        finally:
            self._writing = False

    async def _write_row(self, content: bytes) -> bool:
        """Write or delete the row; return whether it is up to date."""
        key = content.hex()
        row = await self._store.read_row(f"{self._table}/{key}")
        if isinstance(row, Unreachable):
            return False
        if row is not None:
            # The row is merged first, so that concurrent writers converge on one value.
            self._receive_row(row.key, row.value)
        report = self._find(content)
        value = None
        if report is not None and report.blocked:
            value = pack_report(report)
        if value == (None if row is None else row.value):
            return True
        return await self._commit(key, ABSENT if row is None else row.version, value)

    async def _commit(self, key: str, version: int, value: JsonObject | None) -> bool:
        key = f"{self._table}/{key}"
        transaction = Transaction(
            self._table, (Condition(key, version),), (Write(key, value),)
        )
        reply = await self._store.commit(transaction)
        if isinstance(reply, Unreachable | OutcomeUnknown):
            log_event("crash-row-not-written", Level.WARNING, key=key)
        return isinstance(reply, Committed)

    def _receive_row(self, key: str, value: JsonObject) -> None:
        try:
            self._receive(unpack_report(key, value))
        except MalformedValueError as error:
            log_event("crash-row-malformed", Level.ERROR, key=key, error=error)


_Count = Annotated[int, msgspec.Meta(ge=0)]
_Ages = dict[str, Annotated[float, msgspec.Meta(ge=0)]]


class _CrashDocument(msgspec.Struct, frozen=True):
    """The row of a content or part, which other builds read and write as well.

    Ages are as of the write and are not updated, since whether a content is blocked
    depends only on their differences.

    :param crashed: crashed incarnations of upstreams; some builds store them with the
        ages
    :param ages: seconds since the crashes, by incarnation; some builds store none
    :param cleared_trials: number of trials before the last clearing; some builds store
        none
    :param lost_trial: number of the trial that was lost without a crash; some builds
        store none
    """

    crashed: list[str] | _Ages
    cleared: list[str]
    trials: _Count
    ages: _Ages = {}
    cleared_trials: _Count = 0
    lost_trial: _Count = 0


def pack_report(report: CrashReport) -> JsonObject:
    """Return the value of a report's row."""
    ages = {
        incarnation: round(report.age(incarnation), 3)
        for incarnation in sorted(report.crashed)
    }
    document = _CrashDocument(
        list(ages),
        sorted(report.cleared),
        report.trials,
        ages,
        report.cleared_trials,
        report.lost_trial,
    )
    packed: JsonObject = msgspec.to_builtins(document)
    return packed


def unpack_report(key: str, value: JsonObject) -> CrashReport:
    """Return the report that a row holds.

    :raises MalformedValueError: if the key or the value is malformed
    """
    try:
        content = bytes.fromhex(key)
        document = msgspec.convert(value, _CrashDocument)
    except (msgspec.ValidationError, ValueError, RecursionError) as error:
        raise MalformedValueError(f"crash report: {error}") from error
    crashed = document.crashed
    ages = document.ages if isinstance(crashed, list) else crashed
    cleared = frozenset(document.cleared)
    return CrashReport(
        content,
        frozenset(crashed),
        cleared,
        document.trials,
        ages,
        document.cleared_trials,
        document.lost_trial,
    )

"""Stand-in for the platform's row store, with a change feed and faults."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from klein import Klein
from twisted.internet.defer import Deferred

from pondquay_standins.web import (
    drop_connection,
    reactor,
    read_body,
    sleep,
    write_body,
)

if TYPE_CHECKING:
    from twisted.web.server import Request

MAX_CHANGES = 5000
FAULT_DELAY_SECONDS = 0.4
PRECONDITION_FAILED = 412
GONE = 410
SERVICE_UNAVAILABLE = 503
DEFAULT_PAGE_ROWS = 500


class StoreFault(StrEnum):
    """A fault of the store.

    ``silent`` holds every call until the fault ends and then drops its connection,
    ``busy`` responds with 503, ``reset`` drops connections, ``lost-writes`` applies a
    transaction without a response, ``late-writes`` applies it only after its connection
    was dropped, ``forgetful`` responds to calls of the feed with 410, and ``slow``
    processes each call after a delay.
    """

    NONE = "none"
    SILENT = "silent"
    BUSY = "busy"
    RESET = "reset"
    LOST_WRITES = "lost-writes"
    LATE_WRITES = "late-writes"
    FORGETFUL = "forgetful"
    SLOW = "slow"


@dataclass(slots=True)
class StoredRow:
    """A stored row, with the store's version at its last write."""

    table: str
    part: str
    key: str
    value: str
    ver: int

    def as_json(self) -> dict[str, Any]:
        """Return the row's JSON form."""
        return {
            "table": self.table,
            "part": self.part,
            "key": self.key,
            "value": self.value,
            "ver": self.ver,
        }


@dataclass(slots=True)
class RowStore:
    """All rows and the most recent changes.

    :ivar version: number of applied transactions
    :ivar waiting: deferreds of the feed calls that wait for a change
    """

    rows: dict[tuple[str, str, str], StoredRow] = field(default_factory=dict)
    changes: list[dict[str, Any]] = field(default_factory=list)
    version: int = 0
    fault: StoreFault = StoreFault.NONE
    waiting: list[Deferred[None]] = field(default_factory=list)

    def transact(self, body: dict[str, Any]) -> list[dict[str, Any]] | None:
        """Apply a transaction.

        :returns: ``None`` if it was applied, or the existing rows that its conditions
            name if a condition failed
        """
        conditions = body.get("expected_rev", [])
        for condition in conditions:
            row = self.rows.get(_row_id(condition))
            if (0 if row is None else row.ver) != condition["ver"]:
                found = [self.rows.get(_row_id(expected)) for expected in conditions]
                return [row.as_json() for row in found if row is not None]
        self.version += 1
        for entry in body.get("put", []):
            row = StoredRow(*_row_id(entry), entry["value"], self.version)
            self.rows[_row_id(entry)] = row
            self.changes.append(row.as_json())
        for entry in body.get("delete", []):
            if self.rows.pop(_row_id(entry), None) is not None:
                table, part, key = _row_id(entry)
                deletion = {"table": table, "part": part, "key": key, "gone": True}
                self.changes.append({**deletion, "ver": self.version})
        del self.changes[:-MAX_CHANGES]
        waiting, self.waiting = self.waiting, []
        for deferred in waiting:
            deferred.callback(None)
        return None

    def list_changes(self, table: str, version: int) -> list[dict[str, Any]]:
        """Return the changes of a table after a version."""
        return [
            change
            for change in self.changes
            if change["table"] == table and change["ver"] > version
        ]


class StoreApi:
    """The store's HTTP API."""

    def __init__(self, store: RowStore) -> None:
        self._store = store

    def make_app(self) -> Any:
        """Return the web application."""
        app: Any = Klein()
        app.route("/api/rows-tx", methods=["POST"])(self.transact)
        app.route("/api/rows-get", methods=["GET"])(self.read)
        app.route("/api/rows-feed", methods=["GET"])(self.feed)
        return app

    async def transact(self, request: Request) -> Any:
        """Apply a transaction."""
        store = self._store
        fault_response = await _apply_fault(store, request)
        if fault_response is not None:
            return fault_response
        body = read_body(request)
        if store.fault is StoreFault.LATE_WRITES:
            reactor.callLater(FAULT_DELAY_SECONDS, store.transact, body)
            return await drop_connection(request)
        rows = store.transact(body)
        if store.fault is StoreFault.LOST_WRITES:
            return await drop_connection(request)
        if rows is not None:
            return write_body(request, _response(store, rows=rows), PRECONDITION_FAILED)
        return write_body(request, _response(store))

    async def read(self, request: Request) -> Any:
        """Return a page of rows from one part of a table, sorted by key."""
        store = self._store
        fault_response = await _apply_fault(store, request)
        if fault_response is not None:
            return fault_response
        table, part = (
            _query_argument(request, "table"),
            _query_argument(request, "part"),
        )
        start = _query_argument(request, "from")
        rows = [
            row.as_json()
            for row_id, row in sorted(store.rows.items())
            if row_id[:2] == (table, part) and row_id[2] >= start
        ]
        limit = int(_query_argument(request, "limit") or DEFAULT_PAGE_ROWS)
        response = _response(store, rows=rows[:limit], more=len(rows) > limit)
        return write_body(request, response)

    async def feed(self, request: Request) -> Any:
        """Return the changes of a table, waiting a limited time for the first."""
        store = self._store
        fault_response = await _apply_fault(store, request)
        if fault_response is not None:
            return fault_response
        if store.fault is StoreFault.FORGETFUL:
            return write_body(request, _response(store), GONE)
        table = _query_argument(request, "table")
        since = int(_query_argument(request, "since_rev"))
        wait_seconds = int(_query_argument(request, "wait_ms") or 0) / 1000
        deadline = reactor.seconds() + wait_seconds
        while not (rows := store.list_changes(table, since)):
            if reactor.seconds() >= deadline or request.transport is None:
                break
            await _wait_for_change(store, deadline - reactor.seconds())
        return write_body(request, _response(store, rows=rows))


async def _wait_for_change(store: RowStore, seconds: float) -> None:
    changed: Deferred[None] = Deferred()
    store.waiting.append(changed)

    def time_out() -> None:
        if changed in store.waiting:
            store.waiting.remove(changed)
            changed.callback(None)

    timer = reactor.callLater(seconds, time_out)
    await changed
    if timer.active():
        timer.cancel()


async def _apply_fault(store: RowStore, request: Request) -> Any:
    """Apply a fault that keeps a call from being processed.

    :returns: the response, or ``None`` if the call is to be processed
    """
    if store.fault is StoreFault.SILENT:
        while store.fault is StoreFault.SILENT and request.transport is not None:
            await sleep(FAULT_DELAY_SECONDS)
        return await drop_connection(request)
    if store.fault is StoreFault.BUSY:
        return write_body(request, {}, SERVICE_UNAVAILABLE)
    if store.fault is StoreFault.RESET:
        return await drop_connection(request)
    if store.fault is StoreFault.SLOW:
        await sleep(FAULT_DELAY_SECONDS)
    return None


def _response(store: RowStore, **fields: Any) -> dict[str, Any]:
    now = int(reactor.seconds() * 1000)
    return {**fields, "ver": store.version, "now_ms": now}


def _row_id(entry: dict[str, Any]) -> tuple[str, str, str]:
    return entry["table"], entry["part"], entry["key"]


def _query_argument(request: Request, name: str) -> str:
    values = (request.args or {}).get(name.encode(), [b""])
    return str(values[0].decode())

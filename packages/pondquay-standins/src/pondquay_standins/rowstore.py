"""A stand-in for the platform's row store: rows under conditions, a feed, faults."""

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

KEPT_CHANGES = 5000
LATE_SECONDS = 0.4
CONFLICT = 412
GONE = 410
UNAVAILABLE = 503
MAX_ROWS = 500


class StoreFault(StrEnum):
    """What the store does wrong."""

    NONE = "none"
    SILENT = "silent"
    BUSY = "busy"
    RESET = "reset"
    LOST_WRITES = "lost-writes"
    LATE_WRITES = "late-writes"
    FORGETFUL = "forgetful"


@dataclass(slots=True)
class StoredRow:
    """A row as the store tells of it."""

    table: str
    part: str
    key: str
    value: str
    ver: int

    def as_json(self) -> dict[str, Any]:
        """Return the form on the wire."""
        return {
            "table": self.table,
            "part": self.part,
            "key": self.key,
            "value": self.value,
            "ver": self.ver,
        }


@dataclass(slots=True)
class RowStore:
    """All rows, and what changed lately."""

    rows: dict[tuple[str, str, str], StoredRow] = field(default_factory=dict)
    changes: list[dict[str, Any]] = field(default_factory=list)
    version: int = 0
    fault: StoreFault = StoreFault.NONE
    waiting: list[Deferred[None]] = field(default_factory=list)

    def transact(self, body: dict[str, Any]) -> list[dict[str, Any]] | None:
        """Carry a transaction out, or return the rows of its conditions."""
        conditions = body.get("expected_rev", [])
        for one in conditions:
            row = self.rows.get(_place(one))
            if (0 if row is None else row.ver) != one["ver"]:
                found = [self.rows.get(_place(each)) for each in conditions]
                return [row.as_json() for row in found if row is not None]
        self.version += 1
        for one in body.get("put", []):
            row = StoredRow(*_place(one), one["value"], self.version)
            self.rows[_place(one)] = row
            self.changes.append(row.as_json())
        for one in body.get("delete", []):
            if self.rows.pop(_place(one), None) is not None:
                table, part, key = _place(one)
                gone = {"table": table, "part": part, "key": key, "gone": True}
                self.changes.append({**gone, "ver": self.version})
        del self.changes[:-KEPT_CHANGES]
        waiting, self.waiting = self.waiting, []
        for one in waiting:
            one.callback(None)
        return None

    def since(self, table: str, version: int) -> list[dict[str, Any]]:
        """Return what changed in a table after a version."""
        return [
            one
            for one in self.changes
            if one["table"] == table and one["ver"] > version
        ]


class StoreCalls:
    """The store's calls over HTTP."""

    def __init__(self, store: RowStore) -> None:
        self._store = store

    def make_app(self) -> Any:
        """Return the application that answers them."""
        app: Any = Klein()
        app.route("/api/rows-tx", methods=["POST"])(self.transact)
        app.route("/api/rows-get", methods=["GET"])(self.read)
        app.route("/api/rows-feed", methods=["GET"])(self.feed)
        return app

    async def transact(self, request: Request) -> Any:
        """Carry out a transaction."""
        store = self._store
        refused = await _refuse(store, request)
        if refused is not None:
            return refused
        body = read_body(request)
        if store.fault is StoreFault.LATE_WRITES:
            reactor.callLater(LATE_SECONDS, store.transact, body)
            return await drop_connection(request)
        rows = store.transact(body)
        if store.fault is StoreFault.LOST_WRITES:
            return await drop_connection(request)
        if rows is not None:
            return write_body(request, _response(store, rows=rows), CONFLICT)
        return write_body(request, _response(store))

    async def read(self, request: Request) -> Any:
        """Return rows of one part of a table."""
        store = self._store
        refused = await _refuse(store, request)
        if refused is not None:
            return refused
        table, part = _argument(request, "table"), _argument(request, "part")
        start = _argument(request, "from")
        rows = [
            row.as_json()
            for place, row in sorted(store.rows.items())
            if place[:2] == (table, part) and place[2] >= start
        ]
        limit = int(_argument(request, "limit") or MAX_ROWS)
        response = _response(store, rows=rows[:limit], more=len(rows) > limit)
        return write_body(request, response)

    async def feed(self, request: Request) -> Any:
        """Return what changed in a table, once something has."""
        store = self._store
        refused = await _refuse(store, request)
        if refused is not None:
            return refused
        if store.fault is StoreFault.FORGETFUL:
            return write_body(request, _response(store), GONE)
        table = _argument(request, "table")
        since = int(_argument(request, "since_rev"))
        left = int(_argument(request, "wait_ms") or 0) / 1000
        until = reactor.seconds() + left
        while not (rows := store.since(table, since)):
            if reactor.seconds() >= until or request.transport is None:
                break
            await _wait_for_change(store, until - reactor.seconds())
        return write_body(request, _response(store, rows=rows))


async def _wait_for_change(store: RowStore, seconds: float) -> None:
    changed: Deferred[None] = Deferred()
    store.waiting.append(changed)

    def give_up() -> None:
        if changed in store.waiting:
            store.waiting.remove(changed)
            changed.callback(None)

    timer = reactor.callLater(seconds, give_up)
    await changed
    if timer.active():
        timer.cancel()


async def _refuse(store: RowStore, request: Request) -> Any:
    """Do what the present fault does to every call, ``None`` for nothing."""
    if store.fault is StoreFault.SILENT:
        while store.fault is StoreFault.SILENT and request.transport is not None:
            await sleep(LATE_SECONDS)
        return await drop_connection(request)
    if store.fault is StoreFault.BUSY:
        return write_body(request, {}, UNAVAILABLE)
    if store.fault is StoreFault.RESET:
        return await drop_connection(request)
    return None


def _response(store: RowStore, **fields: Any) -> dict[str, Any]:
    now = int(reactor.seconds() * 1000)
    return {**fields, "ver": store.version, "now_ms": now}


def _place(entry: dict[str, Any]) -> tuple[str, str, str]:
    return entry["table"], entry["part"], entry["key"]


def _argument(request: Request, name: str) -> str:
    values = (request.args or {}).get(name.encode(), [b""])
    return str(values[0].decode())

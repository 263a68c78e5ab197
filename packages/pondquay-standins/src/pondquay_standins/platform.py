"""Stand-in for the platform: table service, object store and instance list.

Faults are set by ``POST /faults``: ``down`` (connections are dropped), ``frozen`` (no
call gets a response until the fault ends), ``table_down`` (like ``down``, but only for
the table), ``slow_ms`` (delay of every call), ``lose`` (number of transactions
processed without a response), ``cut`` (domains whose connections are dropped) and
``list_lag_seconds`` (delay before a change of the list becomes visible). Calls that
register or remove instances, set faults or show counts are never delayed or dropped.
"""

from __future__ import annotations

from argparse import ArgumentParser
from collections import deque
from typing import TYPE_CHECKING, Any

from klein import Klein
from pydantic import BaseModel, ConfigDict
from twisted.internet.defer import Deferred

from pondquay_standins.tables import Table
from pondquay_standins.web import (
    drop_connection,
    reactor,
    read_body,
    serve,
    sleep,
    write_body,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from twisted.web.server import Request

MAX_TRANSACTIONS_PER_SECOND = 300
MAX_READS_PER_SECOND = 2000
MAX_TRANSACTION_WRITES = 1000
TOO_MANY_REQUESTS = 429
CONFLICT = 409
NOT_FOUND = 404
DOMAIN_HEADER = "Pondquay-Domain"
FROZEN_POLL_SECONDS = 0.05


class Faults(BaseModel):
    """The current faults."""

    model_config = ConfigDict(extra="forbid")

    down: bool = False
    frozen: bool = False
    table_down: bool = False
    slow_ms: int = 0
    lose: int = 0
    cut: list[str] = []
    list_lag_seconds: float = 0.0


class RateLimit:
    """Limits the number of calls in any period of one second."""

    def __init__(self, max_calls: int) -> None:
        self._max_calls = max_calls
        self._times: deque[float] = deque()

    def take(self, now: float) -> bool:
        """Return whether the limit allows a call, and count the call if so."""
        while self._times and self._times[0] <= now - 1.0:
            self._times.popleft()
        if len(self._times) >= self._max_calls:
            return False
        self._times.append(now)
        return True


class PlatformStandIn:
    """Serves the table, the object store and the list of instances."""

    def __init__(self) -> None:
        self.table = Table()
        self.objects: dict[str, bytes] = {}
        self.instances: dict[str, dict[str, Any]] = {}
        self.faults = Faults()
        self._published: list[dict[str, Any]] = []
        self._transaction_limit = RateLimit(MAX_TRANSACTIONS_PER_SECOND)
        self._read_limit = RateLimit(MAX_READS_PER_SECOND)
        self.app = Klein()
        self._route("/table/read", "POST", self._read)
        self._route("/table/transact", "POST", self._transact)
        self._route("/instances", "GET", self._list_instances)
        self._route("/objects/<path:key>", "GET", self._load_object)
        self._route("/objects/<path:key>", "PUT", self._store_object)
        self.app.route("/instances", methods=["POST"], endpoint="register")(
            self._register
        )
        self.app.route("/instances/<name>", methods=["DELETE"], endpoint="remove")(
            self._remove
        )
        self.app.route("/faults", methods=["POST"], endpoint="faults")(self._set_faults)
        self.app.route("/counts", methods=["GET"], endpoint="counts")(self._show_counts)

    def _route(
        self,
        path: str,
        method: str,
        handler: Callable[..., Coroutine[Deferred[Any], Any, Any]],
    ) -> None:
        def run(request: Request, **values: str) -> Deferred[Any]:
            return Deferred.fromCoroutine(self._respond(request, handler, values))

        self.app.route(path, methods=[method], endpoint=f"{method}-{path}")(run)

    async def _respond(
        self, request: Request, handler: Callable[..., Any], values: dict[str, str]
    ) -> Any:
        domain = request.getHeader(DOMAIN_HEADER) or ""
        if self.faults.slow_ms:
            await sleep(self.faults.slow_ms / 1000)
        while self.faults.frozen:
            await sleep(FROZEN_POLL_SECONDS)
        table_down = self.faults.table_down and handler in (self._read, self._transact)
        if self.faults.down or table_down or domain in self.faults.cut:
            return await drop_connection(request)
        return await handler(request, **values)

    async def _read(self, request: Request) -> Any:
        if not self._read_limit.take(reactor.seconds()):
            return write_body(request, {}, TOO_MANY_REQUESTS)
        body = read_body(request)
        return write_body(
            request, {"rows": self.table.read(body["keys"], body["prefixes"])}
        )

    async def _transact(self, request: Request) -> Any:
        body = read_body(request)
        too_many = not self._transaction_limit.take(reactor.seconds())
        if too_many or len(body["writes"]) > MAX_TRANSACTION_WRITES:
            return write_body(request, {}, TOO_MANY_REQUESTS)
        committed = self.table.transact(body["conditions"], body["writes"])
        if self.faults.lose > 0:
            self.faults.lose -= 1
            return await drop_connection(request)
        return write_body(request, {}, 200 if committed else CONFLICT)

    async def _load_object(self, request: Request, key: str) -> Any:
        if key not in self.objects:
            return write_body(request, {}, NOT_FOUND)
        return self.objects[key]

    async def _store_object(self, request: Request, key: str) -> Any:
        assert request.content is not None
        request.content.seek(0)
        self.objects[key] = request.content.read()
        return write_body(request, {})

    # The list of instances

    async def _list_instances(self, request: Request) -> Any:
        return write_body(request, self._published)

    def _register(self, request: Request) -> bytes:
        entry = read_body(request)
        self.instances[entry["name"]] = {
            **self.instances.get(entry["name"], {}),
            **entry,
        }
        self._publish()
        return write_body(request, entry)

    def _remove(self, request: Request, name: str) -> bytes:
        self.instances.pop(name, None)
        self._publish()
        return write_body(request, {})

    def _publish(self) -> None:
        """Make the current list visible after the configured lag."""
        snapshot = list(self.instances.values())

        def update() -> None:
            self._published = snapshot

        if self.faults.list_lag_seconds:
            reactor.callLater(self.faults.list_lag_seconds, update)
        else:
            update()

    def _set_faults(self, request: Request) -> bytes:
        changed = {**self.faults.model_dump(), **read_body(request)}
        self.faults = Faults.model_validate(changed)
        return write_body(request, self.faults.model_dump())

    def _show_counts(self, request: Request) -> bytes:
        return write_body(
            request,
            {
                "transactions": self.table.transactions,
                "row_writes": self.table.row_writes,
                "reads": self.table.reads,
                "rows": len(self.table.rows),
            },
        )


def main() -> None:
    """Run the stand-in on the given port."""
    parser = ArgumentParser(prog="python -m pondquay_standins.platform")
    parser.add_argument("--port", type=int, required=True)
    options = parser.parse_args()
    serve(PlatformStandIn().app, options.port)


if __name__ == "__main__":
    main()

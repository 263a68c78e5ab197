"""Client of the platform's table service, object store and instance list."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, TypeVar

import treq
from pydantic import BaseModel, ConfigDict, TypeAdapter
from twisted.internet.defer import CancelledError
from twisted.internet.defer import TimeoutError as DeferredTimeout
from twisted.internet.error import (
    ConnectError,
    ConnectingCancelledError,
    ConnectionClosed,
)
from twisted.web.client import (
    Agent,
    RequestGenerationFailed,
    RequestTransmissionFailed,
    ResponseFailed,
)

from pondquay.tables import (
    Committed,
    Condition,
    Conflict,
    OutcomeUnknown,
    Read,
    Row,
    Rows,
    Transaction,
    Unreachable,
    Write,
)
from pondquay_daemon.bodies import parse_json, read_body
from pondquay_daemon.connectionpools import make_connection_pool
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.readtimers import ReadCounter
from pondquay_daemon.silences import SilenceMeter
from pondquay_daemon.tasks import finish_within

if TYPE_CHECKING:
    from twisted.internet.interfaces import IReactorTime

    from pondquay.tables import Program, TableCall, TableReply

T = TypeVar("T")
DOMAIN_HEADER = "Pondquay-Domain"
CONNECT_SECONDS = 1.0
# A read of the table may return the rows of all budgets.
MAX_RESPONSE_BYTES = 64 << 20
OK = 200
CONFLICT = 409
TOO_MANY_REQUESTS = 429

NETWORK_ERRORS = (
    ConnectError,
    ConnectingCancelledError,
    ResponseFailed,
    RequestGenerationFailed,
    RequestTransmissionFailed,
    ConnectionClosed,
    CancelledError,
    DeferredTimeout,
    OSError,
)


class ListedInstance(BaseModel):
    """An entry instance or upstream in the platform's list.

    :param role: ``entry``, ``engine`` or ``service``
    :param url: base URL of an upstream
    :param peer: address of an entry instance for its peers
    :param state: ``live`` or ``leaving``
    """

    model_config = ConfigDict(frozen=True, extra="ignore")

    name: str
    role: str
    domain: str
    partner: str = ""
    url: str = ""
    peer: str = ""
    state: str = "live"


_INSTANCES_ADAPTER: TypeAdapter[list[ListedInstance]] = TypeAdapter(
    list[ListedInstance]
)
_ROWS_ADAPTER: TypeAdapter[list[Row]] = TypeAdapter(list[Row])


class Platform:
    """Client of the platform.

    :param url: base URL of the platform
    :param domain: failure domain of this instance
    :param timeout: seconds after which a call without a complete response fails
    :ivar silence: measures for how long no call of the table has had a response
    :ivar reads: table reads since start
    :ivar writes: table writes since start
    """

    def __init__(self, reactor: Any, url: str, domain: str, timeout: float) -> None:
        self._reactor: IReactorTime = reactor
        self._url = url.rstrip("/")
        self._headers: dict[bytes | str, bytes | str] = {
            DOMAIN_HEADER: domain,
            "Content-Type": "application/json",
        }
        self._timeout = timeout
        agent = Agent(
            reactor, pool=make_connection_pool(reactor), connectTimeout=CONNECT_SECONDS
        )
        self._http = treq.client.HTTPClient(agent)
        self.reachable = False
        self.silence = SilenceMeter(self._reactor, timeout)
        self.reads = 0
        self.writes = 0

    async def run(self, program: Program[T]) -> T:
        """Run a table program to its end and return its result."""
        reply: TableReply | None = None
        while True:
            try:
                call = program.send(reply) if reply is not None else next(program)
            except StopIteration as stop:
                result: T = stop.value
                return result
            reply = await self._call(call)

    async def _call(self, call: TableCall) -> TableReply:
        if isinstance(call, Read):
            return await self._read(call)
        return await self._transact(call)

    async def _read(self, call: Read) -> Rows | Unreachable:
        self.reads += 1
        body = {"keys": call.keys, "prefixes": call.prefixes}
        try:
            status, content = await self._call_table("/table/read", body)
            if status != OK:
                raise ValueError(f"status {status}")
            rows = _ROWS_ADAPTER.validate_python(content["rows"])
        except (*NETWORK_ERRORS, ValueError, KeyError, TypeError) as error:
            self._note_reachable(False, error)
            return Unreachable()
        self._note_reachable(True)
        return Rows({row.key: row for row in rows})

    async def _transact(self, call: Transaction) -> TableReply:
        self.writes += 1
        body = {
            "name": call.name,
            "conditions": [_dump_condition(condition) for condition in call.conditions],
            "writes": [_dump_write(write) for write in call.writes],
        }
        try:
            status, _ = await self._call_table("/table/transact", body)
        except (ConnectError, ConnectingCancelledError) as error:
            self._note_reachable(False, error)
            return Unreachable()
        except (*NETWORK_ERRORS, ValueError) as error:
            self._note_reachable(False, error)
            return OutcomeUnknown()
        self._note_reachable(True)
        if status == OK:
            return Committed()
        if status == CONFLICT:
            return Conflict()
        return Unreachable() if status == TOO_MANY_REQUESTS else OutcomeUnknown()

    async def list_instances(self) -> list[ListedInstance] | None:
        """Return the platform's list of instances, ``None`` if it is unavailable.

        The list includes upstreams and may be out of date.
        """
        try:
            status, content = await self._get("/instances")
            return _INSTANCES_ADAPTER.validate_python(content) if status == OK else None
        except (*NETWORK_ERRORS, ValueError):
            return None

    async def load_object(self, key: str) -> bytes | None:
        """Return an object, ``None`` if it is missing or unavailable."""
        try:
            status, content = await self._exchange("GET", f"/objects/{key}")
        except NETWORK_ERRORS:
            return None
        return content if status == OK else None

    async def store_object(self, key: str, content: bytes) -> bool:
        """Store an object; return whether the platform confirmed it.

        The call is idempotent and may be repeated.
        """
        try:
            status, _ = await self._exchange("PUT", f"/objects/{key}", content)
        except NETWORK_ERRORS:
            return False
        return status == OK

    async def _call_table(self, path: str, body: object) -> tuple[int, Any]:
        with self.silence.watch():
            status, content = await self._exchange(
                "POST", path, json.dumps(body).encode()
            )
        return status, parse_json(content or b"null")

    async def _get(self, path: str) -> tuple[int, Any]:
        status, content = await self._exchange("GET", path)
        return status, parse_json(content)

    async def _exchange(
        self, method: str, path: str, body: bytes | None = None
    ) -> tuple[int, bytes]:
        """Return the status and the body of the response to a request."""

        async def exchange() -> tuple[int, bytes]:
            response = await self._http.request(
                method,
                self._url + path,
                data=body,
                headers=self._headers,
                allow_redirects=False,
                unbuffered=True,
            )
            return response.code, await read_body(response, MAX_RESPONSE_BYTES, reads)

        reads = ReadCounter()
        return await finish_within(self._timeout, self._reactor, exchange(), reads)

    def _note_reachable(self, reachable: bool, error: object = None) -> None:
        if reachable != self.reachable:
            level = Level.INFO if reachable else Level.WARNING
            log_event("platform", level, reachable=reachable, error=error or "none")
        self.reachable = reachable


def _dump_condition(condition: Condition) -> dict[str, object]:
    return {"key": condition.key, "version": condition.version}


def _dump_write(write: Write) -> dict[str, object]:
    return {"key": write.key, "value": write.value}

"""Stand-ins for the platform, the replicas and the clients, for the scripts of a review.

They use the standard library only and speak what PROTOCOL.md says. Relays are started
as processes with the command of the deploy file, each on a loopback address of its own.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from base64 import b64decode, b64encode
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST_NAME = "board.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HEARTBEAT_SECONDS = 1.2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to a file, with the time of each entry."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def note(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._began:8.3f}  {text}\n")
        self._file.flush()


def pick_address() -> str:
    """Return a loopback address that is probably not in use."""
    return f"127.{random.randint(16, 250)}.{random.randint(0, 250)}.{random.randint(2, 250)}"


def pick_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers in lower case, ``None`` at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def write_head(status: int, reason: str, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} {reason}", *(f"{k}: {v}" for k, v in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Store:
    """The platform's store: rows with one version counter, and a feed of changes."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.changes: list[tuple[int, str, str, str, str | None]] = []
        self.version = 0
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self) -> None:
        host = pick_address()
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"

    def put(self, table: str, key: str, value: object) -> None:
        text = b64encode(json.dumps(value).encode()).decode()
        self._apply([(table, "", key, text)])

    def delete(self, table: str, key: str) -> None:
        self._apply([(table, "", key, None)])

    def _apply(self, writes: list[tuple[str, str, str, str | None]]) -> None:
        self.version += 1
        for table, part, key, value in writes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = (value, self.version)
            self.changes.append((self.version, table, part, key, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                status, reply = await self._answer(method, target, body)
                data = json.dumps(reply).encode()
                fields = {
                    "Content-Type": "application/json",
                    "Content-Length": str(len(data)),
                }
                writer.write(write_head(status, "Reply", fields) + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, object]:
        await asyncio.sleep(0.004)
        url = urlsplit(target)
        query = {name: unquote(values[0]) for name, values in parse_qs(url.query).items()}
        now_ms = int(time.monotonic() * 1000)
        if method == "POST" and url.path == "/api/rows-tx":
            return self._transact(json.loads(body), now_ms)
        if url.path == "/api/rows-get":
            start, limit = query.get("from", ""), min(500, int(query.get("limit", "500")))
            wanted = (query["table"], query.get("part", ""))
            found = sorted(k for k in self.rows if k[:2] == wanted and k[2] >= start)
            rows = [self._show(*key, *self.rows[key]) for key in found[:limit]]
            more = len(found) > limit
            return 200, {"rows": rows, "more": more, "ver": self.version, "now_ms": now_ms}
        if url.path == "/api/rows-feed":
            since, table = int(query["since_rev"]), query["table"]
            until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while True:
                rows = [
                    self._show(t, part, key, value, ver)
                    for ver, t, part, key, value in self.changes
                    if ver > since and t == table
                ]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, {"rows": rows, "ver": self.version, "now_ms": now_ms}
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    pass
        return 404, {}

    def _transact(self, body: dict, now_ms: int) -> tuple[int, object]:
        expected = body.get("expected_rev", [])
        current = []
        for row in expected:
            key = (row["table"], row.get("part", ""), row["key"])
            value, ver = self.rows.get(key, (None, 0))
            current.append((key, value, ver, row["ver"]))
        if any(ver != wanted for _, _, ver, wanted in current):
            rows = [self._show(*key, value, ver) for key, value, ver, _ in current if ver]
            return 412, {"rows": rows, "ver": self.version, "now_ms": now_ms}
        writes = [
            (row["table"], row.get("part", ""), row["key"], row["value"])
            for row in body.get("put", [])
        ]
        writes += [
            (row["table"], row.get("part", ""), row["key"], None)
            for row in body.get("delete", [])
        ]
        self._apply(writes)
        return 200, {"ver": self.version, "now_ms": now_ms}

    @staticmethod
    def _show(table: str, part: str, key: str, value: str | None, ver: int) -> dict:
        row = {"table": table, "part": part, "key": key, "ver": ver}
        return {**row, "gone": True} if value is None else {**row, "value": value}

    def read(self, table: str) -> dict[str, object]:
        """Return the values of a table by part and key."""
        return {
            f"{part}/{key}": json.loads(b64decode(value))
            for (t, part, key), (value, _) in self.rows.items()
            if t == table
        }


class Replica:
    """A replica; subclasses say what it does with a request.

    :ivar runs: attempt ids of the requests on which it began work
    """

    def __init__(self, store: Store, record: Record, service: str, zone: str) -> None:
        self.id = f"i-{random.getrandbits(40):010x}"
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.runs: list[str] = []
        self.slots = 6
        self.state = "ready"
        self.address = ""
        self.sequence = 0

    async def start(self) -> None:
        host = pick_address()
        server = await asyncio.start_server(self._connect, host, 0, limit=1 << 23)
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"
        asyncio.get_running_loop().create_task(self._beat())

    def write_row(self) -> None:
        self.sequence += 1
        row = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
        }
        self.store.put("servers", self.id, row)

    async def _beat(self) -> None:
        while self.state != "gone":
            self.write_row()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = await read_body(reader, headers)
                attempt = headers.get("x-pondquay-attempt-id", "")
                self.record.note(f"replica {self.id}: {first[:60]!r} id {attempt} arrives")
                if headers.get("x-pondquay-expect-replica") != self.id:
                    fields = {"X-Pondquay-Replica-Id": self.id, "Content-Length": "0"}
                    writer.write(write_head(421, "Misdirected Request", fields))
                    continue
                await self.handle(attempt, headers, body, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(
        self,
        attempt: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        raise NotImplementedError

    def begin_run(self, attempt: str) -> None:
        self.runs.append(attempt)
        self.record.note(f"replica {self.id}: runs {attempt}")

    def make_success(self, attempt: str, body: bytes) -> bytes:
        fields = {
            "X-Pondquay-Attempt-Id": attempt,
            "X-Pondquay-Replica-Signature": f"3e1b.07.{self.id}.{len(body)}",
            "Content-Length": str(len(body)),
        }
        return write_head(200, "OK", fields) + body

    def make_refusal(self, attempt: str) -> bytes:
        fields = {
            "X-Pondquay-Attempt-Id": attempt,
            "X-Pondquay-Not-Executed": "1",
            "Content-Length": "0",
        }
        return write_head(503, "Service Unavailable", fields)


class Relay:
    """A relay process, started with the command of the deploy file."""

    def __init__(self, folder: Path, store: Store, name: str, zone: str) -> None:
        self.name, self.zone, self.store = name, zone, store
        self.host = pick_address()
        ports = [pick_port(self.host) for _ in range(4)]
        self.front, self.ready, self.control, self.first_port = ports
        self.folder = folder
        self.process: subprocess.Popen | None = None

    def start(self, seeds: list[str], memory_mb: int = 300) -> None:
        settings = self.folder / f"{self.name}.toml"
        settings.write_text(
            f"""
node_name = "{self.name}"
role = "relay"
machine_class = "edge"
serves = ["edge","control_plane"]
ip = "{self.host}"
zone = "{self.zone}"
region = "lima"
port_range = [{self.first_port},{self.first_port}]
seeds = {json.dumps(seeds)}
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
lima-ate = "lima"
lima-surco = "lima"
lima-callao = "lima"
[listen]
front = "{self.host}:{self.front}"
ready = "{self.host}:{self.ready}"
control = "{self.host}:{self.control}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = {memory_mb}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
revoke_strict = false
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_extra = 56
recover_s = 12
iteration_ms = 120
retry_after_s = 10
settle_ms = 1500
[platform]
address = "{self.store.address}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
tx_ms = 3.0
part_writes_per_s = 300
row_bytes = 65536
across = true
history_s = 20
"""
        )
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["relay"]["run"].split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {"PYTHONPATH": str(DEPS), "PONDQUAY_SETTINGS": str(settings)}
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return head is not None and " 200 " in head[0] + " "

    async def wait_ready(self, seconds: float = 20) -> None:
        until = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise CannotRunError(f"{self.name} does not become ready")
            await asyncio.sleep(0.1)

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Answer:
    """What a client got: a status, 0 if its connection ended without an answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, seconds: float):
        self.status, self.headers, self.body, self.seconds = status, headers, body, seconds


class Client:
    """A client's connection, which carries one request after another."""

    def __init__(self, record: Record, relay: Relay) -> None:
        self.record, self.relay = record, relay
        self._streams = None

    async def connect(self) -> None:
        self._streams = await asyncio.open_connection(
            self.relay.host, self.relay.front, limit=1 << 23
        )
        sock = self._streams[1].get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def make_head(
        self, path: str, attempt: str, length: int, deadline_ms: int, extra: dict[str, str]
    ) -> bytes:
        fields = {
            "Host": HOST_NAME,
            "X-Pondquay-Attempt-Id": attempt,
            "X-Pondquay-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {KEY}",
            "Content-Length": str(length),
            **extra,
        }
        lines = [f"POST {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def send(
        self,
        path: str,
        attempt: str,
        *,
        body: bytes = b"x" * 600,
        deadline_ms: int = 1000,
        bytes_per_s: float = 0,
        extra: dict[str, str] | None = None,
    ) -> Answer:
        """Send a request and return its answer; wait until the deadline."""
        if self._streams is None:
            await self.connect()
        reader, writer = self._streams
        began = time.monotonic()
        self.record.note(f"client: sends {attempt}, {path}, {len(body)} bytes")
        sending = asyncio.ensure_future(
            self._write(
                writer,
                self.make_head(path, attempt, len(body), deadline_ms, extra or {}),
                body,
                bytes_per_s,
                attempt,
            )
        )
        status, headers, answer = 0, {}, b""
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                head = await read_head(reader)
                if head is not None:
                    first, headers = head
                    answer = await read_body(reader, headers)
                    status = int(first.split(" ")[1])
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            pass
        sending.cancel()
        seconds = time.monotonic() - began
        text = answer[:60].decode("latin-1").strip()
        self.record.note(
            f"client: {attempt} gets {status or 'no answer'} after {seconds:.2f} s {text!r}"
        )
        if not status or headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(status, headers, answer, seconds)

    async def _write(
        self,
        writer: asyncio.StreamWriter,
        head: bytes,
        body: bytes,
        bytes_per_s: float,
        attempt: str,
    ) -> None:
        try:
            if not bytes_per_s:
                writer.write(head + body)
                await writer.drain()
                return
            writer.write(head)
            step = 32768
            for start in range(0, len(body), step):
                writer.write(body[start : start + step])
                await writer.drain()
                await asyncio.sleep(step / bytes_per_s)
            self.record.note(f"client: {attempt} has handed over its whole body")
        except ConnectionError:
            pass

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def run_case(case, folder: Path) -> int:
    """Run a case, a coroutine of the record and a temporary folder; return its result.

    The coroutine returns ``(result, relays)``, or raises ``CannotRunError``; the relays
    that it starts are appended to the list that it gets and are always ended.
    """
    record = Record(folder / "record.txt")
    # So that all processes are ended also when the script is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    if not (DEPS / "pondquay_daemon").is_dir():
        record.note("target/deps is missing: build first")
        return COULD_NOT_RUN
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    relays: list[Relay] = []

    async def bounded() -> int:
        async with asyncio.timeout(110):
            return await case(record, temporary, relays)

    try:
        record.note(f"with the disruption: {'yes' if TROUBLE else 'no'}")
        result = asyncio.run(bounded())
        record.note({HELD: "the rule held", BROKEN: "the rule was broken"}[result])
        return result
    except (CannotRunError, OSError, TimeoutError) as error:
        record.note(f"could not run: {error!r}")
        return COULD_NOT_RUN
    finally:
        for relay in relays:
            relay.end()
        logs = os.environ.get("REVIEW_LOGS")
        if logs:
            for log in temporary.glob("*.log"):
                shutil.copy(log, logs)
        shutil.rmtree(temporary, ignore_errors=True)

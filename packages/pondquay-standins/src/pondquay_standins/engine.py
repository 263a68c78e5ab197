"""Stand-in for an engine: batches, streams, a prefix cache and orders.

Faults are set by ``POST /faults``: ``frozen`` (streams produce no pieces, and requests
for streams and load get no response), ``cut_after`` (each connection breaks after this
many pieces; the stream continues), ``late_ms`` (delay before the first piece),
``slow_factor`` (multiplies the time between pieces), ``refuse`` (503 for new streams),
``backoff_seconds`` (``Retry-After`` of a 503), ``foreign`` (each piece is sent a second
time under another stream's name) and ``leaving`` (the load report announces that the
engine leaves).
"""

from __future__ import annotations

import json
from argparse import ArgumentParser, BooleanOptionalAction
from collections import OrderedDict
from dataclasses import dataclass, field
from hashlib import sha256
from heapq import heappop, heappush
from secrets import token_hex
from typing import TYPE_CHECKING, Any

from klein import Klein
from pydantic import BaseModel, ConfigDict
from twisted.internet.defer import Deferred

from pondquay_standins.web import (
    drop_connection,
    read_body,
    serve,
    sleep,
    write_body,
)

if TYPE_CHECKING:
    from twisted.web.server import Request

STREAM_HEADER = "Pondquay-Stream"
PRIORITY_HEADER = "Pondquay-Priority"
BOOT_HEADER = "Pondquay-Boot"
PRIORITIES = {"high": 0, "normal": 1, "low": 2}
BYTES_PER_TOKEN = 4
PREFIX_CHARACTERS = 256
MAX_STREAMS = 50_000
MAX_CACHED_PREFIXES = 200
REPORT_INTERVAL_SECONDS = 0.3
WORDS = ("split", "verified", "hours", "crew", "record", "run", "shift", "ok")
CONFLICT = 409
NOT_FOUND = 404
SERVICE_UNAVAILABLE = 503


class Faults(BaseModel):
    """The current faults."""

    model_config = ConfigDict(extra="forbid")

    frozen: bool = False
    cut_after: int = 0
    late_ms: int = 0
    slow_factor: float = 1.0
    refuse: bool = False
    backoff_seconds: int = 0
    foreign: bool = False
    leaving: bool = False


@dataclass(slots=True)
class Stream:
    """A completion, produced in pieces of one token each.

    :ivar output_tokens: number of output tokens of the complete stream
    :ivar seed: hash of the prompt, which determines the words
    :ivar prefix: hash of the prompt's first characters, empty for a short prompt
    :ivar state: ``waiting``, ``running``, ``finished`` or ``cancelled``
    :ivar pieces: text produced so far
    :ivar readers: deferreds of the connections that wait for the next piece
    """

    name: str
    priority: int
    prompt_tokens: int
    output_tokens: int
    seed: str
    prefix: str = ""
    state: str = "waiting"
    pieces: list[str] = field(default_factory=list)
    readers: list[Deferred[None]] = field(default_factory=list)
    started: bool = False

    @property
    def tokens(self) -> int:
        """Tokens that the stream has used so far, including the prompt."""
        return self.prompt_tokens + len(self.pieces)

    def notify_readers(self) -> None:
        """Notify all readers that the stream has changed."""
        readers, self.readers = self.readers, []
        for reader in readers:
            reader.callback(None)


class EngineStandIn:
    """Runs streams in a batch and serves their pieces.

    :param pace: seconds between the pieces of a stream
    :param slots: maximum number of streams that run at the same time
    :param checks_fence: whether orders with an older fence are refused
    """

    def __init__(
        self,
        name: str,
        model: str,
        versions: list[str],
        pace: float,
        slots: int,
        checks_fence: bool,
    ) -> None:
        self.name = name
        self.model = model
        self.versions = versions
        self.pace = pace
        self.slots = slots
        self.boot = token_hex(4)
        self.faults = Faults()
        self.refused_count = 0
        self.streams: OrderedDict[str, Stream] = OrderedDict()
        self.log: list[dict[str, Any]] = []
        self.fence = 0
        self.checks_fence = checks_fence
        self._waiting: list[tuple[int, int, str]] = []
        self._arrivals = 0
        self._running = 0
        self._cached: OrderedDict[str, None] = OrderedDict()
        self._report: dict[str, Any] = {}
        self.app = Klein()
        route = self.app.route
        route("/v1/chat/completions", methods=["POST"])(self.complete)
        route("/v1/streams/<name>", methods=["GET"])(self.resume)
        route("/v1/streams/<name>/status", methods=["GET"])(self.show_status)
        route("/v1/streams/<name>/cancel", methods=["POST"])(self.cancel)
        route("/cancel-all", methods=["POST"])(self.cancel_all)
        route("/v1/load", methods=["GET"])(self.show_load)
        route("/v1/orders", methods=["POST"])(self.apply_order)
        route("/log", methods=["GET"])(self.show_log)
        route("/faults", methods=["POST"])(self.set_faults)

    # Streams

    def complete(self, request: Request) -> Any:
        """Start a stream and send its pieces as they are produced."""
        if self.faults.frozen:
            return Deferred()
        body = read_body(request)
        name = request.getHeader(STREAM_HEADER) or token_hex(8)
        request.setHeader(STREAM_HEADER, name)
        if self.faults.refuse:
            return self._refuse(request)
        if body["model"] != self.model or body["version"] not in self.versions:
            return write_body(request, {"error": "model"}, NOT_FOUND)
        if (request.getHeader(BOOT_HEADER) or self.boot) != self.boot:
            return write_body(request, {"error": "another boot"}, CONFLICT)
        if name in self.streams:
            return write_body(request, {"error": "stream exists"}, CONFLICT)
        stream = self._make_stream(name, body, request)
        self.streams[name] = stream
        self._arrivals += 1
        heappush(self._waiting, (stream.priority, self._arrivals, name))
        self._start_next()
        return Deferred.fromCoroutine(self._send(request, stream, 0))

    def _refuse(self, request: Request) -> bytes:
        self.refused_count += 1
        if self.faults.backoff_seconds:
            request.setHeader("Retry-After", str(self.faults.backoff_seconds))
        return write_body(request, {"error": "refused"}, SERVICE_UNAVAILABLE)

    def _make_stream(self, name: str, body: Any, request: Request) -> Stream:
        text = "\n".join(message["content"] for message in body["messages"])
        prompt = max(1, len(text.encode()) // BYTES_PER_TOKEN)
        seed = sha256(text.encode()).hexdigest()
        min_tokens = max(1, body["max_tokens"] // 4)
        output_tokens = min_tokens + int(seed[:6], 16) % max(
            1, body["max_tokens"] - min_tokens
        )
        prefix = ""
        if len(text) >= PREFIX_CHARACTERS:
            prefix = sha256(text[:PREFIX_CHARACTERS].encode()).hexdigest()[:16]
        priority = PRIORITIES.get(request.getHeader(PRIORITY_HEADER) or "normal", 1)
        while len(self.streams) >= MAX_STREAMS:
            self.streams.popitem(last=False)
        return Stream(name, priority, prompt, output_tokens, seed, prefix)

    def _start_next(self) -> None:
        while self._running < self.slots and self._waiting:
            _, _, name = heappop(self._waiting)
            stream = self.streams.get(name)
            if stream is None or stream.state != "waiting":
                continue
            stream.state = "running"
            stream.started = True
            self._running += 1
            Deferred.fromCoroutine(self._run(stream))

    async def _run(self, stream: Stream) -> None:
        if self.faults.late_ms:
            await sleep(self.faults.late_ms / 1000)
        cached = stream.prefix in self._cached
        await sleep(self.pace * (1 if cached else 1 + stream.prompt_tokens / 500))
        if stream.prefix:
            self._cached[stream.prefix] = None
            while len(self._cached) > MAX_CACHED_PREFIXES:
                self._cached.popitem(last=False)
        while stream.state == "running" and len(stream.pieces) < stream.output_tokens:
            if not self.faults.frozen:
                index = len(stream.pieces)
                word = WORDS[int(stream.seed[index % 60], 16) % len(WORDS)]
                stream.pieces.append(f"{word} ")
                stream.notify_readers()
            await sleep(self.pace * self.faults.slow_factor)
        if stream.state == "running":
            stream.state = "finished"
        self._running -= 1
        self._log_end(stream)
        stream.notify_readers()
        self._start_next()

    def _log_end(self, stream: Stream) -> None:
        self.log.append(
            {"stream": stream.name, "state": stream.state, "tokens": stream.tokens}
        )

    async def _send(self, request: Request, stream: Stream, offset: int) -> bytes:
        request.setHeader("Content-Type", "text/event-stream")
        closed: list[bool] = []
        request.notifyFinish().addErrback(lambda _: closed.append(True))
        request.write(b": accepted\n\n")
        sent = 0
        while not closed:
            while offset < len(stream.pieces) and not closed:
                self._write_piece(request, stream, offset)
                offset += 1
                sent += 1
                if self.faults.cut_after and sent >= self.faults.cut_after:
                    drop_connection(request)
                    return b""
            if stream.state in ("finished", "cancelled"):
                break
            reader: Deferred[None] = Deferred()
            stream.readers.append(reader)
            await reader
        if closed:
            return b""
        if stream.state == "finished":
            self._write_end(request, stream)
        return b""

    def _write_piece(self, request: Request, stream: Stream, offset: int) -> None:
        choice = {"index": 0, "delta": {"content": stream.pieces[offset]}}
        event = {"id": stream.name, "offset": offset, "choices": [choice]}
        request.write(b"data: " + json.dumps(event).encode() + b"\n\n")
        if self.faults.foreign:
            event["id"] = "another-stream"
            request.write(b"data: " + json.dumps(event).encode() + b"\n\n")

    def _write_end(self, request: Request, stream: Stream) -> None:
        event = {
            "id": stream.name,
            "offset": len(stream.pieces),
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
            "usage": {
                "prompt_tokens": stream.prompt_tokens,
                "completion_tokens": len(stream.pieces),
            },
        }
        request.write(b"data: " + json.dumps(event).encode() + b"\n\n")
        request.write(b"data: [DONE]\n\n")

    def resume(self, request: Request, name: str) -> Any:
        """Send the pieces of a stream, starting at an offset."""
        if self.faults.frozen:
            return Deferred()
        stream = self.streams.get(name)
        if stream is None or stream.state == "cancelled":
            return write_body(request, {"error": "no such stream"}, NOT_FOUND)
        offset = int((request.args or {}).get(b"offset", [b"0"])[0])
        return Deferred.fromCoroutine(self._send(request, stream, offset))

    def show_status(self, request: Request, name: str) -> Any:
        """Return the state of a stream."""
        if self.faults.frozen:
            return Deferred()
        stream = self.streams.get(name)
        if stream is None:
            request.setHeader(STREAM_HEADER, name)
            return write_body(request, {"state": "unknown", "boot": self.boot})
        state = "running" if stream.state == "waiting" else stream.state
        return self._write_status(request, state, stream)

    def cancel(self, request: Request, name: str) -> Any:
        """Cancel a stream, even if the request that starts it has not arrived yet."""
        if self.faults.frozen:
            return Deferred()
        stream = self.streams.setdefault(name, Stream(name, 1, 0, 0, "", ""))
        if stream.state != "finished":
            if stream.state == "waiting":
                self._log_end(stream)
            stream.state = "cancelled"
            stream.notify_readers()
        return self._write_status(request, stream.state, stream)

    def cancel_all(self, request: Request) -> bytes:
        """Cancel every unfinished stream, as an overloaded engine may."""
        for stream in self.streams.values():
            if stream.state in ("waiting", "running"):
                stream.state = "cancelled"
                stream.notify_readers()
        return write_body(request, {})

    def _write_status(self, request: Request, state: str, stream: Stream) -> bytes:
        status = {
            "state": state,
            "tokens": stream.tokens,
            "started": stream.started,
            "boot": self.boot,
        }
        request.setHeader(STREAM_HEADER, stream.name)
        return write_body(request, status)

    # Load, orders and faults

    def show_load(self, request: Request) -> Any:
        """Return the last load report, which is refreshed at intervals."""
        if self.faults.frozen:
            return Deferred()
        return write_body(request, self._report or self._make_report())

    def _make_report(self) -> dict[str, Any]:
        pending_tokens = sum(
            stream.output_tokens - len(stream.pieces)
            for stream in self.streams.values()
            if stream.state in ("waiting", "running")
        )
        waiting = sum(stream.state == "waiting" for stream in self.streams.values())
        return {
            "tokens": pending_tokens,
            "streams": self._running + waiting,
            "slots": self.slots,
            "boot": self.boot,
            "leaving": self.faults.leaving,
            "models": [
                {"model": self.model, "version": version} for version in self.versions
            ],
            "cached": list(self._cached)[-20:],
        }

    async def refresh_report(self) -> None:
        """Refresh the load report at intervals of ``REPORT_INTERVAL_SECONDS``."""
        while True:
            self._report = self._make_report()
            await sleep(REPORT_INTERVAL_SECONDS)

    def apply_order(self, request: Request) -> bytes:
        """Change the versions that the engine serves.

        An order with an older fence is refused if the engine checks fences.
        """
        order = read_body(request)
        if self.checks_fence and order["fence"] < self.fence:
            return write_body(request, {"error": "old fence"}, CONFLICT)
        self.fence = order["fence"]
        self.versions = order.get("versions", self.versions)
        return write_body(request, {"versions": self.versions})

    def show_log(self, request: Request) -> bytes:
        """Return the log of ended streams and the number of refused requests."""
        return write_body(request, {"streams": self.log, "refused": self.refused_count})

    def set_faults(self, request: Request) -> bytes:
        """Change the given faults and return all of them."""
        changed = {**self.faults.model_dump(), **read_body(request)}
        self.faults = Faults.model_validate(changed)
        return write_body(request, self.faults.model_dump())


def main() -> None:
    """Run the stand-in on the given port."""
    parser = ArgumentParser(prog="python -m pondquay_standins.engine")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--model", required=True)
    parser.add_argument("--versions", default="v1")
    parser.add_argument("--pace", type=float, default=0.01)
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--checks-fence", action=BooleanOptionalAction, default=True)
    options = parser.parse_args()
    engine = EngineStandIn(
        options.name,
        options.model,
        options.versions.split(","),
        options.pace,
        options.slots,
        options.checks_fence,
    )
    Deferred.fromCoroutine(engine.refresh_report())
    serve(engine.app, options.port)


if __name__ == "__main__":
    main()

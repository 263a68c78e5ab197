"""The client of model engines: starts, resumes, queries and cancels streams."""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import TYPE_CHECKING, Any

import treq
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.internet.protocol import Protocol
from twisted.web.client import Agent, ResponseDone

from pondquay.streams import Frame
from pondquay_daemon.bodies import (
    MAX_DISCARD_SECONDS,
    MAX_DISCARDED_BYTES,
    abort_body,
    discard_body,
    parse_json,
    read_body,
)
from pondquay_daemon.connectionpools import make_connection_pool
from pondquay_daemon.errors import MayHaveRunError, NotSentError, RefusedError
from pondquay_daemon.platform import NETWORK_ERRORS, OK
from pondquay_daemon.readtimers import TURN_BYTES, ReadCounter, ReadTimer
from pondquay_daemon.retryafter import read_backoff
from pondquay_daemon.tasks import finish_within

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

STREAM_HEADER = "Pondquay-Stream"
PRIORITY_HEADER = "Pondquay-Priority"
BOOT_HEADER = "Pondquay-Boot"
CONNECT_SECONDS = 1.0
ACCEPT_TIMEOUT_SECONDS = 5.0
STALL_TIMEOUT_SECONDS = 10.0
# From a request without a stream to the last byte of its response.
REQUEST_TIMEOUT_SECONDS = 2.0
MAX_IDLE_CONNECTIONS = 64
# A load report names models and prefixes; the status of a stream is shorter.
MAX_REPORT_BYTES = 1 << 20
MAX_LINE_BYTES = 1 << 20
# Turns of the event loop in which the longest line is read.
MAX_STALL_TURNS = 1 + MAX_LINE_BYTES // TURN_BYTES
DATA_PREFIX = b"data: "
END_MARK = b"[DONE]"
CLIENT_ERRORS = range(400, 500)
# With this status, ``Retry-After`` refers to the engine rather than to the caller.
SERVICE_UNAVAILABLE = 503
REFUSALS = (429, SERVICE_UNAVAILABLE)


class StreamState(StrEnum):
    """State of a stream at an engine.

    ``CANCELLED`` is final: the engine refuses to start the stream later.
    """

    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class StreamStatus:
    """Status of a stream as an engine reports it.

    :param tokens: the stream's cost, if it finished
    :param started: whether any of it ran; a started stream can still be cancelled
    :param boot: incarnation of the engine that responds
    """

    state: StreamState
    tokens: int = 0
    started: bool = True
    boot: str = ""

    def for_boot(self, boot: str) -> StreamStatus:
        """Return the status of a stream that was sent to an incarnation of the engine.

        Another incarnation does not know the stream, so its report counts as
        unreachable. If the incarnation is unknown, another one may have run the stream.

        :param boot: incarnation to which the stream was sent, empty if unknown
        """
        if not boot:
            return replace(self, started=True)
        if boot == self.boot:
            return self
        return StreamStatus(StreamState.UNREACHABLE)


@dataclass(frozen=True, slots=True)
class Completion:
    """A completion for an engine to run.

    :param boot: incarnation of the engine to run it; any other refuses the request
    """

    model: str
    version: str
    messages: tuple[dict[str, str], ...]
    max_tokens: int
    priority: str
    boot: str


class FrameReceiver(Protocol):
    """Parses the events of one stream and reports its frames.

    It aborts a connection that brings no new frame of the stream for
    ``STALL_TIMEOUT_SECONDS``, whatever else it brings, or a line over
    ``MAX_LINE_BYTES``. What follows the last frame is ignored, and its connection
    aborted unless it ends soon.

    :param offset: number of frames before the first one that is expected
    :ivar ended: fires with whether the response ended cleanly
    """

    def __init__(
        self, stream: str, offset: int, on_frame: Callable[[Frame], None], clock: Any
    ) -> None:
        self._stream = stream
        self._offset = offset
        self._on_frame = on_frame
        self._buffer = b""
        self._surplus_left = MAX_DISCARDED_BYTES
        self._reads = ReadCounter()
        self._timer = ReadTimer(
            clock, STALL_TIMEOUT_SECONDS, self._abort, self._reads, MAX_STALL_TURNS
        )
        self.ended: Deferred[bool] = Deferred()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes."""
        self._reads.note()
        if self.ended.called:
            self._ignore(data)
            return
        self._buffer += data
        *lines, self._buffer = self._buffer.split(b"\n")
        for line in lines:
            self._read_line(line.strip())
            if self.ended.called:
                return
        if len(self._buffer) > MAX_LINE_BYTES:
            self._abort()

    def _ignore(self, data: bytes) -> None:
        self._surplus_left -= len(data)
        if self._surplus_left < 0:
            abort_body(self)

    def _read_line(self, line: bytes) -> None:
        if not line.startswith(DATA_PREFIX):
            return
        content = line.removeprefix(DATA_PREFIX)
        if content == END_MARK:
            return
        frame = read_frame(content)
        if frame is not None:
            self._on_frame(frame)
            self._note(frame)

    def _note(self, frame: Frame) -> None:
        """Wait anew after a new frame, or no longer after the last one."""
        if (frame.stream, frame.offset) != (self._stream, self._offset):
            return
        self._offset += 1
        if not frame.finish:
            self._timer.reset(STALL_TIMEOUT_SECONDS)
            return
        self._buffer = b""
        self._timer.reset(MAX_DISCARD_SECONDS)
        self.ended.callback(True)

    def _abort(self) -> None:
        abort_body(self)
        self._end(False)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Report whether the connection ended cleanly."""
        self._end(reason is not None and bool(reason.check(ResponseDone)))

    def _end(self, clean: bool) -> None:
        self._buffer = b""
        if self._timer.active():
            self._timer.cancel()
        if not self.ended.called:
            self.ended.callback(clean)


def read_frame(content: bytes) -> Frame | None:
    """Parse one event of a stream; return ``None`` if it is not a frame."""
    try:
        event = json.loads(content)
        choice = event["choices"][0]
        usage = event.get("usage") or {}
        return Frame(
            stream=str(event["id"]),
            offset=int(event["offset"]),
            text=str(choice["delta"].get("content") or ""),
            finish=str(choice.get("finish_reason") or ""),
            prompt_tokens=int(usage.get("prompt_tokens", 0)),
            output_tokens=int(usage.get("completion_tokens", 0)),
        )
    except (ValueError, KeyError, IndexError, TypeError, AttributeError):
        return None


def _is_refusal(response: Any) -> bool:
    """Return whether an engine refuses to start or resume a stream."""
    return response.code in CLIENT_ERRORS or response.code in REFUSALS


def _names_stream(response: Any, stream: str) -> bool:
    """Return whether a response names a stream; a late copy of another one does not."""
    names: list[str] = response.headers.getRawHeaders(STREAM_HEADER, [])
    return names == [stream]


def _read_backoff(response: Any) -> float:
    """Return the back-off in seconds that an engine requests, 0 if it requests none."""
    if response.code != SERVICE_UNAVAILABLE:
        return 0.0
    return read_backoff(response.headers.getRawHeaders(b"retry-after", []))


class Engines:
    """Client of the engines; ``read_load`` also works for plain services."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        agent = Agent(
            reactor,
            pool=make_connection_pool(reactor, MAX_IDLE_CONNECTIONS),
            connectTimeout=CONNECT_SECONDS,
        )
        self._http = treq.client.HTTPClient(agent)

    async def start(
        self,
        url: str,
        stream: str,
        completion: Completion,
        on_frame: Callable[[Frame], None],
    ) -> bool:
        """Start a stream and report its frames until the connection ends.

        :returns: whether the connection ended cleanly
        :raises NotSentError: if no byte was written
        :raises RefusedError: if the engine refused to start the stream
        :raises MayHaveRunError: if there was no valid response to the request
        """
        body = {
            "model": completion.model,
            "version": completion.version,
            "messages": list(completion.messages),
            "max_tokens": completion.max_tokens,
            "stream": True,
        }
        headers: dict[bytes | str, bytes | str] = {
            STREAM_HEADER: stream,
            PRIORITY_HEADER: completion.priority,
            BOOT_HEADER: completion.boot,
            "Content-Type": "application/json",
        }
        try:
            response = await self._request_stream(
                "POST",
                f"{url}/v1/chat/completions",
                data=json.dumps(body).encode(),
                headers=headers,
            )
        except (ConnectError, ConnectingCancelledError) as error:
            raise NotSentError(str(error)) from error
        except NETWORK_ERRORS as error:
            raise MayHaveRunError(str(error)) from error
        if _is_refusal(response) and not _names_stream(response, stream):
            discard_body(response, self._reactor)
            raise MayHaveRunError(f"status {response.code} for another stream")
        return await self._receive(response, stream, 0, on_frame)

    async def resume(
        self, url: str, stream: str, offset: int, on_frame: Callable[[Frame], None]
    ) -> bool:
        """Fetch the frames of a stream from an offset on.

        :returns: whether the connection ended cleanly
        :raises RefusedError: if the engine refuses or does not have the stream
        :raises MayHaveRunError: if there was no valid response
        """
        try:
            response = await self._request_stream(
                "GET", f"{url}/v1/streams/{stream}?offset={offset}"
            )
        except NETWORK_ERRORS as error:
            raise MayHaveRunError(str(error)) from error
        return await self._receive(response, stream, offset, on_frame)

    async def _request_stream(self, method: str, url: str, **options: Any) -> Any:
        """Return the response to a request for a stream once its head has arrived."""

        async def request() -> Any:
            return await self._http.request(
                method, url, allow_redirects=False, unbuffered=True, **options
            )

        return await finish_within(ACCEPT_TIMEOUT_SECONDS, self._reactor, request())

    async def _receive(
        self,
        response: Any,
        stream: str,
        offset: int,
        on_frame: Callable[[Frame], None],
    ) -> bool:
        if _is_refusal(response):
            discard_body(response, self._reactor)
            raise RefusedError(response.code, _read_backoff(response))
        if response.code != OK:
            discard_body(response, self._reactor)
            raise MayHaveRunError(f"status {response.code}")
        receiver = FrameReceiver(stream, offset, on_frame, self._reactor)
        response.deliverBody(receiver)
        return await receiver.ended

    async def query_status(self, url: str, stream: str) -> StreamStatus:
        """Return the status of a stream without changing it."""
        return await self._request_status("GET", url, stream, "status")

    async def cancel(self, url: str, stream: str) -> StreamStatus:
        """Cancel a stream permanently, even if it has not arrived yet.

        A stream that has finished stays finished and is reported as such.
        """
        return await self._request_status("POST", url, stream, "cancel")

    async def _request_status(
        self, method: str, url: str, stream: str, action: str
    ) -> StreamStatus:
        try:
            response, content = await self._exchange(
                method, f"{url}/v1/streams/{stream}/{action}"
            )
            if response.code != OK or not _names_stream(response, stream):
                return StreamStatus(StreamState.UNREACHABLE)
            return StreamStatus(
                StreamState(content["state"]),
                int(content.get("tokens", 0)),
                content.get("started") is not False,
                str(content.get("boot", "")),
            )
        except (*NETWORK_ERRORS, ValueError, KeyError, TypeError):
            return StreamStatus(StreamState.UNREACHABLE)

    async def read_load(self, url: str) -> dict[str, Any] | None:
        """Return an upstream's load report, ``None`` if there is no valid response."""
        try:
            response, content = await self._exchange("GET", f"{url}/v1/load")
        except (*NETWORK_ERRORS, ValueError):
            return None
        return content if response.code == OK else None

    async def _exchange(self, method: str, url: str) -> tuple[Any, dict[str, Any]]:
        """Return the response to a request and the JSON object in its body.

        :raises ValueError: if the body is no JSON object
        """

        async def exchange() -> tuple[Any, bytes]:
            response = await self._http.request(
                method, url, allow_redirects=False, unbuffered=True
            )
            return response, await read_body(response, MAX_REPORT_BYTES, reads)

        reads = ReadCounter()
        response, body = await finish_within(
            REQUEST_TIMEOUT_SECONDS, self._reactor, exchange(), reads
        )
        content = parse_json(body)
        if not isinstance(content, dict):
            raise ValueError("no JSON object")
        return response, content

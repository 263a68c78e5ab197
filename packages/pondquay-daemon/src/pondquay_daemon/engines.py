"""The client of model engines: starting, resuming, asking for and ending streams."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Any

import treq
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.internet.protocol import Protocol
from twisted.web.client import Agent, ResponseDone

from pondquay.streams import Frame
from pondquay_daemon.errors import MayHaveRunError, NotSentError, RefusedError
from pondquay_daemon.platform import NETWORK_ERRORS, OK, make_pool
from pondquay_daemon.retryafter import read_backoff

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

STREAM_HEADER = "Pondquay-Stream"
PRIORITY_HEADER = "Pondquay-Priority"
BOOT_HEADER = "Pondquay-Boot"
CONNECT_SECONDS = 1.0
ACCEPT_SECONDS = 5.0
STALL_SECONDS = 10.0
QUESTION_SECONDS = 2.0
MAX_CONNECTIONS = 64
MAX_LINE_BYTES = 1 << 20
DATA_PREFIX = b"data: "
END_MARK = b"[DONE]"
CLIENT_ERRORS = range(400, 500)
# An engine that has no room. Only with this is its ``Retry-After`` about the engine
# itself and not about the caller.
FULL = 503
REFUSALS = (429, FULL)


class StreamState(StrEnum):
    """What an engine says of a stream.

    ``CANCELLED`` is for good: the engine refuses to start it later.
    """

    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class StreamStatus:
    """An engine's word on a stream.

    :param tokens: what it cost, if it finished
    :param started: whether any of it ran; a stream can be cancelled after it began
    :param boot: the life of the engine that answers
    """

    state: StreamState
    tokens: int = 0
    started: bool = True
    boot: str = ""

    def seen_from(self, boot: str) -> StreamStatus:
        """Return what the answer says of a stream begun in some life of the engine.

        In another life the engine knows nothing of it, whatever it answers.
        """
        if boot in ("", self.boot):
            return self
        return StreamStatus(StreamState.UNREACHABLE)


@dataclass(frozen=True, slots=True)
class Completion:
    """What an engine is asked to run.

    :param boot: the life of the engine that it is meant for; another one refuses
    """

    model: str
    version: str
    messages: tuple[dict[str, str], ...]
    max_tokens: int
    priority: str
    boot: str


class FrameReceiver(Protocol):
    """Reads the events of one stream and passes its frames on."""

    def __init__(self, take: Callable[[Frame], None], clock: Any) -> None:
        self._take = take
        self._clock = clock
        self._buffer = b""
        self._timer = clock.callLater(STALL_SECONDS, self._stall)
        self.ended: Deferred[bool] = Deferred()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take in bytes."""
        if self._timer.active():
            self._timer.reset(STALL_SECONDS)
        self._buffer += data
        *lines, self._buffer = self._buffer.split(b"\n")
        for line in lines:
            self._take_line(line.strip())
        if len(self._buffer) > MAX_LINE_BYTES:
            self._stall()

    def _take_line(self, line: bytes) -> None:
        if not line.startswith(DATA_PREFIX):
            return
        content = line.removeprefix(DATA_PREFIX)
        if content == END_MARK:
            return
        frame = read_frame(content)
        if frame is not None:
            self._take(frame)

    def _stall(self) -> None:
        transport = self.transport
        if transport is not None:
            abort = getattr(transport, "abortConnection", transport.loseConnection)
            abort()
        self._end(False)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Tell how the stream ended."""
        self._end(reason is not None and bool(reason.check(ResponseDone)))

    def _end(self, clean: bool) -> None:
        if self._timer.active():
            self._timer.cancel()
        if not self.ended.called:
            self.ended.callback(clean)


def read_frame(content: bytes) -> Frame | None:
    """Read one event of a stream; one that is not a frame is dropped."""
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


def _read_backoff(response: Any) -> float:
    """Return the seconds for which an engine wants no other call, 0 if it says none."""
    if response.code != FULL:
        return 0.0
    return read_backoff(response.headers.getRawHeaders(b"retry-after", []))


class Engines:
    """Calls to engines from one instance."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        agent = Agent(
            reactor,
            pool=make_pool(reactor, MAX_CONNECTIONS),
            connectTimeout=CONNECT_SECONDS,
        )
        self._http = treq.client.HTTPClient(agent)

    async def start(
        self,
        url: str,
        stream: str,
        completion: Completion,
        take: Callable[[Frame], None],
    ) -> bool:
        """Run a stream and pass its frames on until the connection ends.

        :returns: whether the connection ended cleanly
        :raises NotSentError: if nothing was written
        :raises RefusedError: if the engine refused before starting
        :raises MayHaveRunError: if there is no answer to what was written
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
            response = await self._http.post(
                f"{url}/v1/chat/completions",
                data=json.dumps(body).encode(),
                headers=headers,
                timeout=ACCEPT_SECONDS,
                unbuffered=True,
            )
        except (ConnectError, ConnectingCancelledError) as error:
            raise NotSentError(str(error)) from error
        except NETWORK_ERRORS as error:
            raise MayHaveRunError(str(error)) from error
        return await self._receive(response, take)

    async def resume(
        self, url: str, stream: str, offset: int, take: Callable[[Frame], None]
    ) -> bool:
        """Pass on the frames of a stream from an offset on.

        :returns: whether the connection ended cleanly
        :raises RefusedError: if the engine does not have the stream
        :raises MayHaveRunError: if the engine does not answer
        """
        try:
            response = await self._http.get(
                f"{url}/v1/streams/{stream}?offset={offset}",
                timeout=ACCEPT_SECONDS,
                unbuffered=True,
            )
        except NETWORK_ERRORS as error:
            raise MayHaveRunError(str(error)) from error
        return await self._receive(response, take)

    async def _receive(self, response: Any, take: Callable[[Frame], None]) -> bool:
        if response.code in CLIENT_ERRORS or response.code in REFUSALS:
            await treq.content(response)
            raise RefusedError(response.code, _read_backoff(response))
        if response.code != OK:
            await treq.content(response)
            raise MayHaveRunError(f"status {response.code}")
        receiver = FrameReceiver(take, self._reactor)
        response.deliverBody(receiver)
        return await receiver.ended

    async def ask(self, url: str, stream: str) -> StreamStatus:
        """Ask what became of a stream, changing nothing."""
        return await self._question("GET", f"{url}/v1/streams/{stream}/status")

    async def cancel(self, url: str, stream: str) -> StreamStatus:
        """End a stream for good, even one that has not arrived yet.

        A stream that had finished before stays finished, and is reported so.
        """
        return await self._question("POST", f"{url}/v1/streams/{stream}/cancel")

    async def _question(self, method: str, url: str) -> StreamStatus:
        try:
            response = await self._http.request(method, url, timeout=QUESTION_SECONDS)
            content = await treq.json_content(response)
            return StreamStatus(
                StreamState(content["state"]),
                int(content.get("tokens", 0)),
                bool(content.get("started", True)),
                str(content.get("boot", "")),
            )
        except (*NETWORK_ERRORS, ValueError, KeyError):
            return StreamStatus(StreamState.UNREACHABLE)

    async def read_load(self, url: str) -> dict[str, Any] | None:
        """Return an upstream's report of its load, ``None`` if there is no answer."""
        try:
            response = await self._http.get(f"{url}/v1/load", timeout=QUESTION_SECONDS)
            content: dict[str, Any] = await treq.json_content(response)
            return content if response.code == OK else None
        except (*NETWORK_ERRORS, ValueError):
            return None

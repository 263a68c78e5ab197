"""Responses to chat completions: buffered, or as server-sent events."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from pondquay.requests.lifecycle import Outcome
from pondquay_daemon.calls import CompletionCall, Delivered, FrameSink, Refusal
from pondquay_daemon.endpoints.responses import write_error, write_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.web.server import Request

    from pondquay.names import RequestName
    from pondquay.streams import Frame


OUTCOME_HEADER = "Pondquay-Outcome"
REQUEST_HEADER = "Pondquay-Request"
BILLED_HEADER = "Pondquay-Billed"


class CompletionResponse(FrameSink):
    """A response to a caller, who may disconnect before it is complete.

    The request of a caller that disconnects still finishes and is billed once. Its
    response is cached in case the caller retries with the same key.
    """

    def __init__(self, request: Request, call: CompletionCall) -> None:
        self.request = request
        self.call = call
        self.disconnected = False
        self._on_first: Callable[[], None] | None = None
        request.notifyFinish().addErrback(self._note_disconnected)

    def _note_disconnected(self, reason: object) -> None:
        self.disconnected = True

    def set_first_callback(self, on_first: Callable[[], None]) -> None:
        """Set a callback for the first frame."""
        self._on_first = on_first

    def note_first(self) -> None:
        """Call the callback for the first frame once."""
        if self._on_first is not None:
            self._on_first()
            self._on_first = None

    def end(self, result: Delivered | Refusal) -> bytes:
        """Return the content that remains to be written after the request has ended."""
        raise NotImplementedError


class BufferedResponse(CompletionResponse):
    """A response that is buffered and written once it is complete."""

    def __init__(self, request: Request, call: CompletionCall) -> None:
        super().__init__(request, call)
        self._frames: list[Frame] = []

    def forward(self, frame: Frame) -> None:
        """Buffer a frame."""
        self.note_first()
        self._frames.append(frame)

    def end(self, result: Delivered | Refusal) -> bytes:
        """Return the complete response or the refusal."""
        set_request_header(self.request, self.call.request)
        if self.disconnected:
            return b""
        if isinstance(result, Refusal):
            return write_refusal(self.request, result)
        last = self._frames[-1]
        self.request.setHeader(OUTCOME_HEADER, Outcome.DONE.value)
        self.request.setHeader(BILLED_HEADER, str(result.tokens))
        content = {
            "id": str(self.call.request),
            "object": "chat.completion",
            "created": 0,
            "model": self.call.model,
            "choices": [
                {
                    "index": 0,
                    "message": {
                        "role": "assistant",
                        "content": "".join(frame.text for frame in self._frames),
                    },
                    "finish_reason": last.finish,
                }
            ],
            "usage": describe_usage(last),
        }
        return write_json(self.request, content)


class StreamedResponse(CompletionResponse):
    """A response whose frames are written as server-sent events when they arrive."""

    def __init__(
        self, request: Request, call: CompletionCall, include_usage: bool
    ) -> None:
        super().__init__(request, call)
        self._include_usage = include_usage
        self._started = False

    def forward(self, frame: Frame) -> None:
        """Write a frame as an event."""
        self.note_first()
        self._start()
        delta = {"content": frame.text} if frame.text else {}
        choice = {
            "index": 0,
            "delta": delta,
            "finish_reason": frame.finish or None,
        }
        self._write_event([choice])
        if frame.finish and self._include_usage:
            self._write_event([], describe_usage(frame))

    def _start(self) -> None:
        if self._started:
            return
        self._started = True
        set_request_header(self.request, self.call.request)
        self.request.setHeader("Content-Type", "text/event-stream")
        self.request.setHeader("Cache-Control", "no-store")

    def _write_event(
        self, choices: list[dict[str, object]], usage: dict[str, int] | None = None
    ) -> None:
        event: dict[str, object] = {
            "id": str(self.call.request),
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.call.model,
            "choices": choices,
        }
        if usage is not None:
            event["usage"] = usage
        self._write(json.dumps(event).encode())

    def _write(self, content: bytes) -> None:
        if not self.disconnected:
            self.request.write(b"data: " + content + b"\n\n")

    def end(self, result: Delivered | Refusal) -> bytes:
        """Write the last event, or return a refusal if no event was written.

        The last event of an incomplete response is an error.
        """
        if isinstance(result, Delivered):
            self._write(b"[DONE]")
            return b""
        if not self._started:
            set_request_header(self.request, self.call.request)
            return b"" if self.disconnected else write_refusal(self.request, result)
        error = {
            "type": "server_error",
            "code": result.code.value,
            "message": result.message,
            "outcome": result.outcome.value,
        }
        self._write(json.dumps({"error": error}).encode())
        return b""


def describe_usage(frame: Frame) -> dict[str, int]:
    """Return the token usage that the last frame of a response reports."""
    return {
        "prompt_tokens": frame.prompt_tokens,
        "completion_tokens": frame.output_tokens,
        "total_tokens": frame.prompt_tokens + frame.output_tokens,
    }


def set_request_header(request: Request, name: RequestName) -> None:
    """Set the response header with the request's key."""
    request.setHeader(REQUEST_HEADER, name.key)


def write_refusal(request: Request, refusal: Refusal) -> bytes:
    """Set the headers of a refusal and return its error envelope."""
    request.setHeader(OUTCOME_HEADER, refusal.outcome.value)
    if refusal.retry_after is not None:
        request.setHeader("Retry-After", str(refusal.retry_after))
    return write_error(request, refusal.status, refusal.code.value, refusal.message)

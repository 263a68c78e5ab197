"""Answers to chat completions: whole, or as server-sent events."""

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
    """An answer on its way to a caller, who may go away meanwhile.

    A caller that goes away does not end the request: it finishes, is billed once, and
    its answer is kept for when the caller asks again with the same key.
    """

    def __init__(self, request: Request, call: CompletionCall) -> None:
        self.request = request
        self.call = call
        self.gone = False
        self._on_first: Callable[[], None] | None = None
        request.notifyFinish().addErrback(self._note_gone)

    def _note_gone(self, reason: object) -> None:
        self.gone = True

    def watch_first(self, on_first: Callable[[], None]) -> None:
        """Have something called at the first piece."""
        self._on_first = on_first

    def note_first(self) -> None:
        """Note that the first piece came."""
        if self._on_first is not None:
            self._on_first()
            self._on_first = None

    def end(self, result: Delivered | Refusal) -> bytes:
        """Return what is left to be written once the request has ended."""
        raise NotImplementedError


class CompleteResponse(CompletionResponse):
    """An answer that is written when it is whole."""

    def __init__(self, request: Request, call: CompletionCall) -> None:
        super().__init__(request, call)
        self._frames: list[Frame] = []

    def pass_on(self, frame: Frame) -> None:
        """Keep a piece."""
        self.note_first()
        self._frames.append(frame)

    def end(self, result: Delivered | Refusal) -> bytes:
        """Return the whole answer, or the refusal."""
        write_names(self.request, self.call.request)
        if self.gone:
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
                        "content": "".join(one.text for one in self._frames),
                    },
                    "finish_reason": last.finish,
                }
            ],
            "usage": describe_usage(last),
        }
        return write_json(self.request, content)


class StreamedResponse(CompletionResponse):
    """An answer whose pieces are written as server-sent events as they come."""

    def __init__(
        self, request: Request, call: CompletionCall, include_usage: bool
    ) -> None:
        super().__init__(request, call)
        self._include_usage = include_usage
        self._begun = False

    def pass_on(self, frame: Frame) -> None:
        """Write a piece."""
        self.note_first()
        self._begin()
        delta = {"content": frame.text} if frame.text else {}
        choice = {
            "index": 0,
            "delta": delta,
            "finish_reason": frame.finish or None,
        }
        self._write_event([choice])
        if frame.finish and self._include_usage:
            self._write_event([], describe_usage(frame))

    def _begin(self) -> None:
        if self._begun:
            return
        self._begun = True
        write_names(self.request, self.call.request)
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
        if not self.gone:
            self.request.write(b"data: " + content + b"\n\n")

    def end(self, result: Delivered | Refusal) -> bytes:
        """Write the end mark, or an error event that says there is none."""
        if isinstance(result, Delivered):
            self._write(b"[DONE]")
            return b""
        if not self._begun:
            write_names(self.request, self.call.request)
            return b"" if self.gone else write_refusal(self.request, result)
        error = {
            "type": "server_error",
            "code": result.code.value,
            "message": result.message,
            "outcome": result.outcome.value,
        }
        self._write(json.dumps({"error": error}).encode())
        return b""


def describe_usage(frame: Frame) -> dict[str, int]:
    """Return the usage that the last piece of an answer tells."""
    return {
        "prompt_tokens": frame.prompt_tokens,
        "completion_tokens": frame.output_tokens,
        "total_tokens": frame.prompt_tokens + frame.output_tokens,
    }


def write_names(request: Request, name: RequestName) -> None:
    """Set the header that names a request."""
    request.setHeader(REQUEST_HEADER, name.key)


def write_refusal(request: Request, refusal: Refusal) -> bytes:
    """Return a refusal in the usual envelope, at once."""
    request.setHeader(OUTCOME_HEADER, refusal.outcome.value)
    if refusal.retry_after is not None:
        request.setHeader("Retry-After", str(refusal.retry_after))
    return write_error(request, refusal.status, refusal.code.value, refusal.message)

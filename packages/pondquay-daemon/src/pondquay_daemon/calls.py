"""Types of callers' requests, responses and refusals."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from pondquay.requests.lifecycle import Outcome

if TYPE_CHECKING:
    from pondquay.configuration.entities import Priority, Workspace
    from pondquay.names import RequestName
    from pondquay.streams import Frame
    from pondquay_daemon.services import ServiceCall


@dataclass(frozen=True, slots=True)
class Call:
    """Base of callers' requests.

    :param keyed: whether the caller sent an idempotency key and may retry with it
    :param repeatable: whether the request may run more than once
    :param wait: seconds for which the request may wait in the queue
    :param content_digest: digest that detects a key reused for another request
    """

    request: RequestName
    workspace: Workspace
    keyed: bool
    repeatable: bool
    priority: Priority
    wait: float
    content_digest: str


@dataclass(frozen=True, slots=True)
class CompletionCall(Call):
    """A chat completion.

    :param max_prompt_tokens: upper bound of the prompt's size in tokens
    :param prefix: identifier of the beginning of the prompt, empty for a short prompt
    """

    model: str
    messages: tuple[dict[str, str], ...]
    max_tokens: int
    max_prompt_tokens: int
    prefix: str

    @property
    def reserve(self) -> int:
        """The maximum cost of one attempt, in tokens."""
        return self.max_prompt_tokens + self.max_tokens


@dataclass(frozen=True, slots=True)
class PlainCall(Call):
    """A call to a plain service, at a fixed price in tokens."""

    service: str
    price: int
    call: ServiceCall


class RefusalCode(StrEnum):
    """Why a request was refused or has no complete response."""

    BUDGET_EXHAUSTED = "budget_exhausted"
    OVER_CAPACITY = "over_capacity"
    NOT_READY = "not_ready"
    PLATFORM_UNREACHABLE = "platform_unreachable"
    TOKENS_HELD = "tokens_held"
    REQUEST_RUNNING = "request_running"
    REQUEST_RAN = "request_ran"
    KEY_REUSED = "key_reused"
    OUTCOME_UNKNOWN = "outcome_unknown"
    UPSTREAM_FAILED = "upstream_failed"


STATUS = {
    RefusalCode.BUDGET_EXHAUSTED: 402,
    RefusalCode.OVER_CAPACITY: 429,
    RefusalCode.NOT_READY: 503,
    RefusalCode.PLATFORM_UNREACHABLE: 503,
    RefusalCode.TOKENS_HELD: 503,
    RefusalCode.REQUEST_RUNNING: 409,
    RefusalCode.REQUEST_RAN: 409,
    RefusalCode.KEY_REUSED: 409,
    RefusalCode.OUTCOME_UNKNOWN: 502,
    RefusalCode.UPSTREAM_FAILED: 503,
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """The reason why a caller receives no complete response.

    :param outcome: whether the request ran, as far as is known
    :param retry_after: value of ``Retry-After`` in seconds, ``None`` without the header
    """

    code: RefusalCode
    message: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after: int | None = None

    @property
    def status(self) -> int:
        """The HTTP status of the refusal."""
        return STATUS[self.code]


@dataclass(frozen=True, slots=True)
class Delivered:
    """The complete response was forwarded to the caller.

    :param tokens: the number of tokens billed
    """

    tokens: int


@dataclass(slots=True)
class CachedResponse:
    """A complete response, cached in case its caller retries the request.

    :param content_digest: digest of the request
    """

    content_digest: str
    tokens: int
    frames: tuple[Frame, ...] = ()
    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def size(self) -> int:
        """Approximate memory use in bytes."""
        return len(self.body) + sum(len(frame.text) + 100 for frame in self.frames)


class FrameSink(ABC):
    """Receives the frames of a response."""

    @abstractmethod
    def forward(self, frame: Frame) -> None:
        """Forward a frame to the caller."""

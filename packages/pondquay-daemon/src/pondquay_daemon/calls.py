"""What callers ask for, and what they are told."""

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
    """Base of a caller's requests.

    :param keyed: the caller named the request, so it may ask again
    :param content: digest of what is asked, to recognise a key that is used twice
    :param wait: seconds that the request may wait for a place
    """

    request: RequestName
    workspace: Workspace
    keyed: bool
    repeatable: bool
    priority: Priority
    wait: float
    content: str


@dataclass(frozen=True, slots=True)
class CompletionCall(Call):
    """A chat completion.

    :param bound: the most tokens that the prompt can have
    :param prefix: names the beginning of the prompt
    """

    model: str
    messages: tuple[dict[str, str], ...]
    max_tokens: int
    bound: int
    prefix: str

    @property
    def reserve(self) -> int:
        """The most that one attempt can cost, in tokens."""
        return self.bound + self.max_tokens


@dataclass(frozen=True, slots=True)
class PlainCall(Call):
    """A call to a plain service, at a fixed price in tokens."""

    service: str
    price: int
    call: ServiceCall


class RefusalCode(StrEnum):
    """Why a request was refused or has no whole answer."""

    BUDGET_EXHAUSTED = "budget_exhausted"
    OVER_CAPACITY = "over_capacity"
    NOT_READY = "not_ready"
    PLATFORM_UNREACHABLE = "platform_unreachable"
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
    RefusalCode.REQUEST_RUNNING: 409,
    RefusalCode.REQUEST_RAN: 409,
    RefusalCode.KEY_REUSED: 409,
    RefusalCode.OUTCOME_UNKNOWN: 502,
    RefusalCode.UPSTREAM_FAILED: 503,
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a caller has no whole answer.

    :param outcome: what is known of the request
    :param retry_after: seconds after which asking again may help, ``None`` if it won't
    """

    code: RefusalCode
    message: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after: int | None = None

    @property
    def status(self) -> int:
        """The HTTP status that fits."""
        return STATUS[self.code]


@dataclass(frozen=True, slots=True)
class Delivered:
    """The whole answer was passed on.

    :param tokens: what it was billed
    """

    tokens: int


@dataclass(slots=True)
class CachedResponse:
    """A whole answer that is kept for a while in case its caller asks again."""

    content: str
    tokens: int
    frames: tuple[Frame, ...] = ()
    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def size(self) -> int:
        """About how much memory it takes, in bytes."""
        return len(self.body) + sum(len(one.text) + 100 for one in self.frames)


class FrameSink(ABC):
    """Where the pieces of an answer go."""

    @abstractmethod
    def pass_on(self, frame: Frame) -> None:
        """Pass a piece on to the caller."""

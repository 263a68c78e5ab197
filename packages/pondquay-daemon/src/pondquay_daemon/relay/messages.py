"""Messages that pass through the relay, independent of their wire format."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from pondquay.routing.prompts import PromptPart

HeaderList: TypeAlias = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a caller's request as received.

    :param headers: in the order received, with names in their original case
    """

    method: bytes
    target: bytes
    headers: HeaderList

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def find(self, name: bytes) -> bytes | None:
        """Return the value of the first header with a name, given in lower case."""
        for header, value in self.headers:
            if header.lower() == name:
                return value
        return None


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Metadata from the headers of a caller's request.

    :param attempt: the caller's identifier of this attempt
    :param key: the caller's key, ``None`` if it sent none
    :param deadline: seconds that the caller will wait, ``None`` if unknown
    :param prefix: parts of the prompt in order; other prompts may share all but the
        last, and also the last if it is the only part
    :param last_event: number of the last event that the caller has received
    :param first_attempt: the attempt that brought the first event of the stream that
        the caller takes up again, empty if unknown or if it begins a new one
    """

    attempt: str
    host: str
    key: str | None
    deadline: float | None
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix: tuple[PromptPart, ...] = ()
    last_event: int = 0
    first_attempt: str = ""

    @property
    def max_tokens(self) -> int:
        """The maximum number of tokens that one run can cost."""
        return self.prompt_tokens + self.output_tokens


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Metadata that an upstream receives in addition to the caller's headers.

    :param upstream: name of the upstream that the request is for
    :param remaining: seconds until the caller's deadline
    :param workspace: owner of the caller's key, ``None`` where no key is needed
    :param urgency: 0 is the most urgent
    :param resume_after: number of the last event that the caller has received, if a
        stream is resumed
    :param copy_from: address of an upstream that has more of the prompt in its cache
    """

    upstream: str
    remaining: float
    workspace: str | None
    urgency: int
    resume_after: int | None = None
    copy_from: str | None = None


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of an upstream's response."""

    status: int
    reason: bytes
    headers: HeaderList


@dataclass(frozen=True, slots=True)
class UpstreamSignals:
    """What an upstream reports about itself in a response.

    :param leaving: whether it stops soon and accepts no new work
    :param cold: seconds for which it can still serve only a few requests
    :param backoff: seconds for which it accepts no request from this instance
    :param limit: requests per second that it accepts from all instances together,
        ``None`` if the response has no valid limit
    :param tells_limit: whether ``limit`` is known; ``False`` if the response has a
        malformed limit
    :param rejection_bound: requests per second that it can reject from all instances
        together without failing, ``None`` if any number
    """

    leaving: bool = False
    cold: float = 0.0
    backoff: float = 0.0
    limit: float | None = None
    tells_limit: bool = True
    rejection_bound: float | None = None


NO_SIGNALS = UpstreamSignals()


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Metadata from the headers of an upstream's response.

    :param attempt: identifier of the attempt that it responds to, empty if unknown
    :param signed: whether it has an upstream's signature
    :param not_run: whether the request certainly did not run
    :param misdirected: whether another upstream now has the address
    :param signals: what the upstream reports about itself
    """

    attempt: str
    signed: bool
    not_run: bool
    misdirected: bool
    signals: UpstreamSignals = NO_SIGNALS

"""What passes through the relay, whatever names it has on the wire."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from pondquay.routing.prompts import PromptPart

HeaderList: TypeAlias = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a caller's request as it came.

    :param headers: names as they were written, in order
    """

    method: bytes
    target: bytes
    headers: HeaderList

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def find(self, name: bytes) -> bytes | None:
        """Return the first header of a name, which is given in lower case."""
        for one, value in self.headers:
            if one.lower() == name:
                return value
        return None


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller's headers say of its request.

    :param attempt: the caller's name for this try
    :param deadline: seconds that the caller will wait, ``None`` if it does not say
    :param last_event: number of the last event that the caller has
    """

    attempt: str
    host: str
    key: str | None
    deadline: float | None
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix: tuple[PromptPart, ...] = ()
    last_event: int = 0

    @property
    def max_tokens(self) -> int:
        """The most tokens that one run can cost."""
        return self.prompt_tokens + self.output_tokens


@dataclass(frozen=True, slots=True)
class Dispatch:
    """What an upstream is told beside the caller's own headers.

    :param remaining: seconds that are left
    :param workspace: holder of the caller's key
    :param resume_after: number of the last event that the caller has, if it goes on
    :param copy_from: address of an upstream that has read more of the prompt
    """

    upstream: str
    remaining: float
    workspace: str | None
    urgency: int
    resume_after: int | None = None
    copy_from: str | None = None


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of an upstream's answer."""

    status: int
    reason: bytes
    headers: HeaderList


@dataclass(frozen=True, slots=True)
class UpstreamSignals:
    """What an upstream says of itself in an answer.

    :param leaving: whether it will end soon and wants no new work
    :param cold: seconds for which it still bears few requests
    :param backoff: seconds for which it wants no request from this instance
    :param limit: requests a second that it takes from all instances together, ``None``
        if it names none that can be read
    :param tells_limit: whether the answer tells if there is a limit; one that names it
        in a form that cannot be read does not
    """

    leaving: bool = False
    cold: float = 0.0
    backoff: float = 0.0
    limit: float | None = None
    tells_limit: bool = True


NO_SIGNALS = UpstreamSignals()


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What an upstream's headers say of its answer and of itself.

    :param attempt: the request that it is for, empty if it does not say
    :param signed: whether an upstream vouches for it
    :param not_run: whether the request certainly did not run
    :param misdirected: whether another upstream has the address
    """

    attempt: str
    signed: bool
    not_run: bool
    misdirected: bool
    signals: UpstreamSignals = NO_SIGNALS

"""What instances tell each other of themselves."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from pondquay.names import AttemptId, InstanceId, RequestName


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """An instance's word of itself.

    :param version: the version of the configuration it has in force
    :param leaving: whether it is about to stop
    :param leaving_upstreams: upstreams that it knows to be leaving
    """

    instance: InstanceId
    domain: str
    version: int
    leaving: bool
    leaving_upstreams: tuple[str, ...] = ()
    kind: Literal["heartbeat"] = "heartbeat"


@dataclass(frozen=True, slots=True)
class FindRequest:
    """A question to a peer: whether it knows of a running attempt of a request."""

    number: int
    request: RequestName
    kind: Literal["find-request"] = "find-request"


@dataclass(frozen=True, slots=True)
class FoundRequest:
    """The answer: the newest attempt whose end is not known here, if any."""

    number: int
    attempt: AttemptId | None = None
    upstream: str = ""
    stream: str = ""
    reserve: int = 0
    holder_alive: bool = False
    kind: Literal["found-request"] = "found-request"


@dataclass(frozen=True, slots=True)
class FetchDeltas:
    """A question to a peer for versions of the configuration after a base."""

    base: int
    kind: Literal["fetch-deltas"] = "fetch-deltas"


@dataclass(frozen=True, slots=True)
class Deltas:
    """Versions of the configuration, as JSON texts, in order."""

    texts: tuple[str, ...]
    kind: Literal["deltas"] = "deltas"

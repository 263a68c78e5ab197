"""Messages about instances, requests and configuration versions between peers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from pondquay.names import AttemptId, InstanceId, RequestName


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The state of an instance, sent to its peers at regular intervals.

    :param version: version of the configuration that the instance uses
    :param leaving: whether the instance is shutting down
    :param leaving_upstreams: upstreams known to be shutting down
    """

    instance: InstanceId
    domain: str
    version: int
    leaving: bool
    leaving_upstreams: tuple[str, ...] = ()
    kind: Literal["heartbeat"] = "heartbeat"


@dataclass(frozen=True, slots=True)
class FindRequest:
    """Asks a peer for a running attempt of a request.

    :param number: identifies this message; the response repeats it
    """

    number: int
    request: RequestName
    kind: Literal["find-request"] = "find-request"


@dataclass(frozen=True, slots=True)
class FoundRequest:
    """The response to ``FindRequest``.

    :param number: number of the ``FindRequest``
    :param attempt: the latest attempt that is not known to have ended, if any
    :param reserve: tokens reserved for the attempt
    :param holder_alive: whether the holder of the attempt's grant is reachable
    """

    number: int
    attempt: AttemptId | None = None
    upstream: str = ""
    stream: str = ""
    reserve: int = 0
    holder_alive: bool = False
    kind: Literal["found-request"] = "found-request"


@dataclass(frozen=True, slots=True)
class FetchDeltas:
    """Asks a peer for the configuration versions after a base version."""

    base: int
    kind: Literal["fetch-deltas"] = "fetch-deltas"


@dataclass(frozen=True, slots=True)
class Deltas:
    """Configuration versions as JSON texts, in ascending order."""

    texts: tuple[str, ...]
    kind: Literal["deltas"] = "deltas"

"""What replicas record of the requests that reach them."""

from __future__ import annotations

from dataclasses import dataclass, field

# Byte with which a plain response is padded to a requested length.
PADDING = b"."
DEFAULT_SOFTWARE = "v1"
# A request whose path contains this crashes the replica that starts to run it.
CRASH_PATH_MARKER = "crashing"
# A streaming request crashes the replica that has sent the head of its response if a
# part of its prompt has a name that starts with this.
CRASHING_PART_PREFIX = "dead"


def format_event(number: int, software: str, label: str = "") -> bytes:
    """Return an event of a stream.

    :param software: version of the replica's software, the type of the event
    :param label: label of the run that sends it, empty to name none
    """
    data = f"piece {number} of {label}" if label else f"piece {number}"
    return f"id: {number}\nevent: {software}\ndata: {data}\n\n".encode()


def read_part_names(header: str) -> list[str]:
    """Return the names of a prompt's parts, which are separated by commas."""
    return [part.partition(":")[0] for part in header.split(",") if part]


@dataclass(slots=True)
class Run:
    """A request that a replica started to run.

    :ivar first: number of the first event to send
    :ivar copied_from: address of the replica from which the prompt is to be copied
    :ivar orders: names of the other headers received that control a replica's memory
    :ivar parts: names of the parts of its prompt
    :ivar events: number of events sent
    :ivar ended: how the run ended, ``running`` until then
    :ivar endless: whether its response has no end
    :ivar label: name of the run in its events, empty if the caller asked for none
    """

    attempt: str
    replica: str
    tenant: str
    target: str
    body: str
    first: int
    copied_from: str
    orders: list[str]
    parts: list[str] = field(default_factory=list)
    events: int = 0
    ended: str = "running"
    endless: bool = False
    label: str = ""


@dataclass(slots=True)
class Arrival:
    """A request that reached its intended replica, whether it ran or not.

    :ivar born: start time of the replica, which identifies its incarnation
    :ivar at: time in seconds of the monotonic clock, which is the same for all
        processes of a host
    :ivar leaving: whether the response announced that the replica leaves
    :ivar backoff: ``Retry-After`` of the response in seconds, 0 for none
    :ivar limit: rate limit in the response, in requests per second, ``None`` for none
    :ivar held_seconds: for how long a silence has held its response back, infinite
        until then
    :ivar waited: whether it had arrived before it was read, during a silence
    :ivar deadline: seconds that the replica has for it, ``None`` if it was not told
    """

    attempt: str
    replica: str
    born: int
    at: float
    leaving: bool
    backoff: int
    limit: float | None = None
    held_seconds: float = 0.0
    waited: bool = False
    deadline: float | None = None

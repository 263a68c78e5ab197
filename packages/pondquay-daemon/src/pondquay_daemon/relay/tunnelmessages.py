"""Messages on a tunnel, a connection to an upstream that a peer has opened.

The instance sends ``OpenTunnel``, and the peer, its gateway, ``TunnelResult``. Then
both send ``TunnelData``. The gateway sends ``TunnelEnd`` when the upstream has closed
its connection in an orderly way. A tunnel that ends without it was broken: if the
gateway ended, its host would close the tunnel in an orderly way too.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import ClassVar, TypeAlias, get_args

from pondquay_daemon.relay.messagecodec import MessageCodec, StreamReader


class TunnelOutcome(StrEnum):
    """Result of a request to open a tunnel.

    ``REFUSED``: the upstream's host refused the connection. ``UNREACHABLE``: it did not
    respond. ``CUT_OFF``: the gateway reaches no upstream of the service itself.
    ``BUSY``: the gateway takes no further tunnel. ``UNKNOWN``: the gateway knows no
    upstream with this name and address that accepts requests.
    """

    OPENED = "opened"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    CUT_OFF = "cut-off"
    BUSY = "busy"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class OpenTunnel:
    """Requests a connection to an upstream.

    :param instance: name of the sender
    :param upstream: name of the upstream's incarnation
    :param address: address of the upstream
    """

    CODE: ClassVar[int] = 1
    instance: str
    upstream: str
    address: str


@dataclass(frozen=True, slots=True)
class TunnelResult:
    """Responds to ``OpenTunnel``.

    :param outcome: value of a :class:`TunnelOutcome`; later builds may add values
    """

    CODE: ClassVar[int] = 2
    outcome: str


@dataclass(frozen=True, slots=True)
class TunnelData:
    """Bytes to or from the upstream."""

    CODE: ClassVar[int] = 3
    data: bytes


@dataclass(frozen=True, slots=True)
class TunnelEnd:
    """The upstream has closed its connection after all bytes before this message."""

    CODE: ClassVar[int] = 4


TunnelMessage: TypeAlias = OpenTunnel | TunnelResult | TunnelData | TunnelEnd
CODEC: MessageCodec[TunnelMessage] = MessageCodec(get_args(TunnelMessage))


class TunnelReader(StreamReader[TunnelMessage]):
    """Decodes the messages of a tunnel."""

    def __init__(self) -> None:
        super().__init__(CODEC)


def read_outcome(text: str) -> TunnelOutcome:
    """Return an outcome; one that is not known means that the gateway cannot help."""
    try:
        return TunnelOutcome(text)
    except ValueError:
        return TunnelOutcome.BUSY

"""What instances say to each other, as msgpack arrays that begin with a code.

Instances of different builds run side by side. A message of a kind that is not known
here is passed over, and so are fields beyond those that are known. A field that is
added to a kind comes last and has a default. A kind whose form changes gets a new code,
and is said in its former form too, to peers that do not read the new one. What lacks
the form of its kind ends its link. ``docs/design/changing.md`` has the rules.
"""

from __future__ import annotations

import zlib
from dataclasses import astuple, dataclass
from dataclasses import fields as dataclass_fields
from typing import TYPE_CHECKING, Annotated, Any, ClassVar, TypeAlias

import msgpack
import msgspec
from msgspec import Meta

from pondquay.requests.contents import CONTENT_BYTES
from pondquay.routing.crashes import CrashReport
from pondquay.routing.evacuations import Evacuation
from pondquay.routing.upstreamrecords import Departure
from pondquay_daemon.relay.errors import MalformedValueError

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_MESSAGE_BYTES = 16 << 20
# The fastest; routes are so much alike that a better one gains little.
COMPRESSION_LEVEL = 1
# No number of tokens or version comes near this, and sums of it stay exact.
MAX_NUMBER = 1 << 53
# Upstreams that a report of one content names; a peer keeps no more itself.
MAX_CRASHED = 64
# Permits that are asked for at once at most.
MAX_PERMITS = 1000
# Number of a loan that nobody asked for; requests are numbered from 1.
UNSOLICITED = 0

Count = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
Content = Annotated[bytes, Meta(min_length=CONTENT_BYTES, max_length=CONTENT_BYTES)]
Lives = Annotated[list[str], Meta(max_length=MAX_CRASHED)]
# Seconds since something happened.
Age = Annotated[float, Meta(ge=0, le=MAX_NUMBER)]
# Requests or permits a second.
Rate = Annotated[float, Meta(ge=0, le=MAX_NUMBER)]
PermitCount = Annotated[int, Meta(ge=0, le=MAX_PERMITS)]
Ages = Annotated[dict[str, Age], Meta(max_length=MAX_CRASHED)]


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message on a link.

    :param members: address and domain of the instances that are known, by name
    """

    CODE: ClassVar[int] = 1
    instance: str
    members: dict[str, tuple[str, str]]


@dataclass(frozen=True, slots=True)
class SupportedMessages:
    """Names the kinds of messages that the sender reads.

    It follows the first message on a link; builds that do not know it never send it.
    """

    CODE: ClassVar[int] = 17
    codes: list[Count]


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Says that the sender lives, and which configuration it has."""

    CODE: ClassVar[int] = 2
    version: Count


@dataclass(frozen=True, slots=True)
class FetchConfiguration:
    """Asks for the configuration."""

    CODE: ClassVar[int] = 3


@dataclass(frozen=True, slots=True)
class ConfigurationValue:
    """The configuration as the operators wrote it.

    :param packed: its value, packed and compressed: many routes are much alike, and
        links are narrow
    """

    CODE: ClassVar[int] = 4
    version: Count
    packed: bytes

    @classmethod
    def pack(cls, version: int, value: dict[str, Any]) -> ConfigurationValue:
        """Return the message for a value."""
        return cls(version, zlib.compress(msgpack.packb(value), COMPRESSION_LEVEL))

    def unpack(self) -> dict[str, Any]:
        """Return the value.

        :raises MalformedValueError: if the bytes hold none
        """
        try:
            value: dict[str, Any] = msgpack.unpackb(zlib.decompress(self.packed))
        except (zlib.error, msgpack.UnpackException, ValueError, TypeError) as error:
            raise MalformedValueError(f"configuration: {error!r}") from error
        return value


@dataclass(frozen=True, slots=True)
class UpstreamDepartures:
    """Names upstreams that leave or have left.

    :param departures: for each its name, the version at which its row was gone or
        ``None`` if it said so itself, and what tells its life
    """

    CODE: ClassVar[int] = 12
    departures: list[tuple[str, Count | None, Count | None]]

    @classmethod
    def pack(cls, departures: Iterable[Departure]) -> UpstreamDepartures:
        """Return the message for some departures."""
        return cls([(one.name, one.version, one.born) for one in departures])

    def unpack(self) -> list[Departure]:
        """Return the departures."""
        return [Departure(*fields) for fields in self.departures]


@dataclass(frozen=True, slots=True)
class DomainEvacuations:
    """Names domains that are emptied or were taken back.

    :param evacuations: for each its name, the version of the news, and whether it is
        emptied
    """

    CODE: ClassVar[int] = 10
    evacuations: list[tuple[str, Count, bool]]

    @classmethod
    def pack(cls, news: Iterable[Evacuation]) -> DomainEvacuations:
        """Return the message for some news."""
        return cls([(one.domain, one.version, one.evacuated) for one in news])

    def unpack(self) -> list[Evacuation]:
        """Return the news."""
        return [Evacuation(*fields) for fields in self.evacuations]


@dataclass(frozen=True, slots=True)
class UpstreamCrashes:
    """Names contents under which upstreams crashed.

    :param crashes: for each its digest, the upstreams that crashed with the seconds
        since, those that it was cleared of, and how often it was tried again
    """

    CODE: ClassVar[int] = 13
    crashes: list[tuple[Content, Ages, Lives, Count]]

    @classmethod
    def pack(cls, reports: Iterable[CrashReport]) -> UpstreamCrashes:
        """Return the message for some reports."""
        return cls(
            [
                (
                    one.content,
                    {
                        incarnation: one.age(incarnation)
                        for incarnation in sorted(one.crashed)
                    },
                    sorted(one.cleared),
                    one.trials,
                )
                for one in reports
            ]
        )

    def unpack(self) -> list[CrashReport]:
        """Return the reports."""
        return [
            CrashReport(content, frozenset(ages), frozenset(cleared), trials, ages)
            for content, ages, cleared, trials in self.crashes
        ]


@dataclass(frozen=True, slots=True)
class UndatedCrashes:
    """The former form of ``UpstreamCrashes``, without the ages."""

    CODE: ClassVar[int] = 11
    crashes: list[tuple[Content, Lives, Lives, Count]]

    def unpack(self) -> list[CrashReport]:
        """Return the reports, as if the upstreams had just crashed."""
        return [
            CrashReport(content, frozenset(crashed), frozenset(cleared), trials)
            for content, crashed, cleared, trials in self.crashes
        ]


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Asks for tokens of a workspace.

    :param ahead: tokens that an instance without an allotment would like besides
    """

    CODE: ClassVar[int] = 6
    number: Count
    workspace: str
    tokens: Count
    ahead: Count


@dataclass(frozen=True, slots=True)
class Loan:
    """Hands tokens over; the sender has counted them as spent.

    :param number: of the request for them, ``UNSOLICITED`` for what is handed back
    :param tokens: 0 if it has none to spare
    """

    CODE: ClassVar[int] = 7
    number: Count
    workspace: str
    tokens: Count


@dataclass(frozen=True, slots=True)
class UpstreamLoads:
    """Says what the sender has waiting at upstreams.

    :param loads: upstream, prompt tokens that it has not read yet, and shared parts
        that it has read since the last message
    """

    CODE: ClassVar[int] = 8
    loads: list[tuple[str, Count, list[str]]]


@dataclass(frozen=True, slots=True)
class UpstreamLimits:
    """Says what upstreams take from all instances together, as they last said.

    :param limits: for each its name, the requests a second, ``None`` for no limit, and
        the seconds since it said so
    """

    CODE: ClassVar[int] = 14
    limits: list[tuple[str, Rate | None, Age]]


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Asks for permits to send to a limited upstream.

    :param asker: the instance that will use them
    :param hops: instances that have passed the request on
    :param rate: what the upstream takes, as the sender knows it
    :param age: seconds since the upstream said so
    """

    CODE: ClassVar[int] = 15
    number: Count
    asker: str
    upstream: str
    count: PermitCount
    hops: Count
    rate: Rate | None
    age: Age


@dataclass(frozen=True, slots=True)
class PermitGrant:
    """Answers a request for permits.

    :param seconds: for which the permits may be used, counted from the request
    :param pause: seconds after which more may be asked for
    :param rate: what the upstream takes, as the sender knows it
    :param age: seconds since the upstream said so, ``None`` if it never did
    """

    CODE: ClassVar[int] = 16
    number: Count
    count: PermitCount
    seconds: Age
    pause: Age
    rate: Rate | None
    age: Age | None


PeerMessage: TypeAlias = (
    Hello
    | SupportedMessages
    | Heartbeat
    | FetchConfiguration
    | ConfigurationValue
    | UpstreamDepartures
    | DomainEvacuations
    | UpstreamCrashes
    | UndatedCrashes
    | LoanRequest
    | Loan
    | UpstreamLoads
    | UpstreamLimits
    | PermitRequest
    | PermitGrant
)
MESSAGE_TYPES: dict[int, type[PeerMessage]] = {
    one.CODE: one
    for one in (
        Hello,
        SupportedMessages,
        Heartbeat,
        FetchConfiguration,
        ConfigurationValue,
        UpstreamDepartures,
        DomainEvacuations,
        UpstreamCrashes,
        UndatedCrashes,
        LoanRequest,
        Loan,
        UpstreamLoads,
        UpstreamLimits,
        PermitRequest,
        PermitGrant,
    )
}


def encode_message(message: PeerMessage) -> bytes:
    """Return a message's bytes."""
    packed: bytes = msgpack.packb([message.CODE, *astuple(message)])
    return packed


def make_earlier_form(message: PeerMessage) -> PeerMessage | None:
    """Return what is said to peers that do not read a message's kind.

    :returns: the former form of its kind, ``None`` if there is none
    """
    if not isinstance(message, UpstreamCrashes):
        return None
    return UndatedCrashes(
        [
            (content, sorted(ages), cleared, trials)
            for content, ages, cleared, trials in message.crashes
        ]
    )


class MessageReader:
    """Reads messages from a stream of bytes."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)

    def feed(self, data: bytes) -> list[PeerMessage]:
        """Return the messages that are whole now.

        :raises MalformedValueError: if the bytes are no message
        """
        try:
            self._unpacker.feed(data)
            read = [_read_message(one) for one in self._unpacker]
        except (
            msgpack.UnpackException,
            msgspec.ValidationError,
            RecursionError,
            ValueError,
            TypeError,
        ) as error:
            raise MalformedValueError(f"peer message: {error!r}") from error
        return [one for one in read if one is not None]


def _read_message(fields: Any) -> PeerMessage | None:
    """Return a message, ``None`` for one of a kind that came up later.

    :raises MalformedValueError: if it is none of its kind
    """
    if not isinstance(fields, list) or not fields or not isinstance(fields[0], int):
        raise MalformedValueError("peer message: has no code")
    code, *values = fields
    message_type = MESSAGE_TYPES.get(code)
    if message_type is None:
        return None
    names = [one.name for one in dataclass_fields(message_type)]
    return msgspec.convert(dict(zip(names, values, strict=False)), message_type)

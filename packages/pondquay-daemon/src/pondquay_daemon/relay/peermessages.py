"""Messages between instances: msgpack arrays that begin with a code.

Instances of different builds run side by side. Unknown kinds of messages and unknown
trailing fields are ignored. A new field is added at the end and has a default. A kind
whose form changes gets a new code and is also sent in its earlier form to peers that do
not support the new one. A malformed message closes the link. See
``docs/design/changing.md`` for the rules.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated, Any, ClassVar, Self, TypeAlias, get_args

import msgpack
from msgspec import Meta

from pondquay.requests.contents import CONTENT_BYTES
from pondquay.routing.crashes import CrashReport
from pondquay.routing.evacuations import Evacuation
from pondquay.routing.streamorigins import KEY_BYTES
from pondquay.routing.upstreamrecords import Departure
from pondquay_daemon.relay.errors import MalformedValueError
from pondquay_daemon.relay.messagecodec import MessageCodec, StreamReader

if TYPE_CHECKING:
    from collections.abc import Iterable

# The fastest level, since configurations are repetitive and compress well.
COMPRESSION_LEVEL = 1
# Maximum of counts and versions; floats represent integers exactly up to it.
MAX_NUMBER = 1 << 53
# Maximum number of crashed upstreams in the report on a content.
MAX_CRASHED = 64
# Maximum number of permits in one request.
MAX_PERMITS = 1000
# Number of an unsolicited loan; requests are numbered from 1.
UNSOLICITED = 0

Count = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
Content = Annotated[bytes, Meta(min_length=CONTENT_BYTES, max_length=CONTENT_BYTES)]
StreamKey = Annotated[bytes, Meta(min_length=KEY_BYTES, max_length=KEY_BYTES)]
# Incarnations of upstreams. The alias keeps its name, which the recorded forms of
# messages contain.
Lives = Annotated[list[str], Meta(max_length=MAX_CRASHED)]
# Seconds since an event.
Age = Annotated[float, Meta(ge=0, le=MAX_NUMBER)]
# Requests or permits per second.
Rate = Annotated[float, Meta(ge=0, le=MAX_NUMBER)]
PermitCount = Annotated[int, Meta(ge=0, le=MAX_PERMITS)]
Ages = Annotated[dict[str, Age], Meta(max_length=MAX_CRASHED)]


@dataclass(frozen=True, slots=True)
class Hello:
    """Introduces the sender; the first message on a link.

    :param members: address and domain of each known instance, by name
    """

    CODE: ClassVar[int] = 1
    instance: str
    members: dict[str, tuple[str, str]]


@dataclass(frozen=True, slots=True)
class SupportedMessages:
    """Lists the codes of the messages that the sender supports.

    It is the second message on a link. Some older builds do not send it.
    """

    CODE: ClassVar[int] = 17
    codes: list[Count]


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Keeps the link alive and announces the sender's configuration version."""

    CODE: ClassVar[int] = 2
    version: Count


@dataclass(frozen=True, slots=True)
class FetchConfiguration:
    """Requests the configuration."""

    CODE: ClassVar[int] = 3


@dataclass(frozen=True, slots=True)
class ConfigurationValue:
    """The configuration as operators wrote it.

    :param packed: its value as compressed msgpack
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

        :raises MalformedValueError: if the bytes cannot be decoded
        """
        try:
            value: dict[str, Any] = msgpack.unpackb(zlib.decompress(self.packed))
        except (zlib.error, msgpack.UnpackException, ValueError, TypeError) as error:
            raise MalformedValueError(f"configuration: {error!r}") from error
        return value


@dataclass(frozen=True, slots=True)
class UpstreamDepartures:
    """Announces upstreams that leave or have left.

    :param departures: for each the name, the version at which its row was removed or
        ``None`` if the upstream announced it itself, and the incarnation's start time
    """

    CODE: ClassVar[int] = 12
    departures: list[tuple[str, Count | None, Count | None]]

    @classmethod
    def pack(cls, departures: Iterable[Departure]) -> UpstreamDepartures:
        """Return the message for some departures."""
        return cls(
            [
                (departure.name, departure.version, departure.born)
                for departure in departures
            ]
        )

    def unpack(self) -> list[Departure]:
        """Return the departures."""
        return [Departure(*fields) for fields in self.departures]


@dataclass(frozen=True, slots=True)
class DomainEvacuations:
    """Announces domains that were evacuated or restored.

    :param evacuations: for each the name, the version of the change, and whether the
        domain is evacuated
    """

    CODE: ClassVar[int] = 10
    evacuations: list[tuple[str, Count, bool]]

    @classmethod
    def pack(cls, evacuations: Iterable[Evacuation]) -> DomainEvacuations:
        """Return the message for some changes."""
        return cls(
            [
                (evacuation.domain, evacuation.version, evacuation.evacuated)
                for evacuation in evacuations
            ]
        )

    def unpack(self) -> list[Evacuation]:
        """Return the changes."""
        return [Evacuation(*fields) for fields in self.evacuations]


# The digest, the crashed upstreams with the seconds since the crash, those of them that
# crashed before a run completed, the number of trials, how many of these started before
# a run completed, and the number of the one that was lost without a crash.
PackedState: TypeAlias = tuple[Content, Ages, Lives, Count, Count, Count]


def _pack_state(report: CrashReport) -> PackedState:
    ages = {name: report.age(name) for name in sorted(report.crashed)}
    return report.content, ages, sorted(report.cleared), *report.trial_numbers


@dataclass(frozen=True, slots=True)
class CrashStates:
    """Reports contents under which upstreams crashed."""

    CODE: ClassVar[int] = 34
    states: list[tuple[Content, Ages, Lives, Count, Count, Count]]

    @classmethod
    def pack(cls, reports: Iterable[CrashReport]) -> Self:
        """Return the message for some reports."""
        return cls([_pack_state(report) for report in reports])

    def unpack(self) -> list[CrashReport]:
        """Return the reports."""
        return [
            CrashReport(
                content,
                frozenset(ages),
                frozenset(cleared),
                trials,
                ages,
                cleared_trials,
                lost_trial,
            )
            for (
                content,
                ages,
                cleared,
                trials,
                cleared_trials,
                lost_trial,
            ) in self.states
        ]


@dataclass(frozen=True, slots=True)
class UpstreamCrashes:
    """The earlier form of ``CrashStates``, without cleared and lost trials."""

    CODE: ClassVar[int] = 13
    crashes: list[tuple[Content, Ages, Lives, Count]]

    def unpack(self) -> list[CrashReport]:
        """Return the reports, assuming that no trials were cleared or lost."""
        return [
            CrashReport(content, frozenset(ages), frozenset(cleared), trials, ages)
            for content, ages, cleared, trials in self.crashes
        ]


@dataclass(frozen=True, slots=True)
class UndatedCrashes:
    """The earlier form of ``UpstreamCrashes``, without ages."""

    CODE: ClassVar[int] = 11
    crashes: list[tuple[Content, Lives, Lives, Count]]

    def unpack(self) -> list[CrashReport]:
        """Return the reports, assuming that the upstreams have just crashed."""
        return [
            CrashReport(content, frozenset(crashed), frozenset(cleared), trials)
            for content, crashed, cleared, trials in self.crashes
        ]


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Requests tokens of a workspace.

    :param ahead: tokens that an instance without an allotment requests beyond its need
    """

    CODE: ClassVar[int] = 6
    number: Count
    workspace: str
    tokens: Count
    ahead: Count


@dataclass(frozen=True, slots=True)
class Loan:
    """Transfers tokens that the sender has counted as spent.

    :param number: number of the request, ``UNSOLICITED`` for returned tokens
    :param tokens: number of tokens, 0 if the sender has none to lend
    """

    CODE: ClassVar[int] = 7
    number: Count
    workspace: str
    tokens: Count


@dataclass(frozen=True, slots=True)
class UpstreamLoads:
    """Announces the sender's load at upstreams.

    :param loads: for each the upstream, the prompt tokens that wait there, and the
        shared parts that it has processed since the last message
    """

    CODE: ClassVar[int] = 8
    loads: list[tuple[str, Count, list[str]]]


@dataclass(frozen=True, slots=True)
class UpstreamLimits:
    """Announces the rate limits of upstreams for all instances together.

    :param limits: for each the name, the requests per second, ``None`` for no limit,
        and the seconds since the upstream reported it
    """

    CODE: ClassVar[int] = 14
    limits: list[tuple[str, Rate | None, Age]]


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Requests permits to send to a limited upstream.

    :param asker: the instance that will use the permits
    :param hops: number of times that the request has been sent, including this one
    :param rate: the upstream's limit as known to the sender, in requests per second
    :param age: seconds since the upstream reported the limit
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
    """Responds to a request for permits.

    :param seconds: validity of the permits, counted from the request
    :param pause: seconds after which more permits may be requested
    :param rate: the upstream's limit as known to the sender, in requests per second
    :param age: seconds since the upstream reported the limit, ``None`` if it never did
    """

    CODE: ClassVar[int] = 16
    number: Count
    count: PermitCount
    seconds: Age
    pause: Age
    rate: Rate | None
    age: Age | None


@dataclass(frozen=True, slots=True)
class UpstreamActivity:
    """Announces what the sender runs at upstreams, and the pace that it observes.

    Upstreams are identified by a number; see ``number_upstream``.

    :param running: for each upstream at which it changed, the running requests and
        their prompt tokens in thousands
    :param paces: for each upstream with observations since the last message, the
        nanoseconds to the first event per prompt token, and the microseconds between
        events per running request; 0 if not observed
    """

    CODE: ClassVar[int] = 21
    running: list[tuple[Count, Count, Count]]
    paces: list[tuple[Count, Count, Count]]


@dataclass(frozen=True, slots=True)
class InstanceLoad:
    """Announces the sender's load.

    :param level: value of :class:`~pondquay.routing.overload.LoadLevel`
    :param room: number of further requests that it could take
    """

    CODE: ClassVar[int] = 25
    level: Count
    room: Count


@dataclass(frozen=True, slots=True)
class TunnelOffer:
    """Offers tunnels to upstreams, or withdraws the offer.

    :param address: address at which the sender accepts tunnels
    :param accepting: whether it accepts new tunnels
    """

    CODE: ClassVar[int] = 26
    address: str
    accepting: bool


@dataclass(frozen=True, slots=True)
class UpstreamBackoff:
    """Reports that an upstream asked for a back-off in a response through a tunnel.

    :param upstream: name of the upstream's incarnation
    :param seconds: time for which it accepts no request
    """

    CODE: ClassVar[int] = 27
    upstream: str
    seconds: Age


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """Announces where a stream began.

    :param key: result of :func:`~pondquay.routing.streamorigins.digest_attempt`
    :param software: version of the software of the upstream that began it
    """

    CODE: ClassVar[int] = 28
    key: StreamKey
    service: str
    software: str


@dataclass(frozen=True, slots=True)
class StreamQuery:
    """Asks where a stream began.

    :param key: result of :func:`~pondquay.routing.streamorigins.digest_attempt`
    """

    CODE: ClassVar[int] = 29
    number: Count
    key: StreamKey


@dataclass(frozen=True, slots=True)
class StreamReply:
    """Responds to a question where a stream began.

    :param service: the service that began it, empty if unknown
    :param software: version of the upstream's software, ``None`` if unknown
    """

    CODE: ClassVar[int] = 30
    number: Count
    service: str
    software: str | None


@dataclass(frozen=True, slots=True)
class SoftwareSeen:
    """Announces versions of upstreams' software that have served lately.

    :param versions: for each the service, the version, and the seconds since an
        upstream with it was listed
    """

    CODE: ClassVar[int] = 31
    versions: list[tuple[str, str, Age]]


@dataclass(frozen=True, slots=True)
class PartCrashStates(CrashStates):
    """Reports parts of prompts under which upstreams crashed."""

    CODE: ClassVar[int] = 35


@dataclass(frozen=True, slots=True)
class WaitingPartStates(PartCrashStates):
    """Reports parts of prompts whose responses had not begun when upstreams crashed."""

    CODE: ClassVar[int] = 36


@dataclass(frozen=True, slots=True)
class PartCrashReports(UpstreamCrashes):
    """The earlier form of ``PartCrashStates``, without cleared and lost trials."""

    CODE: ClassVar[int] = 32


@dataclass(frozen=True, slots=True)
class WaitingPartReports(PartCrashReports):
    """The earlier form of ``WaitingPartStates``, without cleared and lost trials."""

    CODE: ClassVar[int] = 33


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
    | UpstreamActivity
    | InstanceLoad
    | TunnelOffer
    | UpstreamBackoff
    | StreamStarted
    | StreamQuery
    | StreamReply
    | SoftwareSeen
    | PartCrashReports
    | WaitingPartReports
    | CrashStates
    | PartCrashStates
    | WaitingPartStates
)
CODEC: MessageCodec[PeerMessage] = MessageCodec(get_args(PeerMessage))
MESSAGE_TYPES = CODEC.kinds
_STATES_BEFORE_CLEARED_TRIALS: dict[type[CrashStates], type[UpstreamCrashes]] = {
    CrashStates: UpstreamCrashes,
    PartCrashStates: PartCrashReports,
    WaitingPartStates: WaitingPartReports,
}


def encode_message(message: PeerMessage) -> bytes:
    """Return the encoded message."""
    return CODEC.encode(message)


def make_earlier_form(message: PeerMessage) -> PeerMessage | None:
    """Return the earlier form of a message, for peers that do not support its kind.

    :returns: ``None`` if there is no earlier form
    """
    if isinstance(message, CrashStates):
        earlier = _STATES_BEFORE_CLEARED_TRIALS[type(message)]
        return earlier([state[:4] for state in message.states])
    if type(message) is not UpstreamCrashes:
        return None
    return UndatedCrashes(
        [
            (content, sorted(ages), cleared, trials)
            for content, ages, cleared, trials in message.crashes
        ]
    )


class MessageReader(StreamReader[PeerMessage]):
    """Decodes the messages of a link from a stream of bytes."""

    def __init__(self) -> None:
        super().__init__(CODEC)

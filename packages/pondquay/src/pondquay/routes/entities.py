"""The entities of an operator's routing configuration."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class RequestKind(StrEnum):
    """Whether a request may run again, and whether its response is a stream."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a route, with its weight in the split of the route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How requests to a host and path prefix are handled.

    :param timeout: seconds within which a request gets its final response
    :param objective: target for the response time, in seconds
    :param priority: 0 is the most urgent
    :param attempts: maximum number of upstreams that a request is sent to
    :param public: whether requests require no key
    :param resumable: whether a broken stream may be resumed at another upstream
    :param pause: target for the longest pause between two events of a stream, in
        seconds; ``None`` without a target
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout: float
    objective: float
    priority: int
    services: tuple[WeightedService, ...]
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    pause: float | None = None

    @property
    def streaming(self) -> bool:
        """Whether responses are event streams."""
        return self.kind is RequestKind.STREAMING

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RequestKind.REPEATABLE or (
            self.streaming and self.resumable
        )


@dataclass(frozen=True, slots=True)
class Service:
    """A service whose upstreams are interchangeable for new requests.

    A stream that has begun goes on only at upstreams with the same software version.

    :param max_connections: maximum number of connections that an upstream accepts
        from all instances together
    :param event_tokens: maximum number of tokens in an event of a stream; 0 if
        responses cost no tokens
    :param shares_prompts: whether an upstream can copy a cached prompt from another
    :param cold_seconds: seconds after its start during which an upstream is limited to
        ``cold_rate``
    :param cold_rate: requests per second that an upstream accepts during this time from
        all instances together, 0 for no limit
    """

    name: str
    health_path: str
    max_connections: int
    event_tokens: int = 0
    shares_prompts: bool = False
    cold_seconds: float = 0.0
    cold_rate: float = 0.0

    @property
    def counts_tokens(self) -> bool:
        """Whether responses of the service cost tokens."""
        return self.event_tokens > 0


@dataclass(frozen=True, slots=True)
class RoutedWorkspace:
    """A workspace with its keys and its prepaid tokens.

    :param priority: priority of its requests, 0 is the most urgent
    :param prepaid: total tokens that it may use, ``None`` for no limit
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    prepaid: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers' requests and connections.

    :param header_bytes: maximum size of a request's head
    :param body_bytes: maximum size of a request's body
    :param header_timeout: seconds within which the head of a request must arrive
    :param idle_timeout: seconds after which an idle connection is closed
    """

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """A version of the routing configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    workspaces: tuple[RoutedWorkspace, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)

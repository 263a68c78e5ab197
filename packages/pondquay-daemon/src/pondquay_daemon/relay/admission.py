"""Admission of requests: finds their route, workspace and service, or refuses them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondquay.routes.table import choose_service
from pondquay.routing.streamorigins import digest_attempt
from pondquay_daemon.relay.errors import MalformedValueError

if TYPE_CHECKING:
    from random import Random

    from pondquay.routes.entities import Route, RoutedWorkspace
    from pondquay.routes.table import RouteTable
    from pondquay_daemon.relay.border import Border
    from pondquay_daemon.relay.handlers import CallerResponse
    from pondquay_daemon.relay.messages import RequestHead, RequestMetadata

BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
UNAVAILABLE = 503
# Delays after which a refused caller should retry.
RETRY_SOON_SECONDS = 0.25
NO_CONFIGURATION_RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Refusal:
    """An error response that the relay sends itself.

    :param reason: text of the response's body
    :param retry_after: seconds after which a retry may succeed, ``None`` if unknown
    """

    status: int
    reason: str
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Admission:
    """A request that has a route.

    :param workspace: owner of the caller's key, ``None`` where no key is needed
    :param service: name of the service that was chosen from the route
    :param software: the only version of the service's software at which a stream that
        the caller takes up may go on, ``None`` for any
    """

    metadata: RequestMetadata
    route: Route
    workspace: RoutedWorkspace | None
    service: str
    software: str | None = None

    @property
    def seconds(self) -> float:
        """The seconds from the request's arrival within which it must be served."""
        deadline = self.metadata.deadline
        timeout = self.route.timeout
        return timeout if deadline is None else min(timeout, deadline)

    @property
    def takes_up_stream(self) -> bool:
        """Whether the caller takes up a stream of which it has some events."""
        return self.route.streaming and self.metadata.last_event > 0

    @property
    def stream(self) -> bytes:
        """The key of its stream, by the attempt that began or begins it."""
        attempt = self.metadata.attempt
        if self.takes_up_stream:
            attempt = self.metadata.first_attempt or attempt
        owner = "" if self.workspace is None else self.workspace.name
        return digest_attempt(owner, attempt)


def admit_request(
    head: RequestHead,
    table: RouteTable | None,
    border: Border,
    random: Random,
    *,
    is_fresh: bool,
) -> Admission | Refusal:
    """Find a request's route, workspace and service.

    :param is_fresh: whether the table was confirmed recently; if not, routes and keys
        that are missing from it may exist
    :returns: a refusal if the request cannot be admitted
    """
    if table is None:
        return Refusal(
            UNAVAILABLE, "no configuration yet", NO_CONFIGURATION_RETRY_SECONDS
        )
    try:
        metadata = border.read_request(head)
    except MalformedValueError as error:
        return Refusal(BAD_REQUEST, str(error))
    route = table.find_route(metadata.host, head.path)
    if route is None:
        if not is_fresh:
            return Refusal(
                UNAVAILABLE, "unknown route, old configuration", RETRY_SOON_SECONDS
            )
        return Refusal(NOT_FOUND, "no such route")
    workspace = None
    if table.needs_keys and not route.public:
        workspace = table.find_workspace(metadata.key or "")
        if workspace is None and not is_fresh:
            return Refusal(
                UNAVAILABLE, "unknown key, old configuration", RETRY_SOON_SECONDS
            )
        if workspace is None:
            return Refusal(UNAUTHORIZED, "unknown key")
    return Admission(metadata, route, workspace, choose_service(route, random))


def send_refusal(
    border: Border, response: CallerResponse, attempt: str, refusal: Refusal
) -> None:
    """Send a refusal to a caller."""
    headers = border.write_refusal(attempt, refusal.retry_after)
    body = f"{refusal.reason}\n".encode()
    response.send_complete(refusal.status, headers, body)

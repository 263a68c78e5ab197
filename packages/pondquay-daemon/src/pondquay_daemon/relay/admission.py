"""Who asks for what: a request's route, owner and service, or its refusal."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondquay.routes.table import choose_service
from pondquay_daemon.relay.errors import MalformedValueError

if TYPE_CHECKING:
    from random import Random

    from pondquay.routes.entities import Route, RoutedWorkspace
    from pondquay.routes.table import RouteTable
    from pondquay_daemon.relay.border import Border
    from pondquay_daemon.relay.ingress import CallerResponse
    from pondquay_daemon.relay.messages import RequestHead, RequestMetadata

BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
UNAVAILABLE = 503
# Seconds after which a refused caller should come back.
SOON = 0.25
LATER = 1.0


@dataclass(frozen=True, slots=True)
class Refusal:
    """An answer that the relay gives by itself.

    :param retry_after: seconds after which asking again may help
    """

    status: int
    reason: str
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Admission:
    """A request that has a route and an owner."""

    metadata: RequestMetadata
    route: Route
    workspace: RoutedWorkspace | None
    service: str


def admit_request(
    head: RequestHead,
    table: RouteTable | None,
    border: Border,
    random: Random,
    *,
    current: bool,
) -> Admission | Refusal:
    """Find a request's route and owner.

    :param current: whether the table was confirmed lately; if not, what it does not
        know may exist all the same
    """
    if table is None:
        return Refusal(UNAVAILABLE, "no configuration yet", LATER)
    try:
        metadata = border.read_request(head)
    except MalformedValueError as error:
        return Refusal(BAD_REQUEST, str(error))
    route = table.find_route(metadata.host, head.path)
    if route is None:
        if not current:
            return Refusal(UNAVAILABLE, "unknown route, old configuration", SOON)
        return Refusal(NOT_FOUND, "no such route")
    workspace = None
    if table.needs_keys and not route.public:
        workspace = table.find_workspace(metadata.key or "")
        if workspace is None and not current:
            return Refusal(UNAVAILABLE, "unknown key, old configuration", SOON)
        if workspace is None:
            return Refusal(UNAUTHORIZED, "unknown key")
    return Admission(metadata, route, workspace, choose_service(route, random))


def send_refusal(
    border: Border, response: CallerResponse, attempt: str, refusal: Refusal
) -> None:
    """Give a caller an answer of the relay's own."""
    headers = border.write_refusal(attempt, refusal.retry_after)
    body = f"{refusal.reason}\n".encode()
    response.send_complete(refusal.status, headers, body)

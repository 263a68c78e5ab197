"""The client of plain services."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import treq
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.web.client import Agent

from pondquay_daemon.bodies import read_body
from pondquay_daemon.connectionpools import make_connection_pool
from pondquay_daemon.errors import MayHaveRunError, NotSentError
from pondquay_daemon.platform import NETWORK_ERRORS
from pondquay_daemon.readtimers import ReadCounter
from pondquay_daemon.tasks import finish_within

if TYPE_CHECKING:
    from collections.abc import Mapping

CONNECT_SECONDS = 1.0
# From the call to the last byte of its response.
RESPONSE_TIMEOUT_SECONDS = 30.0
# The largest body that the settings allow for requests.
MAX_RESPONSE_BYTES = 64 << 20
REQUEST_HEADER = "Pondquay-Request"
FORWARDED_RESPONSE_HEADERS = (
    "content-type",
    "etag",
    "last-modified",
    "location",
    "cache-control",
)


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call to a plain service.

    :param path: path and query, relative to the service's URL
    """

    method: str
    path: str
    body: bytes
    headers: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """The complete response of a plain service."""

    status: int
    body: bytes
    headers: Mapping[str, str]


class Services:
    """Client of plain services."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        agent = Agent(
            reactor, pool=make_connection_pool(reactor), connectTimeout=CONNECT_SECONDS
        )
        self._http = treq.client.HTTPClient(agent)

    async def call(self, url: str, name: str, call: ServiceCall) -> ServiceResponse:
        """Make a call and return its complete response.

        :param name: the attempt's name, for the service's logs
        :raises NotSentError: if no byte was written
        :raises MayHaveRunError: if there was no response or an incomplete one in time,
            or one of more than ``MAX_RESPONSE_BYTES``
        """
        reads = ReadCounter()
        return await finish_within(
            RESPONSE_TIMEOUT_SECONDS,
            self._reactor,
            self._call(url, name, call, reads),
            reads,
        )

    async def _call(
        self, url: str, name: str, call: ServiceCall, reads: ReadCounter
    ) -> ServiceResponse:
        headers: dict[bytes | str, bytes | str] = {REQUEST_HEADER: name}
        headers.update(call.headers)
        try:
            response = await self._http.request(
                call.method,
                f"{url}/{call.path}",
                data=call.body or None,
                headers=headers,
                allow_redirects=False,
                unbuffered=True,
            )
            body = await read_body(response, MAX_RESPONSE_BYTES, reads)
        except (ConnectError, ConnectingCancelledError) as error:
            raise NotSentError(str(error)) from error
        except NETWORK_ERRORS as error:
            raise MayHaveRunError(str(error)) from error
        # A service that names the call in its response may repeat an earlier one late.
        if response.headers.getRawHeaders(REQUEST_HEADER, [name]) != [name]:
            raise MayHaveRunError("a response to another call")
        forwarded = {
            name: values[0].decode("latin-1")
            for name in FORWARDED_RESPONSE_HEADERS
            if (values := response.headers.getRawHeaders(name.encode()))
        }
        return ServiceResponse(response.code, body, forwarded)

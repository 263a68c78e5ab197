"""HTTP client for operator endpoints, with failover between them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import treq
from twisted.web.client import Agent

from pondquay_cli.errors import RefusedError, UnreachableError

if TYPE_CHECKING:
    from collections.abc import Sequence

CONNECT_TIMEOUT_SECONDS = 2.0
RESPONSE_TIMEOUT_SECONDS = 15.0
FIRST_ERROR_STATUS = 400
UNAVAILABLE_STATUS = 503


class OperatorClient:
    """Client that sends a request to the first operator endpoint that can handle it.

    :param urls: endpoints in the order in which they are tried
    :param key: the partner's operator key, empty if none is needed
    """

    def __init__(self, reactor: Any, urls: Sequence[str], key: str) -> None:
        self._urls = [url.rstrip("/") for url in urls]
        self._key = key
        agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_SECONDS)
        self._http = treq.client.HTTPClient(agent)

    async def get(self, path: str) -> Any:
        """Return the JSON content at a path.

        :raises RefusedError: if the endpoint refuses the request
        :raises UnreachableError: if no endpoint can handle the request
        """
        return await self._send_with_failover("GET", path, None)

    async def list_responses(self, path: str) -> list[Any]:
        """Return the JSON content at a path from each endpoint that provides it.

        :raises UnreachableError: if no endpoint does
        """
        responses = []
        for url in self._urls:
            try:
                status, content = await self._send_request("GET", url + path, None)
            except Exception:  # Endpoints that fail are left out.
                continue
            if status < FIRST_ERROR_STATUS:
                responses.append(content)
        if not responses:
            raise UnreachableError("no endpoint responded successfully")
        return responses

    async def post(self, path: str, body: object) -> Any:
        """Post a request and return the JSON content of the response.

        The request must be idempotent: if it fails, it is sent to the next endpoint.

        :raises RefusedError: if the endpoint refuses the request
        :raises UnreachableError: if no endpoint can handle the request
        """
        return await self._send_with_failover("POST", path, body)

    async def _send_with_failover(self, method: str, path: str, body: object) -> Any:
        failures = []
        for url in self._urls:
            try:
                status, content = await self._send_request(method, url + path, body)
            except Exception as error:  # Any failure leads to the next endpoint.
                failures.append(f"{url}: {error or type(error).__name__}")
                continue
            if status == UNAVAILABLE_STATUS:
                failures.append(f"{url}: {_describe_error(content)}")
                continue
            if status >= FIRST_ERROR_STATUS:
                raise RefusedError(_describe_error(content))
            return content
        raise UnreachableError(
            "no operator endpoint could handle the request\n" + "\n".join(failures)
        )

    async def _send_request(
        self, method: str, url: str, body: object
    ) -> tuple[int, Any]:
        headers: dict[bytes | str, bytes | str] = {
            "Authorization": f"Bearer {self._key}"
        }
        # Passing json=None would send the JSON value null as the body.
        body_arguments: dict[str, Any] = {} if body is None else {"json": body}
        response = await self._http.request(
            method,
            url,
            headers=headers,
            timeout=RESPONSE_TIMEOUT_SECONDS,
            **body_arguments,
        )
        return response.code, await treq.json_content(response)


def _describe_error(content: Any) -> str:
    """Return the text of an error response, or the raw content if it has none."""
    try:
        error = content["error"]
        findings = error.get("findings")
        text = "\n".join(findings) if findings else error["message"]
        return f"{error['code']}: {text}"
    except (KeyError, TypeError):
        return str(content)

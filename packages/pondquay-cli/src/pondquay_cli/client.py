"""The client of the operator endpoint; it tries one instance after another."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import treq
from twisted.web.client import Agent

from pondquay_cli.errors import RefusedError, UnreachableError

if TYPE_CHECKING:
    from collections.abc import Sequence

CONNECT_SECONDS = 2.0
RESPONSE_SECONDS = 15.0
FIRST_ERROR = 400
UNAVAILABLE = 503


class OperatorClient:
    """Calls to operator endpoints, all of which are alike.

    :param urls: endpoints in the order in which they are tried
    :param key: the partner's operator key
    """

    def __init__(self, reactor: Any, urls: Sequence[str], key: str) -> None:
        self._urls = [url.rstrip("/") for url in urls]
        self._key = key
        agent = Agent(reactor, connectTimeout=CONNECT_SECONDS)
        self._http = treq.client.HTTPClient(agent)

    async def get(self, path: str) -> Any:
        """Read something.

        :raises RefusedError: if the endpoint refuses
        :raises UnreachableError: if no endpoint answers
        """
        return await self._call("GET", path, None)

    async def list_responses(self, path: str) -> list[Any]:
        """Read something from every endpoint that answers.

        :raises UnreachableError: if none does
        """
        responses = []
        for url in self._urls:
            try:
                status, content = await self._call_one("GET", url + path, None)
            except Exception:  # a endpoint that does not answer is left out
                continue
            if status < FIRST_ERROR:
                responses.append(content)
        if not responses:
            raise UnreachableError("no operator endpoint answered")
        return responses

    async def post(self, path: str, body: object) -> Any:
        """Ask for something; every such request may be sent twice without harm.

        :raises RefusedError: if the endpoint refuses
        :raises UnreachableError: if no endpoint answers
        """
        return await self._call("POST", path, body)

    async def _call(self, method: str, path: str, body: object) -> Any:
        failures = []
        for url in self._urls:
            try:
                status, content = await self._call_one(method, url + path, body)
            except Exception as error:  # whatever it was, the next endpoint may answer
                failures.append(f"{url}: {error or type(error).__name__}")
                continue
            if status == UNAVAILABLE:
                failures.append(f"{url}: {_describe(content)}")
                continue
            if status >= FIRST_ERROR:
                raise RefusedError(_describe(content))
            return content
        raise UnreachableError(
            "no operator endpoint could do it\n" + "\n".join(failures)
        )

    async def _call_one(self, method: str, url: str, body: object) -> tuple[int, Any]:
        headers: dict[bytes | str, bytes | str] = {
            "Authorization": f"Bearer {self._key}"
        }
        # Without a body none is sent, not even an empty value.
        content: dict[str, Any] = {} if body is None else {"json": body}
        response = await self._http.request(
            method, url, headers=headers, timeout=RESPONSE_SECONDS, **content
        )
        return response.code, await treq.json_content(response)


def _describe(content: Any) -> str:
    """Return the text of an error in the usual envelope."""
    try:
        error = content["error"]
        findings = error.get("findings")
        text = "\n".join(findings) if findings else error["message"]
        return f"{error['code']}: {text}"
    except (KeyError, TypeError):
        return str(content)

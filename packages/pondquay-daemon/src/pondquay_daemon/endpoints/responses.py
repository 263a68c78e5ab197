"""Helpers that write JSON responses and errors and read keys and JSON bodies."""

from __future__ import annotations

import json
from hashlib import sha256
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from twisted.web.server import Request

JSON_TYPE = "application/json"
BEARER = "Bearer "
DIGEST_PREFIX = "sha256:"
BAD_REQUEST = 400
UNAUTHORIZED = 401
FORBIDDEN = 403
NOT_FOUND = 404
CONFLICT = 409
TOO_LARGE = 413
UNPROCESSABLE = 422
UNAVAILABLE = 503


def write_json(request: Request, content: object, status: int = 200) -> bytes:
    """Set a response's status and content type, and return its JSON body."""
    request.setResponseCode(status)
    request.setHeader("Content-Type", JSON_TYPE)
    return json.dumps(content).encode()


def write_error(
    request: Request,
    status: int,
    code: str,
    message: str,
    param: str | None = None,
    **details: object,
) -> bytes:
    """Set an error's status and return its JSON envelope.

    :param param: name of the invalid field
    :param details: further fields of the error
    """
    kind = "invalid_request_error" if status < UNAVAILABLE else "server_error"
    error = {"type": kind, "code": code, "message": message, "param": param}
    return write_json(request, {"error": {**error, **details}}, status)


def read_bearer(request: Request) -> str | None:
    """Return a request's bearer key, ``None`` if it has none."""
    header = request.getHeader("Authorization") or ""
    if not header.startswith(BEARER):
        return None
    return header.removeprefix(BEARER).strip() or None


def digest_key(key: str) -> str:
    """Return the digest under which a key is configured."""
    return DIGEST_PREFIX + sha256(key.encode()).hexdigest()


def read_json(request: Request) -> Any:
    """Parse the body of a request as JSON.

    :raises ValueError: if it is not valid JSON
    """
    assert request.content is not None
    request.content.seek(0)
    return json.loads(request.content.read().decode("utf-8"))

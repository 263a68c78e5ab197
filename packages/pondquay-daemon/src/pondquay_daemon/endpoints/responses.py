"""Writing JSON answers and errors, and reading keys."""

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
    """Return a JSON answer and set its status and type."""
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
    """Return an error in the usual envelope.

    :param param: the field concerned
    """
    kind = "invalid_request_error" if status < UNAVAILABLE else "server_error"
    error = {"type": kind, "code": code, "message": message, "param": param}
    return write_json(request, {"error": {**error, **details}}, status)


def read_bearer(request: Request) -> str | None:
    """Return the key that came with a request."""
    header = request.getHeader("Authorization") or ""
    if not header.startswith(BEARER):
        return None
    return header.removeprefix(BEARER).strip() or None


def digest_key(key: str) -> str:
    """Return the digest by which a key is known."""
    return DIGEST_PREFIX + sha256(key.encode()).hexdigest()


def read_json(request: Request) -> Any:
    """Return the body of a request as JSON.

    :raises ValueError: if it is not JSON
    """
    assert request.content is not None
    request.content.seek(0)
    return json.loads(request.content.read().decode("utf-8"))

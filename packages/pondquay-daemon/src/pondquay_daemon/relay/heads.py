"""Heads of messages: which headers go further and which end at this connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pondquay_daemon.relay.messages import HeaderList

# RFC 9110, section 7.6.1; those about framing are written anew by each connection.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)

# Digits of a time-out that are read; more say no more.
MAX_DIGITS = 9


def drop_connection_headers(headers: HeaderList) -> HeaderList:
    """Return the headers that concern more than one connection."""
    dropped = set(CONNECTION_HEADERS)
    for name, value in headers:
        if name.lower() == b"connection":
            dropped.update(one.strip().lower() for one in value.split(b","))
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def find_header(headers: HeaderList, name: bytes) -> bytes | None:
    """Return the first header of a name, which is given in lower case."""
    for one, value in headers:
        if one.lower() == name:
            return value
    return None


def list_values(headers: HeaderList, name: bytes) -> list[bytes]:
    """Return the values of all headers of a name, which is given in lower case."""
    return [value.strip() for one, value in headers if one.lower() == name]


def wants_close(headers: HeaderList) -> bool:
    """Tell whether a message says that its connection ends after it."""
    for name, value in headers:
        if name.lower() == b"connection":
            return b"close" in [one.strip().lower() for one in value.split(b",")]
    return False


def keep_alive_seconds(headers: HeaderList) -> int | None:
    """Return how long a connection may rest, where a message says so."""
    value = find_header(headers, b"keep-alive")
    if value is None:
        return None
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        digits = number.strip()
        if name.lower() == b"timeout" and digits.isdigit():
            return int(digits[:MAX_DIGITS])
    return None

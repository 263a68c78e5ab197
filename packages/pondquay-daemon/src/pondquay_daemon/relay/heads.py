"""Headers of HTTP messages, some of which apply to a single connection only."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pondquay_daemon.relay.messages import HeaderList

# Hop-by-hop headers (RFC 9110, section 7.6.1), and headers on the transfer of the body,
# which each connection handles itself.
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

# Digits of a keep-alive timeout that are parsed; further ones are ignored.
MAX_DIGITS = 9


def drop_connection_headers(headers: HeaderList) -> HeaderList:
    """Return the headers without those that apply to a single connection."""
    dropped = set(CONNECTION_HEADERS)
    for name, value in headers:
        if name.lower() == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def find_header(headers: HeaderList, name: bytes) -> bytes | None:
    """Return the value of the first header with a name, given in lower case."""
    for header, value in headers:
        if header.lower() == name:
            return value
    return None


def find_body_length(headers: HeaderList) -> int | None:
    """Return the length that a valid message gives for its body.

    :returns: bytes, ``None`` if the body ends otherwise
    """
    length = find_header(headers, b"content-length")
    if length is None or find_header(headers, b"transfer-encoding") is not None:
        return None
    return int(length)


def ends_with_connection(headers: HeaderList) -> bool:
    """Return whether only the end of its connection ends the body of a response."""
    framings = (b"content-length", b"transfer-encoding")
    return all(find_header(headers, name) is None for name in framings)


def list_values(headers: HeaderList, name: bytes) -> list[bytes]:
    """Return the values of all headers with a name, given in lower case."""
    return [value.strip() for header, value in headers if header.lower() == name]


def wants_close(headers: HeaderList) -> bool:
    """Return whether a message asks to close its connection."""
    for name, value in headers:
        if name.lower() == b"connection":
            return b"close" in [token.strip().lower() for token in value.split(b",")]
    return False


def keep_alive_seconds(headers: HeaderList) -> int | None:
    """Return the idle timeout of a connection from its ``Keep-Alive`` header.

    :returns: seconds, ``None`` if the message has no valid timeout
    """
    value = find_header(headers, b"keep-alive")
    if value is None:
        return None
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        digits = number.strip()
        if name.lower() == b"timeout" and digits.isdigit():
            return int(digits[:MAX_DIGITS])
    return None
